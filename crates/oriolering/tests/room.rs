//! Who runs, waits and is refused at a gate.

use std::collections::BTreeMap;

use oriolering::{Entry, Job, JobKey, Millis, NoRoom, Room, Turn};
use proptest::prelude::*;
use rstest::rstest;

const NOW: Millis = Millis(1_000);
const WORK_MS: u64 = 67;

fn job(deadline_ms: u64) -> Job {
    Job {
        priority: 1,
        aim: NOW + 200,
        deadline: NOW + deadline_ms,
        work_ms: WORK_MS,
        elsewhere_ms: None,
    }
}

/// Returns a room with all its places taken.
fn full(slots: u32) -> Room {
    let mut room = Room::new(slots);
    for _ in 0..room.capacity() {
        assert_eq!(room.offer(NOW, job(800)), Entry::Start);
    }
    room
}

fn wait(room: &mut Room, job: Job) -> JobKey {
    match room.offer(NOW, job) {
        Entry::Wait(key) => key,
        Entry::Start => panic!("it started"),
        Entry::Refuse(why) => panic!("it was refused: {why:?}"),
    }
}

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
    let load = room.load();
    assert_eq!(
        (load.running, load.capacity, load.waiting),
        (capacity, capacity, 0)
    );
}

#[test]
fn a_place_that_becomes_free_goes_to_who_waits() {
    let mut room = full(5);
    let key = wait(&mut room, job(800));
    assert_eq!(room.next(NOW), None);
    room.finish();
    assert_eq!(room.next(NOW), Some(Turn::Start(key)));
    assert_eq!(room.next(NOW), None);
    assert_eq!(room.load().running, room.capacity());
}

#[test]
fn a_new_request_does_not_take_a_place_from_who_waits() {
    let mut room = full(5);
    wait(&mut room, job(800));
    room.finish();
    // The gate asks for the next turn as soon as a place is free; a request that comes between
    // is let in only if nobody loses by it.
    assert!(matches!(room.next(NOW), Some(Turn::Start(_))));
    assert!(matches!(room.offer(NOW, job(800)), Entry::Wait(_)));
}

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
    assert_eq!(room.load().running, u32::from(starts));
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
        assert_eq!(room.next(NOW), Some(Turn::Start(key)));
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
        assert_eq!(room.next(NOW), Some(Turn::Start(key)));
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
        assert_eq!(room.next(NOW), Some(Turn::Start(key)));
    }
}

#[test]
fn who_leaves_frees_the_place_in_the_queue_and_is_never_named() {
    let mut room = full(5);
    let leaves = wait(&mut room, job(800));
    let stays = wait(&mut room, job(800));
    room.leave(leaves);
    room.leave(leaves);
    assert_eq!(room.load().waiting, 1);
    room.finish();
    assert_eq!(room.next(NOW), Some(Turn::Start(stays)));
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
    assert!(room.load().closed);
    assert_eq!(room.offer(NOW, job(800)), Entry::Refuse(reason));
    room.finish();
    assert_eq!(room.next(NOW), Some(Turn::Start(key)));
    room.close(None);
    assert!(!room.load().closed);
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
    let before = room.back_ms(WORK_MS);
    for _ in 0..6 {
        wait(&mut room, job(800));
    }
    assert!(room.back_ms(WORK_MS) > before);
    assert!(before > 0);
}

