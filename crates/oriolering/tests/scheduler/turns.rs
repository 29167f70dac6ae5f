//! Who runs, and who goes first of what waits.

use oriolering::{Admission, Job, SchedulerEvent};
use rstest::rstest;

use crate::{NOW, full, job, wait};

#[rstest]
#[case::none_told(0)]
#[case::one(1)]
#[case::few(4)]
#[case::usual(13)]
#[case::many(200)]
fn no_more_run_than_the_slots_and_at_least_one(#[case] slots: u32) {
    let room = full(slots);
    let capacity = room.capacity();
    assert!(capacity >= 1);
    assert!(capacity <= slots.max(1));
    let load = room.load(NOW);
    assert_eq!(
        (load.running, load.capacity, load.waiting),
        (capacity, capacity, 0)
    );
}

#[test]
fn a_place_that_becomes_free_goes_to_who_waits() {
    let mut room = full(5);
    let key = wait(&mut room, job(800));
    assert_eq!(room.next_event(NOW), None);
    room.finish();
    assert_eq!(room.next_event(NOW), Some(SchedulerEvent::Start(key)));
    assert_eq!(room.next_event(NOW), None);
    assert_eq!(room.load(NOW).running, room.capacity());
}

#[test]
fn a_new_request_does_not_take_a_place_from_who_waits() {
    let mut room = full(5);
    wait(&mut room, job(800));
    room.finish();
    // The gate asks for the next turn as soon as a place is free; a request that comes between
    // is let in only if nobody loses by it.
    assert!(matches!(
        room.next_event(NOW),
        Some(SchedulerEvent::Start(_))
    ));
    assert!(matches!(room.offer(NOW, job(800)), Admission::Wait(_)));
}

#[test]
fn the_more_urgent_goes_first() {
    let mut room = full(5);
    let late = wait(
        &mut room,
        Job {
            priority: 2,
            ..job(800)
        },
    );
    let soon = wait(
        &mut room,
        Job {
            priority: 0,
            ..job(800)
        },
    );
    let middle = wait(&mut room, job(800));
    for key in [soon, middle, late] {
        room.finish();
        assert_eq!(room.next_event(NOW), Some(SchedulerEvent::Start(key)));
    }
}

#[test]
fn of_equal_priority_the_earlier_aim_goes_first() {
    let mut room = full(5);
    let later = wait(
        &mut room,
        Job {
            aim: NOW + 300,
            ..job(800)
        },
    );
    let sooner = wait(
        &mut room,
        Job {
            aim: NOW + 150,
            ..job(800)
        },
    );
    for key in [sooner, later] {
        room.finish();
        assert_eq!(room.next_event(NOW), Some(SchedulerEvent::Start(key)));
    }
}

#[test]
fn what_can_still_meet_its_aim_goes_before_what_cannot() {
    let mut room = full(5);
    let missed = wait(
        &mut room,
        Job {
            priority: 0,
            aim: NOW,
            ..job(800)
        },
    );
    let meets = wait(
        &mut room,
        Job {
            priority: 2,
            aim: NOW + 300,
            ..job(800)
        },
    );
    for key in [meets, missed] {
        room.finish();
        assert_eq!(room.next_event(NOW), Some(SchedulerEvent::Start(key)));
    }
}

#[test]
fn who_leaves_frees_the_place_in_the_queue_and_is_never_named() {
    let mut room = full(5);
    let leaves = wait(&mut room, job(800));
    let stays = wait(&mut room, job(800));
    room.cancel(leaves);
    room.cancel(leaves);
    assert_eq!(room.load(NOW).waiting, 1);
    room.finish();
    assert_eq!(room.next_event(NOW), Some(SchedulerEvent::Start(stays)));
}

#[test]
fn fewer_slots_let_the_rest_run_out() {
    let mut room = full(13);
    room.resize(5);
    let key = wait(&mut room, job(2_000));
    let running = room.load(NOW).running;
    for _ in 0..running - room.capacity() {
        room.finish();
        assert_eq!(room.next_event(NOW), None);
    }
    room.finish();
    assert_eq!(room.next_event(NOW), Some(SchedulerEvent::Start(key)));
}
