//! Capacity, and the order in which waiting requests start.

use oriolering::{Admission, Job, Scheduler, SchedulerEvent};
use rstest::rstest;

use crate::{NOW, full, job, wait};

// A number that is too large must not wrap around, nor end the process.
#[rstest]
#[case::beyond_the_product(u32::MAX / 80 + 1)]
#[case::largest(u32::MAX)]
fn the_capacity_of_very_many_slots_is_a_part_of_them(#[case] slots: u32) {
    let mut scheduler = Scheduler::new(4);
    scheduler.resize(slots);
    let share = f64::from(scheduler.capacity()) / f64::from(slots);
    assert!((0.7..=1.0).contains(&share), "{share}");
    assert_eq!(scheduler.load(NOW).capacity, scheduler.capacity());
}

#[rstest]
#[case::none_published(0)]
#[case::one(1)]
#[case::few(4)]
#[case::usual(13)]
#[case::many(200)]
fn the_capacity_is_within_the_slots_and_at_least_one(#[case] slots: u32) {
    let scheduler = full(slots);
    let capacity = scheduler.capacity();
    assert!(capacity >= 1);
    assert!(capacity <= slots.max(1));
    let load = scheduler.load(NOW);
    assert_eq!(
        (load.running, load.capacity, load.waiting),
        (capacity, capacity, 0)
    );
}

#[test]
fn a_free_slot_goes_to_a_waiting_request() {
    let mut scheduler = full(5);
    let key = wait(&mut scheduler, job(800));
    assert_eq!(scheduler.next_event(NOW), None);
    scheduler.finish();
    assert_eq!(scheduler.next_event(NOW), Some(SchedulerEvent::Start(key)));
    assert_eq!(scheduler.next_event(NOW), None);
    assert_eq!(scheduler.load(NOW).running, scheduler.capacity());
}

#[test]
fn a_new_request_waits_after_a_waiting_one_has_started() {
    let mut scheduler = full(5);
    wait(&mut scheduler, job(800));
    scheduler.finish();
    // Without a rate limit, a request offered before `next_event` would take the free slot, so the
    // gate asks for the next event as soon as a slot is free.
    assert!(matches!(
        scheduler.next_event(NOW),
        Some(SchedulerEvent::Start(_))
    ));
    assert!(matches!(scheduler.offer(NOW, job(800)), Admission::Wait(_)));
}

#[test]
fn a_higher_priority_starts_first() {
    let mut scheduler = full(5);
    let late = wait(
        &mut scheduler,
        Job {
            priority: 2,
            ..job(800)
        },
    );
    let soon = wait(
        &mut scheduler,
        Job {
            priority: 0,
            ..job(800)
        },
    );
    let middle = wait(&mut scheduler, job(800));
    for key in [soon, middle, late] {
        scheduler.finish();
        assert_eq!(scheduler.next_event(NOW), Some(SchedulerEvent::Start(key)));
    }
}

#[test]
fn an_earlier_target_time_starts_first_at_equal_priority() {
    let mut scheduler = full(5);
    let later = wait(
        &mut scheduler,
        Job {
            aim: NOW + 300,
            ..job(800)
        },
    );
    let sooner = wait(
        &mut scheduler,
        Job {
            aim: NOW + 150,
            ..job(800)
        },
    );
    for key in [sooner, later] {
        scheduler.finish();
        assert_eq!(scheduler.next_event(NOW), Some(SchedulerEvent::Start(key)));
    }
}

#[test]
fn a_request_that_can_meet_its_target_starts_before_one_that_cannot() {
    let mut scheduler = full(5);
    let missed = wait(
        &mut scheduler,
        Job {
            priority: 0,
            aim: NOW,
            ..job(800)
        },
    );
    let meets = wait(
        &mut scheduler,
        Job {
            priority: 2,
            aim: NOW + 300,
            ..job(800)
        },
    );
    for key in [meets, missed] {
        scheduler.finish();
        assert_eq!(scheduler.next_event(NOW), Some(SchedulerEvent::Start(key)));
    }
}

#[test]
fn a_cancelled_request_stops_waiting_and_never_starts() {
    let mut scheduler = full(5);
    let cancelled = wait(&mut scheduler, job(800));
    let remaining = wait(&mut scheduler, job(800));
    scheduler.cancel(cancelled);
    scheduler.cancel(cancelled);
    assert_eq!(scheduler.load(NOW).waiting, 1);
    scheduler.finish();
    assert_eq!(
        scheduler.next_event(NOW),
        Some(SchedulerEvent::Start(remaining))
    );
}

#[test]
fn after_a_reduction_of_slots_running_requests_end_first() {
    let mut scheduler = full(13);
    scheduler.resize(5);
    let key = wait(&mut scheduler, job(2_000));
    let running = scheduler.load(NOW).running;
    for _ in 0..running - scheduler.capacity() {
        scheduler.finish();
        assert_eq!(scheduler.next_event(NOW), None);
    }
    scheduler.finish();
    assert_eq!(scheduler.next_event(NOW), Some(SchedulerEvent::Start(key)));
}