#[test]
fn fewer_slots_let_the_rest_run_out() {
    let mut room = full(13);
    room.resize(5);
    let key = wait(&mut room, job(2_000));
    let running = room.load().running;
    for _ in 0..running - room.capacity() {
        room.finish();
        assert_eq!(room.next(NOW), None);
    }
    room.finish();
    assert_eq!(room.next(NOW), Some(Turn::Start(key)));
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Offer {
        priority: u8,
        aim: u64,
        deadline: u64,
        work: u64,
        elsewhere: Option<u64>,
    },
    Finish,
    Leave(usize),
    Pace(u32),
    Resize(u32),
    Close(Option<NoRoom>),
    Pass(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let offer = (
        0..4_u8,
        0..900_u64,
        0..1_500_u64,
        1..400_u64,
        prop::option::of(1..600_u64),
    );
    let offer = offer.prop_map(|(priority, aim, deadline, work, elsewhere)| Step::Offer {
        priority,
        aim,
        deadline,
        work,
        elsewhere,
    });
    let reason = prop_oneof![
        Just(None),
        Just(Some(NoRoom::Leaving)),
        Just(Some(NoRoom::Down)),
    ];
    prop_oneof![
        8 => offer,
        5 => Just(Step::Finish),
        1 => (0..20_usize).prop_map(Step::Leave),
        1 => (0..600_u32).prop_map(Step::Pace),
        1 => (0..20_u32).prop_map(Step::Resize),
        1 => reason.prop_map(Step::Close),
        3 => (0..300_u64).prop_map(Step::Pass),
    ]
}

/// What a room must agree with: the jobs that wait, and how many run.
struct Model {
    room: Room,
    now: Millis,
    percent: u64,
    closed: bool,
    running: u32,
    waiting: BTreeMap<JobKey, Job>,
}

impl Model {
    fn new(slots: u32) -> Self {
        Self {
            room: Room::new(slots),
            now: NOW,
            percent: 100,
            closed: false,
            running: 0,
            waiting: BTreeMap::new(),
        }
    }

    fn can_end(&self, job: Job) -> bool {
        self.now + job.work_ms * self.percent / 100 <= job.deadline
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Offer {
                priority,
                aim,
                deadline,
                work,
                elsewhere,
            } => self.offer(Job {
                priority,
                aim: self.now + aim,
                deadline: self.now + deadline,
                work_ms: work,
                elsewhere_ms: elsewhere,
            }),
            Step::Finish if self.running > 0 => {
                self.running -= 1;
                self.room.finish();
            }
            Step::Finish => {}
            Step::Leave(index) => {
                let key = self.waiting.keys().nth(index).copied();
                if let Some(key) = key {
                    self.waiting.remove(&key);
                    self.room.leave(key);
                }
            }
            Step::Pace(percent) => {
                self.percent = u64::from(percent.max(1));
                self.room.set_pace(percent);
            }
            Step::Resize(slots) => self.room.resize(slots),
            Step::Close(reason) => {
                self.closed = reason.is_some();
                self.room.close(reason);
            }
            Step::Pass(ms) => self.now = self.now + ms,
        }
        self.drain();
        self.check();
    }

    fn offer(&mut self, job: Job) {
        match self.room.offer(self.now, job) {
            Entry::Start => {
                assert!(!self.closed);
                assert!(self.can_end(job), "it cannot end in time: {job:?}");
                assert!(self.running < self.room.capacity());
                self.running += 1;
            }
            Entry::Wait(key) => {
                assert!(!self.closed);
                let before = self.waiting.insert(key, job);
                assert!(before.is_none(), "a key is used twice");
            }
            Entry::Refuse(_) => {}
        }
    }

    fn drain(&mut self) {
        while let Some(turn) = self.room.next(self.now) {
            match turn {
                Turn::Start(key) => {
                    let job = self.waiting.remove(&key).expect("it waits");
                    assert!(self.can_end(job), "it cannot end in time: {job:?}");
                    assert!(self.running < self.room.capacity());
                    self.running += 1;
                }
                Turn::Refuse(key, _) => {
                    self.waiting.remove(&key).expect("it waits");
                }
            }
        }
    }

    fn check(&self) {
        let load = self.room.load();
        assert_eq!(load.running, self.running);
        assert_eq!(load.waiting as usize, self.waiting.len());
        assert_eq!(load.closed, self.closed);
        assert_eq!(load.capacity, self.room.capacity());
        // Nobody waits beside a free place, nor beyond the last moment.
        assert!(self.waiting.is_empty() || self.running >= self.room.capacity());
        assert!(self.waiting.values().all(|job| self.can_end(*job)));
        if !self.waiting.is_empty() {
            assert!(self.room.next_wake(self.now).expect("a time") > self.now);
        }
    }
}

proptest! {
    #[test]
    fn a_room_agrees_with_a_simple_model(
        slots in 0..20_u32,
        steps in prop::collection::vec(step(), 1..200),
    ) {
        let mut model = Model::new(slots);
        for step in steps {
            model.apply(step);
        }
        // Everyone who waits is named in the end.
        model.now = model.now + 10_000;
        model.drain();
        prop_assert!(model.waiting.is_empty());
    }

    #[test]
    fn everyone_who_waits_is_looked_at_in_time(
        jobs in prop::collection::vec((10..200_u64, 300..1_500_u64), 1..20),
    ) {
        let mut room = full(5);
        let mut waiting = BTreeMap::new();
        for (work_ms, deadline) in jobs {
            if let Entry::Wait(key) = room.offer(NOW, Job { work_ms, ..job(deadline) }) {
                waiting.insert(key, deadline);
            }
        }
        let mut now = NOW;
        while let Some(wake) = room.next_wake(now) {
            prop_assert!(wake > now);
            now = wake;
            while let Some(turn) = room.next(now) {
                let Turn::Refuse(key, _) = turn else {
                    panic!("no place is free");
                };
                let deadline = waiting.remove(&key).expect("it waits");
                prop_assert!(now <= NOW + deadline);
            }
        }
        prop_assert!(waiting.is_empty());
    }
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
