//! Tests of the rate limiter for one backend server, alone and within the scheduler.

use oriolering::{
    Admission, Job, Millis, Rate, RateLimiter, RefusalReason, Scheduler, SchedulerEvent,
};
use proptest::prelude::*;
use rstest::rstest;

const NOW: Millis = Millis(10_000);
/// The length of the interval in which the platform counts requests, in milliseconds.
const INTERVAL_MS: u64 = 4_000;

fn rate(per_s: f64) -> Option<Rate> {
    Some(Rate::from_thousandths((per_s * 1_000.0) as u32))
}

/// Returns a limiter with a full bucket, whose limit has been in force for a long time.
fn limited(per_s: f64) -> RateLimiter {
    let mut limiter = RateLimiter::default();
    limiter.set_limit(Millis(0), rate(per_s));
    limiter
}

/// Returns the highest number of start times in any interval; `starts` is sorted.
fn max_in_interval(starts: &[u64]) -> usize {
    let first = |end: u64| starts.partition_point(|at| at + INTERVAL_MS <= end);
    let counts = starts
        .iter()
        .enumerate()
        .map(|(i, end)| i + 1 - first(*end));
    counts.max().unwrap_or(0)
}

/// Returns how many requests the platform allows in an interval.
fn allowed(per_s: f64) -> usize {
    (1.5 * INTERVAL_MS as f64 / 1_000.0 * per_s) as usize + 5
}

#[test]
fn unlimited_requests_never_wait() {
    let mut limiter = RateLimiter::default();
    assert!((0..10_000).all(|_| limiter.try_take(NOW)));
    assert_eq!((limiter.wait_ms(NOW, 100), limiter.gap_us()), (0, 0));
}

/// The demand is unlimited at all times.
#[rstest]
fn sustained_demand_gets_the_limit_and_no_more(
    #[values(0.0, 0.04, 0.5, 1.0, 3.7, 10.8, 17.1, 300.0, 5_000.0)] per_s: f64,
) {
    let mut limiter = RateLimiter::default();
    limiter.set_limit(NOW, rate(per_s));
    let mut starts = Vec::new();
    for ms in NOW.0..=NOW.0 + 20_000 {
        while limiter.try_take(Millis(ms)) {
            starts.push(ms);
        }
    }
    assert!(max_in_interval(&starts) <= allowed(per_s));
    assert!(
        starts.len() as f64 >= per_s * 20.0 - 1.0,
        "{}",
        starts.len()
    );
}

#[test]
fn bucket_is_empty_when_a_limit_is_first_set() {
    let mut limiter = RateLimiter::default();
    assert!(limiter.try_take(NOW));
    assert!(limiter.set_limit(NOW + 60_000, rate(2.0)));
    assert!(!limiter.try_take(NOW + 60_000));
    assert_eq!(limiter.wait_ms(NOW + 60_000, 0), 500);
    assert!(limiter.try_take(NOW + 60_500));
    assert!(
        !limiter.set_limit(NOW + 60_500, rate(2.0)),
        "the limit did not change"
    );
}

#[rstest]
#[case::slow(0.5, 1)]
#[case::usual(12.0, 4)]
fn burst_after_idle_is_a_quarter_second_plus_one(#[case] per_s: f64, #[case] most: usize) {
    let mut limiter = limited(per_s);
    let starts = (0..100).filter(|_| limiter.try_take(NOW)).count();
    assert_eq!(starts, most);
}

#[test]
fn lower_limit_applies_at_once() {
    let mut limiter = limited(100.0);
    limiter.set_limit(NOW, rate(1.0));
    let starts = (0..100).filter(|_| limiter.try_take(NOW)).count();
    assert_eq!(starts, 1);
    assert_eq!(limiter.wait_ms(NOW, 0), 750);
}

#[test]
fn reinstated_limit_starts_with_an_empty_bucket() {
    let mut limiter = limited(10.0);
    limiter.set_limit(NOW, None);
    assert!((0..100).all(|_| limiter.try_take(NOW)));
    limiter.set_limit(NOW + 1, rate(10.0));
    assert!(!limiter.try_take(NOW + 1));
}

#[test]
fn wait_includes_the_requests_ahead() {
    let limiter = limited(10.0);
    assert_eq!(limiter.wait_ms(NOW, 0), 0);
    assert_eq!(limiter.wait_ms(NOW, 5), 250);
    assert_eq!(limiter.gap_us(), 100_000);
}

#[test]
fn probes_need_a_half_full_bucket() {
    let mut limiter = limited(4.0);
    assert!(limiter.try_take_spare(NOW));
    assert!(limiter.try_take(NOW) || limiter.wait_ms(NOW, 0) <= 250);
    assert!(!limiter.try_take_spare(NOW));
    assert!(limiter.try_take_spare(NOW + 250));
}

