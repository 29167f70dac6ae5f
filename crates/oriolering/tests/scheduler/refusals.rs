//! Refused requests, and requests sent to another backend server.

use oriolering::{Admission, Job, Millis, RefusalReason, Scheduler, SchedulerEvent};
use rstest::rstest;

use crate::{NOW, WORK_MS, full, job, wait};

#[rstest]
#[case::too_short(WORK_MS - 1, 100, false)]
#[case::enough(WORK_MS + 20, 100, true)]
#[case::slow(WORK_MS * 4 - 1, 400, false)]
#[case::slow_and_enough(WORK_MS * 4 + 20, 400, true)]
fn a_request_that_cannot_meet_its_deadline_is_refused_at_once(
    #[case] deadline_ms: u64,
    #[case] percent: u32,
    #[case] starts: bool,
) {
    let mut scheduler = Scheduler::new(13);
    scheduler.set_work_percent(percent);
    let expected = match starts {
        true => Admission::Start,
        false => Admission::Refuse(RefusalReason::Late),
    };
    assert_eq!(scheduler.offer(NOW, job(deadline_ms)), expected);
    assert_eq!(scheduler.load(NOW).running, u32::from(starts));
}

#[test]
fn a_waiting_request_that_can_no_longer_meet_its_deadline_is_refused() {
    let mut scheduler = full(5);
    let key = wait(&mut scheduler, job(300));
    let wake = scheduler
        .next_wake(NOW)
        .expect("a waiting request has a wake-up time");
    assert!(wake <= NOW + (300 - WORK_MS + 1));
    assert_eq!(scheduler.next_event(NOW), None);
    assert_eq!(
        scheduler.next_event(NOW + 300),
        Some(SchedulerEvent::Refuse(key, RefusalReason::Late))
    );
    assert_eq!(scheduler.next_event(NOW + 300), None);
    assert_eq!(scheduler.next_wake(NOW), None);
}

#[test]
fn a_slowdown_refuses_waiting_requests_that_become_late() {
    let mut scheduler = full(5);
    let key = wait(&mut scheduler, job(250));
    assert!(scheduler.set_work_percent(400));
    assert!(!scheduler.set_work_percent(400));
    assert_eq!(
        scheduler.next_event(NOW),
        Some(SchedulerEvent::Refuse(key, RefusalReason::Late))
    );
}

#[test]
fn the_number_of_waiting_requests_is_bounded() {
    let mut scheduler = full(5);
    let long = Job {
        deadline: NOW + 1_000_000,
        ..job(0)
    };
    let mut waiting = 0;
    while let Admission::Wait(_) = scheduler.offer(NOW, long) {
        waiting += 1;
        assert!(
            waiting <= 10 * scheduler.capacity(),
            "the number of waiting requests is unbounded"
        );
    }
    assert!(waiting >= scheduler.capacity());
    assert_eq!(
        scheduler.offer(NOW, long),
        Admission::Refuse(RefusalReason::Full)
    );
}

#[test]
fn a_scheduler_that_is_down_refuses_new_requests_and_serves_waiting_ones() {
    let mut scheduler = full(5);
    let key = wait(&mut scheduler, job(800));
    scheduler.close(Some(RefusalReason::Down));
    assert!(scheduler.load(NOW).closed);
    assert_eq!(
        scheduler.offer(NOW, job(800)),
        Admission::Refuse(RefusalReason::Down)
    );
    scheduler.finish();
    assert_eq!(scheduler.next_event(NOW), Some(SchedulerEvent::Start(key)));
    scheduler.close(None);
    assert!(!scheduler.load(NOW).closed);
    assert!(matches!(scheduler.offer(NOW, job(800)), Admission::Wait(_)));
}

// Waiting requests must not start after `drain_ms`, nor so late that the exit cuts them off.
#[test]
fn a_scheduler_that_is_leaving_refuses_new_and_waiting_requests() {
    let mut scheduler = full(5);
    let keys = [800, 700].map(|deadline| wait(&mut scheduler, job(deadline)));
    scheduler.close(Some(RefusalReason::Leaving));
    assert!(scheduler.load(NOW).closed);
    assert_eq!(
        scheduler.offer(NOW, job(800)),
        Admission::Refuse(RefusalReason::Leaving)
    );
    scheduler.finish();
    for key in keys {
        let refused = SchedulerEvent::Refuse(key, RefusalReason::Leaving);
        assert_eq!(scheduler.next_event(NOW), Some(refused));
    }
    assert_eq!(scheduler.next_event(NOW), None);
    assert_eq!(scheduler.load(NOW).waiting, 0);
    scheduler.close(None);
    assert!(!scheduler.load(NOW).closed);
    assert_eq!(scheduler.offer(NOW, job(800)), Admission::Start);
}

#[rstest]
#[case::free_and_usual(0, 100, false)]
#[case::full_and_better_elsewhere(1, 100, true)]
#[case::free_but_slow(0, 400, true)]
fn a_request_is_sent_elsewhere_only_from_a_full_or_slow_server(
    #[case] at_capacity: u32,
    #[case] percent: u32,
    #[case] elsewhere: bool,
) {
    let mut scheduler = if at_capacity > 0 {
        full(2)
    } else {
        Scheduler::new(2)
    };
    scheduler.set_work_percent(percent);
    let offered = Job {
        elsewhere_ms: Some(20),
        ..job(800)
    };
    let refused = scheduler.offer(NOW, offered) == Admission::Refuse(RefusalReason::Elsewhere);
    assert_eq!(refused, elsewhere);
}

#[test]
fn a_request_that_is_not_faster_elsewhere_waits() {
    let mut scheduler = full(5);
    scheduler.set_work_percent(400);
    let offered = Job {
        elsewhere_ms: Some(2_000),
        ..job(3_000)
    };
    assert!(matches!(scheduler.offer(NOW, offered), Admission::Wait(_)));
}

#[test]
fn the_retry_delay_grows_with_the_number_of_waiting_requests() {
    let mut scheduler = full(5);
    let before = scheduler.retry_after_ms(NOW, WORK_MS);
    for _ in 0..6 {
        wait(&mut scheduler, job(800));
    }
    assert!(scheduler.retry_after_ms(NOW, WORK_MS) > before);
    assert!(before > 0);
}

#[test]
fn a_waiting_request_is_sent_elsewhere_when_the_server_becomes_slow() {
    let now = Millis(0);
    let mut scheduler = Scheduler::new(5);
    let job = Job {
        priority: 1,
        aim: now + 600,
        deadline: now + 1_500,
        work_ms: 255,
        elsewhere_ms: Some(316),
    };
    while scheduler.offer(now, job) == Admission::Start {}
    assert_eq!(
        scheduler.next_event(now),
        None,
        "no other backend server is faster"
    );
    scheduler.set_work_percent(400);
    let event = scheduler.next_event(now + 20);
    assert!(matches!(
        event,
        Some(SchedulerEvent::Refuse(_, RefusalReason::Elsewhere))
    ));
}
