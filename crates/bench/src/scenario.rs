//! One run of the policy experiment: a policy under a load and a fault.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use compact_str::format_compact;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::json;

use crate::backend_fault::Fault;
use crate::bound::one_queue;
use crate::call::{Call, Request, Told};
use crate::caller::Caller;
use crate::fleet::{Fleet, FleetPlan};
use crate::load::{Arrival, draw_exponential, poisson_times, run_load};
use crate::report::{Report, histogram};
use crate::signal::Signal;

const SERVICE: &str = "rack";
const SERVERS: usize = 5;
const SLOTS: usize = 12;
const MEAN_US: f64 = 20_000.0;
const DEADLINE_MS: u64 = 1_000;
const WARM_UP: Duration = Duration::from_secs(2);
/// How long after a fault its effect does not count.
const SETTLE: Duration = Duration::from_secs(1);

/// A fault that one backend server or node shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// No fault.
    None,
    /// Ten times slower.
    Straggler,
    /// Answers 500 at once.
    FailFast,
    /// Reports no load whatever it has.
    Lying,
    /// Every backend server pauses for 50 ms at random.
    Noisy,
    /// Restarts, and is ten times slower at first.
    Cold,
    /// Sheds all requests.
    Shed,
    /// The node stops for 2 s.
    Frozen,
}

impl Trouble {
    /// Every fault, without [`Self::None`].
    pub const ALL: [Self; 7] = [
        Self::Straggler,
        Self::FailFast,
        Self::Lying,
        Self::Noisy,
        Self::Cold,
        Self::Shed,
        Self::Frozen,
    ];

    fn fault(self) -> Fault {
        let mut fault = Fault::default();
        match self {
            Self::None | Self::Frozen => {}
            Self::Straggler => fault.straggle = 10.0,
            Self::FailFast => fault.fail_fast = true,
            Self::Lying => fault.lie = Some(0),
            Self::Noisy => fault.noisy = 100,
            Self::Cold => (fault.cold, fault.cold_ms) = (10.0, 3_000),
            Self::Shed => fault.shed = true,
        }
        fault
    }

    async fn begin(self, fleet: &mut Fleet) -> io::Result<()> {
        let victims = if self == Self::Noisy { SERVERS } else { 1 };
        if self == Self::Cold {
            fleet.members[0].restart_server()?;
            fleet.wait_ready().await?;
        }
        if self == Self::Frozen {
            fleet.members[0].node.signal(Signal::Stop);
            tokio::time::sleep(Duration::from_secs(2)).await;
            fleet.members[0].node.signal(Signal::Continue);
        }
        for member in &fleet.members[..victims] {
            member.set_fault(self.fault()).await;
        }
        Ok(())
    }
}

/// A policy under a load and a fault.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The name of the policy in the configuration.
    pub policy: &'static str,
    /// The load as a share of the slots.
    pub load: f64,
    /// The fault.
    pub trouble: Trouble,
    /// How long is measured.
    pub time: Duration,
    /// The seed of arrivals and service times.
    pub seed: u64,
}

/// What a scenario came to.
#[derive(Clone, Debug)]
pub struct Outcomes {
    /// Latencies and outcomes of the calls that count.
    pub report: Report,
    /// The quantiles 50, 99 and 99.9% of one queue over all slots, in milliseconds.
    pub bound_ms: [f64; 3],
    /// Whole answers within the deadline, as a share of what the slots can do.
    pub goodput: f64,
}

impl Scenario {
    /// Runs the scenario with a fleet of its own.
    ///
    /// # Errors
    ///
    /// Returns the error of a start.
    pub async fn run(&self) -> io::Result<Outcomes> {
        let plan = FleetPlan::new(SERVICE, SERVERS).settings(json!({
            "deadline_ms": DEADLINE_MS,
            // The ramp after a start is no part of the steady state that is measured.
            "ramp_ms": 0,
            "choice": { "policy": self.policy },
        }));
        let mut fleet = Fleet::start(&plan).await?;
        let mut entries = fleet.ingresses();
        if self.trouble == Trouble::Frozen {
            // What enters at a stopped node waits for it under every policy.
            entries.remove(0);
        }
        let arrivals = self.arrivals(&entries);
        let services: Vec<(u64, u64)> = arrivals.iter().map(scan_service).collect();
        let start = Instant::now();
        let caller = Caller::new(start);
        let harm = async {
            tokio::time::sleep(WARM_UP).await;
            self.trouble.begin(&mut fleet).await
        };
        let (calls, harmed) = tokio::join!(run_load(&caller, start, arrivals), harm);
        harmed?;
        Ok(self.judge(&calls, &services))
    }

    /// Returns arrivals whose service times do not depend on where they run.
    fn arrivals(&self, to: &[SocketAddr]) -> Vec<Arrival> {
        let mut rng = StdRng::seed_from_u64(self.seed ^ 0x5eed);
        let rate = self.load * (SERVERS * SLOTS) as f64 / (MEAN_US / 1e6);
        let end = WARM_UP + SETTLE + self.time;
        let times = poisson_times(self.seed, rate, end);
        let arrival = |(index, at): (usize, Duration)| {
            let target = to[rng.random_range(0..to.len())];
            let service = draw_exponential(&mut rng, MEAN_US) as u64;
            let nonce = format_compact!("{index}");
            let request = Request::new(target, SERVICE, "GET", &nonce);
            Arrival {
                at,
                label: 0,
                request: request.header("x-service-us", service),
            }
        };
        times.into_iter().enumerate().map(arrival).collect()
    }

    fn judge(&self, calls: &[Call], services: &[(u64, u64)]) -> Outcomes {
        let first = (WARM_UP + SETTLE).as_micros() as u64;
        let counted: Vec<&Call> = calls.iter().filter(|c| c.intended_us >= first).collect();
        let report = Report::new(counted.iter().copied());
        let mut bound = histogram();
        let latencies = one_queue(SERVERS * SLOTS, services);
        for (latency, (at, _)) in latencies.into_iter().zip(services) {
            if *at >= first {
                bound.saturating_record(latency);
            }
        }
        let in_time =
            |call: &&&Call| call.told == Told::Answer && call.latency_us() <= DEADLINE_MS * 1_000;
        let good = counted.iter().filter(in_time).count() as f64;
        let possible = (SERVERS * SLOTS) as f64 / (MEAN_US / 1e6) * self.time.as_secs_f64();
        Outcomes {
            report,
            bound_ms: [0.5, 0.99, 0.999].map(|q| bound.value_at_quantile(q) as f64 / 1_000.0),
            goodput: good / possible,
        }
    }
}

/// Returns arrival and service time in microseconds.
fn scan_service(arrival: &Arrival) -> (u64, u64) {
    let headers = &arrival.request.headers;
    let service = headers.iter().find(|(name, _)| *name == "x-service-us");
    let service = service.and_then(|(_, value)| value.parse().ok());
    (arrival.at.as_micros() as u64, service.unwrap_or(0))
}
