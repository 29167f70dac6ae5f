//! Any sequence of steps, compared with a model.

use std::collections::BTreeMap;

use oriolering::{Admission, Job, JobKey, Millis, Rate, RefusalReason, Scheduler, SchedulerEvent};
use proptest::prelude::*;

use crate::{NOW, full, job};

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
    Close(Option<RefusalReason>),
    Limit(Option<u32>),
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
        Just(Some(RefusalReason::Leaving)),
        Just(Some(RefusalReason::Down)),
    ];
    prop_oneof![
        8 => offer,
        5 => Just(Step::Finish),
        1 => (0..20_usize).prop_map(Step::Leave),
        1 => (0..600_u32).prop_map(Step::Pace),
        1 => (0..20_u32).prop_map(Step::Resize),
        1 => reason.prop_map(Step::Close),
        1 => prop::option::of(0..60_000_u32).prop_map(Step::Limit),
        3 => (0..300_u64).prop_map(Step::Pass),
    ]
}

/// What a room must agree with: the jobs that wait, and how many run.
struct Model {
    room: Scheduler,
    now: Millis,
    percent: u64,
    closed: bool,
    running: u32,
    waiting: BTreeMap<JobKey, Job>,
    /// The limit in thousandths of a request a second, and what it leaves now, in millionths.
    limit: Option<u64>,
    left: u64,
}

/// One request, in millionths.
const REQUEST: u64 = 1_000_000;

impl Model {
    fn new(slots: u32) -> Self {
        Self {
            room: Scheduler::new(slots),
            now: NOW,
            percent: 100,
            closed: false,
            running: 0,
            waiting: BTreeMap::new(),
            limit: None,
            left: 0,
        }
    }

    /// Returns what a limit leaves at most, in millionths.
    fn most(&self) -> u64 {
        self.limit.map_or(0, |limit| REQUEST + limit * 250)
    }

    /// Counts a request that starts.
    fn start(&mut self) {
        assert!(self.running < self.room.capacity());
        self.running += 1;
        if self.limit.is_some() {
            assert!(self.left >= REQUEST, "the limit leaves none");
            self.left -= REQUEST;
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
                    self.room.cancel(key);
                }
            }
            Step::Pace(percent) => {
                self.percent = u64::from(percent.max(1));
                self.room.set_work_percent(percent);
            }
            Step::Resize(slots) => self.room.resize(slots),
            Step::Close(reason) => {
                self.closed = reason.is_some();
                self.room.close(reason);
            }
            Step::Limit(thousandths) => {
                let rate = thousandths.map(Rate::from_thousandths);
                self.room.set_limit(self.now, rate);
                let before = self.limit;
                self.limit = thousandths.map(|t| u64::from(t.max(100)));
                self.left = before.map_or(0, |_| self.left.min(self.most()));
            }
            Step::Pass(ms) => {
                self.now = self.now + ms;
                let earned = self.limit.unwrap_or(0) * ms;
                self.left = (self.left + earned).min(self.most());
            }
        }
        self.drain();
        self.check();
    }

    fn offer(&mut self, job: Job) {
        match self.room.offer(self.now, job) {
            Admission::Start => {
                assert!(!self.closed);
                assert!(self.can_end(job), "it cannot end in time: {job:?}");
                self.start();
            }
            Admission::Wait(key) => {
                assert!(!self.closed);
                let before = self.waiting.insert(key, job);
                assert!(before.is_none(), "a key is used twice");
            }
            Admission::Refuse(_) => {}
        }
    }

    fn drain(&mut self) {
        while let Some(turn) = self.room.next_event(self.now) {
            match turn {
                SchedulerEvent::Start(key) => {
                    let job = self.waiting.remove(&key).expect("it waits");
                    assert!(self.can_end(job), "it cannot end in time: {job:?}");
                    self.start();
                }
                SchedulerEvent::Refuse(key, _) => {
                    self.waiting.remove(&key).expect("it waits");
                }
            }
        }
    }

    fn check(&self) {
        let load = self.room.load(self.now);
        assert_eq!(load.running, self.running);
        assert_eq!(load.waiting as usize, self.waiting.len());
        assert_eq!(load.closed, self.closed);
        assert_eq!(load.capacity, self.room.capacity());
        // Nobody waits beside a free place for which the limit leaves a request, nor beyond the
        // last moment.
        let used_up = self.limit.is_some() && self.left < REQUEST;
        assert!(self.waiting.is_empty() || self.running >= self.room.capacity() || used_up);
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
            if let Admission::Wait(key) = room.offer(NOW, Job { work_ms, ..job(deadline) }) {
                waiting.insert(key, deadline);
            }
        }
        let mut now = NOW;
        while let Some(wake) = room.next_wake(now) {
            prop_assert!(wake > now);
            now = wake;
            while let Some(turn) = room.next_event(now) {
                let SchedulerEvent::Refuse(key, _) = turn else {
                    panic!("no place is free");
                };
                let deadline = waiting.remove(&key).expect("it waits");
                prop_assert!(now <= NOW + deadline);
            }
        }
        prop_assert!(waiting.is_empty());
    }
}
