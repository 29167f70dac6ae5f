//! What is played: how many nodes, which work, and how the backend servers slow down.

use oriolering::{CrossZoneCost, Rate};

/// The parameters of one play.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Load {
    /// The nodes at which requests enter.
    pub(crate) ingresses: usize,
    /// The backend servers, each behind a gate of its own.
    pub(crate) servers: usize,
    /// The published slots of a backend server.
    pub(crate) slots: u32,
    /// The slots of a backend server in which work keeps its pace; offered load and the single
    /// queue count with these, whatever part of the slots a gate fills.
    pub(crate) usable_slots: u32,
    /// How long a request takes at the usual pace, in milliseconds.
    pub(crate) work_ms: u64,
    /// Within which time a caller wants its answer, in milliseconds.
    pub(crate) aim_ms: u64,
    /// How long a caller waits, in milliseconds.
    pub(crate) deadline_ms: u64,
    /// How many of a hundred backend servers are slow at a time.
    pub(crate) slow_share: usize,
    /// How long work takes at a slow one, as a percentage of the usual.
    pub(crate) slow_percent: u32,
    /// After which time other backend servers are slow, in milliseconds.
    pub(crate) redraw_ms: u64,
    /// The age of a hint when it arrives, in milliseconds.
    pub(crate) hint_ms: u64,
    /// The way from a node to another, in milliseconds.
    pub(crate) hop_ms: u64,
    /// How often a gate asks its backend server for its pace, in milliseconds.
    pub(crate) probe_ms: u64,
    /// By how many requests a gate's load changes before it tells.
    pub(crate) hint_step: u32,
    /// The gates that may refuse one request before its caller is refused.
    pub(crate) refusals_max: usize,
    /// Whether a gate sends back what waits, once its backend server has become slow.
    pub(crate) sends_back: bool,
    /// Whether requests get second runs.
    pub(crate) second_runs: bool,
    /// The time between two looks at a run, in milliseconds.
    pub(crate) look_ms: u64,
    /// The second runs that are allowed for all nodes together, in percent of the requests.
    pub(crate) budget_percent: u64,
    /// Those that are allowed beside in each window.
    pub(crate) budget_slack: u64,
    /// The window, in milliseconds.
    pub(crate) budget_window_ms: u64,
    /// The availability zones; nodes are spread evenly over them.
    pub(crate) zones: usize,
    /// The first zones that have backend servers.
    pub(crate) served_zones: usize,
    /// The bytes of a request and its answer.
    pub(crate) bytes: u64,
    /// How much longer the way to another zone is, in milliseconds.
    pub(crate) far_ms: u64,
    /// What the way to another zone is worth.
    pub(crate) crossing: CrossZoneCost,
    /// How many backend servers of the first zone are down.
    pub(crate) gone: usize,
    /// How many backend servers name a limit, and that in thousandths of a request a second.
    pub(crate) limited: usize,
    pub(crate) limit: u32,
    /// Whether gates and ingresses know of it.
    pub(crate) limit_told: bool,
    /// How long work takes in the first zone, as a percentage of what it takes elsewhere.
    pub(crate) first_zone_percent: u32,
    /// How many of a hundred callers of other zones have moved to the first one.
    pub(crate) shifted_percent: u32,
    /// The offered work, as a percentage of what the usable slots can do.
    pub(crate) offered_percent: u64,
    /// For how long requests arrive, in milliseconds.
    pub(crate) duration_ms: u64,
    /// The seed of all that is random.
    pub(crate) seed: u64,
}

impl Load {
    /// Returns the load that the parts are built for, at `offered_percent` of the room.
    pub(crate) fn noisy_neighbours(offered_percent: u64) -> Self {
        Self {
            ingresses: 24,
            servers: 24,
            slots: 13,
            usable_slots: 10,
            work_ms: 67,
            aim_ms: 200,
            deadline_ms: 800,
            slow_share: 25,
            slow_percent: 400,
            redraw_ms: 300,
            hint_ms: 2,
            hop_ms: 1,
            probe_ms: 50,
            hint_step: 3,
            refusals_max: 4,
            sends_back: true,
            second_runs: false,
            look_ms: 30,
            budget_percent: 20,
            budget_slack: 60,
            budget_window_ms: 10_000,
            zones: 1,
            served_zones: 1,
            bytes: 0,
            far_ms: 0,
            crossing: CrossZoneCost::DEFAULT,
            gone: 0,
            limited: 0,
            limit: 0,
            limit_told: true,
            first_zone_percent: 100,
            shifted_percent: 0,
            offered_percent,
            duration_ms: 4_000,
            seed: 1,
        }
    }

    /// Returns the zone of a node.
    pub(crate) fn zone_of(&self, ingress: usize) -> usize {
        ingress % self.zones
    }

    /// Returns the zone of a backend server.
    pub(crate) fn zone_of_server(&self, server: usize) -> usize {
        server % self.served_zones
    }

    /// Returns whether a backend server is in another zone than a node.
    pub(crate) fn is_far(&self, ingress: usize, server: usize) -> bool {
        self.zone_of(ingress) != self.zone_of_server(server)
    }

    /// Returns whether a backend server is down from the beginning.
    pub(crate) fn is_gone(&self, server: usize) -> bool {
        server.is_multiple_of(self.served_zones) && server / self.served_zones < self.gone
    }

    /// Returns the limit of a backend server.
    pub(crate) fn limit_of(&self, server: usize) -> Option<Rate> {
        let named = server < self.limited && self.limit_told;
        named.then_some(Rate::from_thousandths(self.limit))
    }

    /// Returns the mean time between two arrivals, in milliseconds.
    pub(crate) fn gap_ms(&self) -> f64 {
        let slow = self.slow_share as f64 / 100.0;
        let speed = (1.0 - slow) + slow * 100.0 / f64::from(self.slow_percent);
        let slots = self.servers as f64 * f64::from(self.usable_slots);
        let room = slots * speed / self.work_ms as f64;
        100.0 / (room * self.offered_percent as f64)
    }
}

/// How requests find their backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Strategy {
    /// By the hints of the gates.
    Adaptive,
    /// At random; the gates decide as ever.
    Random,
    /// From one queue that knows the pace and the free slots of all, without any delay.
    OneQueue,
}
