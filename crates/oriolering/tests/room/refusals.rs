//! Who is refused, and who is sent elsewhere.

use oriolering::{Entry, Job, Millis, NoRoom, Room, Turn};
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
    let mut room = Room::new(13);
    room.set_pace(percent);
    let expected = match starts {
        true => Entry::Start,
        false => Entry::Refuse(NoRoom::Late),
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
    assert_eq!(room.next(NOW), None);
    assert_eq!(room.next(NOW + 300), Some(Turn::Refuse(key, NoRoom::Late)));
    assert_eq!(room.next(NOW + 300), None);
    assert_eq!(room.next_wake(NOW), None);
}

#[test]
fn a_slower_pace_refuses_what_waits_and_no_longer_fits() {
    let mut room = full(5);
    let key = wait(&mut room, job(250));
    assert!(room.set_pace(400));
    assert!(!room.set_pace(400));
    assert_eq!(room.next(NOW), Some(Turn::Refuse(key, NoRoom::Late)));
}

#[test]
fn too_many_do_not_wait() {
    let mut room = full(5);
    let long = Job {
        deadline: NOW + 1_000_000,
        ..job(0)
    };
    let mut waiting = 0;
    while let Entry::Wait(_) = room.offer(NOW, long) {
        waiting += 1;
        assert!(waiting <= 10 * room.capacity(), "the queue has no end");
    }
    assert!(waiting >= room.capacity());
    assert_eq!(room.offer(NOW, long), Entry::Refuse(NoRoom::Full));
}

#[rstest]
#[case::leaving(NoRoom::Leaving)]
#[case::down(NoRoom::Down)]
fn a_closed_room_refuses_new_requests_and_serves_those_it_has(#[case] reason: NoRoom) {
    let mut room = full(5);
    let key = wait(&mut room, job(800));
    room.close(Some(reason));
    assert!(room.load(NOW).closed);
    assert_eq!(room.offer(NOW, job(800)), Entry::Refuse(reason));
    room.finish();
    assert_eq!(room.next(NOW), Some(Turn::Start(key)));
    room.close(None);
    assert!(!room.load(NOW).closed);
    assert!(matches!(room.offer(NOW, job(800)), Entry::Wait(_)));
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
    let mut room = if fill > 0 { full(2) } else { Room::new(2) };
    room.set_pace(percent);
    let offered = Job {
        elsewhere_ms: Some(20),
        ..job(800)
    };
    let refused = room.offer(NOW, offered) == Entry::Refuse(NoRoom::Elsewhere);
    assert_eq!(refused, elsewhere);
}

#[test]
fn a_request_that_is_no_better_off_elsewhere_stays() {
    let mut room = full(5);
    room.set_pace(400);
    let offered = Job {
        elsewhere_ms: Some(2_000),
        ..job(3_000)
    };
    assert!(matches!(room.offer(NOW, offered), Entry::Wait(_)));
}

#[test]
fn who_is_refused_comes_back_the_later_the_more_wait() {
    let mut room = full(5);
    let before = room.back_ms(NOW, WORK_MS);
    for _ in 0..6 {
        wait(&mut room, job(800));
    }
    assert!(room.back_ms(NOW, WORK_MS) > before);
    assert!(before > 0);
}

#[test]
fn sends_back_what_waits_when_the_backend_server_becomes_slow() {
    let now = Millis(0);
    let mut room = Room::new(5);
    let job = Job {
        priority: 1,
        aim: now + 600,
        deadline: now + 1_500,
        work_ms: 255,
        elsewhere_ms: Some(316),
    };
    while room.offer(now, job) == Entry::Start {}
    assert_eq!(room.next(now), None, "it is as good here as elsewhere");
    room.set_pace(400);
    let turn = room.next(now + 20);
    assert!(matches!(turn, Some(Turn::Refuse(_, NoRoom::Elsewhere))));
}
