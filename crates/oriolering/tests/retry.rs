//! Tests of the retry budget and of the decision after a failed attempt.

use oriolering::{
    Cause, Failure, Millis, Outcome, Refusal, RetryBudget, RetryDecision, RetryState, decide_retry,
};
use rstest::rstest;

const DEPTH: usize = 11;

fn refused(cause: Cause) -> Failure {
    Failure::Refused(Refusal {
        cause,
        retry_after: 5,
    })
}

fn state(idempotent: bool) -> RetryState {
    RetryState {
        idempotent,
        uncertain: false,
        attempts: 1,
        max_attempts: 3,
        crashes: 0,
        remaining_ms: 100,
    }
}

fn spend_all(budget: &mut RetryBudget, now: Millis) -> usize {
    (0..10_000).take_while(|_| budget.try_spend(now)).count()
}

#[rstest]
#[case::no_traffic(10, 0, 3)]
#[case::little_traffic(10, 20, 3)]
#[case::tenth(10, 1000, 100)]
#[case::off(0, 1000, 0)]
fn budget_is_a_share_of_first_attempts(
    #[case] percent: u32,
    #[case] first: u32,
    #[case] allowed: usize,
) {
    let now = Millis(50_000);
    let mut budget = RetryBudget::new(percent, now);
    for _ in 0..first {
        budget.deposit(now);
    }
    assert_eq!(spend_all(&mut budget, now), allowed);
}

#[test]
fn only_the_minimum_is_left_after_a_pause() {
    let mut budget = RetryBudget::new(10, Millis(0));
    for ms in 0..5000 {
        budget.deposit(Millis(ms));
    }
    assert_eq!(spend_all(&mut budget, Millis(60_000)), 3);
}

#[test]
fn budget_is_available_again_after_the_window() {
    let mut budget = RetryBudget::new(10, Millis(0));
    for _ in 0..100 {
        budget.deposit(Millis(0));
    }
    assert_eq!(spend_all(&mut budget, Millis(0)), 10);
    assert_eq!(spend_all(&mut budget, Millis(9_999)), 0);
    assert_eq!(spend_all(&mut budget, Millis(10_000)), 3);
}

#[test]
fn only_the_minimum_is_left_when_everything_fails() {
    let now = Millis(0);
    let mut budget = RetryBudget::new(10, now);
    for _ in 0..1000 {
        budget.deposit(now);
        budget.record_failure(now);
    }
    assert_eq!(spend_all(&mut budget, now), 3);
}

#[rstest]
#[case::full(refused(Cause::Full), false, true)]
#[case::leaving(refused(Cause::Leaving), false, true)]
#[case::fenced(refused(Cause::Fenced), false, true)]
#[case::share(refused(Cause::Share), true, false)]
#[case::deadline(refused(Cause::Deadline), true, false)]
#[case::quarantined(refused(Cause::Quarantined), true, false)]
#[case::cancelled(refused(Cause::Cancelled), true, false)]
#[case::invalid(refused(Cause::Invalid), true, false)]
#[case::unsent(Failure::Unsent, false, true)]
#[case::may_have_run(Failure::MayHaveRun, false, false)]
#[case::may_run_again(Failure::MayHaveRun, true, true)]
#[case::crashed(Failure::Crashed, false, false)]
fn retries_only_when_allowed(
    #[case] failure: Failure,
    #[case] idempotent: bool,
    #[case] retried: bool,
) {
    let mut budget = RetryBudget::new(10, Millis(0));
    let decision = decide_retry(failure, &state(idempotent), &mut budget, Millis(0));
    assert_eq!(decision == RetryDecision::Retry, retried, "{decision:?}");
}

#[test]
fn idempotent_request_stops_at_the_second_crash() {
    let mut budget = RetryBudget::new(100, Millis(0));
    let mut attempt = state(true);
    attempt.crashes = 1;
    let first = decide_retry(Failure::Crashed, &attempt, &mut budget, Millis(0));
    assert_eq!(first, RetryDecision::Retry);
    attempt.crashes = 2;
    let second = decide_retry(Failure::Crashed, &attempt, &mut budget, Millis(0));
    assert!(matches!(second, RetryDecision::Answer(Outcome::Unknown, _)));
}

