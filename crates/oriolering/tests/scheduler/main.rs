//! Who runs, waits and is refused at a gate.

mod model;
mod refusals;
mod turns;

use oriolering::{Admission, Job, JobKey, Millis, Scheduler};

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
fn full(slots: u32) -> Scheduler {
    let mut room = Scheduler::new(slots);
    for _ in 0..room.capacity() {
        assert_eq!(room.offer(NOW, job(800)), Admission::Start);
    }
    room
}

fn wait(room: &mut Scheduler, job: Job) -> JobKey {
    match room.offer(NOW, job) {
        Admission::Wait(key) => key,
        Admission::Start => panic!("it started"),
        Admission::Refuse(why) => panic!("it was refused: {why:?}"),
    }
}
