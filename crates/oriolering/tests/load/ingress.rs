//! A simulated node that receives requests from callers.

use oriolering::{FleetBudget, Millis, RequestCost, RouteEstimates, ServerEstimate};

use crate::settings::Load;

/// The id of the only route.
pub(crate) const ROUTE: u64 = 1;

pub(crate) struct Ingress {
    /// What the ingress knows about each backend server.
    pub(crate) estimates: Vec<ServerEstimate>,
    pub(crate) routes: RouteEstimates,
    /// The budget for second runs.
    pub(crate) budget: FleetBudget,
}

impl Ingress {
    pub(crate) fn new(load: &Load, number: usize) -> Self {
        let estimate = |server| {
            let mut estimate =
                ServerEstimate::new(Millis(0), load.slots, load.is_far(number, server));
            estimate.load.closed = load.is_down(server);
            estimate
        };
        let mut budget = FleetBudget::new(load.budget_percent, load.budget_window_ms);
        budget.set_slack(load.budget_slack, Some(load.ingresses as u64));
        Self {
            estimates: (0..load.servers).map(estimate).collect(),
            routes: RouteEstimates::default(),
            budget,
        }
    }

    /// Returns the estimated cost at `now` of a request that arrived at `arrived`.
    pub(crate) fn request_cost(&self, load: &Load, arrived: u64, now: u64) -> RequestCost {
        RequestCost {
            work_ms: self.routes.duration_ms(ROUTE, load.aim_ms),
            bytes: load.bytes,
            aim_ms: (arrived + load.aim_ms).saturating_sub(now),
        }
    }
}
