//! Does the planned deeds to processes, relays, backend servers and the store.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;

use super::app_settings::AppFault;
use super::machine::Machine;
use super::plan::{Deed, Harm};
use super::record::now_ms;
use super::site_text::SERVICES;
use super::world::World;
use crate::signal::Signal;
use crate::store_fault::StoreFault;

/// The delay of a slow path to the store, in milliseconds.
const SLOW_MS: u64 = 400;
/// How long a crashed backend server or a node that ended by itself is away.
const AWAY: Duration = Duration::from_millis(800);
/// How long a backend server serves beyond the time that draining has to take.
const DRAIN_MORE: Duration = Duration::from_millis(500);
/// The same where only its answers say that it leaves, which takes some requests to be heard.
const UNLISTED_MORE: Duration = Duration::from_millis(2_000);
/// The same where only the list says so.
const LISTED_MORE: Duration = Duration::from_millis(1_500);
/// A key of the store that means nothing to the nodes.
const OTHER_KEY: &str = "other/writes";
/// The pause between the entries that are written again after the store has come back from a copy;
/// all are back within two seconds.
const WRITE_GAP: Duration = Duration::from_millis(120);
/// How often the end of a process is looked for.
const POLL: Duration = Duration::from_millis(20);

/// How a backend server says that it leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LeaveNotice {
    ListAndAnswers,
    List,
    Answers,
}

impl LeaveNotice {
    /// Returns how long the backend server serves beyond the time that draining has to take.
    fn serves_beyond(self) -> Duration {
        match self {
            Self::ListAndAnswers => DRAIN_MORE,
            Self::List => LISTED_MORE,
            Self::Answers => UNLISTED_MORE,
        }
    }
}

/// Does one deed.
///
/// # Errors
///
/// Returns the error of a process that does not start.
pub(crate) async fn act(world: Rc<World>, machine: Rc<Machine>, deed: Deed) -> io::Result<()> {
    match deed {
        Deed::Harm(harm) if harm.is_of_node() && !machine.is_settled() => {}
        Deed::Harm(harm) => {
            let span = world.disrupt(
                Some(machine.number),
                &format!("{harm:?}"),
                harm == Harm::Terminate,
            );
            let done = disrupt(&world, &machine, harm).await;
            world.calm(span);
            return done;
        }
        Deed::Reload => machine.signal_node(Signal::Reload),
        Deed::App(_, _)
        | Deed::AppKill
        | Deed::AppFreeze(_)
        | Deed::Replace
        | Deed::LeaveListed
        | Deed::LeaveUnlisted => {
            let span = world.note_fault(machine.number, &format!("{deed:?}"));
            let done = disturb(&world, &machine, deed).await;
            world.end_fault(span);
            return done;
        }
        Deed::Configure => world.configure(),
        Deed::DropHistory => world.store.drop_history(),
        Deed::StoreReturns {
            age_ms,
            away_ms,
            lost_writes,
        } => {
            let copy = world.store.copy();
            sleep(Duration::from_millis(age_ms)).await;
            for number in 0..lost_writes {
                world.store.put(OTHER_KEY, number.to_string());
            }
            // Each entry is written in the time that is lost, as by a heartbeat.
            publish_all(&world, Duration::ZERO).await;
            let span = world.disrupt(None, "StoreReturns", false);
            world.store.set_fault(StoreFault::Reset);
            sleep(Duration::from_millis(away_ms)).await;
            world.store.restore(copy);
            world.store.set_fault(StoreFault::None);
            write_again(&world).await;
            world.calm(span);
            sleep(Duration::from_millis(world.bounds.stable_window_ms)).await;
            let span = world.note_fault(machine.number, &format!("{:?}", Deed::LeaveListed));
            let done = disturb(&world, &machine, Deed::LeaveListed).await;
            world.end_fault(span);
            return done;
        }
        Deed::StoreFails(fault, ms) => {
            let span = world.disrupt(None, &format!("{fault:?}"), false);
            world.store.set_fault(fault);
            sleep(Duration::from_millis(ms)).await;
            world.store.set_fault(StoreFault::None);
            world.calm(span);
        }
    }
    Ok(())
}

/// Writes again what the operator and the backend servers have written.
async fn write_again(world: &World) {
    world.configure_again();
    publish_all(world, WRITE_GAP).await;
    world.remove_again();
}

/// Writes the entries of all backend servers that run, with a pause before each.
async fn publish_all(world: &World, pause: Duration) {
    for machine in &world.machines {
        sleep(pause).await;
        if machine.is_app_running() {
            world.publish(machine);
        }
    }
}

/// Does a deed to a backend server.
async fn disturb(world: &Rc<World>, machine: &Rc<Machine>, deed: Deed) -> io::Result<()> {
    match deed {
        Deed::App(fault, ms) => {
            machine.set_fault(fault).await;
            sleep(Duration::from_millis(ms)).await;
            machine.set_fault(AppFault::default()).await;
        }
        // The watcher of processes starts it again.
        Deed::AppKill if !machine.now.frozen.get() => machine.crash_app(),
        Deed::AppFreeze(ms) if may_freeze(machine) => {
            let server = machine.now.server.borrow().clone();
            let from_ms = now_ms();
            machine.set_frozen(true).await;
            sleep(Duration::from_millis(ms)).await;
            machine.set_frozen(false).await;
            world.note_freeze(server, from_ms);
        }
        Deed::Replace => return replace(world, machine, LeaveNotice::ListAndAnswers).await,
        Deed::LeaveListed => return replace(world, machine, LeaveNotice::List).await,
        Deed::LeaveUnlisted => return replace(world, machine, LeaveNotice::Answers).await,
        Deed::AppKill | Deed::AppFreeze(_) => {}
        Deed::Harm(_) | Deed::Reload | Deed::Configure => {}
        Deed::DropHistory | Deed::StoreReturns { .. } | Deed::StoreFails(_, _) => {}
    }
    Ok(())
}

