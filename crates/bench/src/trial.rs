//! A fleet under mixed load, to which a proof does harm, and the verdict on it.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use compact_str::format_compact;
use ntex::util::Bytes;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::sync::oneshot;

use crate::backend_state::Runs;
use crate::call::{Call, Request, Told, Upload};
use crate::caller::Caller;
use crate::fleet::{Fleet, FleetPlan};
use crate::history::{Violation, check_history};
use crate::load::{Arrival, poisson_times, run_load};
use crate::report::Report;

const SEED_VARIABLE: &str = "ORIOLERING_SEED";
const LARGE_BYTES: usize = 200_000;

/// Returns the seed that the environment gives, or `default`.
pub fn seed_or(default: u64) -> u64 {
    let text = std::env::var(SEED_VARIABLE).ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Runs a proof on a runtime of its own.
pub fn block_on(proof: impl Future<Output = ()> + 'static) {
    ntex::rt::System::new("proof").block_on(proof);
}

/// The load of a trial.
#[derive(Clone, Copy, Debug)]
pub struct Mix {
    /// Calls a second.
    pub rate: f64,
    /// How long calls arrive.
    pub time: Duration,
    /// The share of calls that may not be repeated.
    pub posts: f64,
    /// The share of calls with a large body or answer.
    pub large: f64,
    /// Callers enter only at this many members, counted from the last; zero means all.
    pub entries: usize,
}

impl Mix {
    /// Returns a mix of half reads and half writes, one in twenty of them large.
    pub fn new(rate: f64, seconds: u64) -> Self {
        Self {
            rate,
            time: Duration::from_secs(seconds),
            posts: 0.5,
            large: 0.05,
            entries: 0,
        }
    }

    /// Draws the arrivals at the nodes of a fleet.
    pub fn arrivals(&self, fleet: &Fleet, seed: u64) -> Vec<Arrival> {
        let mut rng = StdRng::seed_from_u64(seed);
        let count = fleet.members.len();
        let skipped = match self.entries {
            0 => 0,
            entries => count.saturating_sub(entries),
        };
        let mut arrival = |(index, at): (usize, Duration)| {
            let entry = rng.random_range(skipped..count);
            let service = &fleet.members[rng.random_range(0..count)].service;
            let target = fleet.members[entry].ingress;
            Arrival {
                at,
                label: entry as u8,
                request: self.request(
                    &mut rng,
                    target,
                    service,
                    &format_compact!("t{seed}-{index}"),
                ),
            }
        };
        let times = poisson_times(seed, self.rate, self.time);
        times.into_iter().enumerate().map(&mut arrival).collect()
    }

    fn request(&self, rng: &mut StdRng, to: SocketAddr, service: &str, name: &str) -> Request {
        let post = rng.random_bool(self.posts);
        let method = if post { "POST" } else { "GET" };
        let nonce = format_compact!("{name}-{method}");
        let mut request = Request::new(to, service, method, &nonce);
        let large = rng.random_bool(self.large);
        if large {
            request.nonce.push_str("-large");
        }
        if post {
            let size = if large { LARGE_BYTES } else { nonce.len() };
            let body: Vec<u8> = nonce.bytes().cycle().take(size).collect();
            request.upload = Upload::Whole(Bytes::from(body));
        } else if large {
            request.answer_bytes = LARGE_BYTES as u64;
        }
        request
    }
}

/// A fleet under load.
#[derive(Debug)]
pub struct Trial {
    /// The fleet.
    pub fleet: Fleet,
    calls: oneshot::Receiver<Vec<Call>>,
}

/// What a trial showed.
#[derive(Debug)]
pub struct Verdict {
    /// All calls.
    pub calls: Vec<Call>,
    /// All runs.
    pub runs: Runs,
    /// Latencies and outcomes.
    pub report: Report,
    /// Promises broken.
    pub violations: Vec<Violation>,
}

impl Trial {
    /// Starts a fleet and its load.
    ///
    /// # Errors
    ///
    /// Returns the error of a start.
    pub async fn start(plan: &FleetPlan, mix: &Mix, seed: u64) -> io::Result<Self> {
        let fleet = Fleet::start(plan).await?;
        Ok(Self::attach(fleet, mix, seed))
    }

    /// Starts the load on a fleet that runs.
    pub fn attach(fleet: Fleet, mix: &Mix, seed: u64) -> Self {
        let arrivals = mix.arrivals(&fleet, seed);
        let (sender, calls) = oneshot::channel();
        ntex::rt::spawn(async move {
            let start = Instant::now();
            let calls = run_load(&Caller::new(start), start, arrivals).await;
            // The receiver is gone when the proof has failed already.
            let _ = sender.send(calls);
        });
        Self { fleet, calls }
    }

    /// Lets the load run for `ms`.
    pub async fn wait(&self, ms: u64) {
        tokio::time::sleep(Duration::from_millis(ms)).await;
    }

    /// Waits for all calls and for runs that come `late_ms` after them, then judges.
    ///
    /// # Errors
    ///
    /// Returns the error of a record, or one when the load has failed.
    pub async fn finish(mut self, late_ms: u64) -> io::Result<(Fleet, Verdict)> {
        let calls = (&mut self.calls).await.map_err(io::Error::other)?;
        self.wait(late_ms).await;
        let runs = self.fleet.runs()?;
        Ok((self.fleet, Verdict::new(calls, runs)))
    }
}

impl Verdict {
    /// Judges calls by the record of runs.
    pub fn new(calls: Vec<Call>, runs: Runs) -> Self {
        Self {
            report: Report::new(&calls),
            violations: check_history(&calls, &runs),
            calls,
            runs,
        }
    }

    /// Prints the report under a name.
    ///
    /// # Panics
    ///
    /// Panics when a promise was broken.
    pub fn assert_kept(&self, name: &str) {
        println!("{name}: {}", self.report);
        let shown: Vec<String> = self
            .violations
            .iter()
            .take(10)
            .map(ToString::to_string)
            .collect();
        assert!(
            shown.is_empty(),
            "{name}: {} promises broken; {}\n{}",
            self.violations.len(),
            self.report,
            shown.join("\n")
        );
    }

    /// Returns how many calls were told something that `pick` picks.
    pub fn count(&self, pick: impl Fn(Told) -> bool) -> usize {
        self.calls.iter().filter(|call| pick(call.told)).count()
    }

    /// Returns the share of calls with a whole answer.
    pub fn answered(&self) -> f64 {
        self.report.answers() as f64 / self.report.calls().max(1) as f64
    }
}
