//! The clients of one machine: sessions that keep connections, and probes of the configuration.

use std::rc::Rc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::time::sleep;

use super::client::{Attempt, Connection, Told};
use super::machine::Machine;
use super::record::now_ms;
use super::seal::bytes_of;
use super::site_text::{CHARGE, CHECK, DAMAGE, MOVE, SPLIT, Steady, own_prefix};
use super::world::World;

/// How often each machine is asked on new and dropped routes.
const PROBE: Duration = Duration::from_millis(250);
/// How often each machine is asked on the route that is split.
const SPLIT_PAUSE: Duration = Duration::from_millis(50);
/// The timeout of the routes that only one configuration has, in milliseconds.
const PROBE_MS: u64 = 800;
/// The most requests that are sent behind one another.
const BEHIND: usize = 3;
/// The most calls that a request needs.
const CALLS: u64 = 2;
/// The largest body of an upload.
const UPLOAD_BYTES: usize = 150_000;
/// The share of clients that leave early.
const LEAVERS: f64 = 0.08;
/// The latest that they leave; the route's timeout is more than half a second away then.
const LEAVE_MS: u64 = 200;
/// The work of their requests, so long that it is seen whether it ends.
const LEFT_WORK_MS: u64 = 1_500;
/// A client comes back after a refusal so many times.
const RETRIES: u32 = 1;

/// Sends requests to a machine until the soak ends.
pub(crate) async fn run_session(world: Rc<World>, machine: Rc<Machine>, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut kept = None;
    while !world.ended.get() {
        sleep(Duration::from_millis(rng.random_range(20..250))).await;
        if !gets_work(&world, &machine) {
            kept = None;
            continue;
        }
        let mut batch = draw_batch(&world, &machine, &mut rng);
        kept = send(&world, &machine, kept, &mut batch).await;
        for _ in 0..RETRIES {
            let Some(wait_ms) = batch.iter().find_map(wait_of) else {
                break;
            };
            sleep(Duration::from_millis(wait_ms)).await;
            batch = batch
                .iter()
                .filter(|a| wait_of(a).is_some())
                .map(|a| again(&world, a))
                .collect();
            kept = send(&world, &machine, None, &mut batch).await;
        }
    }
}

/// Asks on the newest route and on the one that was dropped last.
pub(crate) async fn run_probe(world: Rc<World>, machine: Rc<Machine>) {
    while !world.ended.get() {
        sleep(PROBE).await;
        if !machine.now.ready.get() {
            continue;
        }
        let versions: Vec<u64> = {
            let journal = world.journal.borrow();
            journal
                .configurations
                .iter()
                .rev()
                .take(2)
                .map(|c| c.version)
                .collect()
        };
        for version in versions {
            let path = format!("{}probe?work=5&bytes=20", own_prefix(version));
            let steady = ("", "idempotent", PROBE_MS);
            let mut batch = vec![new_attempt(&world, &machine, steady, &path)];
            send(&world, &machine, None, &mut batch).await;
        }
    }
}

/// Asks on the route that is split, evenly in time, so that its shares are seen.
pub(crate) async fn run_split(world: Rc<World>, machine: Rc<Machine>) {
    let path = format!("{}shares?work=5&bytes=50", SPLIT.0);
    let mut kept = None;
    while !world.ended.get() {
        sleep(SPLIT_PAUSE).await;
        if !machine.now.ready.get() {
            kept = None;
            continue;
        }
        let mut batch = vec![new_attempt(&world, &machine, SPLIT, &path)];
        kept = send(&world, &machine, kept, &mut batch).await;
    }
}

/// Returns whether clients of a machine get work, as the platform decides it.
fn gets_work(world: &World, machine: &Machine) -> bool {
    let ready = world.machines.iter().filter(|m| m.now.ready.get()).count();
    machine.now.ready.get() || ready * 2 < world.machines.len()
}

/// Sends a batch on the kept connection or a new one, and keeps what came of it.
async fn send(
    world: &World,
    machine: &Machine,
    kept: Option<Connection>,
    batch: &mut [Attempt],
) -> Option<Connection> {
    let kept = kept.and_then(|connection| match connection.is_open() {
        Ok(open) => open.then_some(connection),
        Err(_) => {
            keep_stray(world, &batch[0]);
            None
        }
    });
    let connection = match kept {
        Some(connection) => connection,
        None => match Connection::open(machine.clients.address).await {
            Ok(connection) => connection,
            Err(_) => return None,
        },
    };
    for attempt in batch.iter_mut() {
        attempt.caller = machine.service.borrow().clone();
    }
    let kept = connection.exchange(batch).await;
    world.keep(batch);
    kept
}

/// Notes bytes that came in front of an attempt, on a connection where none was due.
fn keep_stray(world: &World, attempt: &Attempt) {
    let now = now_ms();
    world.keep(&[Attempt {
        id: world.next_id(),
        sent_ms: now,
        ended_ms: now,
        told: Told::Garbled,
        ..attempt.clone()
    }]);
}

/// Returns how long a refused client waits before it comes back, in milliseconds.
fn wait_of(attempt: &Attempt) -> Option<u64> {
    let reply = attempt.told.reply()?;
    let refused = matches!(reply.status, 429 | 503);
    let wait_ms = reply.retry_after_ms.unwrap_or(0);
    refused.then_some(wait_ms.min(attempt.deadline_ms / 3))
}

fn again(world: &World, attempt: &Attempt) -> Attempt {
    Attempt {
        id: world.next_id(),
        ended_ms: 0,
        told: Told::Unsent,
        ..attempt.clone()
    }
}

fn draw_batch(world: &World, machine: &Machine, rng: &mut StdRng) -> Vec<Attempt> {
    let leaves = rng.random_bool(LEAVERS);
    let leave_ms = leaves.then(|| rng.random_range(5..LEAVE_MS));
    let work = if leaves {
        LEFT_WORK_MS
    } else {
        rng.random_range(2..60)
    };
    let patience = if leaves {
        2.0
    } else {
        rng.random_range(0.5..2.0)
    };
    let bytes = rng.random_range(0..6_000);
    let (steady, count, body_bytes) = match rng.random_range(0..10) {
        0..=4 => (CHECK, rng.random_range(1..=BEHIND), 0),
        5 => (SPLIT, 1, 0),
        6 => (MOVE, 1, 0),
        7 => (DAMAGE, 1, rng.random_range(1..UPLOAD_BYTES)),
        _ => (CHARGE, 1, rng.random_range(1..2_000)),
    };
    let calls = if steady == CHECK && !leaves {
        rng.random_range(0..=CALLS)
    } else {
        0
    };
    let path = format!(
        "{}{}?work={work}&bytes={bytes}&calls={calls}",
        steady.0,
        work % 7
    );
    let chunked = body_bytes > 0 && rng.random_bool(0.5);
    let attempt = |_| {
        let attempt = new_attempt(world, machine, steady, &path);
        Attempt {
            body: bytes_of(&attempt.id, body_bytes),
            chunked,
            deadline_ms: (attempt.timeout_ms as f64 * patience) as u64,
            leave_ms,
            ..attempt
        }
    };
    (0..count).map(attempt).collect()
}

fn new_attempt(world: &World, machine: &Machine, steady: Steady, path: &str) -> Attempt {
    let (_, kind, timeout_ms) = steady;
    let idempotent = kind == "idempotent";
    Attempt {
        id: world.next_id(),
        machine: machine.number,
        method: if idempotent { "GET" } else { "POST" },
        path: path.into(),
        idempotent,
        deadline_ms: timeout_ms,
        timeout_ms,
        ..Attempt::default()
    }
}
