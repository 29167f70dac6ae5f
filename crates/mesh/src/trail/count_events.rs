//! Counts events for the metrics.

use super::Event;
use crate::counts::{CLASSES, Counts};

impl Counts {
    /// Counts an event, whether it is logged or not.
    pub(super) fn count(&self, event: &Event) {
        match event {
            Event::Unrouted { .. } => self.outcomes.add("unrouted"),
            Event::Unready { .. } => self.outcomes.add("unready"),
            Event::GivenUp { .. } => self.outcomes.add("given_up"),
            Event::Deadline { .. } => self.outcomes.add("deadline"),
            Event::Cancelled { .. } => self.outcomes.add("cancelled"),
            Event::BodyCut { .. } => self.outcomes.add("body_cut"),
            Event::Refused { why, .. } => self.refusals.add(why),
            Event::Dropped { .. } => self.dropped.add(1),
            Event::StoreLost { .. } => self.changes.add("store_lost"),
            Event::StoreBack { .. } => self.changes.add("store_back"),
            Event::StoreReturned { .. } => self.changes.add("store_returned"),
            Event::PeerUp { .. } => self.changes.add("peer_up"),
            Event::PeerLost { .. } => self.changes.add("peer_lost"),
            Event::PeerSuspected { .. } => self.changes.add("peer_suspected"),
            Event::PeerCleared { .. } => self.changes.add("peer_cleared"),
            Event::PeerGivenUp { .. } => self.changes.add("peer_given_up"),
            Event::ServerDown { .. } => self.changes.add("server_down"),
            Event::ServerUp { .. } => self.changes.add("server_up"),
            Event::RoutesTaken { .. } => self.changes.add("routes_taken"),
            Event::RoutesRejected { .. } => self.changes.add("routes_rejected"),
            Event::RequestQuarantined { .. } => self.changes.add("request_quarantined"),
            Event::RequestCleared { .. } => self.changes.add("request_cleared"),
            Event::SettingsReloaded { .. } => self.changes.add("settings_reloaded"),
            Event::ServerLimited { .. } => self.changes.add("server_limited"),
            Event::ServerUnlimited { .. } => self.changes.add("server_unlimited"),
            Event::ServerLeaves { .. } => self.changes.add("server_leaves"),
            Event::ServerCold { .. } => self.changes.add("server_cold"),
            Event::ServerWarm { .. } => self.changes.add("server_warm"),
            Event::ZoneEvacuated { .. } => self.changes.add("zone_evacuated"),
            Event::ZoneRestored { .. } => self.changes.add("zone_restored"),
            // Events of successful requests are created only if they are logged, so they are
            // counted where the decision is made.
            Event::Routed { .. }
            | Event::Chosen { .. }
            | Event::AttemptEnded { .. }
            | Event::Answered { .. }
            | Event::ResponseCut { .. }
            | Event::Queued { .. }
            | Event::Admitted { .. }
            | Event::Ran { .. }
            | Event::ExchangeBroke { .. }
            | Event::Suspected { .. }
            | Event::BudgetSpent { .. }
            | Event::Started { .. }
            | Event::Stopping { .. }
            | Event::Stopped { .. }
            | Event::SettingsRejected { .. }
            | Event::StoreCompacted { .. }
            | Event::StoreEraRejected { .. }
            | Event::StoreRead { .. }
            | Event::StoreItemRejected { .. }
            | Event::ListTaken { .. }
            | Event::ListConfirmed { .. }
            | Event::PeerGone { .. }
            | Event::NodeLinked { .. }
            | Event::NodeUnlinked { .. }
            | Event::WatchChanged { .. }
            | Event::ServerListed { .. }
            | Event::ServerGone { .. }
            | Event::LimitRejected { .. }
            | Event::AcceptFailed { .. }
            | Event::LinesDropped { .. } => {}
        }
    }

    /// Counts the end of an attempt.
    pub(super) fn attempt(&self, outcome: &str, again: bool) {
        self.attempts.add(outcome);
        self.second_tries.add(u64::from(again));
    }

    /// Counts an answer. The outcome of the node's `own` answers has been counted already.
    pub(super) fn answered(&self, status: u16, took_ms: u64, aim_ms: Option<u64>, own: bool) {
        let class = usize::from(status / 100).clamp(1, CLASSES.len()) - 1;
        self.answers.add(CLASSES[class]);
        self.request_ms.record(took_ms);
        self.late
            .add(u64::from(aim_ms.is_some_and(|aim| took_ms > aim)));
        if !own {
            self.outcomes.add("answered");
        }
    }

    /// Counts an exchange with the backend server.
    pub(super) fn ran(&self, outcome: &str, ran_ms: u64) {
        self.runs.add(outcome);
        self.run_ms.record(ran_ms);
    }
}
