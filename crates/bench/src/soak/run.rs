//! Runs one soak: starts the site, plays the plan, kills all nodes at the end and judges.

use std::io;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep, sleep_until};

use super::client::{Attempt, Told};
use super::deeds::{act, watch_processes};
use super::journal::Journal;
use super::judge::{Breach, judge};
use super::judge_load::count_split;
use super::machine::Machine;
use super::plan::draw_plan;
use super::record::{now_ms, read_record};
use super::session::{run_probe, run_session, run_split};
use super::site_text::HEARTBEAT_MS;
use super::world::World;
use oriolering_platform::Bounds;

/// The sessions of clients on each machine.
const SESSIONS: u64 = 6;
const MACHINES_MIN: usize = 5;
const MACHINES: usize = 3;
/// How long all nodes may take to get ready at the start.
const START: Duration = Duration::from_secs(20);
/// How often the platform asks whether a node is ready; two misses take it out.
const READY: Duration = Duration::from_secs(1);
const MISSES: u32 = 2;
/// How often the soak notes that it runs.
const TICK: Duration = Duration::from_millis(20);
/// How long all nodes are away at the end.
const AWAY: Duration = Duration::from_millis(600);
/// How long service is measured after it has to be back.
const MEASURED: Duration = Duration::from_secs(2);
/// The longest deadline of a client, after which no answer is due.
const LAST: Duration = Duration::from_millis(2_500);

/// What a soak is run with.
#[derive(Clone, Copy, Debug)]
pub struct Soak {
    /// The seed of all that is drawn.
    pub seed: u64,
    /// How long faults come, without the start and the end.
    pub length: Duration,
    /// What the nodes are held to.
    pub bounds: Bounds,
}

/// What a soak came to.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The broken promises.
    pub breaches: Vec<Breach>,
    /// The share of attempts that were answered with success.
    pub served: f64,
    /// What happened, in figures.
    pub summary: String,
    /// Where logs and records are kept, if a promise was broken.
    pub logs: Option<PathBuf>,
}

/// Runs a soak on the present thread's runtime.
///
/// # Errors
///
/// Returns the error of a process or file, or the log of a node that does not get ready.
pub async fn run_soak(soak: Soak) -> io::Result<Outcome> {
    let dir = tempfile::tempdir()?;
    let machines = MACHINES_MIN + soak.seed as usize % MACHINES;
    let world = Rc::new(World::new(soak.seed, machines, soak.bounds, dir.path())?);
    start(&world).await?;
    play(&world, soak).await?;
    close(&world).await?;
    let mut outcome = finish(&world).await?;
    if !outcome.breaches.is_empty() {
        outcome.logs = Some(dir.keep());
    }
    Ok(outcome)
}

pub(super) async fn start(world: &Rc<World>) -> io::Result<()> {
    world.configure();
    for machine in &world.machines {
        world.start_app(machine, false)?;
        world.start_node(machine)?;
    }
    for machine in &world.machines {
        ntex::rt::spawn(beat(world.clone(), machine.clone()));
        ntex::rt::spawn(watch_ready(world.clone(), machine.clone()));
    }
    let until = Instant::now() + START;
    while !world.machines.iter().all(|m| m.now.ready.get()) {
        if Instant::now() > until {
            return Err(not_ready(world));
        }
        sleep(READY / 10).await;
    }
    ntex::rt::spawn(watch_processes(world.clone()));
    ntex::rt::spawn(tick(world.clone()));
    Ok(())
}

fn not_ready(world: &World) -> io::Error {
    let waiting = world.machines.iter().filter(|m| !m.now.ready.get());
    let logs = waiting.map(|m| format!("machine {}: {:?}", m.number, m.node_log()));
    io::Error::other(format!(
        "not ready: {}",
        logs.collect::<Vec<_>>().join("\n")
    ))
}

async fn beat(world: Rc<World>, machine: Rc<Machine>) {
    while !world.ended.get() {
        sleep(Duration::from_millis(HEARTBEAT_MS)).await;
        if machine.is_app_running() && !machine.now.frozen.get() {
            world.publish(&machine);
        }
    }
}

/// Notes that the soak runs, since the start of a process may hold up its only thread.
async fn tick(world: Rc<World>) {
    while !world.ended.get() {
        world.journal.borrow_mut().tick(now_ms());
        sleep(TICK).await;
    }
}

