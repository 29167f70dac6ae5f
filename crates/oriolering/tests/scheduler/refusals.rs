//! Who is refused, and who is sent elsewhere.

use oriolering::{Admission, Job, Millis, RefusalReason, Scheduler, SchedulerEvent};
use rstest::rstest;

use crate::{NOW, WORK_MS, full, job, wait};

#[rstest]
#[case::too_short(WORK_MS - 1, 100, false)]
#[case::enough(WORK_MS + 20, 100, true)]
#[case::slow(WORK_MS * 4 - 1, 400, false)]
#[case::slow_and_enough(WORK_MS * 4 + 20, 400, true)]
fn what_cannot_end_before_its_deadline_is_refused_at_once(
    #[case] deadline_ms: u64,
    #[case] percent: u32,
    #[case] starts: bool,
) {
    let mut room = Scheduler::new(13);
    room.set_work_percent(percent);
    let expected = match starts {
        true => Admission::Start,
        false => Admission::Refuse(RefusalReason::Late),
    };
    assert_eq!(room.offer(NOW, job(deadline_ms)), expected);
    assert_eq!(room.load(NOW).running, u32::from(starts));
}

#[test]
fn what_can_no_longer_end_in_time_is_refused_while_it_waits() {
    let mut room = full(5);
    let key = wait(&mut room, job(300));
    let wake = room.next_wake(NOW).expect("a time to look again");
    assert!(wake <= NOW + (300 - WORK_MS + 1));
    assert_eq!(room.next_event(NOW), None);
    assert_eq!(
        room.next_event(NOW + 300),
        Some(SchedulerEvent::Refuse(key, RefusalReason::Late))
    );
    assert_eq!(room.next_event(NOW + 300), None);
    assert_eq!(room.next_wake(NOW), None);
}

#[test]
fn a_slower_pace_refuses_what_waits_and_no_longer_fits() {
    let mut room = full(5);
    let key = wait(&mut room, job(250));
    assert!(room.set_work_percent(400));
    assert!(!room.set_work_percent(400));
    assert_eq!(
        room.next_event(NOW),
        Some(SchedulerEvent::Refuse(key, RefusalReason::Late))
    );
}

#[test]
fn too_many_do_not_wait() {
    let mut room = full(5);
    let long = Job {
        deadline: NOW + 1_000_000,
        ..job(0)
    };
    let mut waiting = 0;
    while let Admission::Wait(_) = room.offer(NOW, long) {
        waiting += 1;
        assert!(waiting <= 10 * room.capacity(), "the queue has no end");
    }
    assert!(waiting >= room.capacity());
    assert_eq!(
        room.offer(NOW, long),
        Admission::Refuse(RefusalReason::Full)
    );
}

#[rstest]
#[case::leaving(RefusalReason::Leaving)]
#[case::down(RefusalReason::Down)]
fn a_closed_room_refuses_new_requests_and_serves_those_it_has(#[case] reason: RefusalReason) {
    let mut room = full(5);
    let key = wait(&mut room, job(800));
    room.close(Some(reason));
    assert!(room.load(NOW).closed);
    assert_eq!(room.offer(NOW, job(800)), Admission::Refuse(reason));
    room.finish();
    assert_eq!(room.next_event(NOW), Some(SchedulerEvent::Start(key)));
    room.close(None);
    assert!(!room.load(NOW).closed);
    assert!(matches!(room.offer(NOW, job(800)), Admission::Wait(_)));
}

#[rstest]
#[case::free_and_usual(0, 100, false)]
#[case::full_and_better_elsewhere(1, 100, true)]
#[case::free_but_slow(0, 400, true)]
fn a_request_is_sent_elsewhere_only_from_a_full_or_slow_place(
    #[case] fill: u32,
    #[case] percent: u32,
    #[case] elsewhere: bool,
) {
    let mut room = if fill > 0 { full(2) } else { Scheduler::new(2) };
    room.set_work_percent(percent);
    let offered = Job {
        elsewhere_ms: Some(20),
        ..job(800)
    };
    let refused = room.offer(NOW, offered) == Admission::Refuse(RefusalReason::Elsewhere);
    assert_eq!(refused, elsewhere);
}

#[test]
fn a_request_that_is_no_better_off_elsewhere_stays() {
    let mut room = full(5);
    room.set_work_percent(400);
    let offered = Job {
        elsewhere_ms: Some(2_000),
        ..job(3_000)
    };
    assert!(matches!(room.offer(NOW, offered), Admission::Wait(_)));
}

#[test]
fn who_is_refused_comes_back_the_later_the_more_wait() {
    let mut room = full(5);
    let before = room.retry_after_ms(NOW, WORK_MS);
    for _ in 0..6 {
        wait(&mut room, job(800));
    }
    assert!(room.retry_after_ms(NOW, WORK_MS) > before);
    assert!(before > 0);
}

#[test]
fn sends_back_what_waits_when_the_backend_server_becomes_slow() {
    let now = Millis(0);
    let mut room = Scheduler::new(5);
    let job = Job {
        priority: 1,
        aim: now + 600,
        deadline: now + 1_500,
        work_ms: 255,
        elsewhere_ms: Some(316),
    };
    while room.offer(now, job) == Admission::Start {}
    assert_eq!(
        room.next_event(now),
        None,
        "it is as good here as elsewhere"
    );
    room.set_work_percent(400);
    let turn = room.next_event(now + 20);
    assert!(matches!(
        turn,
        Some(SchedulerEvent::Refuse(_, RefusalReason::Elsewhere))
    ));
}
