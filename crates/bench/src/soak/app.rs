//! A stand-in of an application backend server of the platform.

use std::fs::File;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use compact_str::CompactString;
use ntex::http::Request;
use ntex::http::h1::{Codec, PayloadDecoder};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout, timeout_at};

use super::app_answer::{Answer, Next};
use super::app_call;
use super::app_settings::{AppFault, AppSettings, Flaw, WhenFull};
use super::app_state::{Arrival, Held, State};
use super::record::Step;
use super::seal::{bytes_of, digest};
use super::wire::Wire;
use oriolering_platform::HEADERS;

/// The exit status of a crash, to tell it from other ends.
const CRASH_STATUS: i32 = 86;
/// The part of a path that crashes each backend server that begins to run it.
const POISON: &str = "poison";
/// How long a request waits that tells no deadline.
const NO_DEADLINE: Duration = Duration::from_secs(60);

/// Serves requests and takes faults until the process ends.
///
/// A fault is one line of JSON on a connection to `control`; the answer is the line `ok`.
/// It runs within a set of local tasks.
///
/// # Errors
///
/// Returns the error of a listener or of the record.
pub async fn serve_app(settings: AppSettings) -> io::Result<()> {
    let listener = TcpListener::bind(settings.listen).await?;
    let control = TcpListener::bind(settings.control).await?;
    let record = File::options()
        .create(true)
        .append(true)
        .open(&settings.record)?;
    let state = Rc::new(State::new(settings, record));
    state.set_fault(AppFault::default());
    let faults = state.clone();
    let controlled = async move {
        loop {
            let (stream, _) = control.accept().await?;
            spawn_local(take_faults(stream, faults.clone()));
        }
    };
    let served = async move {
        loop {
            let (stream, _) = listener.accept().await?;
            spawn_local(take_connection(Wire::new(stream), state.clone()));
        }
    };
    tokio::select! {
        ended = controlled => ended,
        ended = served => ended,
    }
}

async fn take_faults(stream: TcpStream, state: Rc<State>) -> io::Result<()> {
    let (reader, mut writer) = stream.into_split();
    let mut lines = BufReader::new(reader).lines();
    while let Some(line) = lines.next_line().await? {
        let fault: AppFault = serde_json::from_str(&line)?;
        state.set_fault(fault);
        writer.write_all(b"ok\n").await?;
    }
    Ok(())
}

async fn take_connection(mut wire: Wire, state: Rc<State>) {
    if state.connections.get() >= state.settings.connections {
        return wire.reset().await;
    }
    let _connected = Held::new(&state.connections);
    match converse(&mut wire, &state).await {
        Ok(Next::Reset) => wire.reset().await,
        Ok(Next::Silent) => wire.closed().await,
        // The peer sees its connection end in each of the other cases.
        Ok(Next::Keep | Next::Close) | Err(_) => {}
    }
}

/// Answers the requests of one connection, one at a time.
async fn converse(wire: &mut Wire, state: &Rc<State>) -> io::Result<Next> {
    let codec = Codec::default();
    let idle = Duration::from_millis(state.settings.idle_ms);
    let mut late = Vec::new();
    while let Ok(next) = timeout(idle, wire.request(&codec)).await {
        let Some((request, body)) = next? else {
            return Ok(Next::Close);
        };
        wire.write(&std::mem::take(&mut late)).await?;
        let exchange = Exchange::new(state, &request);
        let next = exchange.answer(wire, body.as_ref(), &mut late).await?;
        if next != Next::Keep {
            return Ok(next);
        }
    }
    Ok(Next::Close)
}

/// A request and what its head says.
struct Exchange<'a> {
    state: &'a Rc<State>,
    id: CompactString,
    method: CompactString,
    path: CompactString,
    caller: Option<CompactString>,
    target: Option<CompactString>,
    deadline_ms: Option<u64>,
    until: Instant,
}

impl<'a> Exchange<'a> {
    fn new(state: &'a Rc<State>, request: &Request) -> Self {
        let header = |name| request.headers().get(name)?.to_str().ok();
        let deadline_ms = header(HEADERS.deadline).and_then(|text| text.parse().ok());
        let wait = deadline_ms.map_or(NO_DEADLINE, Duration::from_millis);
        let path = request.uri().path_and_query();
        Self {
            state,
            id: header(HEADERS.request).unwrap_or_default().into(),
            method: request.method().as_str().into(),
            path: path.map_or("/", |path| path.as_str()).into(),
            caller: header(HEADERS.caller).map(Into::into),
            target: header(HEADERS.target).map(Into::into),
            deadline_ms,
            until: Instant::now() + wait,
        }
    }

    async fn answer(
        &self,
        wire: &mut Wire,
        body: Option<&PayloadDecoder>,
        late: &mut Vec<u8>,
    ) -> io::Result<Next> {
        if self.path.as_str() == self.state.settings.health_path.as_str() {
            return self.health(wire).await;
        }
        if let Some(status) = self.misdirected() {
            return self.refuse(wire, body, status).await;
        }
        let arrival = self.state.arrive(&self.id);
        arrival.note(self.reached());
        let flaw = self.state.draw_flaw();
        if flaw == Some(Flaw::Shed) || self.state.is_full() {
            arrival.note(Step::Refused);
            return match self.state.fault.get().when_full {
                WhenFull::Refuse => self.refuse(wire, body, 503).await,
                WhenFull::Reset => Ok(Next::Reset),
                WhenFull::Silent => Ok(Next::Silent),
            };
        }
        match (flaw, body) {
            (Some(Flaw::Early), Some(_)) => self.answer_early(wire, body, &arrival).await,
            (_, _) => self.answer_in_order(wire, body, &arrival, flaw, late).await,
        }
    }

