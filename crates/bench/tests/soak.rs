//! A short soak of real processes keeps every promise, with a fixed and with a fresh seed.

use std::time::Duration;

use oriolering_bench::soak::{Soak, run_soak};
use oriolering_platform::Bounds;
use rand::Rng;

/// How long faults come; with the start and the end a run stays under 40 s.
const LENGTH: Duration = Duration::from_secs(8);
/// Tighter than the platform's bound, so that the test is short.
const RECOVERY_MS: u64 = 5_000;
/// The least share of attempts that are served; the faults leave two thirds and more.
const SERVED: f64 = 0.5;
const FIXED: u64 = 20_262;

async fn assert_kept(seed: u64) {
    println!(
        "seed {seed}: cargo run -p oriolering-bench --example soak -- --seed {seed} --seconds 8"
    );
    let bounds = Bounds {
        recovery_ms: RECOVERY_MS,
        ..Bounds::default()
    };
    let soak = Soak {
        seed,
        length: LENGTH,
        bounds,
    };
    let outcome = run_soak(soak).await.unwrap();
    println!("seed {seed}: {}", outcome.summary);
    let breaches: Vec<String> = outcome.breaches.iter().map(ToString::to_string).collect();
    assert!(breaches.is_empty(), "{}", breaches.join("\n"));
    assert!(outcome.served > SERVED, "{}", outcome.summary);
}

#[ntex::main]
#[test]
async fn a_fixed_seed_keeps_every_promise() {
    assert_kept(FIXED).await;
}

#[ntex::main]
#[test]
async fn a_fresh_seed_keeps_every_promise() {
    // Short, so that it is easily typed again.
    assert_kept(rand::rng().random_range(0..1_000_000)).await;
}
