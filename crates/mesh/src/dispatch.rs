//! The attempts of one request: where it goes, what follows a failure, what the caller is told.

use std::rc::Rc;
use std::time::Duration;

use compact_str::CompactString;
use oriolering::{Load, Millis, NoRoom, Route};
use oriolering_http::{Answer, Bytes, HeaderMap, StatusCode};
use smallvec::SmallVec;
use tokio::time::timeout;

use crate::budgets::{Hold, Repeat};
use crate::frame::{Answered, Ending, Headers, Offer};
use crate::headers;
use crate::node::Node;
use crate::race;
use crate::reply::Reply;
use crate::spots::{Chosen, Way};
use crate::trail::{Seen, Standing, Story};

/// The most gates that may refuse one request before its caller is told to come back.
const REFUSALS_MAX: u32 = 4;
/// How long a backend server is avoided whose address answered for another one, in
/// milliseconds; the list has changed by then.
const MOVED_MS: u64 = 2_000;
/// The time to come back after, when no gate told one, in milliseconds.
const BACK_MS: u64 = 100;
/// The part of the time left within which a caller comes back, in percent; callers do not wait
/// longer than a third of it.
const BACK_PERCENT: u64 = 30;

/// A request on its way to a backend server.
pub(crate) struct Job {
    pub(crate) request: CompactString,
    /// What it is known by if backend servers crash while they run it.
    pub(crate) fingerprint: u64,
    pub(crate) service: CompactString,
    pub(crate) route: Rc<Route>,
    pub(crate) route_hash: u64,
    pub(crate) arrived: Millis,
    /// When the answer is of no use any more.
    pub(crate) deadline: Millis,
    pub(crate) method: CompactString,
    pub(crate) target: String,
    pub(crate) headers: Headers,
    pub(crate) body: Bytes,
    /// What its first attempt counts as, if a repeated run of another request made it.
    pub(crate) hold: Option<Hold>,
    /// What is written down of it.
    pub(crate) story: Story,
}

/// What is known of a request after some attempts.
#[derive(Default)]
pub(crate) struct Progress {
    tried: SmallVec<[CompactString; 4]>,
    /// The backend servers that it was sent to.
    sends: u32,
    refusals: u32,
    /// How many of the refusals were for a better backend server.
    away: u32,
    /// Whether an attempt may have run.
    uncertain: bool,
    back_ms: Option<u64>,
    /// For how long a gate quarantines it, in milliseconds.
    quarantined_ms: Option<u64>,
    /// What allows the next attempt, if that is a repeat.
    pub(crate) hold: Option<Hold>,
    /// The last failure that a backend server answered itself.
    failure: Option<(Answered, Vec<u8>)>,
}

impl Progress {
    /// Notes a backend server that a request was sent to and may have run at.
    fn add_send(&mut self, server: CompactString) {
        self.sends += 1;
        self.uncertain = true;
        self.tried.push(server);
    }

    /// Returns the backend servers that are not to be tried again.
    pub(crate) fn tried(&self) -> &[CompactString] {
        &self.tried
    }

    fn standing(&self) -> Standing {
        Standing {
            sends: self.sends,
            refusals: self.refusals,
            uncertain: self.uncertain,
        }
    }
}

/// Sends a request to backend servers until one answers, or nothing more can be done.
pub(crate) async fn dispatch(node: Rc<Node>, mut job: Job) -> Answer {
    let hold = job.hold.take();
    // What a repeat makes must not earn further repeats.
    if hold.is_none() {
        node.budgets.deposit(&job.service);
    }
    let mut progress = Progress {
        hold,
        ..Progress::default()
    };
    let left = job.deadline.since(node.now());
    let attempts = attempts(&node, &job, &mut progress);
    let answer = match timeout(Duration::from_millis(left), attempts).await {
        Ok(answer) => answer,
        Err(_) => {
            job.story.deadline(progress.standing());
            Answer::new(StatusCode::GATEWAY_TIMEOUT)
        }
    };
    job.story.answered(&answer);
    answer
}

async fn attempts(node: &Rc<Node>, job: &Job, progress: &mut Progress) -> Answer {
    loop {
        if is_quarantined(node, job, progress) {
            return give_up(node, job, progress, "backend servers crashed running it");
        }
        let now = node.now();
        let load = load_of(node, job);
        let work_ms = load.work_ms;
        let chosen =
            node.spots
                .borrow()
                .choose(now, &job.service, load, &progress.tried, &mut rand::rng());
        let Some(mut chosen) = chosen else {
            return give_up(node, job, progress, "no backend server is open");
        };
        if now + chosen.place.expected_ms > job.deadline {
            progress.back_ms.get_or_insert(chosen.place.expected_ms / 4);
            return give_up(
                node,
                job,
                progress,
                "no backend server is expected to answer in time",
            );
        }
        chosen.place.next_ms = chosen.place.alternative_ms(progress.away);
        let revision = node.list.borrow().revision();
        job.story.chosen(now, &chosen, work_ms, revision);
        let tried = race::run(node, job, progress, chosen, work_ms).await;
        let seen = Seen::of(&tried.server, &tried.reply);
        progress.hold = tried.hold;
        let answer = follow(node, job, progress, tried.server, tried.reply);
        job.story
            .attempt_ended(seen, progress.standing(), answer.is_none());
        if let Some(answer) = answer {
            return answer;
        }
    }
}

