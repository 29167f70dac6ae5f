//! Runs the attempts of a request: chooses backend servers, decides on retries and answers the
//! caller.

use std::rc::Rc;
use std::time::Duration;

use oriolering::{jittered_retry_after_ms, retry_after_ms};
use oriolering_http::{Answer, StatusCode};
use tokio::time::timeout;

use crate::attempt::{self, AttemptReply, RequestJob};
use crate::attempt_result::{self, AttemptResult};
use crate::budgets::RepeatKind;
use crate::node::Node;
use crate::progress::Progress;
use crate::trail::AttemptSummary;
use crate::{headers, second_run};

/// How many gates may refuse a request before the caller gets 503 with a retry time.
const MAX_REFUSALS: u32 = 4;
/// The retry time when no gate named one, in milliseconds.
const DEFAULT_RETRY_AFTER_MS: u64 = 100;

/// Why the attempts of a request were ended before one had a result.
enum Interruption {
    /// The deadline has passed.
    Deadline,
    /// The process is about to end.
    Exit,
}

/// Sends a request to backend servers until one responds or no further attempt is possible.
pub(crate) async fn dispatch(node: Rc<Node>, mut job: RequestJob) -> Answer {
    let hold = job.hold.take();
    // Calls made by a repeated run must not add to the retry budget.
    if hold.is_none() {
        node.budgets.deposit(&job.service);
    }
    let mut progress = Progress {
        hold,
        ..Progress::default()
    };
    let left = job.deadline.since(node.now());
    let attempts = run_attempts(&node, &job, &mut progress);
    let attempts = timeout(Duration::from_millis(left), attempts);
    let result = tokio::select! {
        biased;
        result = attempts => result.map_err(|_| Interruption::Deadline),
        () = node.ending.notified() => Err(Interruption::Exit),
    };
    let answer = match result {
        Ok(answer) => answer,
        Err(Interruption::Deadline) => {
            job.record.deadline(progress.totals());
            attempt_result::record_deadline(&node, &job, &progress);
            Answer::new(StatusCode::GATEWAY_TIMEOUT)
        }
        Err(Interruption::Exit) => {
            let left = job.deadline.since(node.now());
            job.record
                .given_up("the node ends", progress.totals(), left);
            Answer::new(StatusCode::BAD_GATEWAY)
        }
    };
    job.record.answered(&answer);
    answer
}

async fn run_attempts(node: &Rc<Node>, job: &RequestJob, progress: &mut Progress) -> Answer {
    loop {
        if is_quarantined(node, job, progress) {
            return give_up(node, job, progress, "backend servers crashed running it");
        }
        let now = node.now();
        let mut cost = attempt::request_cost(node, job);
        let chosen = attempt::choose_server(node, job, cost, &progress.tried);
        let Some(mut chosen) = chosen else {
            return give_up(node, job, progress, "no backend server is open");
        };
        if now + chosen.placement.expected_ms > job.deadline
            && let Some(trial) = attempt::choose_for_trial(node, job, cost, &progress.tried)
        {
            (chosen, cost) = trial;
        }
        let work_ms = cost.work_ms;
        if now + chosen.placement.expected_ms > job.deadline {
            progress
                .retry_after_ms
                .get_or_insert(chosen.placement.expected_ms / 4);
            progress.limited |= chosen.estimate.load.gap_us > 0;
            return give_up(
                node,
                job,
                progress,
                "no backend server is expected to answer in time",
            );
        }
        chosen.placement.next_best_ms = chosen.placement.alternative_ms(progress.better_elsewhere);
        let position = node.list.borrow().position();
        job.record.chosen(now, &chosen, work_ms, position);
        progress.running = attempt::running_attempt(now, &chosen);
        let tried = second_run::run(node, job, progress, chosen, work_ms).await;
        progress.running = None;
        let seen = AttemptSummary::of(&tried.server, &tried.reply);
        let answer = conclude_attempt(node, job, progress, tried);
        job.record
            .attempt_ended(seen, progress.totals(), answer.is_none());
        if let Some(answer) = answer {
            return answer;
        }
    }
}

/// Returns the answer for the caller, or `None` if another attempt should follow.
fn conclude_attempt(
    node: &Rc<Node>,
    job: &RequestJob,
    progress: &mut Progress,
    tried: AttemptReply,
) -> Option<Answer> {
    progress.hold = tried.hold;
    let (over, reason) =
        match attempt_result::record(node, job, progress, tried.server, tried.reply) {
            AttemptResult::Answer(answer) => return Some(answer),
            AttemptResult::Unsent => (
                progress.refusals >= MAX_REFUSALS,
                "too many gates refused it",
            ),
            AttemptResult::Sent => (!may_retry(node, job, progress), "it may not be sent again"),
            AttemptResult::TimedOut => (true, "its time ended"),
        };
    over.then(|| give_up(node, job, progress, reason))
}

/// Returns whether this node or a gate has quarantined the request.
fn is_quarantined(node: &Node, job: &RequestJob, progress: &mut Progress) -> bool {
    if let Some(left) = node.suspects.remaining_ms(job.fingerprint) {
        progress.quarantined_ms = Some(left);
    }
    progress.quarantined_ms.is_some()
}

/// Returns whether a request that reached a backend server may be sent to another one, and
/// reserves budget for that if so.
fn may_retry(node: &Rc<Node>, job: &RequestJob, progress: &mut Progress) -> bool {
    if is_quarantined(node, job, progress) {
        return false;
    }
    if progress.uncertain && !job.route.kind.is_idempotent() {
        return false;
    }
    if progress.sends >= job.route.attempts {
        return false;
    }
    progress.hold = node.budgets.reserve(&job.service, RepeatKind::Retry);
    progress.hold.is_some()
}

/// Returns the final answer to a request that gets no further attempt.
fn give_up(node: &Rc<Node>, job: &RequestJob, progress: &mut Progress, reason: &str) -> Answer {
    if let Some((answered, body)) = progress.failure.take() {
        return attempt_result::answer(answered, body);
    }
    let now = node.now();
    job.record
        .given_up(reason, progress.totals(), job.deadline.since(now));
    if progress.uncertain {
        return Answer::new(StatusCode::BAD_GATEWAY);
    }
    if let Some(back) = progress.quarantined_ms {
        return unavailable(back);
    }
    let left = job.deadline.since(now);
    let back = progress.retry_after_ms.unwrap_or(DEFAULT_RETRY_AFTER_MS);
    unavailable(match progress.limited {
        true => jittered_retry_after_ms(back, left, &mut rand::rng()),
        false => retry_after_ms(back, left),
    })
}

/// Returns a 503 answer with a `retry-after` header: the request has not run.
pub(crate) fn unavailable(back_ms: u64) -> Answer {
    let mut answer = Answer::new(StatusCode::SERVICE_UNAVAILABLE);
    let seconds = format!("{}.{:03}", back_ms / 1_000, back_ms % 1_000);
    headers::set(&mut answer.headers, "retry-after", &seconds);
    answer
}