proptest! {
    /// Covers changing limits, gaps and bursts, with probes and requests.
    #[test]
    fn no_interval_exceeds_its_limits(
        steps in prop::collection::vec((0..400_u64, 0..40_u32, 0..30_000_u32, any::<bool>()), 1..200),
    ) {
        let mut limiter = RateLimiter::default();
        let mut now = NOW.0;
        let mut starts = Vec::new();
        let mut limits: Vec<(u64, f64)> = Vec::new();
        for (pass, wanted, thousandths, probes) in steps {
            limiter.set_limit(Millis(now), Some(Rate::from_thousandths(thousandths)));
            limits.push((now, f64::from(thousandths.max(100)) / 1_000.0));
            for _ in 0..wanted {
                let sent = match probes {
                    true => limiter.try_take_spare(Millis(now)),
                    false => limiter.try_take(Millis(now)),
                };
                starts.extend(sent.then_some(now));
            }
            now += pass;
        }
        let allowed_between = |begin: u64, end: u64| -> f64 {
            let ends = limits.iter().skip(1).map(|(at, _)| *at).chain([u64::MAX]);
            let spans = limits.iter().zip(ends);
            spans.map(|((from, per_s), to)| {
                let ms = end.min(to).saturating_sub(begin.max(*from));
                ms as f64 / 1_000.0 * per_s
            }).sum()
        };
        for (i, end) in starts.iter().enumerate() {
            let begin = end.saturating_sub(INTERVAL_MS - 1);
            let count = starts[..=i].iter().filter(|at| **at >= begin).count();
            let highest = limits.iter().map(|(_, per_s)| *per_s).fold(0.0, f64::max);
            let most = allowed_between(begin, *end) + 1.0 + highest / 4.0;
            prop_assert!(count as f64 <= most + 0.001, "{count} by {end}, allowed {most}");
        }
    }
}

fn job(deadline_ms: u64) -> Job {
    Job {
        priority: 1,
        aim: NOW + 200,
        deadline: NOW + deadline_ms,
        work_ms: 50,
        elsewhere_ms: None,
    }
}

/// Returns a scheduler whose backend server is limited, with an empty bucket.
fn limited_scheduler(per_s: f64) -> Scheduler {
    let mut scheduler = Scheduler::new(13);
    scheduler.set_limit(NOW, rate(per_s));
    scheduler
}

#[test]
fn request_waits_for_the_limit_despite_free_slots() {
    let mut scheduler = limited_scheduler(5.0);
    let Admission::Wait(key) = scheduler.offer(NOW, job(800)) else {
        panic!("the request does not wait");
    };
    assert_eq!(scheduler.next_event(NOW), None);
    assert_eq!(scheduler.next_wake(NOW), Some(NOW + 200));
    assert_eq!(
        scheduler.next_event(NOW + 200),
        Some(SchedulerEvent::Start(key))
    );
}

#[test]
fn request_that_cannot_start_before_its_deadline_is_refused_at_once() {
    let mut scheduler = limited_scheduler(5.0);
    let waits =
        |scheduler: &mut Scheduler| matches!(scheduler.offer(NOW, job(800)), Admission::Wait(_));
    assert!((0..3).all(|_| waits(&mut scheduler)));
    assert_eq!(
        scheduler.offer(NOW, job(800)),
        Admission::Refuse(RefusalReason::Limit)
    );
    assert_eq!(scheduler.retry_after_ms(NOW, 50), 800);
}

#[test]
fn lower_limit_refuses_waiting_requests_that_would_miss_their_deadline() {
    let mut scheduler = limited_scheduler(50.0);
    let mut keys = Vec::new();
    while let Admission::Wait(key) = scheduler.offer(NOW, job(800)) {
        keys.push(key);
    }
    assert!(keys.len() > 5);
    scheduler.set_limit(NOW, rate(4.0));
    let mut refused = Vec::new();
    while let Some(SchedulerEvent::Refuse(key, reason)) = scheduler.next_event(NOW) {
        assert_eq!(reason, RefusalReason::Limit);
        refused.push(key);
    }
    assert_eq!(keys.len() - refused.len(), 2);
}

#[test]
fn limited_server_refuses_requests_that_others_run_sooner() {
    let mut scheduler = limited_scheduler(5.0);
    let offered = Job {
        elsewhere_ms: Some(60),
        ..job(800)
    };
    assert_eq!(
        scheduler.offer(NOW, offered),
        Admission::Refuse(RefusalReason::Elsewhere)
    );
    assert_eq!(scheduler.offer(NOW + 200, offered), Admission::Start);
}

#[test]
fn higher_priority_starts_first() {
    let mut scheduler = limited_scheduler(2.0);
    let urgent = Job {
        priority: 0,
        ..job(2_000)
    };
    let Admission::Wait(_) = scheduler.offer(NOW, job(2_000)) else {
        panic!("the request does not wait");
    };
    let Admission::Wait(first) = scheduler.offer(NOW, urgent) else {
        panic!("the request does not wait");
    };
    assert_eq!(
        scheduler.next_event(NOW + 500),
        Some(SchedulerEvent::Start(first))
    );
    assert_eq!(scheduler.next_event(NOW + 500), None);
}

#[test]
fn waiting_requests_start_when_the_limit_ends() {
    let mut scheduler = limited_scheduler(1.0);
    let Admission::Wait(key) = scheduler.offer(NOW, job(2_000)) else {
        panic!("the request does not wait");
    };
    scheduler.set_limit(NOW, None);
    assert_eq!(scheduler.next_event(NOW), Some(SchedulerEvent::Start(key)));
    assert_eq!(scheduler.offer(NOW, job(800)), Admission::Start);
}
