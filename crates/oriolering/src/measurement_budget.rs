//! The budget for measuring backend servers, kept by each node without an agreement.

use std::collections::BTreeMap;

use crate::Millis;

/// The time over which the budget holds, wherever it starts.
const WINDOW_MS: u64 = 1_000;
/// The grain in which charges are kept.
const GRAIN_MS: u64 = 10;
/// The longest time that a measurement may take.
const HOLD_MAX_MS: u64 = 2_000;

/// The settings of a [`MeasurementBudget`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MeasurementBudgetSettings {
    /// What all nodes together may spend in any second, in microseconds of work.
    pub allowed_us: u64,
    /// How late a node may learn the number of nodes, in milliseconds.
    pub lag_ms: u64,
}

/// The largest number of nodes seen of late.
#[derive(Clone, Copy, Debug)]
struct View {
    nodes: u32,
    seen: Millis,
    fresh: Millis,
    turned: Millis,
    current: u32,
    previous: u32,
}

/// A charge for a measurement, by which the part that was not used is refunded.
///
/// A receipt that is dropped leaves the charge in place until it ages out.
#[derive(Debug, PartialEq, Eq)]
pub struct Charge {
    cost: u64,
    grain: u64,
}

/// The share of one node in a budget of work that holds for all nodes of a service.
///
/// A node may spend the budget divided by the largest number of nodes that it has seen of
/// late. A charge is debited before the act with its highest cost, and counts until a second
/// after the end of the act. So the acts of this node that overlap any one second cost at most
/// the share that the node had at the last of their debits.
///
/// The acts of all nodes that overlap any one second cost at most the highest budget that a
/// node had in force at their debits, as long as
///
/// - each number passed to [`Self::observe_nodes`] was true at some time within the last `lag_ms`
///   milliseconds, counting every running node that may spend, and
/// - no act lasts longer than the time given at its debit, or costs more.
///
/// That holds while nodes start, stop and pause: a node spends nothing while its view is older
/// than `lag_ms`, and nothing before it has kept a fresh view for so long that every other node
/// has counted it. There is no credit: after a pause or an idle time a node may spend no more
/// than before.
#[derive(Debug)]
pub struct MeasurementBudget {
    settings: MeasurementBudgetSettings,
    view: Option<View>,
    charges: BTreeMap<u64, u64>,
}

impl MeasurementBudget {
    /// Returns the budget of a node that has seen no other one yet.
    pub fn new(settings: MeasurementBudgetSettings) -> Self {
        Self {
            settings,
            view: None,
            charges: BTreeMap::new(),
        }
    }

    /// Changes the budget for all debits from now on.
    pub fn update(&mut self, settings: MeasurementBudgetSettings) {
        self.settings = settings;
    }

    /// Records the number of nodes that may spend, this one included.
    ///
    /// It is called whenever the number is confirmed, also when it did not change.
    pub fn observe_nodes(&mut self, now: Millis, nodes: u32) {
        let nodes = nodes.max(1);
        let mut view = self.view.unwrap_or(View {
            nodes,
            seen: now,
            fresh: now,
            turned: now,
            current: nodes,
            previous: nodes,
        });
        view.turn(now, self.memory());
        if now.since(view.seen) > self.settings.lag_ms {
            view.fresh = now;
        }
        view.seen = now;
        view.nodes = nodes;
        view.current = view.current.max(nodes);
        self.view = Some(view);
    }

    /// Returns what this node may spend in any second, in microseconds of work.
    ///
    /// It is zero while the node is new, and while its view of the nodes is out of date.
    pub fn allowed(&self, now: Millis) -> u64 {
        let Some(mut view) = self.view else {
            return 0;
        };
        let counted = now.since(view.fresh) >= self.memory() + self.settings.lag_ms;
        if !counted || now.since(view.seen) > self.settings.lag_ms {
            return 0;
        }
        view.turn(now, self.memory());
        self.settings.allowed_us / u64::from(view.largest())
    }

    /// Returns what counts as spent now, in microseconds of work.
    pub fn spent(&self, now: Millis) -> u64 {
        let charges = self.charges.range(first_grain(now)..);
        charges.map(|(_, cost)| cost).sum()
    }

    /// Debits the highest cost in microseconds of an act that ends within `hold` milliseconds.
    ///
    /// Returns `None`, and debits nothing, when the share does not suffice.
    pub fn debit(&mut self, now: Millis, cost: u64, hold: u64) -> Option<Charge> {
        self.charges = self.charges.split_off(&first_grain(now));
        let spent = self.spent(now).checked_add(cost)?;
        if hold > HOLD_MAX_MS || spent > self.allowed(now) {
            return None;
        }
        let grain = (now + hold).0 / GRAIN_MS;
        *self.charges.entry(grain).or_default() += cost;
        Some(Charge { cost, grain })
    }

    /// Ends an act that cost `used` microseconds, and refunds the rest of its charge.
    ///
    /// What was used counts for another second. A cost above the charge is kept as spent too.
    pub fn settle(&mut self, now: Millis, receipt: Charge, used: u64) {
        if let Some(cost) = self.charges.get_mut(&receipt.grain) {
            *cost = cost.saturating_sub(receipt.cost);
        }
        if used > 0 {
            *self.charges.entry(now.0 / GRAIN_MS).or_default() += used;
        }
    }

    /// Returns how long a number of nodes is remembered, in milliseconds.
    fn memory(&self) -> u64 {
        self.settings.lag_ms + HOLD_MAX_MS + WINDOW_MS
    }
}

impl View {
    /// Starts a new period when the current one is older than `memory`.
    fn turn(&mut self, now: Millis, memory: u64) {
        let elapsed = now.since(self.turned);
        if elapsed < memory {
            return;
        }
        self.previous = match elapsed < 2 * memory {
            true => self.current,
            false => self.nodes,
        };
        self.current = self.nodes;
        self.turned = now;
    }

    fn largest(&self) -> u32 {
        self.nodes.max(self.current).max(self.previous)
    }
}

/// Returns the first grain of the charges that still count.
fn first_grain(now: Millis) -> u64 {
    now.0.saturating_sub(WINDOW_MS) / GRAIN_MS
}
