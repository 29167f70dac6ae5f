//! A node at which requests enter.

use oriolering::{FleetBudget, Load as Demand, Millis, Site, WorkTimes};

use crate::settings::Load;

/// The only route.
pub(crate) const ROUTE: u64 = 1;

pub(crate) struct Ingress {
    pub(crate) sites: Vec<Site>,
    pub(crate) work: WorkTimes,
    /// For second runs.
    pub(crate) budget: FleetBudget,
}

impl Ingress {
    pub(crate) fn new(load: &Load) -> Self {
        let site = || Site::new(Millis(0), load.slots, false);
        let mut budget = FleetBudget::new(load.budget_percent, load.budget_window_ms);
        budget.set_slack(load.budget_slack, Some(load.ingresses as u64));
        Self {
            sites: (0..load.servers).map(|_| site()).collect(),
            work: WorkTimes::default(),
            budget,
        }
    }

    /// Returns what a request asks of a backend server, as far as is known here.
    pub(crate) fn demand(&self, load: &Load) -> Demand {
        let work_ms = self.work.estimate(ROUTE, load.aim_ms);
        Demand { work_ms, bytes: 0 }
    }
}