    /// Returns the status that refuses a request that is not for this backend server.
    fn misdirected(&self) -> Option<u16> {
        let other = |target: &CompactString| *target != self.state.settings.id;
        match self.id.is_empty() {
            true => Some(400),
            false => self.target.as_ref().filter(|id| other(id)).map(|_| 421),
        }
    }

    fn reached(&self) -> Step {
        Step::Reached {
            method: self.method.clone(),
            path: self.path.clone(),
            caller: self.caller.clone(),
            deadline_ms: self.deadline_ms,
        }
    }

    /// Reads the body, runs the request and answers.
    async fn answer_in_order(
        &self,
        wire: &mut Wire,
        body: Option<&PayloadDecoder>,
        arrival: &Arrival,
        flaw: Option<Flaw>,
        late: &mut Vec<u8>,
    ) -> io::Result<Next> {
        let body = wire.body(body).await?;
        arrival.note(Step::Body(digest(&body)));
        let status = tokio::select! {
            status = self.run(arrival, flaw) => status,
            () = wire.closed() => return Ok(Next::Close),
        };
        let Some(status) = status else {
            arrival.note(Step::Refused);
            return self.refuse(wire, None, 503).await;
        };
        if !matches!(flaw, None | Some(Flaw::Error)) {
            arrival.note(Step::Flawed);
        }
        arrival.note(Step::Answered(status));
        let answer = self.executed(status);
        if flaw == Some(Flaw::Late) {
            *late = answer.extra();
        }
        answer.send(wire, flaw).await
    }

    /// Answers before the body has been read, keeps the connection and reads on.
    async fn answer_early(
        &self,
        wire: &mut Wire,
        body: Option<&PayloadDecoder>,
        arrival: &Arrival,
    ) -> io::Result<Next> {
        arrival.note(Step::Started(0));
        arrival.note(Step::Answered(200));
        let next = self.executed(200).send(wire, Some(Flaw::Early)).await?;
        let body = wire.body(body).await?;
        arrival.note(Step::Body(digest(&body)));
        Ok(next)
    }

    /// Runs the request; returns its status, or `None` when the deadline passed in the queue.
    async fn run(&self, arrival: &Arrival, flaw: Option<Flaw>) -> Option<u16> {
        let _slot = timeout_at(self.until, self.state.slot()).await.ok()??;
        let work = Duration::from_millis(self.ask("work=").unwrap_or(0));
        let work = self.state.stretch(work);
        arrival.note(Step::Started(work.as_millis() as u64));
        if flaw == Some(Flaw::Crash) || self.path.contains(POISON) {
            std::process::exit(CRASH_STATUS);
        }
        let done = async {
            sleep(work).await;
            self.make_calls().await
        };
        match timeout_at(self.until, done).await {
            Err(_) => Some(504),
            Ok(_) if flaw == Some(Flaw::Error) => Some(500),
            Ok(false) => Some(500),
            Ok(true) => Some(200),
        }
    }

    /// Makes the calls that the request needs, and returns whether all were served.
    async fn make_calls(&self) -> bool {
        for number in 0..self.ask("calls=").unwrap_or(0) {
            let (settings, until) = (&self.state.settings, self.until.into_std());
            if !app_call::call(settings, &self.id, number, until).await {
                return false;
            }
        }
        true
    }

    fn executed(&self, status: u16) -> Answer<'_> {
        let size = self.ask("bytes=").unwrap_or(0) as usize;
        Answer {
            state: self.state,
            id: &self.id,
            status,
            body: bytes_of(&self.id, size),
            executed: true,
        }
    }

    /// Says that the request did not run; reads on behind it.
    async fn refuse(
        &self,
        wire: &mut Wire,
        body: Option<&PayloadDecoder>,
        status: u16,
    ) -> io::Result<Next> {
        let answer = Answer {
            state: self.state,
            id: &self.id,
            status,
            body: Vec::new(),
            executed: false,
        };
        let next = answer.send(wire, None).await?;
        wire.body(body).await?;
        Ok(next)
    }

    async fn health(&self, wire: &mut Wire) -> io::Result<Next> {
        self.state.note_probe();
        let fault = self.state.fault.get();
        let _slot = match self.state.settings.tells_load {
            true => None,
            false if self.state.is_full() => return Ok(Next::Reset),
            false => self.state.slot().await,
        };
        match fault.unhealthy || fault.leaving {
            true => self.refuse(wire, None, 503).await,
            false => self.executed(200).send(wire, None).await,
        }
    }

    /// Returns a number that the query of the path asks for.
    fn ask(&self, name: &str) -> Option<u64> {
        let (_, query) = self.path.split_once('?')?;
        let mut parts = query.split('&');
        let found = parts.find_map(|part| part.strip_prefix(name))?;
        found.parse().ok()
    }
}
