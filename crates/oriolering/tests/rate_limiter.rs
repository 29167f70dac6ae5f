//! How many requests a limited backend server gets, in spans of every offset.

use oriolering::{
    Admission, Job, Millis, Rate, RateLimiter, RefusalReason, Scheduler, SchedulerEvent,
};
use proptest::prelude::*;
use rstest::rstest;

const NOW: Millis = Millis(10_000);
/// The span in which the platform counts, in milliseconds.
const SPAN_MS: u64 = 4_000;

fn rate(per_s: f64) -> Option<Rate> {
    Some(Rate::from_thousandths((per_s * 1_000.0) as u32))
}

/// Returns an allowance that has been limited for long.
fn limited(per_s: f64) -> RateLimiter {
    let mut allowance = RateLimiter::default();
    allowance.set_limit(Millis(0), rate(per_s));
    allowance
}

/// Returns the most of these times, which are in order, in any span.
fn most_in_span(starts: &[u64]) -> usize {
    let first = |end: u64| starts.partition_point(|at| at + SPAN_MS <= end);
    let counts = starts
        .iter()
        .enumerate()
        .map(|(i, end)| i + 1 - first(*end));
    counts.max().unwrap_or(0)
}

/// Returns what the platform allows in a span.
fn allowed(per_s: f64) -> usize {
    (1.5 * SPAN_MS as f64 / 1_000.0 * per_s) as usize + 5
}

#[test]
fn without_a_limit_nothing_waits() {
    let mut allowance = RateLimiter::default();
    assert!((0..10_000).all(|_| allowance.try_take(NOW)));
    assert_eq!((allowance.wait_ms(NOW, 100), allowance.gap_us()), (0, 0));
}

/// Everybody wants to send all the time.
#[rstest]
fn a_crowd_gets_what_is_named_and_no_more(
    #[values(0.0, 0.04, 0.5, 1.0, 3.7, 10.8, 17.1, 300.0, 5_000.0)] per_s: f64,
) {
    let mut allowance = RateLimiter::default();
    allowance.set_limit(NOW, rate(per_s));
    let mut starts = Vec::new();
    for ms in NOW.0..=NOW.0 + 20_000 {
        while allowance.try_take(Millis(ms)) {
            starts.push(ms);
        }
    }
    assert!(most_in_span(&starts) <= allowed(per_s));
    assert!(
        starts.len() as f64 >= per_s * 20.0 - 1.0,
        "{}",
        starts.len()
    );
}

#[test]
fn what_was_sent_before_a_limit_was_named_earns_nothing() {
    let mut allowance = RateLimiter::default();
    assert!(allowance.try_take(NOW));
    assert!(allowance.set_limit(NOW + 60_000, rate(2.0)));
    assert!(!allowance.try_take(NOW + 60_000));
    assert_eq!(allowance.wait_ms(NOW + 60_000, 0), 500);
    assert!(allowance.try_take(NOW + 60_500));
    assert!(
        !allowance.set_limit(NOW + 60_500, rate(2.0)),
        "it is the same"
    );
}

#[rstest]
#[case::slow(0.5, 1)]
#[case::usual(12.0, 4)]
fn idleness_earns_a_quarter_of_a_second_and_one(#[case] per_s: f64, #[case] most: usize) {
    let mut allowance = limited(per_s);
    let starts = (0..100).filter(|_| allowance.try_take(NOW)).count();
    assert_eq!(starts, most);
}

#[test]
fn a_lower_limit_holds_at_once() {
    let mut allowance = limited(100.0);
    allowance.set_limit(NOW, rate(1.0));
    let starts = (0..100).filter(|_| allowance.try_take(NOW)).count();
    assert_eq!(starts, 1);
    assert_eq!(allowance.wait_ms(NOW, 0), 750);
}

#[test]
fn a_limit_that_ends_and_comes_back_begins_anew() {
    let mut allowance = limited(10.0);
    allowance.set_limit(NOW, None);
    assert!((0..100).all(|_| allowance.try_take(NOW)));
    allowance.set_limit(NOW + 1, rate(10.0));
    assert!(!allowance.try_take(NOW + 1));
}

#[test]
fn who_waits_has_a_turn_behind_others() {
    let allowance = limited(10.0);
    assert_eq!(allowance.wait_ms(NOW, 0), 0);
    assert_eq!(allowance.wait_ms(NOW, 5), 250);
    assert_eq!(allowance.gap_us(), 100_000);
}

#[test]
fn probes_take_only_what_no_request_is_likely_to_miss() {
    let mut allowance = limited(4.0);
    assert!(allowance.try_take_spare(NOW));
    assert!(allowance.try_take(NOW) || allowance.wait_ms(NOW, 0) <= 250);
    assert!(!allowance.try_take_spare(NOW));
    assert!(allowance.try_take_spare(NOW + 250));
}

