//! The runner of property tests: the same cases on every run, others on request.

use std::env;

use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// Returns a runner of `cases` cases from a fixed seed.
///
/// `ORIOLERING_CASES` sets another number of cases, `ORIOLERING_SEED` another seed.
pub(crate) fn runner(cases: u32) -> TestRunner {
    let seed = read("ORIOLERING_SEED").unwrap_or(0);
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    let config = Config {
        cases: read("ORIOLERING_CASES").map_or(cases, |count| count as u32),
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &bytes))
}

fn read(name: &str) -> Option<u64> {
    env::var(name).ok()?.parse().ok()
}
