//! Compares the choice policies on the same arrivals in a discrete-event simulation.
//!
//! A few ingresses send requests to one service of five backend servers with twelve slots each.
//! Arrivals are open-loop, and latency is measured from the intended send time. The latency of a
//! request that is refused, fails or is late counts as the deadline. The bound is a single queue
//! for all slots with the same arrivals and service times and without network latency; it excludes
//! the slots of a backend server that is slow or fails.
//!
//! Options: `--ingresses 5 --seconds 20 --seed 1 --loads 50,70 --faults none,straggler
//! --policies adaptive,random --shape even`.

mod arrivals;
mod run;

use oriolering::Policy;

use arrivals::{Request, draw_requests, single_queue_latencies};
use run::Run;

pub(crate) const SERVERS: usize = 5;
pub(crate) const SLOTS: usize = 12;
pub(crate) const ZONES: usize = 4;
pub(crate) const QUEUE: usize = 24;
pub(crate) const SERVICE_US: f64 = 10_000.0;
pub(crate) const DEADLINE_US: u64 = 1_000_000;
pub(crate) const FAULT_START_US: u64 = 5_000_000;
pub(crate) const SETTLE_US: u64 = 1_000_000;
pub(crate) const PAUSE_US: u64 = 50_000;
const POLICIES: [Policy; 5] = [
    Policy::Random,
    Policy::RoundRobin,
    Policy::LeastInFlight,
    Policy::TwoChoices,
    Policy::Adaptive,
];

/// Returns the p50, p99 and p99.9 latency in milliseconds, and the percentage of requests within
/// the deadline.
fn statistics(requests: &[Request], latency: &[u64], from: u64) -> [f64; 4] {
    let measured = requests.iter().zip(latency).filter(|(r, _)| r.at >= from);
    let mut sorted: Vec<u64> = measured.map(|(_, &us)| us).collect();
    sorted.sort_unstable();
    let quantile = |q: f64| sorted[((sorted.len() - 1) as f64 * q) as usize] as f64 / 1000.0;
    let good = sorted.iter().filter(|&&us| us < DEADLINE_US).count() as f64;
    let good = 100.0 * good / sorted.len() as f64;
    [quantile(0.5), quantile(0.99), quantile(0.999), good]
}

fn option(name: &str, default: &str) -> String {
    let mut args = std::env::args().skip_while(|arg| arg != name);
    args.nth(1).unwrap_or_else(|| default.to_owned())
}

fn main() {
    let number = |name, default| {
        option(name, default)
            .parse::<u64>()
            .expect("a whole number")
    };
    let ingresses = number("--ingresses", "5") as usize;
    let (seconds, seed) = (number("--seconds", "20"), number("--seed", "1"));
    let all_faults = "none,burst,subset,straggler,fail-fast,frozen,noisy,cold,shed,straggler+frozen,straggler+noisy";
    let faults = option("--faults", all_faults);
    let shape = option("--shape", "even");
    let selected = option("--policies", "");
    println!(
        "load fault             policy           p50    p99   p99.9  bound99 ratio bound999 ratio   good%"
    );
    for load in option("--loads", "50,70,85,95,120").split(',') {
        let share = load.parse::<f64>().expect("a load in percent") / 100.0;
        for fault in faults.split(',') {
            let requests = draw_requests(
                &shape,
                seed,
                share,
                fault.contains("burst"),
                ingresses,
                seconds,
            );
            let from = FAULT_START_US + if fault == "cold" { 0 } else { SETTLE_US };
            let loses_server = ["straggler", "fail-fast", "shed"]
                .iter()
                .any(|name| fault.contains(name));
            let slots = SLOTS * if loses_server { SERVERS - 1 } else { SERVERS };
            let [_, b99, b999, bgood] =
                statistics(&requests, &single_queue_latencies(&requests, slots), from);
            for policy in POLICIES {
                let name = format!("{policy:?}");
                if !selected.is_empty() && !selected.contains(&name.to_lowercase()) {
                    continue;
                }
                let run = Run::new(&requests, fault, policy, ingresses);
                let (latency, local) = run.run();
                let [p50, p99, p999, good] = statistics(&requests, &latency, from);
                println!(
                    "{load:>4} {fault:<17} {name:<14} {p50:>6.1} {p99:>6.1} {p999:>7.1} {b99:>8.1} \
                     {:>5.2} {b999:>8.1} {:>5.2}  {good:>6.2}/{bgood:.2} {local:>5.1}",
                    p99 / b99,
                    p999 / b999,
                );
            }
        }
    }
}
