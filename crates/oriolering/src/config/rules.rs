//! The rules that hold between the fields of one service or route.

use crate::config::fault::Fault;
use crate::config::node::Node;
use crate::config::reader::join;
use crate::config::{Location, Measure, Problems, ServiceSettings};

/// The fields of one service or route at one site, with their locations.
pub(crate) struct Rules<'a> {
    /// The merged fields that were set in a file.
    pub(crate) node: &'a Node,
    /// The path of the service or route.
    pub(crate) path: &'a str,
    /// Tells of a field whether its value could not be taken; rules about it are left out.
    pub(crate) is_faulty: &'a dyn Fn(&str) -> bool,
    /// The name of the base file; a field of any other file is blamed first.
    pub(crate) base: &'a str,
    pub(crate) problems: &'a mut Problems,
}

impl Rules<'_> {
    /// Reports every rule that the service breaks.
    pub(crate) fn check_service(&mut self, s: &ServiceSettings) {
        let slots = s.slots;
        let max = ("slots.max", u64::from(slots.max));
        let initial = ("slots.initial", u64::from(slots.initial));
        let deadline = ("deadline_ms", s.deadline_ms);
        self.at_most(("slots.min", u64::from(slots.min)), max);
        self.at_most(("slots.min", u64::from(slots.min)), initial);
        self.at_most(initial, max);
        let connections = ("connections", u64::from(s.connections));
        self.at_most(max, connections);
        if let Some(published) = slots.published {
            self.at_most(("slots.published", u64::from(published)), connections);
        }
        self.at_most(("queue.wait_ms", s.queue.wait_ms), deadline);
        self.at_most(("silence_ms", s.silence_ms), deadline);
        self.at_most(("hedge.after_ms", s.hedge.after_ms), deadline);
        let total = ("buffer.total_bytes", s.buffer.total_bytes);
        self.at_most(("buffer.answer_bytes", s.buffer.answer_bytes), total);
        self.check_measure(&s.measure);
        self.check_hedge(s);
    }

    /// A budget of zero turns measuring off; any other must pay for one gate's polls.
    fn check_measure(&mut self, measure: &Measure) {
        if measure.budget_ms == 0 {
            return;
        }
        let budget = ("measure.budget_ms", measure.budget_ms);
        self.at_most(("measure.probe_ms", measure.probe_ms), budget);
        self.at_most(("measure.connect_ms", measure.connect_ms), budget);
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
            self.blame(
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
            self.blame(&["hedge.after_ms", "idempotent"], fault);
        }
        if hedge.percent == 0 {
            let fault = Fault::Conflict {
                found,
                other: "hedge.percent is 0".to_owned(),
                remedy: "raise hedge.percent, or set it to 0",
            };
            self.blame(&["hedge.after_ms", "hedge.percent"], fault);
        }
    }

    /// Requires `low` to be at most `high`; blames the field that the overlay sets.
    pub(crate) fn at_most(&mut self, low: (&str, u64), high: (&str, u64)) {
        if low.1 <= high.1 || self.skips(&[low.0, high.0]) {
            return;
        }
        let lower = self.node.at(low.0);
        let upper = self.node.at(high.0);
        let is_overlaid = |node: &Node| node.location.file != self.base;
        let blames_upper = match (lower, upper) {
            (Some(lower), Some(upper)) => is_overlaid(upper) && !is_overlaid(lower),
            (None, Some(_)) => true,
            (Some(_), None) | (None, None) => false,
        };
        if !blames_upper {
            let fault = Fault::Above {
                found: low.1,
                bound: high.0.into(),
                limit: high.1,
            };
            self.blame(&[low.0], fault);
            return;
        }
        let fault = Fault::Below {
            found: high.1,
            bound: low.0.into(),
            limit: low.1,
        };
        self.blame(&[high.0], fault);
    }

    /// Reports a fault of the first field, at the location of the first field that is set.
    pub(crate) fn blame(&mut self, fields: &[&str], fault: Fault) {
        if self.skips(fields) {
            return;
        }
        let location = self.location(fields);
        let path = join(self.path, fields[0]);
        self.problems.push(&location, &path, fault);
    }

    pub(crate) fn skips(&self, fields: &[&str]) -> bool {
        fields.iter().any(|field| (self.is_faulty)(field))
    }

    pub(crate) fn location(&self, fields: &[&str]) -> Location {
        let nodes = || fields.iter().filter_map(|path| self.node.at(path));
        let overlaid = nodes().find(|node| node.location.file != self.base);
        let node = overlaid.or_else(|| nodes().next());
        node.unwrap_or(self.node).location.clone()
    }
}
