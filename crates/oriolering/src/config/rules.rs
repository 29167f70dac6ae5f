//! The rules between the fields of one service or route.

use crate::config::fault::Fault;
use crate::config::json_node::JsonNode;
use crate::config::reader::join_path;
use crate::config::{Location, Measure, Problems, ServiceSettings};

/// Checks the rules between the fields of one service or route at one site.
pub(crate) struct RuleChecker<'a> {
    /// The merged fields that the files set.
    pub(crate) node: &'a JsonNode,
    /// The path of the service or route.
    pub(crate) path: &'a str,
    /// Returns whether the value of a field is faulty; rules about such fields are skipped.
    pub(crate) is_faulty: &'a dyn Fn(&str) -> bool,
    /// The name of the base file; problems are preferably reported for fields of another file.
    pub(crate) base: &'a str,
    pub(crate) problems: &'a mut Problems,
}

impl RuleChecker<'_> {
    /// Reports every rule that the service violates.
    pub(crate) fn check_service(&mut self, s: &ServiceSettings) {
        let slots = s.slots;
        let max = ("slots.max", u64::from(slots.max));
        let initial = ("slots.initial", u64::from(slots.initial));
        let deadline = ("deadline_ms", s.deadline_ms);
        self.require_at_most(("slots.min", u64::from(slots.min)), max);
        self.require_at_most(("slots.min", u64::from(slots.min)), initial);
        self.require_at_most(initial, max);
        let connections = ("connections", u64::from(s.connections));
        self.require_at_most(max, connections);
        if let Some(published) = slots.published {
            self.require_at_most(("slots.published", u64::from(published)), connections);
        }
        self.require_at_most(("queue.wait_ms", s.queue.wait_ms), deadline);
        self.require_at_most(("silence_ms", s.silence_ms), deadline);
        self.require_at_most(("hedge.after_ms", s.hedge.after_ms), deadline);
        let total = ("buffer.total_bytes", s.buffer.total_bytes);
        self.require_at_most(("buffer.answer_bytes", s.buffer.answer_bytes), total);
        self.check_measure(&s.measure);
        self.check_hedge(s);
    }

    /// Requires that a budget above 0 covers the polls of one gate; a budget of 0 turns measuring off.
    fn check_measure(&mut self, measure: &Measure) {
        if measure.budget_ms == 0 {
            return;
        }
        let budget = ("measure.budget_ms", measure.budget_ms);
        self.require_at_most(("measure.probe_ms", measure.probe_ms), budget);
        self.require_at_most(("measure.connect_ms", measure.connect_ms), budget);
        let spent = measure.probe_ms * 1_000 / measure.poll_ms;
        if measure.probe_ms <= measure.budget_ms && spent > measure.budget_ms {
            let other = format!(
                "one gate would spend {spent} ms per second, above measure.budget_ms, which is {}",
                measure.budget_ms
            );
            let fault = Fault::Conflict {
                found: measure.poll_ms.to_string(),
                other,
                remedy: "poll less often or raise the budget",
            };
            self.report(
                &["measure.poll_ms", "measure.budget_ms", "measure.probe_ms"],
                fault,
            );
        }
    }

    fn check_hedge(&mut self, service: &ServiceSettings) {
        let hedge = service.hedge;
        if hedge.after_ms == 0 {
            return;
        }
        let found = hedge.after_ms.to_string();
        if service.idempotent.is_empty() {
            let fault = Fault::Conflict {
                found: found.clone(),
                other: "idempotent names no method".to_owned(),
                remedy: "name the methods that may run twice, or set it to 0",
            };
            self.report(&["hedge.after_ms", "idempotent"], fault);
        }
        if hedge.percent == 0 {
            let fault = Fault::Conflict {
                found,
                other: "hedge.percent is 0".to_owned(),
                remedy: "raise hedge.percent, or set it to 0",
            };
            self.report(&["hedge.after_ms", "hedge.percent"], fault);
        }
    }

    /// Requires `low` to be at most `high`; a violation is reported for the field that the overlay
    /// sets.
    pub(crate) fn require_at_most(&mut self, low: (&str, u64), high: (&str, u64)) {
        if low.1 <= high.1 || self.any_faulty(&[low.0, high.0]) {
            return;
        }
        let lower = self.node.at(low.0);
        let upper = self.node.at(high.0);
        let is_overlaid = |node: &JsonNode| node.location.file != self.base;
        let reports_upper = match (lower, upper) {
            (Some(lower), Some(upper)) => is_overlaid(upper) && !is_overlaid(lower),
            (None, Some(_)) => true,
            (Some(_), None) | (None, None) => false,
        };
        if !reports_upper {
            let fault = Fault::AboveField {
                found: low.1,
                bound: high.0.into(),
                limit: high.1,
            };
            self.report(&[low.0], fault);
            return;
        }
        let fault = Fault::BelowField {
            found: high.1,
            bound: low.0.into(),
            limit: low.1,
        };
        self.report(&[high.0], fault);
    }

    /// Reports a fault of the first field. Its location is that of the first field that an overlay
    /// sets, or else of the first field that is set at all.
    pub(crate) fn report(&mut self, fields: &[&str], fault: Fault) {
        if self.any_faulty(fields) {
            return;
        }
        let location = self.location(fields);
        let path = join_path(self.path, fields[0]);
        self.problems.push(&location, &path, fault);
    }

    pub(crate) fn any_faulty(&self, fields: &[&str]) -> bool {
        fields.iter().any(|field| (self.is_faulty)(field))
    }

    pub(crate) fn location(&self, fields: &[&str]) -> Location {
        let nodes = || fields.iter().filter_map(|path| self.node.at(path));
        let overlaid = nodes().find(|node| node.location.file != self.base);
        let node = overlaid.or_else(|| nodes().next());
        node.unwrap_or(self.node).location.clone()
    }
}
