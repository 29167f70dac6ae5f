//! Draws the faults and changes of a soak from its seed.

use std::ops::Range;

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use super::app_settings::{AppFault, Flaw, WhenFull};
use crate::store_fault::StoreFault;

/// The pause between two faults, in milliseconds.
const PAUSE_MS: Range<u64> = 150..700;
/// How long the same machines are disrupted, so that the others stay in touch.
const VICTIMS_MS: u64 = 7_000;
/// The pause before the first fault: the nodes have found each other by then.
const QUIET_MS: u64 = 1_500;
const VICTIMS: usize = 2;
/// How long a backend server names a limit; it is judged after three seconds.
const LIMIT_MS: Range<u64> = 4_000..8_000;
/// How old the copy is from which the store comes back.
const COPY_AGE_MS: Range<u64> = 500..5_000;
/// How long the store is away before it comes back from a copy.
const AWAY_MS: Range<u64> = 0..1_000;
/// How many writes that nobody repeats are lost when the store comes back from a copy.
const LOST_WRITES: Range<u32> = 50..600;
/// How long a backend server is frozen; its entry lapses after 4,500 ms.
const FREEZE_MS: Range<u64> = 800..4_000;

/// Something that keeps a machine from being in touch; times are in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Harm {
    /// Kills the node and starts it again after a time.
    Kill(u64),
    /// Stops the node for a time.
    Freeze(u64),
    /// Ends the node gracefully and starts it again.
    Terminate,
    /// Cuts the node off from the store for a time.
    StoreCut(u64),
    /// Lets the node's connections to the store fall silent.
    StoreSilent,
    /// Slows the node's connections to the store for a time.
    StoreSlow(u64),
    /// Cuts all connections of clients.
    ClientsCut,
    /// Lets all connections of clients fall silent.
    ClientsSilent,
}

impl Harm {
    /// Returns whether it starts, stops or ends the node.
    pub(crate) fn is_of_node(self) -> bool {
        matches!(self, Self::Kill(_) | Self::Freeze(_) | Self::Terminate)
    }
}

/// Something that is done from outside.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Deed {
    /// Disrupts the machine.
    Harm(Harm),
    /// Tells the node to read its settings again.
    Reload,
    /// Shows a fault of the backend server for milliseconds.
    App(AppFault, u64),
    /// Kills the backend server; it is back after a while.
    AppKill,
    /// Stops the backend server for milliseconds; its connections stay open.
    AppFreeze(u64),
    /// Drains the backend server and puts another in its place.
    Replace,
    /// The same, but only the backend server's answers say that it leaves.
    LeaveUnlisted,
    /// The same, but only the list says that the backend server leaves.
    LeaveListed,
    /// Publishes the next configuration.
    Configure,
    /// Lets the store forget its history.
    DropHistory,
    /// Copies the store, and after milliseconds, some writes to other keys and one of each entry
    /// lets it be away for some, and come back from the copy. Once it is stable, the backend server of the machine
    /// leaves by the list alone.
    StoreReturns {
        age_ms: u64,
        away_ms: u64,
        lost_writes: u32,
    },
    /// Lets the store fail for all nodes for milliseconds.
    StoreFails(StoreFault, u64),
}

/// A deed, its machine and its time since the begin.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Planned {
    pub(crate) at_ms: u64,
    pub(crate) machine: usize,
    pub(crate) deed: Deed,
}

/// Draws the deeds of `length_ms`, in order.
pub(crate) fn draw_plan(seed: u64, machines: usize, length_ms: u64) -> Vec<Planned> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut plan = Vec::new();
    let mut victims = Vec::new();
    let mut victims_until = 0;
    let mut at_ms = QUIET_MS;
    while at_ms < length_ms {
        if at_ms >= victims_until {
            victims = rand::seq::index::sample(&mut rng, machines, VICTIMS).into_vec();
            victims_until = at_ms + VICTIMS_MS;
        }
        let (machine, deed) = match rng.random_bool(0.4) {
            true => (
                victims[rng.random_range(0..VICTIMS)],
                Deed::Harm(draw_harm(&mut rng)),
            ),
            false => (rng.random_range(0..machines), draw_work(&mut rng)),
        };
        plan.push(Planned {
            at_ms,
            machine,
            deed,
        });
        at_ms += rng.random_range(PAUSE_MS);
    }
    plan
}

fn draw_harm(rng: &mut StdRng) -> Harm {
    let long_ms = rng.random_range(300..2_500);
    let harms = [
        Harm::Kill(long_ms / 2),
        Harm::Freeze(long_ms),
        Harm::Terminate,
        Harm::StoreCut(long_ms),
        Harm::StoreSilent,
        Harm::StoreSlow(long_ms),
        Harm::ClientsCut,
        Harm::ClientsSilent,
    ];
    harms[rng.random_range(0..harms.len())]
}

fn draw_work(rng: &mut StdRng) -> Deed {
    match rng.random_range(0..17) {
        0..=5 => Deed::App(draw_fault(rng), rng.random_range(500..2_500)),
        6 => Deed::AppKill,
        7 => Deed::Replace,
        8 => Deed::Configure,
        9 => Deed::DropHistory,
        10 => Deed::StoreFails(draw_store_fault(rng), rng.random_range(300..2_500)),
        11 | 12 => Deed::AppFreeze(rng.random_range(FREEZE_MS)),
        13 => Deed::App(draw_limit(rng), rng.random_range(LIMIT_MS)),
        14 => Deed::LeaveUnlisted,
        15 => Deed::StoreReturns {
            age_ms: rng.random_range(COPY_AGE_MS),
            away_ms: rng.random_range(AWAY_MS),
            lost_writes: rng.random_range(LOST_WRITES),
        },
        _ => Deed::Reload,
    }
}

fn draw_store_fault(rng: &mut StdRng) -> StoreFault {
    let faults = [
        StoreFault::Silent,
        StoreFault::Unavailable,
        StoreFault::Reset,
        StoreFault::Slow { delay_ms: 600 },
        StoreFault::Lost,
    ];
    faults[rng.random_range(0..faults.len())]
}

fn draw_fault(rng: &mut StdRng) -> AppFault {
    let flaws = [
        Flaw::Error,
        Flaw::Lost,
        Flaw::Reset,
        Flaw::Extra,
        Flaw::Late,
        Flaw::Truncated,
        Flaw::Unframed,
        Flaw::UnframedReset,
        Flaw::Garbled,
        Flaw::Early,
        Flaw::Shed,
    ];
    let fulls = [WhenFull::Refuse, WhenFull::Reset, WhenFull::Silent];
    AppFault {
        work_percent: *[100, 100, 300, 1_000].choose(rng).unwrap_or(&100),
        flaw: flaws.choose(rng).copied(),
        share: rng.random_range(0.05..0.5),
        when_full: *fulls.choose(rng).unwrap_or(&WhenFull::Refuse),
        unhealthy: rng.random_bool(0.1),
        ..AppFault::default()
    }
}

/// Draws a limit, from a request in two seconds to a part of what comes at a time.
fn draw_limit(rng: &mut StdRng) -> AppFault {
    AppFault {
        limit: Some(rng.random_range(500..20_000)),
        ..AppFault::default()
    }
}
