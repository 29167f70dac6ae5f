//! Property tests that compare the scheduler with a model.

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
    Cancel(usize),
    WorkPercent(u32),
    Resize(u32),
    Close(Option<RefusalReason>),
    Limit(Option<u32>),
    Advance(u64),
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
        1 => (0..20_usize).prop_map(Step::Cancel),
        1 => (0..600_u32).prop_map(Step::WorkPercent),
        1 => (0..20_u32).prop_map(Step::Resize),
        1 => reason.prop_map(Step::Close),
        1 => prop::option::of(0..60_000_u32).prop_map(Step::Limit),
        3 => (0..300_u64).prop_map(Step::Advance),
    ]
}

/// A scheduler, and a model of its waiting and running requests.
struct Model {
    scheduler: Scheduler,
    now: Millis,
    percent: u64,
    closed: Option<RefusalReason>,
    running: u32,
    waiting: BTreeMap<JobKey, Job>,
    /// The rate limit, in thousandths of a request per second.
    limit: Option<u64>,
    /// What the rate limit allows now, in millionths of a request.
    left: u64,
}

/// One request, in millionths.
const REQUEST: u64 = 1_000_000;

impl Model {
    fn new(slots: u32) -> Self {
        Self {
            scheduler: Scheduler::new(slots),
            now: NOW,
            percent: 100,
            closed: None,
            running: 0,
            waiting: BTreeMap::new(),
            limit: None,
            left: 0,
        }
    }

    /// Returns the maximum of `left`, in millionths of a request.
    fn max_left(&self) -> u64 {
        self.limit.map_or(0, |limit| REQUEST + limit * 250)
    }

    /// Records the start of a request.
    fn start(&mut self) {
        assert!(self.running < self.scheduler.capacity());
        self.running += 1;
        if self.limit.is_some() {
            assert!(self.left >= REQUEST, "the rate limit is exceeded");
            self.left -= REQUEST;
        }
    }

    fn meets_deadline(&self, job: Job) -> bool {
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
                self.scheduler.finish();
            }
            Step::Finish => {}
            Step::Cancel(index) => {
                let key = self.waiting.keys().nth(index).copied();
                if let Some(key) = key {
                    self.waiting.remove(&key);
                    self.scheduler.cancel(key);
                }
            }
            Step::WorkPercent(percent) => {
                self.percent = u64::from(percent.max(1));
                self.scheduler.set_work_percent(percent);
            }
            Step::Resize(slots) => self.scheduler.resize(slots),
            Step::Close(reason) => {
                self.closed = reason;
                self.scheduler.close(reason);
            }
            Step::Limit(thousandths) => {
                let rate = thousandths.map(Rate::from_thousandths);
                self.scheduler.set_limit(self.now, rate);
                let before = self.limit;
                self.limit = thousandths.map(|t| u64::from(t.max(100)));
                self.left = before.map_or(0, |_| self.left.min(self.max_left()));
            }
            Step::Advance(ms) => {
                self.now = self.now + ms;
                let earned = self.limit.unwrap_or(0) * ms;
                self.left = (self.left + earned).min(self.max_left());
            }
        }
        self.drain();
        self.check();
    }

    fn offer(&mut self, job: Job) {
        match self.scheduler.offer(self.now, job) {
            Admission::Start => {
                assert_eq!(self.closed, None);
                assert!(
                    self.meets_deadline(job),
                    "the request cannot meet its deadline: {job:?}"
                );
                self.start();
            }
            Admission::Wait(key) => {
                assert_eq!(self.closed, None);
                let before = self.waiting.insert(key, job);
                assert!(before.is_none(), "a key is reused");
            }
            Admission::Refuse(_) => {}
        }
    }

    fn drain(&mut self) {
        while let Some(event) = self.scheduler.next_event(self.now) {
            match event {
                SchedulerEvent::Start(key) => {
                    assert_ne!(self.closed, Some(RefusalReason::Leaving));
                    let job = self.waiting.remove(&key).expect("the request waits");
                    assert!(
                        self.meets_deadline(job),
                        "the request cannot meet its deadline: {job:?}"
                    );
                    self.start();
                }
                SchedulerEvent::Refuse(key, _) => {
                    self.waiting.remove(&key).expect("the request waits");
                }
            }
        }
    }

    fn check(&self) {
        let load = self.scheduler.load(self.now);
        assert_eq!(load.running, self.running);
        assert_eq!(load.waiting as usize, self.waiting.len());
        assert_eq!(load.closed, self.closed.is_some());
        assert_eq!(load.capacity, self.scheduler.capacity());
        let leaving = self.closed == Some(RefusalReason::Leaving);
        assert!(self.waiting.is_empty() || !leaving);
        // A request waits only if no slot is free or the rate limit is used up, and only while it
        // can meet its deadline.
        let used_up = self.limit.is_some() && self.left < REQUEST;
        assert!(self.waiting.is_empty() || self.running >= self.scheduler.capacity() || used_up);
        assert!(self.waiting.values().all(|job| self.meets_deadline(*job)));
        if !self.waiting.is_empty() {
            assert!(
                self.scheduler
                    .next_wake(self.now)
                    .expect("a waiting request has a wake-up time")
                    > self.now
            );
        }
    }
}

proptest! {
    #[test]
    fn the_scheduler_matches_a_simple_model(
        slots in 0..20_u32,
        steps in prop::collection::vec(step(), 1..200),
    ) {
        let mut model = Model::new(slots);
        for step in steps {
            model.apply(step);
        }
        // Every waiting request is started or refused in the end.
        model.now = model.now + 10_000;
        model.drain();
        prop_assert!(model.waiting.is_empty());
    }

    #[test]
    fn every_waiting_request_is_refused_by_its_deadline(
        jobs in prop::collection::vec((10..200_u64, 300..1_500_u64), 1..20),
    ) {
        let mut scheduler = full(5);
        let mut waiting = BTreeMap::new();
        for (work_ms, deadline) in jobs {
            if let Admission::Wait(key) = scheduler.offer(NOW, Job { work_ms, ..job(deadline) }) {
                waiting.insert(key, deadline);
            }
        }
        let mut now = NOW;
        while let Some(wake) = scheduler.next_wake(now) {
            prop_assert!(wake > now);
            now = wake;
            while let Some(event) = scheduler.next_event(now) {
                let SchedulerEvent::Refuse(key, _) = event else {
                    panic!("no slot is free");
                };
                let deadline = waiting.remove(&key).expect("the request waits");
                prop_assert!(now <= NOW + deadline);
            }
        }
        prop_assert!(waiting.is_empty());
    }
}