#[rstest]
#[case::no_attempts(3, 100)]
#[case::no_time(1, 0)]
fn attempt_limit_and_deadline_stop_retries(#[case] attempts: u32, #[case] remaining_ms: u64) {
    let mut budget = RetryBudget::new(100, Millis(0));
    let mut attempt = state(true);
    attempt.attempts = attempts;
    attempt.remaining_ms = remaining_ms;
    let decision = decide_retry(refused(Cause::Full), &attempt, &mut budget, Millis(0));
    assert!(matches!(
        decision,
        RetryDecision::Answer(Outcome::NotRun, _)
    ));
}

#[rstest]
fn reports_not_run_only_if_no_attempt_may_have_run(
    #[values(false, true)] idempotent: bool,
    #[values(false, true)] uncertain: bool,
    #[values(0, 1, 2)] crashes: u32,
    #[values(
        refused(Cause::Full),
        refused(Cause::Deadline),
        Failure::Unsent,
        Failure::MayHaveRun,
        Failure::Crashed
    )]
    failure: Failure,
) {
    let mut budget = RetryBudget::new(0, Millis(0));
    let mut attempt = state(idempotent);
    attempt.uncertain = uncertain;
    attempt.crashes = crashes;
    let ran = uncertain || crashes > 0 || matches!(failure, Failure::MayHaveRun | Failure::Crashed);
    let decision = decide_retry(failure, &attempt, &mut budget, Millis(0));
    let reports_not_run = matches!(decision, RetryDecision::Answer(Outcome::NotRun, _));
    assert_eq!(reports_not_run, !ran, "{decision:?}");
}

/// Calls the service at `depth`, and returns whether it succeeded.
///
/// At the deepest service, `failing` percent of the attempts fail.
fn call(chain: &mut Chain, depth: usize, now: Millis) -> bool {
    chain.budgets[depth].deposit(now);
    let mut attempt = state(true);
    loop {
        chain.attempts[depth] += 1;
        let deepest = depth + 1 == DEPTH;
        let ok = if deepest {
            chain.attempts[depth] * chain.failing % 100 >= chain.failing
        } else {
            call(chain, depth + 1, now)
        };
        if ok || !(deepest || chain.every_hop_retries) {
            return ok;
        }
        let failure = Failure::MayHaveRun;
        match decide_retry(failure, &attempt, &mut chain.budgets[depth], now) {
            RetryDecision::Retry => attempt.attempts += 1,
            RetryDecision::Answer(_, _) => return false,
        }
    }
}

/// A chain of services, each of which calls the next.
struct Chain {
    budgets: Vec<RetryBudget>,
    attempts: Vec<u64>,
    failing: u64,
    /// Whether every hop retries when the next hop fails.
    every_hop_retries: bool,
}

/// Sends one request per millisecond, and returns the attempts at the deepest service per request.
fn amplification(failing: u64, every_hop_retries: bool) -> f64 {
    const REQUESTS: u64 = 20_000;
    let mut chain = Chain {
        budgets: vec![RetryBudget::new(10, Millis(0)); DEPTH],
        attempts: vec![0; DEPTH],
        failing,
        every_hop_retries,
    };
    for ms in 0..REQUESTS {
        call(&mut chain, 0, Millis(ms));
    }
    chain.attempts[DEPTH - 1] as f64 / REQUESTS as f64
}

#[rstest]
fn retries_do_not_multiply_over_eleven_hops(#[values(1, 10, 50, 90, 100)] failing: u64) {
    let factor = amplification(failing, false);
    println!("{failing}% fail at the deepest service: {factor:.4} attempts per request");
    assert!(factor <= 1.1, "{factor}");
}

#[test]
fn total_failure_does_not_multiply_even_if_every_hop_retries() {
    let factor = amplification(100, true);
    println!("every hop retries: {factor:.4} attempts per request");
    assert!(factor <= 1.1, "{factor}");
}
