//! Measuring the backend servers of a service never exceeds its budget.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use oriolering_bench::{Fleet, FleetPlan, Member, Signal, http_get, http_post};
use serde_json::{Value, json};

const NODES: usize = 4;
const PROBE_MS: u64 = 6;
const CONNECT_MS: u64 = 1;
/// Two polls of each node in a second.
const BUDGET_MS: u64 = 60;
/// One poll of each node in a second.
const LOWERED_MS: u64 = 28;
const WINDOW_MS: u64 = 1_000;
/// A node measures nothing before every other node must have counted it.
const MEASURING_MS: u64 = 66_000;
const PHASE_MS: u64 = 5_000;
const IN_FORCE_MS: u64 = 9_000;
const SAMPLE: Duration = Duration::from_millis(100);

fn plan(budget_ms: u64, poll_ms: u64) -> FleetPlan {
    FleetPlan::new("avondgids", NODES).settings(json!({
        "measure": {
            "budget_ms": budget_ms,
            "probe_ms": PROBE_MS,
            "connect_ms": CONNECT_MS,
            "poll_ms": poll_ms,
        },
    }))
}

fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_millis() as u64
}

/// Returns when the backend servers were asked for their health, in order.
async fn polls(members: &[Member]) -> Vec<u64> {
    let mut all: Vec<u64> = Vec::new();
    for member in members {
        let (_, body) = http_get(member.backend, "/_polls").await.unwrap();
        let polls: Vec<u64> = serde_json::from_slice(&body).unwrap();
        all.extend(polls);
    }
    all.sort_unstable();
    all
}

/// Returns the most that was spent in any second from `from` on, wherever the second starts.
fn most_spent(polls: &[u64], from: u64) -> u64 {
    let first = polls.partition_point(|&at| at < from);
    let polls = &polls[first..];
    let in_window = |(ix, &at): (usize, &u64)| {
        let end = polls.partition_point(|&other| other < at + WINDOW_MS);
        (end - ix) as u64
    };
    let most = polls.iter().enumerate().map(in_window).max();
    most.unwrap_or(0) * (PROBE_MS + CONNECT_MS)
}

/// Lets time pass while the sum of what the nodes say they have spent is checked.
async fn watch(fleet: &Fleet, ms: u64, stopped: Option<usize>, budget_ms: u64) {
    let end = now_ms() + ms;
    while now_ms() < end {
        let mut sum = 0.0;
        for (ix, member) in fleet.members.iter().enumerate() {
            if Some(ix) == stopped {
                continue;
            }
            if let Some((200, body)) = http_get(member.admin, "/status").await {
                let status: Value = serde_json::from_slice(&body).unwrap();
                sum += status["budget"]["spent_ms"].as_f64().unwrap();
            }
        }
        assert!(sum <= budget_ms as f64, "{sum} ms of {budget_ms} ms told");
        tokio::time::sleep(SAMPLE).await;
    }
}

/// Stops a node for a while and lets it go on.
async fn pause(fleet: &mut Fleet, ix: usize, budget_ms: u64) {
    assert!(fleet.members[ix].node.signal(Signal::Stop));
    watch(fleet, PHASE_MS, Some(ix), budget_ms).await;
    assert!(fleet.members[ix].node.signal(Signal::Continue));
    watch(fleet, PHASE_MS, None, budget_ms).await;
}

/// Publishes the lower budget and waits until every node has it in force.
async fn lower(fleet: &Fleet) {
    let value = plan(LOWERED_MS, 250).bundle();
    assert_eq!(
        http_post(fleet.address, "/_publish", &value).await,
        Some(200)
    );
    let end = now_ms() + IN_FORCE_MS;
    for member in &fleet.members {
        loop {
            let (_, body) = http_get(member.admin, "/status").await.unwrap();
            let status: Value = serde_json::from_slice(&body).unwrap();
            if status["revision"] == 2 {
                break;
            }
            assert!(now_ms() < end, "{} has not got the budget", member.id);
            tokio::time::sleep(SAMPLE).await;
        }
    }
}

/// Lists only the first `count` members.
async fn list_first(fleet: &Fleet, count: usize) {
    let members = fleet.members.iter().take(count);
    let entries: Vec<Value> = members.map(|member| member.entry("live")).collect();
    let list = json!({ "instances": entries });
    assert_eq!(
        http_post(fleet.address, "/_instances", &list).await,
        Some(202)
    );
}

#[ntex::main]
#[test]
async fn all_nodes_together_stay_within_the_budget() {
    let mut fleet = Fleet::start(&plan(BUDGET_MS, 100)).await.unwrap();
    watch(&fleet, MEASURING_MS, None, BUDGET_MS).await;
    let steady = now_ms();
    watch(&fleet, PHASE_MS, None, BUDGET_MS).await;
    let count = polls(&fleet.members).await.len();
    println!(
        "steady: at most {} ms of {BUDGET_MS} ms",
        most_spent(&polls(&fleet.members).await, steady)
    );
    assert!(count >= NODES * 3, "{count} polls");
    pause(&mut fleet, 1, BUDGET_MS).await;
    lower(&fleet).await;
    // What was spent under the old budget ages out.
    watch(&fleet, 2 * WINDOW_MS, None, BUDGET_MS).await;
    let lowered = now_ms();
    watch(&fleet, PHASE_MS, None, LOWERED_MS).await;
    // One node sleeps while the list shrinks, so that two lists are in use.
    assert!(fleet.members[0].node.signal(Signal::Stop));
    list_first(&fleet, 2).await;
    watch(&fleet, PHASE_MS, Some(0), LOWERED_MS).await;
    assert!(fleet.members[0].node.signal(Signal::Continue));
    for ix in 2..NODES {
        assert!(fleet.members[ix].node.signal(Signal::Terminate));
    }
    watch(&fleet, PHASE_MS, None, LOWERED_MS).await;
    for ix in 2..NODES {
        fleet.members[ix].restart_node().unwrap();
    }
    list_first(&fleet, NODES).await;
    watch(&fleet, PHASE_MS, None, LOWERED_MS).await;
    let polls = polls(&fleet.members).await;
    let (all, late) = (most_spent(&polls, 0), most_spent(&polls, lowered));
    println!(
        "{} polls: at most {all} ms of {BUDGET_MS} ms, then {late} of {LOWERED_MS} ms",
        polls.len()
    );
    assert!(all <= BUDGET_MS, "{all} ms of {BUDGET_MS} ms");
    assert!(
        late > 0 && late <= LOWERED_MS,
        "{late} ms of {LOWERED_MS} ms"
    );
}