proptest! {
    /// Limits that change, gaps, bursts, probes and requests: no span holds more than the limits
    /// of its time allow.
    #[test]
    fn no_span_holds_more_than_its_limits_allow(
        steps in prop::collection::vec((0..400_u64, 0..40_u32, 0..30_000_u32, any::<bool>()), 1..200),
    ) {
        let mut allowance = RateLimiter::default();
        let mut now = NOW.0;
        let mut starts = Vec::new();
        let mut limits: Vec<(u64, f64)> = Vec::new();
        for (pass, wanted, thousandths, probes) in steps {
            allowance.set_limit(Millis(now), Some(Rate::from_thousandths(thousandths)));
            limits.push((now, f64::from(thousandths.max(100)) / 1_000.0));
            for _ in 0..wanted {
                let sent = match probes {
                    true => allowance.try_take_spare(Millis(now)),
                    false => allowance.try_take(Millis(now)),
                };
                starts.extend(sent.then_some(now));
            }
            now += pass;
        }
        let named_in = |begin: u64, end: u64| -> f64 {
            let ends = limits.iter().skip(1).map(|(at, _)| *at).chain([u64::MAX]);
            let spans = limits.iter().zip(ends);
            spans.map(|((from, per_s), to)| {
                let ms = end.min(to).saturating_sub(begin.max(*from));
                ms as f64 / 1_000.0 * per_s
            }).sum()
        };
        for (i, end) in starts.iter().enumerate() {
            let begin = end.saturating_sub(SPAN_MS - 1);
            let count = starts[..=i].iter().filter(|at| **at >= begin).count();
            let highest = limits.iter().map(|(_, per_s)| *per_s).fold(0.0, f64::max);
            let most = named_in(begin, *end) + 1.0 + highest / 4.0;
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

/// Returns a room whose backend server has long named a limit, with its allowance used up.
fn used_up(per_s: f64) -> Scheduler {
    let mut room = Scheduler::new(13);
    room.set_limit(NOW, rate(per_s));
    room
}

#[test]
fn a_request_waits_for_its_turn_beside_free_slots() {
    let mut room = used_up(5.0);
    let Admission::Wait(key) = room.offer(NOW, job(800)) else {
        panic!("it does not wait");
    };
    assert_eq!(room.next_event(NOW), None);
    assert_eq!(room.next_wake(NOW), Some(NOW + 200));
    assert_eq!(room.next_event(NOW + 200), Some(SchedulerEvent::Start(key)));
}

#[test]
fn what_has_no_turn_before_its_deadline_is_refused_at_once() {
    let mut room = used_up(5.0);
    let waits = |room: &mut Scheduler| matches!(room.offer(NOW, job(800)), Admission::Wait(_));
    assert!((0..3).all(|_| waits(&mut room)));
    assert_eq!(
        room.offer(NOW, job(800)),
        Admission::Refuse(RefusalReason::Limit)
    );
    assert_eq!(room.retry_after_ms(NOW, 50), 800);
}

#[test]
fn what_waits_is_refused_at_once_when_a_lower_limit_leaves_it_no_turn() {
    let mut room = used_up(50.0);
    let mut keys = Vec::new();
    while let Admission::Wait(key) = room.offer(NOW, job(800)) {
        keys.push(key);
    }
    assert!(keys.len() > 5);
    room.set_limit(NOW, rate(4.0));
    let mut refused = Vec::new();
    while let Some(SchedulerEvent::Refuse(key, why)) = room.next_event(NOW) {
        assert_eq!(why, RefusalReason::Limit);
        refused.push(key);
    }
    assert_eq!(keys.len() - refused.len(), 2);
}

#[test]
fn a_limited_backend_server_sends_on_what_others_run_sooner() {
    let mut room = used_up(5.0);
    let offered = Job {
        elsewhere_ms: Some(60),
        ..job(800)
    };
    assert_eq!(
        room.offer(NOW, offered),
        Admission::Refuse(RefusalReason::Elsewhere)
    );
    assert_eq!(room.offer(NOW + 200, offered), Admission::Start);
}

#[test]
fn the_more_urgent_has_what_is_left() {
    let mut room = used_up(2.0);
    let urgent = Job {
        priority: 0,
        ..job(2_000)
    };
    let Admission::Wait(_) = room.offer(NOW, job(2_000)) else {
        panic!("it does not wait");
    };
    let Admission::Wait(first) = room.offer(NOW, urgent) else {
        panic!("it does not wait");
    };
    assert_eq!(
        room.next_event(NOW + 500),
        Some(SchedulerEvent::Start(first))
    );
    assert_eq!(room.next_event(NOW + 500), None);
}

#[test]
fn an_end_of_the_limit_lets_all_start() {
    let mut room = used_up(1.0);
    let Admission::Wait(key) = room.offer(NOW, job(2_000)) else {
        panic!("it does not wait");
    };
    room.set_limit(NOW, None);
    assert_eq!(room.next_event(NOW), Some(SchedulerEvent::Start(key)));
    assert_eq!(room.offer(NOW, job(800)), Admission::Start);
}
