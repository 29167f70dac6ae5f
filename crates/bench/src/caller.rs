//! A caller: sends requests over plain HTTP/1.1 and checks each answer.

use std::io;
use std::time::{Duration, Instant};

use futures_util::stream::{self, Stream};
use ntex::http::Method;
use ntex::http::client::error::{ConnectError, SendRequestError};
use ntex::http::client::{Client, ClientResponse, Connector};
use ntex::time::{Millis, Seconds};
use ntex::util::Bytes;
use oriolering::{Cause, OUTCOME, Outcome, REASON, RETRY_AFTER_MS, SERVICE};
use tokio::time::{sleep, timeout};

use crate::call::{Call, Request, Told, Upload};
use crate::echo::{CHECK, Check, Echo, EchoReader, NONCE, SPENT};

const IDLE_S: u16 = 30;
const LIFETIME_S: u16 = 3_600;
/// Without a limit the pool never wakes calls that wait while a connection is being opened.
const CONNECTIONS: usize = 100_000;
const CONNECT_MS: u32 = 2_000;

/// A client that follows no redirect, retries nothing and opens as many connections as it needs.
#[derive(Clone)]
pub struct Caller {
    client: Client,
    start: Instant,
}

/// What one request came to.
#[derive(Clone, Copy, Debug)]
struct End {
    told: Told,
    status: u16,
    spent_us: Option<u64>,
    retry_after_ms: Option<u32>,
}

impl End {
    fn new(told: Told) -> Self {
        Self {
            told,
            status: 0,
            spent_us: None,
            retry_after_ms: None,
        }
    }
}

impl Caller {
    /// Returns a caller whose times count from `start`.
    pub fn new(start: Instant) -> Self {
        let connector = Connector::default()
            .limit(CONNECTIONS)
            .timeout(Millis(CONNECT_MS))
            .keep_alive(Seconds(IDLE_S))
            .lifetime(Seconds(LIFETIME_S))
            .finish();
        let client = Client::build()
            .connector(connector)
            .disable_timeout()
            .disable_redirects()
            .no_default_headers()
            .finish();
        Self { client, start }
    }

    /// Sends a request now and returns what came of it.
    pub async fn send(&self, request: &Request) -> Call {
        self.send_at(request, self.start.elapsed(), 0).await
    }

    /// Sends a request that should have been sent at `intended` since the start.
    pub async fn send_at(&self, request: &Request, intended: Duration, label: u8) -> Call {
        let end = match timeout(request.patience, self.exchange(request)).await {
            Ok(end) => end,
            Err(_) => End::new(Told::GaveUp),
        };
        Call {
            nonce: request.nonce.clone(),
            idempotent: request.is_idempotent(),
            label,
            intended_us: intended.as_micros() as u64,
            ended_us: self.start.elapsed().as_micros() as u64,
            spent_us: end.spent_us,
            told: end.told,
            status: end.status,
            retry_after_ms: end.retry_after_ms,
        }
    }

    async fn exchange(&self, request: &Request) -> End {
        match self.open(request).await {
            Ok(response) => read(request, response).await,
            Err(e) => End::new(told_of(&e)),
        }
    }

    async fn open(&self, request: &Request) -> Result<ClientResponse, SendRequestError> {
        let method = Method::from_bytes(request.method.as_bytes()).unwrap_or_default();
        let url = format!("http://{}{}", request.target, request.path);
        let mut builder = self
            .client
            .request(method, url)
            .no_decompress()
            .header(SERVICE, request.service.as_str())
            .header(NONCE, request.nonce.as_str());
        if request.answer_bytes > 0 {
            builder = builder.header("x-size", request.answer_bytes.to_string());
        }
        for (name, value) in &request.headers {
            builder = builder.header(*name, value.as_str());
        }
        match &request.upload {
            Upload::Whole(body) if body.is_empty() => builder.send().await,
            Upload::Whole(body) => builder.send_body(body.clone()).await,
            Upload::Parts { part, count, pause } => {
                let parts = paced(part.clone(), *count, *pause);
                builder.send_stream(Box::pin(parts)).await
            }
        }
    }
}

fn paced(part: Bytes, count: u32, pause: Duration) -> impl Stream<Item = io::Result<Bytes>> {
    stream::unfold(count, move |left| {
        let part = part.clone();
        async move {
            let left = left.checked_sub(1)?;
            if !pause.is_zero() {
                sleep(pause).await;
            }
            Some((Ok(part), left))
        }
    })
}

/// Returns what a failure to get the head of an answer says about the request.
fn told_of(error: &SendRequestError) -> Told {
    match error {
        SendRequestError::Connect(ConnectError::Disconnected(Some(e)))
            if e.kind() == io::ErrorKind::ConnectionRefused =>
        {
            Told::Unsent
        }
        SendRequestError::Connect(ConnectError::Disconnected(_)) => Told::Broken,
        SendRequestError::Connect(_) | SendRequestError::Url(_) => Told::Unsent,
        SendRequestError::Send(_)
        | SendRequestError::Request(_)
        | SendRequestError::Response(_)
        | SendRequestError::Http(_)
        | SendRequestError::H2(_)
        | SendRequestError::Timeout
        | SendRequestError::TunnelNotSupported
        | SendRequestError::Error(_) => Told::Broken,
    }
}

async fn read(request: &Request, mut response: ClientResponse) -> End {
    let header = |name| response.headers().get(name)?.to_str().ok();
    let outcome = header(OUTCOME).and_then(Outcome::parse);
    let cause = header(REASON).and_then(Cause::parse);
    let check = header(CHECK).map(str::to_owned);
    let mut end = End::new(Told::Answer);
    end.status = response.status().as_u16();
    end.spent_us = header(SPENT).and_then(|text| text.parse().ok());
    end.retry_after_ms = header(RETRY_AFTER_MS).and_then(|text| text.parse().ok());
    let expected = expected_check(request);
    let echo = Echo::new(&request.nonce, &expected, request.answer_bytes);
    let mut reader = EchoReader::new(echo);
    let mut payload = response.take_payload();
    let mut cut = false;
    while let Some(part) = payload.recv().await {
        match part {
            Ok(part) => reader.update(&part),
            Err(_) => {
                cut = true;
                break;
            }
        }
    }
    end.told = match (outcome, cut, end.status) {
        (Some(outcome), _, _) => Told::Refused(outcome, cause),
        (None, true, _) => Told::Cut,
        (None, false, 200) if reader.finish() && check == Some(expected) => Told::Answer,
        (None, false, 200) => Told::WrongAnswer,
        (None, false, status) => Told::Status(status),
    };
    end
}

fn expected_check(request: &Request) -> String {
    let mut check = Check::new(request.method, &request.path);
    match &request.upload {
        Upload::Whole(body) => check.update(body),
        Upload::Parts { part, count, .. } => (0..*count).for_each(|_| check.update(part)),
    }
    check.finish()
}