/// Returns what a request asks of a backend server, as far as is known of its route.
pub(crate) fn load_of(node: &Node, job: &Job) -> Load {
    let work = node.work.borrow();
    Load {
        work_ms: work.estimate(job.route_hash, job.route.aim_ms),
        bytes: job.body.len() as u64 + work.answer_bytes(job.route_hash),
    }
}

/// What an attempt came to at the chosen backend server.
pub(crate) struct Tried {
    pub(crate) server: CompactString,
    pub(crate) reply: Reply,
    /// What allowed it, if it was a repeat that did not arrive.
    pub(crate) hold: Option<Hold>,
}

/// Sends a request to the chosen gate; `hold` is there if that is a repeat.
pub(crate) async fn send(
    node: &Rc<Node>,
    job: &Job,
    chosen: Chosen,
    work_ms: u64,
    mut hold: Option<Hold>,
) -> Tried {
    let now = node.now();
    let offer = Offer {
        server: chosen.server.clone(),
        request: job.request.clone(),
        route: job.route_hash,
        fingerprint: job.fingerprint,
        idempotent: job.route.kind.is_idempotent(),
        repeat: hold.is_some(),
        priority: job.route.priority,
        aim_ms: (job.arrived + job.route.aim_ms).since(now) as u32,
        left_ms: job.deadline.since(now) as u32,
        work_ms: work_ms as u32,
        elsewhere_ms: chosen.place.next_ms.map(|ms| ms as u32),
        caller: node.settings.backend.service.clone(),
        method: job.method.clone(),
        target: job.target.clone(),
        headers: job.headers.clone(),
    };
    let server = chosen.server;
    node.spots
        .borrow_mut()
        .with_site(&server, |site| site.sent += 1);
    if let Some(hold) = &mut hold {
        hold.send();
    }
    let reply = match chosen.way {
        Way::Local => send_here(node, offer, job.body.clone()).await,
        Way::Remote(peer) => peer.call(offer, &job.body).await,
    };
    let hold = hold.filter(|_| !reply.may_have_arrived()).map(|mut hold| {
        hold.take_back();
        hold
    });
    Tried {
        server,
        reply,
        hold,
    }
}

/// Sends a request to the gate of this node.
async fn send_here(node: &Rc<Node>, offer: Offer, body: Bytes) -> Reply {
    let gate = Rc::clone(&node.gate);
    let (ending, body) = gate.run(offer, body).await;
    node.spots
        .borrow_mut()
        .tell_local(node.now(), node.gate.load());
    Reply::Ended {
        ending,
        body: body.to_vec(),
    }
}

/// What an attempt came to.
enum Noted {
    /// The caller gets this answer.
    Answer(Answer),
    /// No byte of the request reached a backend server.
    Unsent,
    /// A backend server had the request, and another one may try it.
    Sent,
    /// A backend server had the request until its deadline.
    Ended,
}

/// Decides what follows an attempt: an answer for the caller, or another attempt.
fn follow(
    node: &Rc<Node>,
    job: &Job,
    progress: &mut Progress,
    server: CompactString,
    reply: Reply,
) -> Option<Answer> {
    let (over, reason) = match note(node, job, progress, server, reply) {
        Noted::Answer(answer) => return Some(answer),
        Noted::Unsent => (
            progress.refusals >= REFUSALS_MAX,
            "too many gates refused it",
        ),
        Noted::Sent => (!may_repeat(node, job, progress), "it may not be sent again"),
        Noted::Ended => (true, "its time ended"),
    };
    over.then(|| give_up(node, job, progress, reason))
}

/// Takes in how an attempt ended, whether it was the only one under way or not.
fn note(
    node: &Rc<Node>,
    job: &Job,
    progress: &mut Progress,
    server: CompactString,
    reply: Reply,
) -> Noted {
    let (ending, body) = match reply {
        Reply::Ended { ending, body } => (ending, body),
        Reply::Lost => {
            progress.add_send(server);
            return Noted::Sent;
        }
        Reply::Unlinked => {
            progress.tried.push(server);
            return Noted::Unsent;
        }
    };
    match ending {
        Ending::Answered(answered) => note_answer(node, job, progress, server, answered, body),
        Ending::Refused { why, back_ms } => {
            let back_ms = Some(u64::from(back_ms));
            progress.refusals += 1;
            progress.away += u32::from(why == NoRoom::Elsewhere);
            progress.tried.push(server);
            match why {
                NoRoom::Quarantined => progress.quarantined_ms = back_ms,
                NoRoom::Elsewhere
                | NoRoom::Late
                | NoRoom::Full
                | NoRoom::Leaving
                | NoRoom::Down
                | NoRoom::Budget => progress.back_ms = back_ms,
            }
            Noted::Unsent
        }
        Ending::Unexecuted { status } => {
            note_unexecuted(node, &server, status);
            progress.sends += 1;
            progress.tried.push(server);
            Noted::Sent
        }
        Ending::Unsent => {
            progress.tried.push(server);
            Noted::Unsent
        }
        Ending::Failed => {
            let now = node.now();
            node.spots
                .borrow_mut()
                .with_site(&server, |s| s.record(now, true));
            progress.add_send(server);
            Noted::Sent
        }
    }
}