fn may_freeze(machine: &Machine) -> bool {
    machine.is_app_running() && !machine.now.draining.get() && !machine.now.frozen.get()
}

/// Does a deed that keeps a machine from being in touch.
async fn disrupt(world: &World, machine: &Machine, harm: Harm) -> io::Result<()> {
    match harm {
        Harm::Kill(ms) => {
            machine.kill_node();
            sleep(Duration::from_millis(ms)).await;
            return world.start_node(machine);
        }
        Harm::Freeze(ms) => {
            machine.signal_node(Signal::Stop);
            sleep(Duration::from_millis(ms)).await;
            machine.signal_node(Signal::Continue);
        }
        Harm::Terminate => {
            terminate(world, machine).await;
            return world.start_node(machine);
        }
        Harm::StoreCut(ms) => {
            machine.store.close(true);
            machine.store.cut();
            sleep(Duration::from_millis(ms)).await;
            machine.store.close(false);
        }
        Harm::StoreSlow(ms) => {
            machine.store.delay(SLOW_MS);
            sleep(Duration::from_millis(ms)).await;
            machine.store.delay(0);
        }
        Harm::StoreSilent => machine.store.silence(),
        Harm::ClientsCut => machine.clients.cut(),
        Harm::ClientsSilent => machine.clients.silence(),
    }
    Ok(())
}

/// Sends SIGTERM, and SIGKILL when the grace has passed.
async fn terminate(world: &World, machine: &Machine) {
    machine.now.node_wanted.set(false);
    machine.signal_node(Signal::Terminate);
    let until_ms = now_ms() + world.bounds.grace_ms;
    while machine.is_node_running() && now_ms() < until_ms {
        sleep(POLL).await;
    }
    machine.kill_node();
}

/// Drains a backend server unless another one leaves, ends it and its node, and puts another service at its address.
async fn replace(world: &Rc<World>, machine: &Rc<Machine>, notice: LeaveNotice) -> io::Result<()> {
    let another = world.machines.iter().any(|m| m.now.draining.get());
    let frozen = machine.now.frozen.get();
    if another || frozen || !machine.is_settled() || !machine.is_app_running() {
        return Ok(());
    }
    let server = machine.now.server.borrow().clone();
    machine.now.draining.set(true);
    machine.now.unlisted.set(notice == LeaveNotice::Answers);
    if notice != LeaveNotice::Answers {
        world.publish(machine);
    }
    let leaving = AppFault {
        leaving: notice != LeaveNotice::List,
        unhealthy: true,
        ..AppFault::default()
    };
    machine.set_fault(leaving).await;
    sleep(Duration::from_millis(world.bounds.drain_ms) + notice.serves_beyond()).await;
    machine.kill_app();
    world.remove(&server);
    let span = world.disrupt(Some(machine.number), "replace", true);
    terminate(world, machine).await;
    sleep(Duration::from_millis(world.bounds.address_reuse_ms)).await;
    let service = next_service(world, machine);
    machine.service.replace(service.into());
    world.start_app(machine, false)?;
    world.start_node(machine)?;
    world.calm(span);
    Ok(())
}

/// Returns another service, if the present one keeps two backend servers without this one.
fn next_service(world: &World, machine: &Machine) -> &'static str {
    let own = machine.service.borrow().clone();
    let others = world.machines.iter().filter(|m| *m.service.borrow() == own);
    let at = SERVICES.iter().position(|name| *name == own).unwrap_or(0);
    match others.count() > 2 {
        true => SERVICES[(at + 1) % SERVICES.len()],
        false => SERVICES[at],
    }
}

/// Starts backend servers that crashed, and nodes that ended by themselves, again.
pub(crate) async fn watch_processes(world: Rc<World>) -> io::Result<()> {
    while !world.ended.get() {
        sleep(POLL).await;
        for machine in &world.machines {
            let left = machine.now.draining.get();
            if machine.now.app_wanted.get() && !left && !machine.is_app_running() {
                machine.now.app_wanted.set(false);
                ntex::rt::spawn(revive_app(world.clone(), machine.clone()));
            }
            if machine.now.node_wanted.get() && !machine.is_node_running() {
                machine.now.node_wanted.set(false);
                world.note_end(machine);
                ntex::rt::spawn(revive_node(world.clone(), machine.clone()));
            }
        }
    }
    Ok(())
}

async fn revive_app(world: Rc<World>, machine: Rc<Machine>) -> io::Result<()> {
    let server = machine.now.server.borrow().clone();
    sleep(AWAY).await;
    let keep_id = now_ms().is_multiple_of(2);
    world.start_app(&machine, keep_id)?;
    world.expire(machine, server).await;
    Ok(())
}

async fn revive_node(world: Rc<World>, machine: Rc<Machine>) -> io::Result<()> {
    sleep(AWAY).await;
    match machine.now.node_wanted.get() || machine.now.draining.get() {
        true => Ok(()),
        false => world.start_node(&machine),
    }
}
