//! Tests of the shares of a slack while node lists differ and processes restart.

use oriolering::{FleetBudget, Millis, SlackShare};
use proptest::prelude::*;

const WINDOW_MS: u64 = 4_000;

/// The current process of a node.
struct Process {
    share: SlackShare,
    budget: FleetBudget,
}

impl Process {
    fn start(now: u64, first: bool, nodes: u64) -> Self {
        let mut share = SlackShare::new(Millis(now), first);
        share.observe_nodes(nodes);
        Self {
            share,
            budget: FleetBudget::new(0, WINDOW_MS),
        }
    }

    /// Sends a repeat if it is allowed.
    fn repeat(&mut self, now: u64, slack: u64) -> bool {
        let now = Millis(now);
        self.budget
            .set_slack(slack, self.share.nodes(now, WINDOW_MS));
        let allowed = self.budget.reserve(now);
        if allowed {
            self.budget.record_arrival(now);
        }
        allowed
    }
}

#[derive(Clone, Copy, Debug)]
enum Event {
    /// The node tries to send this many repeats.
    Repeats(u8),
    /// The node receives a list of this many nodes.
    List(u64),
    /// The process of the node restarts.
    Start,
}

fn events(nodes: usize) -> impl Strategy<Value = Vec<(u64, usize, Event)>> {
    let event = prop_oneof![
        6 => (1..20_u8).prop_map(Event::Repeats),
        2 => (1..=nodes as u64).prop_map(Event::List),
        1 => Just(Event::Start),
    ];
    prop::collection::vec((0..400_u64, 0..nodes, event), 1..300)
}

/// Simulates a fleet, and returns the times at which any node sent a repeat.
fn simulate(nodes: usize, slack: u64, events: &[(u64, usize, Event)]) -> Vec<u64> {
    let all = nodes as u64;
    let mut processes: Vec<Process> = (0..nodes).map(|_| Process::start(0, true, all)).collect();
    let (mut sent, mut now) = (Vec::new(), 0);
    for (pause, node, event) in events {
        now += pause;
        let process = &mut processes[*node];
        match event {
            Event::Repeats(wanted) => {
                let allowed = (0..*wanted).filter(|_| process.repeat(now, slack));
                sent.extend(allowed.map(|_| now));
            }
            Event::List(named) => process.share.observe_nodes(*named),
            Event::Start => *process = Process::start(now, false, all),
        }
    }
    sent
}

proptest! {
    #[test]
    fn shares_of_all_nodes_stay_within_the_slack_despite_short_lists_and_restarts(
        (nodes, events) in (1..9_usize).prop_flat_map(|nodes| (Just(nodes), events(nodes))),
        slack in 0..80_u64,
    ) {
        let sent = simulate(nodes, slack, &events);
        for from in &sent {
            let within = sent.iter().filter(|at| (*from..from + WINDOW_MS).contains(at));
            let count = within.count() as u64;
            prop_assert!(count <= slack, "{count} repeats, {slack} allowed");
        }
    }
}

#[test]
fn restarted_process_has_no_share_for_one_window() {
    let mut share = SlackShare::new(Millis(5), false);
    share.observe_nodes(3);
    assert_eq!(share.nodes(Millis(4_004), WINDOW_MS), None);
    assert_eq!(share.nodes(Millis(4_005), WINDOW_MS), Some(3));
}

#[test]
fn shorter_list_does_not_increase_a_share() {
    let mut share = SlackShare::new(Millis(0), true);
    for nodes in [3, 13, 2] {
        share.observe_nodes(nodes);
    }
    assert_eq!(share.nodes(Millis(0), WINDOW_MS), Some(13));
}

#[test]
fn fraction_of_the_slack_is_added_to_the_requests_before_rounding() {
    let mut budget = FleetBudget::new(20, WINDOW_MS);
    budget.set_slack(13, Some(20));
    (0..8).for_each(|_| budget.deposit(Millis(0)));
    // Four fifths of the sum of 1.6 (requests) and 0.65 (slack).
    assert!(budget.reserve(Millis(0)));
    assert!(!budget.reserve(Millis(0)));
}
