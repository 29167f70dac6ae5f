//! A budget for measuring backend servers that all nodes share without coordination.

use std::collections::BTreeMap;

use crate::Millis;

/// The length of the sliding window to which the budget applies.
const WINDOW_MS: u64 = 1_000;
/// The resolution at which charges are recorded.
const BUCKET_MS: u64 = 10;
/// The longest time that a measurement may take.
const MAX_DURATION_MS: u64 = 2_000;

/// The settings of a [`MeasurementBudget`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MeasurementBudgetSettings {
    /// What all nodes together may spend in any second, in microseconds of work.
    pub allowed_us: u64,
    /// The longest delay until a node learns the number of nodes, in milliseconds.
    pub lag_ms: u64,
}

/// The numbers of nodes observed in the current and the previous period.
#[derive(Clone, Copy, Debug)]
struct View {
    nodes: u32,
    observed: Millis,
    current_since: Millis,
    period_start: Millis,
    current: u32,
    previous: u32,
}

/// A debited charge for a measurement, needed to refund the part that was not used.
///
/// If it is dropped, the charge stays in place until it leaves the window.
#[derive(Debug, PartialEq, Eq)]
pub struct Charge {
    cost: u64,
    bucket: u64,
}

/// One node's share of a work budget that applies to all nodes of a service together.
///
/// A node may spend the budget divided by the largest number of nodes that it observed recently.
/// The maximum cost of a measurement is debited before it starts, and counts until one second
/// after it ends. So the measurements of this node that overlap any one second cost at most the
/// share that the node had at the last of their debits.
///
/// The measurements of all nodes that overlap any one second cost at most the highest budget
/// that was in force on a node at their debits, provided that
///
/// - each number passed to [`Self::observe_nodes`] was correct at some time within the last
///   `lag_ms` milliseconds, counting every running node that may spend, and
/// - no measurement lasts longer than the time given at its debit, or costs more.
///
/// This also holds while nodes start, stop and pause: a node spends nothing while its node count
/// is older than `lag_ms`, nor before it has kept a current count for so long that every other
/// node has counted it. Unused budget is not saved up: after a pause or an idle time a node may
/// spend no more than before.
#[derive(Debug)]
pub struct MeasurementBudget {
    settings: MeasurementBudgetSettings,
    view: Option<View>,
    charges: BTreeMap<u64, u64>,
}

impl MeasurementBudget {
    /// Returns the budget of a node that has not observed any node count yet.
    pub fn new(settings: MeasurementBudgetSettings) -> Self {
        Self {
            settings,
            view: None,
            charges: BTreeMap::new(),
        }
    }

    /// Changes the settings for all later debits.
    pub fn update(&mut self, settings: MeasurementBudgetSettings) {
        self.settings = settings;
    }

    /// Records the number of nodes that may spend, this one included.
    ///
    /// Must be called whenever the number is confirmed, even if it did not change.
    pub fn observe_nodes(&mut self, now: Millis, nodes: u32) {
        let nodes = nodes.max(1);
        let mut view = self.view.unwrap_or(View {
            nodes,
            observed: now,
            current_since: now,
            period_start: now,
            current: nodes,
            previous: nodes,
        });
        view.rotate(now, self.retention());
        if now.since(view.observed) > self.settings.lag_ms {
            view.current_since = now;
        }
        view.observed = now;
        view.nodes = nodes;
        view.current = view.current.max(nodes);
        self.view = Some(view);
    }

    /// Returns what this node may spend in any second, in microseconds of work.
    ///
    /// Returns zero while the node is new and while its node count is out of date.
    pub fn allowed(&self, now: Millis) -> u64 {
        let Some(mut view) = self.view else {
            return 0;
        };
        let counted = now.since(view.current_since) >= self.retention() + self.settings.lag_ms;
        if !counted || now.since(view.observed) > self.settings.lag_ms {
            return 0;
        }
        view.rotate(now, self.retention());
        self.settings.allowed_us / u64::from(view.largest())
    }

    /// Returns the work charged in the current window, in microseconds.
    pub fn spent(&self, now: Millis) -> u64 {
        let charges = self.charges.range(first_bucket(now)..);
        charges.map(|(_, cost)| cost).sum()
    }

    /// Debits the maximum cost, in microseconds, of a measurement that ends within `duration_ms`
    /// milliseconds.
    ///
    /// Returns `None` and debits nothing if the node's share does not suffice.
    pub fn debit(&mut self, now: Millis, cost: u64, duration_ms: u64) -> Option<Charge> {
        self.charges = self.charges.split_off(&first_bucket(now));
        let spent = self.spent(now).checked_add(cost)?;
        if duration_ms > MAX_DURATION_MS || spent > self.allowed(now) {
            return None;
        }
        let bucket = (now + duration_ms).0 / BUCKET_MS;
        *self.charges.entry(bucket).or_default() += cost;
        Some(Charge { cost, bucket })
    }

    /// Ends a measurement that cost `used` microseconds, and refunds the rest of its charge.
    ///
    /// The used part counts for another second. A cost above the charge is recorded in full.
    pub fn settle(&mut self, now: Millis, charge: Charge, used: u64) {
        if let Some(cost) = self.charges.get_mut(&charge.bucket) {
            *cost = cost.saturating_sub(charge.cost);
        }
        if used > 0 {
            *self.charges.entry(now.0 / BUCKET_MS).or_default() += used;
        }
    }

    /// Returns the length of the period for which a node count is retained, in milliseconds.
    fn retention(&self) -> u64 {
        self.settings.lag_ms + MAX_DURATION_MS + WINDOW_MS
    }
}

impl View {
    /// Starts a new period if the current one is older than `retention`.
    fn rotate(&mut self, now: Millis, retention: u64) {
        let elapsed = now.since(self.period_start);
        if elapsed < retention {
            return;
        }
        self.previous = match elapsed < 2 * retention {
            true => self.current,
            false => self.nodes,
        };
        self.current = self.nodes;
        self.period_start = now;
    }

    fn largest(&self) -> u32 {
        self.nodes.max(self.current).max(self.previous)
    }
}

/// Returns the first bucket whose charges still count.
fn first_bucket(now: Millis) -> u64 {
    now.0.saturating_sub(WINDOW_MS) / BUCKET_MS
}
