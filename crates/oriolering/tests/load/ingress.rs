//! A node at which requests enter.

use oriolering::{FleetBudget, Millis, RequestCost as Demand, RouteEstimates, ServerEstimate};

use crate::settings::Load;

/// The only route.
pub(crate) const ROUTE: u64 = 1;

pub(crate) struct Ingress {
    pub(crate) sites: Vec<ServerEstimate>,
    pub(crate) work: RouteEstimates,
    /// For second runs.
    pub(crate) budget: FleetBudget,
}

impl Ingress {
    pub(crate) fn new(load: &Load, number: usize) -> Self {
        let site = |server| {
            let mut site = ServerEstimate::new(Millis(0), load.slots, load.is_far(number, server));
            site.load.closed = load.is_gone(server);
            site
        };
        let mut budget = FleetBudget::new(load.budget_percent, load.budget_window_ms);
        budget.set_slack(load.budget_slack, Some(load.ingresses as u64));
        Self {
            sites: (0..load.servers).map(site).collect(),
            work: RouteEstimates::default(),
            budget,
        }
    }

    /// Returns what a request that arrived at `arrived` asks of a backend server at `now`, as far
    /// as is known here.
    pub(crate) fn demand(&self, load: &Load, arrived: u64, now: u64) -> Demand {
        Demand {
            work_ms: self.work.duration_ms(ROUTE, load.aim_ms),
            bytes: load.bytes,
            aim_ms: (arrived + load.aim_ms).saturating_sub(now),
        }
    }
}
