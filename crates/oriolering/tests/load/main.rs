//! Plays a load without a network, and compares what callers get with two other strategies.
//!
//! A part of the backend servers works several times slower than usual, and each 300 ms it is
//! another part. Hints are a moment old. Second runs are played where a test says so; crowding and
//! callers that come back are not. The figures are printed with `--nocapture`.

mod call;
mod events;
mod figures;
mod fleet;
mod gains;
mod gate;
mod ingress;
mod limits;
mod one_queue;
mod second_run;
mod server;
mod settings;
mod zones;

use figures::Figures;
use rstest::rstest;
use settings::{Load, Strategy};

/// The part of the runs that may be in vain, of one.
const VAIN_MAX: f64 = 0.05;
/// By how much of all requests more are answered within their aim than with a random choice,
/// as long as there is room for all.
const BEYOND_RANDOM: f64 = 0.10;
/// By how much of all requests fewer may be answered within their aim than from one queue that
/// knows everything at once.
const BELOW_QUEUE: f64 = 0.03;
/// The part of the refusals that come at once when there is room for three of four.
const AT_ONCE_MIN: f64 = 0.70;

fn play(load: Load, strategy: Strategy) -> Figures {
    let figures = fleet::play(load, strategy);
    let (offered, seed) = (load.offered_percent, load.seed);
    println!("{offered:3} % seed {seed} {strategy:?}: {figures}");
    figures
}

/// Checks what holds under any load, and returns the share that is answered within its aim.
fn check(load: Load, strategy: Strategy) -> f64 {
    let figures = play(load, strategy);
    let ends = figures.answered + figures.refused_at_once + figures.refused_later + figures.expired;
    assert_eq!(ends, figures.requests, "each request ends once");
    assert_eq!(figures.late, 0, "nothing ends after its deadline");
    assert!(figures.vain_share() <= VAIN_MAX, "{figures}");
    figures.aim_share()
}

fn load(offered_percent: u64, seed: u64) -> Load {
    Load {
        seed,
        ..Load::noisy_neighbours(offered_percent)
    }
}

#[rstest]
fn hints_beat_a_random_choice_clearly(
    #[values(30, 60, 90)] offered: u64,
    #[values(1, 2)] seed: u64,
) {
    let load = load(offered, seed);
    let adaptive = check(load, Strategy::Adaptive);
    let random = check(load, Strategy::Random);
    assert!(adaptive >= random + BEYOND_RANDOM);
}

#[rstest]
fn hints_come_close_to_a_single_queue(
    #[values(30, 60, 90, 130)] offered: u64,
    #[values(1, 2)] seed: u64,
) {
    let load = load(offered, seed);
    let adaptive = check(load, Strategy::Adaptive);
    let queue = check(load, Strategy::OneQueue);
    assert!(adaptive >= queue - BELOW_QUEUE);
}

#[rstest]
fn nobody_is_refused_while_there_is_room(
    #[values(30, 60)] offered: u64,
    #[values(1, 2)] seed: u64,
) {
    let figures = play(load(offered, seed), Strategy::Adaptive);
    assert_eq!(figures.answered, figures.requests);
}

#[rstest]
fn what_does_not_fit_is_refused_at_once(#[values(1, 2)] seed: u64) {
    let load = load(130, seed);
    let figures = play(load, Strategy::Adaptive);
    assert!(figures.at_once_share() >= AT_ONCE_MIN, "{figures}");
    // Too much for the fleet does not make it do less than it can.
    let room = 100.0 / load.offered_percent as f64;
    assert!(figures.answered as f64 >= 0.95 * room * figures.requests as f64);
}
