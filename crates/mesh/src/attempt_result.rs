//! How an ingress evaluates the result of an attempt.

use std::rc::Rc;

use compact_str::CompactString;
use oriolering::RefusalReason;
use oriolering_http::{Answer, Bytes, HeaderMap, StatusCode};

use crate::attempt::{AttemptReply, RequestJob};
use crate::frame::{Answered, Outcome};
use crate::headers;
use crate::node::Node;
use crate::progress::Progress;
use crate::reply::Reply;
use crate::segment_reader::SegmentReader;

/// How long a backend server is avoided after another one answered at its address, in
/// milliseconds; the server list is updated within that time.
const MISDIRECTED_MS: u64 = 2_000;

/// The result of an attempt.
pub(crate) enum AttemptResult {
    /// The response for the caller.
    Answer(Answer),
    /// No byte of the request reached a backend server.
    Unsent,
    /// The request was sent to a backend server, and another one may try it.
    Sent,
    /// The request was sent to a backend server, which held it until the deadline.
    TimedOut,
}

/// Records the reply to an attempt, whether or not another attempt is in flight.
pub(crate) fn record(
    node: &Rc<Node>,
    job: &RequestJob,
    progress: &mut Progress,
    server: CompactString,
    reply: Reply,
) -> AttemptResult {
    let (outcome, body, rest) = match reply {
        Reply::Ended {
            outcome,
            body,
            rest,
        } => (outcome, body, rest),
        Reply::Lost => {
            progress.add_send(server);
            return AttemptResult::Sent;
        }
        Reply::Unlinked => {
            progress.tried.push(server);
            return AttemptResult::Unsent;
        }
    };
    match outcome {
        Outcome::Answered(answered) => {
            let response = ReceivedResponse {
                answered,
                body,
                rest,
            };
            record_answer(node, job, progress, server, response)
        }
        Outcome::Refused {
            why,
            retry_after_ms,
        } => {
            let retry_after_ms = Some(u64::from(retry_after_ms));
            progress.refusals += 1;
            progress.better_elsewhere += u32::from(why == RefusalReason::Elsewhere);
            progress.limited |= why == RefusalReason::Limit;
            if matches!(why, RefusalReason::Elsewhere | RefusalReason::Limit) {
                let now = node.now();
                let mut servers = node.server_table.borrow_mut();
                servers.update_server(&server, |estimate| estimate.record_rate_limited(now));
            }
            progress.tried.push(server);
            match why {
                RefusalReason::Quarantined => progress.quarantined_ms = retry_after_ms,
                RefusalReason::Elsewhere
                | RefusalReason::Late
                | RefusalReason::Full
                | RefusalReason::Leaving
                | RefusalReason::Evacuated
                | RefusalReason::Down
                | RefusalReason::Budget
                | RefusalReason::Limit => progress.retry_after_ms = retry_after_ms,
            }
            AttemptResult::Unsent
        }
        Outcome::Unexecuted { status } => {
            record_unexecuted(node, &server, status);
            progress.sends += 1;
            progress.tried.push(server);
            AttemptResult::Sent
        }
        Outcome::Unsent => {
            progress.tried.push(server);
            AttemptResult::Unsent
        }
        Outcome::Failed => {
            let now = node.now();
            node.server_table
                .borrow_mut()
                .update_server(&server, |s| s.record_result(now, true));
            progress.add_send(server);
            AttemptResult::Sent
        }
    }
}

/// Records the reply to one of two attempts, while the other one is still in flight.
pub(crate) fn record_first(
    node: &Rc<Node>,
    job: &RequestJob,
    progress: &mut Progress,
    tried: AttemptReply,
) {
    match record(node, job, progress, tried.server, tried.reply) {
        // The caller uses a successful answer instead of recording it here; whether to retry after
        // the other results is decided when both attempts have ended.
        AttemptResult::Answer(_)
        | AttemptResult::Unsent
        | AttemptResult::Sent
        | AttemptResult::TimedOut => {}
    }
}

fn record_unexecuted(node: &Rc<Node>, server: &str, status: u16) {
    let now = node.now();
    let misdirected = status == StatusCode::MISDIRECTED_REQUEST.as_u16();
    node.server_table
        .borrow_mut()
        .update_server(server, |estimate| match misdirected {
            true => estimate.avoid_until = now + MISDIRECTED_MS,
            false => estimate.record_result(now, true),
        });
}

/// The response of a backend server, of which `rest` follows if it is streamed.
struct ReceivedResponse {
    answered: Answered,
    body: Vec<u8>,
    rest: Option<SegmentReader>,
}

fn record_answer(
    node: &Rc<Node>,
    job: &RequestJob,
    progress: &mut Progress,
    server: CompactString,
    response: ReceivedResponse,
) -> AttemptResult {
    let ReceivedResponse {
        answered,
        body,
        rest,
    } = response;
    let now = node.now();
    let failed = answered.is_failure();
    let mut servers = node.server_table.borrow_mut();
    servers.update_server(&server, |estimate| {
        estimate.record_result(now, failed);
        estimate.record_run();
        estimate.rate_limit = answered.notice.limit;
    });
    if answered.notice.leaving {
        servers.mark_leaving(&server);
    }
    drop(servers);
    if !failed {
        let ran_ms = u64::from(answered.ran_ms);
        node.estimates.borrow_mut().record_duration(
            now,
            job.route_hash,
            ran_ms,
            answered.work_percent,
        );
        let declared = rest.as_ref().and_then(SegmentReader::length);
        let bytes = declared.unwrap_or(body.len() as u64);
        node.estimates
            .borrow_mut()
            .record_bytes(job.route_hash, bytes);
        let mut answer = answer(answered, body);
        answer.rest = rest.map(|rest| Box::new(rest.into_body(job.record.stream())));
        return AttemptResult::Answer(answer);
    }
    // A backend server answers 504 when the deadline that it was given has passed.
    let timed_out = answered.status == StatusCode::GATEWAY_TIMEOUT.as_u16();
    if timed_out {
        let (ran_ms, percent) = (u64::from(answered.ran_ms), answered.work_percent);
        let mut estimates = node.estimates.borrow_mut();
        estimates.record_unfinished(now, job.route_hash, ran_ms, percent);
    }
    progress.add_send(server);
    // Without a response to forward, the caller is told that the request may have run.
    if !answered.contradicts_run() {
        progress.failure = Some((answered, body));
    }
    match timed_out {
        true => AttemptResult::TimedOut,
        false => AttemptResult::Sent,
    }
}

/// Records that the deadline of a request passed before an attempt had a result.
///
/// The pace is the last one that the gate reported, whatever its age: the one assumed without a
/// recent report is higher, and by it the work would never seem to take too long.
pub(crate) fn record_deadline(node: &Node, job: &RequestJob, progress: &Progress) {
    let Some(running) = &progress.running else {
        return;
    };
    let now = node.now();
    let servers = node.server_table.borrow();
    if let Some(percent) = servers.reported_percent(&running.server) {
        let ran_ms = now.since(running.sent);
        let mut estimates = node.estimates.borrow_mut();
        estimates.record_unfinished(now, job.route_hash, ran_ms, percent);
    }
}

/// Converts the response of a backend server into the answer for the caller.
pub(crate) fn answer(answered: Answered, body: Vec<u8>) -> Answer {
    let status = StatusCode::from_u16(answered.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let headers: HeaderMap = headers::to_map(&answered.headers);
    Answer {
        status,
        headers,
        body: Bytes::from(body),
        rest: None,
        close: false,
        held: None,
    }
}
