//! Compares the results with and without second runs, and with and without sending back requests
//! that wait at a gate.
//!
//! The load is [`Load::noisy_neighbours`]: 24 backend servers of which a quarter is four times
//! slower, another quarter every 300 ms; 67 ms of work, a target latency of 200 ms and a deadline
//! of 800 ms.

use rstest::rstest;

use crate::results::Results;
use crate::settings::{Load, Strategy};
use crate::{QUEUE_LOSS_MAX, WASTED_MAX, load, simulate};

/// The fraction of all requests by which more are answered within the target latency with second
/// runs: while there is capacity for all, and close to capacity.
const SECOND_RUN_GAIN: f64 = 0.012;
const SECOND_RUN_GAIN_NEAR_FULL: f64 = 0.008;
/// The same for sending back: close to capacity, and above it.
const SEND_BACK_GAIN_NEAR_FULL: f64 = 0.001;
const SEND_BACK_GAIN_OVER_FULL: f64 = 0.003;
/// The fraction of all requests by which fewer may be answered at all if sending back answers
/// more within the target latency.
const SEND_BACK_LOSS_MAX: f64 = 0.05;
/// The largest loss where no gain is expected, as a fraction of all requests.
const LOSS_MAX: f64 = 0.005;
/// The gain of second runs over a single queue that sends each request once, while there is
/// capacity.
const QUEUE_GAIN_MIN: f64 = 0.01;

/// Simulates both loads; returns the results in the same order.
fn simulate_both(with: Load, without: Load) -> (Results, Results) {
    let with = simulate(with, Strategy::Adaptive);
    let without = simulate(without, Strategy::Adaptive);
    assert_eq!((with.late, without.late), (0, 0), "no response may be late");
    (with, without)
}

fn second_runs(offered: u64, seed: u64) -> (Results, Results) {
    let without = load(offered, seed);
    let with = Load {
        second_runs: true,
        ..without
    };
    simulate_both(with, without)
}

fn sending_back(offered: u64, seed: u64, second_runs: bool) -> (Results, Results) {
    let with = Load {
        second_runs,
        ..load(offered, seed)
    };
    let without = Load {
        sends_back: false,
        ..with
    };
    simulate_both(with, without)
}

fn answered(results: &Results) -> f64 {
    results.answered as f64 / results.requests as f64
}

#[rstest]
#[case::a_third_of_capacity(30, SECOND_RUN_GAIN)]
#[case::half_of_capacity(60, SECOND_RUN_GAIN)]
#[case::close_to_capacity(90, SECOND_RUN_GAIN_NEAR_FULL)]
#[case::above_capacity(130, -LOSS_MAX)]
fn second_runs_answer_more_within_their_aim(
    #[case] offered: u64,
    #[case] gain: f64,
    #[values(1, 2)] seed: u64,
) {
    let (with, without) = second_runs(offered, seed);
    assert!(with.aim_share() >= without.aim_share() + gain, "{with}");
    assert!(answered(&with) >= answered(&without) - LOSS_MAX, "{with}");
    assert!(with.wasted_share() <= WASTED_MAX, "{with}");
    assert_eq!(without.second_runs, 0);
}

#[rstest]
fn second_runs_stay_within_their_budget(
    #[values(30, 90, 130)] offered: u64,
    #[values(1, 2)] seed: u64,
) {
    // A budget small enough to be used up, so that its limit takes effect.
    let load = Load {
        second_runs: true,
        budget_percent: 1,
        budget_slack: 24,
        ..load(offered, seed)
    };
    let results = simulate(load, Strategy::Adaptive);
    let allowed = results.requests * load.budget_percent / 100 + load.budget_slack;
    assert!(results.second_runs > 0, "{results}");
    assert!(results.second_runs <= allowed, "{results}");
}

#[rstest]
#[case::a_third_of_capacity(30, -LOSS_MAX)]
#[case::half_of_capacity(60, -LOSS_MAX)]
#[case::close_to_capacity(90, SEND_BACK_GAIN_NEAR_FULL)]
#[case::above_capacity(130, SEND_BACK_GAIN_OVER_FULL)]
fn sending_back_answers_more_within_their_aim(
    #[case] offered: u64,
    #[case] gain: f64,
    #[values(1, 2)] seed: u64,
    #[values(false, true)] second_runs: bool,
) {
    let (with, without) = sending_back(offered, seed, second_runs);
    assert!(with.aim_share() >= without.aim_share() + gain, "{with}");
    assert!(
        answered(&with) >= answered(&without) - SEND_BACK_LOSS_MAX,
        "{with}"
    );
    assert_eq!(without.sent_back, 0);
}

#[rstest]
#[case::a_third_of_capacity(30, QUEUE_GAIN_MIN)]
#[case::half_of_capacity(60, QUEUE_GAIN_MIN)]
#[case::close_to_capacity(90, -QUEUE_LOSS_MAX)]
#[case::above_capacity(130, -QUEUE_LOSS_MAX)]
fn second_runs_are_no_worse_than_a_single_queue(
    #[case] offered: u64,
    #[case] gain: f64,
    #[values(1, 2)] seed: u64,
) {
    let load = Load {
        second_runs: true,
        ..load(offered, seed)
    };
    let adaptive = simulate(load, Strategy::Adaptive);
    let queue = simulate(load, Strategy::OneQueue);
    assert!(
        adaptive.aim_share() >= queue.aim_share() + gain,
        "{adaptive}"
    );
}
