//! A proptest runner with a fixed seed, so that every run tests the same cases.

use std::env;

use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// Returns a runner for `cases` cases with a fixed seed.
///
/// The environment variables `ORIOLERING_CASES` and `ORIOLERING_SEED` override the number of
/// cases and the seed.
pub(crate) fn runner(cases: u32) -> TestRunner {
    let seed = read_number("ORIOLERING_SEED").unwrap_or(0);
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    let config = Config {
        cases: read_number("ORIOLERING_CASES").map_or(cases, |count| count as u32),
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &bytes))
}

fn read_number(name: &str) -> Option<u64> {
    env::var(name).ok()?.parse().ok()
}
