//! Latencies and outcomes of the calls of one run.

use std::collections::BTreeMap;
use std::fmt;

use hdrhistogram::Histogram;

use crate::call::{Call, Told};

const MAX_LATENCY_US: u64 = 600_000_000;
const DIGITS: u8 = 3;

/// Returns an empty histogram of microseconds.
///
/// # Panics
///
/// Never panics, as the bounds are constant.
pub fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_US, DIGITS).expect("the bounds are valid")
}

/// The result of one run.
#[derive(Clone, Debug)]
pub struct Report {
    /// Latencies of whole answers in microseconds, from the intended send time.
    pub latency: Histogram<u64>,
    /// How often callers were told what.
    pub outcomes: BTreeMap<String, u64>,
}

impl Report {
    /// Counts the calls that `keep` picks.
    pub fn new<'a>(calls: impl IntoIterator<Item = &'a Call>) -> Self {
        let mut report = Self {
            latency: histogram(),
            outcomes: BTreeMap::new(),
        };
        for call in calls {
            *report.outcomes.entry(label(call.told)).or_default() += 1;
            if call.told == Told::Answer {
                report.latency.saturating_record(call.latency_us());
            }
        }
        report
    }

    /// Returns a latency quantile in milliseconds.
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        self.latency.value_at_quantile(quantile) as f64 / 1_000.0
    }

    /// Returns the number of whole answers.
    pub fn answers(&self) -> u64 {
        self.latency.len()
    }

    /// Returns the number of calls.
    pub fn calls(&self) -> u64 {
        self.outcomes.values().sum()
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "p50 {:.2} ms, p99 {:.2} ms, p99.9 {:.2} ms;",
            self.quantile_ms(0.5),
            self.quantile_ms(0.99),
            self.quantile_ms(0.999)
        )?;
        for (outcome, count) in &self.outcomes {
            write!(f, " {outcome} {count}")?;
        }
        Ok(())
    }
}

/// Returns the name under which an outcome is counted.
pub fn label(told: Told) -> String {
    match told {
        Told::Answer => "answer".into(),
        Told::WrongAnswer => "wrong-answer".into(),
        Told::Status(status) => format!("status-{status}"),
        Told::Cut => "cut".into(),
        Told::Refused(outcome, cause) => {
            let cause = cause.map_or("none", oriolering::Cause::as_str);
            format!("{}/{cause}", outcome.as_str())
        }
        Told::Unsent => "unsent".into(),
        Told::Broken => "broken".into(),
        Told::GaveUp => "gave-up".into(),
    }
}
