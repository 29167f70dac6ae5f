//! A process that was stopped past the deadline does no harm when it wakes.

use oriolering_bench::{FleetPlan, Mix, Process, Signal, Trial, block_on, seed_or};
use rstest::rstest;
use serde_json::json;

const DEADLINE_MS: u64 = 1_000;
const FROZEN_MS: u64 = 2_500;
const LATE_MS: u64 = 1_500;

#[derive(Clone, Copy, Debug)]
enum Victim {
    Node,
    Server,
    Both,
}

/// Stops and later continues one process after the other.
async fn freeze(trial: &mut Trial, number: usize, victim: Victim) {
    signal(trial, number, victim, Signal::Stop);
    trial.wait(FROZEN_MS).await;
    signal(trial, number, victim, Signal::Continue);
}

fn signal(trial: &mut Trial, number: usize, victim: Victim, signal: Signal) {
    let member = &mut trial.fleet.members[number];
    let victims: Vec<&mut Process> = match victim {
        Victim::Node => vec![&mut member.node],
        Victim::Server => vec![&mut member.server],
        Victim::Both => vec![&mut member.node, &mut member.server],
    };
    for process in victims {
        assert!(process.signal(signal));
    }
}

#[rstest]
#[case::node(Victim::Node, 21)]
#[case::backend_server(Victim::Server, 22)]
#[case::both(Victim::Both, 23)]
fn a_woken_process_runs_nothing_that_was_told_not_run(#[case] victim: Victim, #[case] seed: u64) {
    block_on(async move {
        let plan = FleetPlan::new("caja", 4).settings(json!({ "deadline_ms": DEADLINE_MS }));
        let mix = Mix::new(300.0, 9);
        let mut trial = Trial::start(&plan, &mix, seed_or(seed)).await.unwrap();
        trial.wait(1_500).await;
        freeze(&mut trial, 0, victim).await;
        trial.wait(1_000).await;
        freeze(&mut trial, 1, victim).await;
        let (_, verdict) = trial.finish(LATE_MS).await.unwrap();
        verdict.assert_kept(&format!("frozen {victim:?}"));
        assert!(verdict.answered() > 0.8, "{}", verdict.report);
    });
}