async fn watch_ready(world: Rc<World>, machine: Rc<Machine>) {
    while !world.ended.get() {
        if machine.is_ready().await {
            machine.now.misses.set(0);
            machine.now.ready.set(true);
        } else {
            machine.now.misses.set(machine.now.misses.get() + 1);
            machine
                .now
                .ready
                .set(machine.now.ready.get() && machine.now.misses.get() < MISSES);
        }
        sleep(READY).await;
    }
}

async fn play(world: &Rc<World>, soak: Soak) -> io::Result<()> {
    for machine in &world.machines {
        for number in 0..SESSIONS {
            let seed = soak.seed ^ (machine.number as u64 * SESSIONS + number + 1) << 32;
            ntex::rt::spawn(run_session(world.clone(), machine.clone(), seed));
        }
        ntex::rt::spawn(run_probe(world.clone(), machine.clone()));
        ntex::rt::spawn(run_split(world.clone(), machine.clone()));
    }
    let begin = Instant::now();
    let length_ms = soak.length.as_millis() as u64;
    let mut deeds = Vec::new();
    for planned in draw_plan(soak.seed, world.machines.len(), length_ms) {
        sleep_until(begin + Duration::from_millis(planned.at_ms)).await;
        let machine = world.machines[planned.machine].clone();
        deeds.push(ntex::rt::spawn(act(world.clone(), machine, planned.deed)));
    }
    for deed in deeds {
        deed.await
            .map_err(|e| io::Error::other(format!("{e:?}")))??;
    }
    Ok(())
}

/// Kills all nodes right after a configuration, and waits until service has to be back.
async fn close(world: &Rc<World>) -> io::Result<()> {
    world.configure();
    let span = world.disrupt(None, "all killed", false);
    let killed_ms = now_ms();
    world.machines.iter().for_each(|m| m.kill_node());
    sleep(AWAY).await;
    for machine in &world.machines {
        world.start_node(machine)?;
    }
    world.calm(span);
    world.journal.borrow_mut().closing = Some((killed_ms, now_ms()));
    sleep(Duration::from_millis(world.bounds.recovery_ms) + MEASURED).await;
    Ok(())
}

async fn finish(world: &Rc<World>) -> io::Result<Outcome> {
    world.ended.set(true);
    sleep(LAST).await;
    world.machines.iter().for_each(|m| end(m));
    let mut journal = world.journal.borrow_mut();
    for machine in &world.machines {
        journal.add_record(&read_record(&machine.record())?);
        journal.held.extend(machine.now.held.borrow().iter());
    }
    let mut breaches = judge(&journal, &world.bounds);
    breaches.extend(world.ends.borrow().iter().cloned());
    let served = journal.attempts.iter().filter(|a| a.told.is_success());
    Ok(Outcome {
        served: served.count() as f64 / journal.attempts.len().max(1) as f64,
        summary: summary(&journal, &world.bounds, breaches.len()),
        breaches,
        logs: None,
    })
}

fn summary(journal: &Journal, bounds: &Bounds, breaches: usize) -> String {
    let count = |of: &dyn Fn(&Attempt) -> bool| journal.attempts.iter().filter(|a| of(a)).count();
    let window_ms = bounds.stable_window_ms;
    let in_touch = |a: &Attempt| journal.in_touch(a.machine, a.sent_ms, a.ended_ms, window_ms);
    let is_refused = |a: &Attempt| matches!(a.told.reply().map(|r| r.status), Some(429 | 503));
    let runs = journal.runs.values().flatten();
    let figures = [
        ("attempts", journal.attempts.len()),
        ("in touch", count(&in_touch)),
        ("served", count(&|a| a.told.is_success())),
        ("refused", count(&is_refused)),
        ("broken off", count(&|a| a.told == Told::Broken)),
        ("runs", runs.filter(|run| run.started_ms.is_some()).count()),
        (
            "beyond the first",
            journal.runs.values().map(|runs| runs.len() - 1).sum(),
        ),
        ("judged by their shares", count_split(journal, window_ms)),
        ("probes", journal.probes.values().map(Vec::len).sum()),
        ("disruptions", journal.disruptions.len()),
        ("faults of backend servers", journal.faults.len()),
        ("frozen", journal.freezes.len()),
        ("limits named", journal.limits()),
        ("backend servers left", journal.leavings.len()),
        ("configurations", journal.configurations.len()),
        ("times it stood still", journal.stalls()),
        (
            "of them at the start or end of a process",
            journal.explained_stalls(),
        ),
        ("broken promises", breaches),
    ];
    figures
        .map(|(name, figure)| format!("{figure} {name}"))
        .join(", ")
}

fn end(machine: &Machine) {
    machine.kill_node();
    machine.kill_app();
}
