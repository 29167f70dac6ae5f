//! Planned stops of one node among real processes: nothing that it has taken is cut.

use oriolering_bench::soak::{StopPlan, run_planned_stop};
use rstest::rstest;

/// Guards against requests that come late in the grace period of a stopping node, are passed on, and
/// are cut without an answer when the process ends.
#[rstest]
#[case::usual(6_000, 67, 800, 8, 100)]
#[case::short_grace(3_000, 700, 1_500, 8, 400)]
#[case::very_short_grace(2_000, 300, 1_000, 8, 150)]
#[case::long_deadlines(6_000, 900, 6_000, 8, 500)]
#[case::long_deadlines_with_queues(6_000, 900, 6_000, 24, 200)]
#[case::long_work(10_000, 2_500, 8_000, 8, 700)]
#[case::rare(4_000, 500, 2_000, 2, 600)]
fn a_planned_stop_cuts_no_request(
    #[case] grace_ms: u64,
    #[case] work_ms: u64,
    #[case] deadline_ms: u64,
    #[case] clients: usize,
    #[case] pause_ms: u64,
) {
    let plan = StopPlan {
        seed: 44,
        grace_ms,
        work_ms,
        deadline_ms,
        clients,
        pause_ms,
    };
    let outcome = ntex::rt::System::new("planned stop").block_on(run_planned_stop(plan));
    let outcome = outcome.expect("the processes start");
    println!("{outcome:#?}");
    assert!(outcome.lost.is_empty(), "{} lost", outcome.lost.len());
    assert_eq!((outcome.twice, outcome.falsely_refused), (0, 0));
    assert!(outcome.sent > 0);
    assert!(outcome.ended_ms.is_some(), "the process had to be killed");
}