/// Takes in the reply to one of two attempts, while the other one is still under way.
pub(crate) fn note_first(node: &Rc<Node>, job: &Job, progress: &mut Progress, tried: Tried) {
    match note(node, job, progress, tried.server, tried.reply) {
        // A good answer is not noted but used; what follows the others is decided at the end.
        Noted::Answer(_) | Noted::Unsent | Noted::Sent | Noted::Ended => {}
    }
}

fn note_unexecuted(node: &Rc<Node>, server: &str, status: u16) {
    let now = node.now();
    let moved = status == StatusCode::MISDIRECTED_REQUEST.as_u16();
    node.spots
        .borrow_mut()
        .with_site(server, |site| match moved {
            true => site.suspect = now + MOVED_MS,
            false => site.record(now, true),
        });
}

fn note_answer(
    node: &Rc<Node>,
    job: &Job,
    progress: &mut Progress,
    server: CompactString,
    answered: Answered,
    body: Vec<u8>,
) -> Noted {
    let now = node.now();
    let failed = answered.status >= 500;
    node.spots
        .borrow_mut()
        .with_site(&server, |s| s.record(now, failed));
    if !failed {
        let ran_ms = u64::from(answered.ran_ms);
        node.work
            .borrow_mut()
            .record(job.route_hash, ran_ms, answered.work_percent);
        let bytes = body.len() as u64;
        node.work.borrow_mut().record_bytes(job.route_hash, bytes);
        return Noted::Answer(answer(answered, body));
    }
    // A backend server says 504 at the deadline that it was given.
    let ended = answered.status == StatusCode::GATEWAY_TIMEOUT.as_u16();
    progress.add_send(server);
    progress.failure = Some((answered, body));
    match ended {
        true => Noted::Ended,
        false => Noted::Sent,
    }
}

/// Returns whether a request is quarantined, by what this node or a gate knows of it.
fn is_quarantined(node: &Node, job: &Job, progress: &mut Progress) -> bool {
    if let Some(left) = node.suspects.remaining(job.fingerprint) {
        progress.quarantined_ms = Some(left);
    }
    progress.quarantined_ms.is_some()
}

/// Returns whether a request that reached a backend server may be sent to another one, and
/// holds that from the budget if so.
fn may_repeat(node: &Rc<Node>, job: &Job, progress: &mut Progress) -> bool {
    if is_quarantined(node, job, progress) {
        return false;
    }
    if progress.uncertain && !job.route.kind.is_idempotent() {
        return false;
    }
    if progress.sends >= job.route.attempts {
        return false;
    }
    progress.hold = node.budgets.hold(&job.service, Repeat::Try);
    progress.hold.is_some()
}

/// Returns what allows a second run beside one that is under way, if it may begin.
pub(crate) fn hold_second(node: &Rc<Node>, job: &Job, progress: &Progress) -> Option<Hold> {
    if progress.sends + 1 >= job.route.attempts {
        return None;
    }
    // A second run of what may have crashed a backend server would put another one at risk.
    if node.suspects.is_suspect(job.fingerprint) {
        return None;
    }
    node.budgets.hold(&job.service, Repeat::Run)
}

/// Returns the final answer to a request for which nothing more can be done.
fn give_up(node: &Rc<Node>, job: &Job, progress: &mut Progress, reason: &str) -> Answer {
    if let Some((answered, body)) = progress.failure.take() {
        return answer(answered, body);
    }
    let now = node.now();
    job.story
        .given_up(reason, progress.standing(), job.deadline.since(now));
    if progress.uncertain {
        return Answer::new(StatusCode::BAD_GATEWAY);
    }
    if let Some(back) = progress.quarantined_ms {
        return unavailable(back);
    }
    let left = job.deadline.since(now);
    let back = progress
        .back_ms
        .unwrap_or(BACK_MS)
        .min(left * BACK_PERCENT / 100);
    unavailable(back)
}

/// Returns the answer that a request has not run, and when to come back.
pub(crate) fn unavailable(back_ms: u64) -> Answer {
    let mut answer = Answer::new(StatusCode::SERVICE_UNAVAILABLE);
    let seconds = format!("{}.{:03}", back_ms / 1_000, back_ms % 1_000);
    headers::set(&mut answer.headers, "retry-after", &seconds);
    answer
}

fn answer(answered: Answered, body: Vec<u8>) -> Answer {
    let status = StatusCode::from_u16(answered.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let headers: HeaderMap = headers::to_map(&answered.headers);
    Answer {
        status,
        headers,
        body: Bytes::from(body),
        close: false,
    }
}
