//! Tests of the scheduler: admission, start order and refusals.

mod model;
mod order;
mod refusals;

use oriolering::{Admission, Job, JobKey, Millis, Scheduler};

const NOW: Millis = Millis(1_000);

const WORK_MS: u64 = 67;

/// Returns a request with a deadline in `deadline_ms` milliseconds.
fn job(deadline_ms: u64) -> Job {
    Job {
        priority: 1,
        aim: NOW + 200,
        deadline: NOW + deadline_ms,
        work_ms: WORK_MS,
        elsewhere_ms: None,
    }
}

/// Returns a scheduler at capacity.
fn full(slots: u32) -> Scheduler {
    let mut scheduler = Scheduler::new(slots);
    for _ in 0..scheduler.capacity() {
        assert_eq!(scheduler.offer(NOW, job(800)), Admission::Start);
    }
    scheduler
}

/// Offers a request that has to wait, and returns its key.
fn wait(scheduler: &mut Scheduler, job: Job) -> JobKey {
    match scheduler.offer(NOW, job) {
        Admission::Wait(key) => key,
        Admission::Start => panic!("the request started"),
        Admission::Refuse(why) => panic!("the request was refused: {why:?}"),
    }
}
