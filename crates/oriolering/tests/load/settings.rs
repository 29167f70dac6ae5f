//! The parameters of a simulation: the fleet, the requests, and slow backend servers.

use oriolering::{CrossZoneCost, Rate};

use crate::callers::Behaviors;

/// The parameters of one simulation.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Load {
    /// The number of nodes that receive requests from callers.
    pub(crate) ingresses: usize,
    /// The number of backend servers, each behind its own gate.
    pub(crate) servers: usize,
    /// The published slots of a backend server.
    pub(crate) slots: u32,
    /// The number of slots of a backend server that can be used without slowing it down. The
    /// offered load and the single queue are based on these, however many slots a gate fills.
    pub(crate) usable_slots: u32,
    /// The processing time of a request at the usual speed, in milliseconds.
    pub(crate) work_ms: u64,
    /// The target latency, in milliseconds.
    pub(crate) aim_ms: u64,
    /// The deadline of a request after its arrival, in milliseconds.
    pub(crate) deadline_ms: u64,
    /// The percentage of backend servers that are slow at the same time.
    pub(crate) slow_share: usize,
    /// The processing time of a slow backend server, as a percentage of the usual.
    pub(crate) slow_percent: u32,
    /// The interval after which other backend servers are slow, in milliseconds.
    pub(crate) slow_interval_ms: u64,
    /// The delay of a load hint, in milliseconds.
    pub(crate) hint_ms: u64,
    /// The network latency between two nodes, in milliseconds.
    pub(crate) hop_ms: u64,
    /// The interval at which a gate measures the speed of its backend server, in milliseconds.
    pub(crate) probe_ms: u64,
    /// The change of a gate's load, in requests, after which it publishes its load.
    pub(crate) hint_step: u32,
    /// The number of refusals by gates after which a request is refused to its caller.
    pub(crate) refusals_max: usize,
    /// Whether a gate sends waiting requests back once its backend server has become slow.
    pub(crate) sends_back: bool,
    /// Whether second runs are enabled.
    pub(crate) second_runs: bool,
    /// The interval between two checks of a run, in milliseconds.
    pub(crate) check_ms: u64,
    /// The second runs allowed for all nodes together, as a percentage of the requests.
    pub(crate) budget_percent: u64,
    /// The number of second runs allowed in addition in each window.
    pub(crate) budget_slack: u64,
    /// The window of the budget, in milliseconds.
    pub(crate) budget_window_ms: u64,
    /// The number of availability zones; nodes are distributed evenly over them.
    pub(crate) zones: usize,
    /// The number of zones with backend servers; these are the first ones.
    pub(crate) served_zones: usize,
    /// The size of a request and its response, in bytes.
    pub(crate) bytes: u64,
    /// The additional network latency to another zone, in milliseconds.
    pub(crate) far_ms: u64,
    /// The cost of traffic to another zone.
    pub(crate) cross_zone_cost: CrossZoneCost,
    /// The number of backend servers of the first zone that are down.
    pub(crate) down: usize,
    /// The number of backend servers with a rate limit.
    pub(crate) limited: usize,
    /// The rate limit, in thousandths of a request per second.
    pub(crate) limit: u32,
    /// Whether gates and ingresses know the rate limit.
    pub(crate) limit_known: bool,
    /// The processing time in the first zone, as a percentage of that in the other zones.
    pub(crate) first_zone_percent: u32,
    /// The percentage of callers of other zones that have moved to the first one.
    pub(crate) shifted_percent: u32,
    /// How callers behave; by default, all of them accept refusals and wait.
    pub(crate) callers: Behaviors,
    /// The offered load, as a percentage of the capacity of the usable slots.
    pub(crate) offered_percent: u64,
    /// The time during which requests arrive, in milliseconds.
    pub(crate) duration_ms: u64,
    /// The seed of the random number generators.
    pub(crate) seed: u64,
}

impl Load {
    /// Returns a load in which a quarter of the backend servers is slowed down by neighbours, at
    /// `offered_percent` of the capacity.
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
            slow_interval_ms: 300,
            hint_ms: 2,
            hop_ms: 1,
            probe_ms: 50,
            hint_step: 3,
            refusals_max: 4,
            sends_back: true,
            second_runs: false,
            check_ms: 30,
            budget_percent: 20,
            budget_slack: 60,
            budget_window_ms: 10_000,
            zones: 1,
            served_zones: 1,
            bytes: 0,
            far_ms: 0,
            cross_zone_cost: CrossZoneCost::DEFAULT,
            down: 0,
            limited: 0,
            limit: 0,
            limit_known: true,
            first_zone_percent: 100,
            shifted_percent: 0,
            callers: Behaviors::default(),
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

    /// Returns whether a backend server is down from the start.
    pub(crate) fn is_down(&self, server: usize) -> bool {
        server.is_multiple_of(self.served_zones) && server / self.served_zones < self.down
    }

    /// Returns the known rate limit of a backend server.
    pub(crate) fn limit_of(&self, server: usize) -> Option<Rate> {
        let named = server < self.limited && self.limit_known;
        named.then_some(Rate::from_thousandths(self.limit))
    }

    /// Returns the mean time between two arrivals, in milliseconds.
    pub(crate) fn gap_ms(&self) -> f64 {
        let slow = self.slow_share as f64 / 100.0;
        let speed = (1.0 - slow) + slow * 100.0 / f64::from(self.slow_percent);
        let slots = self.servers as f64 * f64::from(self.usable_slots);
        let capacity = slots * speed / self.work_ms as f64;
        100.0 / (capacity * self.offered_percent as f64)
    }
}

/// How requests are assigned to backend servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Strategy {
    /// By the load hints of the gates.
    Adaptive,
    /// At random; gates may still refuse requests.
    Random,
    /// From a single queue that knows the speed and the free slots of all backend servers without
    /// delay.
    OneQueue,
}
