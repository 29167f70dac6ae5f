//! The revisions that nodes say are in force never go down and reach the newest in time.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use oriolering_bench::{Fleet, FleetPlan, Signal, http_get, http_post, seed_or};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use serde_json::{Value, json};

const NODES: usize = 6;
const IN_FORCE: Duration = Duration::from_secs(9);
const POLL: Duration = Duration::from_millis(50);
const FAULT_MS: u64 = 1_500;
const LARGE_BYTES: usize = 1_000_000;
const DEADLINES_MS: std::ops::Range<u64> = 1_000..5_000;

/// What one run of a node said about its revision, in the order of the answers.
#[derive(Clone, Debug, Default)]
struct Run {
    revisions: Vec<u64>,
}

/// The runs of each node, the one that goes on last.
type History = Rc<RefCell<Vec<Vec<Run>>>>;

/// A fleet whose nodes are asked for their revisions all the time.
struct Watched {
    fleet: Fleet,
    plan: FleetPlan,
    history: History,
    newest: u64,
    rng: StdRng,
}

impl Watched {
    async fn start(seed: u64) -> Self {
        let mut plan = FleetPlan::new("rack", NODES);
        plan.zones = ["huaraz", "carhuaz", "yungay"].map(Into::into).to_vec();
        let fleet = Fleet::start(&plan).await.unwrap();
        let history = Rc::new(RefCell::new(vec![vec![Run::default()]; NODES]));
        for (ix, member) in fleet.members.iter().enumerate() {
            ntex::rt::spawn(watch(ix, member.admin, Rc::clone(&history)));
        }
        Self {
            fleet,
            plan,
            history,
            newest: 1,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Returns a new valid value.
    fn draw(&mut self) -> Value {
        let deadline = self.rng.random_range(DEADLINES_MS);
        let plan = self.plan.clone();
        plan.settings(json!({ "deadline_ms": deadline })).bundle()
    }

    async fn publish(&mut self) {
        let value = self.draw();
        self.publish_value(&value).await;
    }

    async fn publish_value(&mut self, value: &Value) {
        let status = http_post(self.fleet.address, "/_publish", value).await;
        assert_eq!(status, Some(200));
        self.newest += 1;
    }

    async fn switch(&self, mode: &str, scope: &str) {
        let switch = json!({ "mode": mode, "scope": scope });
        let status = http_post(self.fleet.address, "/_mode", &switch).await;
        assert_eq!(status, Some(200));
    }

    /// Returns the status of a node that runs.
    async fn status(&self, ix: usize) -> Value {
        status(self.fleet.members[ix].admin).await.unwrap()
    }

    fn revision(&self, ix: usize) -> u64 {
        let history = self.history.borrow();
        let last = history[ix].last().and_then(|run| run.revisions.last());
        last.copied().unwrap_or(0)
    }

    /// Waits until every node says that `revision` is in force.
    async fn assert_in_force(&self, revision: u64, fault: &str) {
        let start = Instant::now();
        while !(0..NODES).all(|ix| self.revision(ix) >= revision) {
            let seen: Vec<u64> = (0..NODES).map(|ix| self.revision(ix)).collect();
            assert!(
                start.elapsed() < IN_FORCE,
                "{fault}: {revision} in {seen:?}"
            );
            wait(20).await;
        }
        println!("{fault}: in force after {} ms", start.elapsed().as_millis());
    }

    async fn replace(&mut self, ix: usize) {
        self.fleet.members[ix].node.kill();
        self.history.borrow_mut()[ix].push(Run::default());
        self.fleet.members[ix].restart_node().unwrap();
    }

    /// Checks that no run of a node went back, and how much was seen.
    fn assert_never_reverted(&self) {
        let history = self.history.borrow();
        for (ix, run) in history.iter().enumerate().flat_map(|(ix, runs)| {
            let with_node = move |run| (ix, run);
            runs.iter().map(with_node)
        }) {
            let revisions = &run.revisions;
            assert!(revisions.is_sorted(), "rack-{ix} reverted: {revisions:?}");
        }
        let answers = history.iter().flatten().map(|run| run.revisions.len());
        println!("{} answers checked", answers.sum::<usize>());
    }
}

async fn wait(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}

async fn status(admin: std::net::SocketAddr) -> Option<Value> {
    let (_, body) = http_get(admin, "/status").await?;
    serde_json::from_slice(&body).ok()
}

/// Asks a node for its revision; an answer that a restart overlaps is left out.
async fn watch(ix: usize, admin: std::net::SocketAddr, history: History) {
    loop {
        let run = history.borrow()[ix].len();
        let answer = status(admin).await;
        let revision = answer.and_then(|status| status["revision"].as_u64());
        if let Some(revision) = revision {
            note(&history, ix, run, revision);
        }
        tokio::time::sleep(POLL).await;
    }
}

fn note(history: &History, ix: usize, run: usize, revision: u64) {
    let mut history = history.borrow_mut();
    let runs = &mut history[ix];
    if runs.len() == run {
        runs[run - 1].revisions.push(revision);
    }
}

#[rstest]
#[case::down("down")]
#[case::stale("stale")]
fn a_service_that_fails_delays_only_what_it_hides(#[case] mode: &'static str) {
    oriolering_bench::block_on(async move {
        let mut watched = Watched::start(seed_or(61)).await;
        watched.publish().await;
        watched.assert_in_force(2, "up").await;
        watched.switch(mode, "all").await;
        watched.publish().await;
        wait(FAULT_MS).await;
        watched.switch("up", "all").await;
        watched.assert_in_force(3, mode).await;
        watched.publish().await;
        watched.assert_in_force(4, "up again").await;
        watched.assert_never_reverted();
    });
}

#[ntex::main]
#[test]
async fn a_flapping_service_reverts_nothing() {
    let mut watched = Watched::start(seed_or(62)).await;
    watched.publish().await;
    watched.assert_in_force(2, "up").await;
    watched.switch("flap", "all").await;
    wait(FAULT_MS).await;
    watched.publish().await;
    watched.assert_in_force(3, "flapping").await;
    wait(FAULT_MS).await;
    watched.assert_never_reverted();
    let mut older = 0;
    for ix in 0..NODES {
        let status = watched.status(ix).await;
        older += status["control"]["ignored"]["older"].as_u64().unwrap();
    }
    println!("{older} older values ignored");
    assert!(older > 0, "no node was offered the older value");
}

#[ntex::main]
#[test]
async fn operators_who_race_end_with_the_newest_revision() {
    let mut watched = Watched::start(seed_or(63)).await;
    for _ in 0..3 {
        let (one, two) = (watched.draw(), watched.draw());
        let address = watched.fleet.address;
        let (first, second) = tokio::join!(
            http_post(address, "/_publish", &one),
            http_post(address, "/_publish", &two)
        );
        assert_eq!((first, second), (Some(200), Some(200)));
        watched.newest += 2;
        watched.assert_in_force(watched.newest, "race").await;
    }
    watched.assert_never_reverted();
}

#[ntex::main]
#[test]
async fn an_overlay_that_makes_the_set_wrong_is_kept_out_everywhere() {
    let mut watched = Watched::start(seed_or(64)).await;
    watched.publish().await;
    watched.assert_in_force(2, "up").await;
    let mut wrong = watched.draw();
    let overlay = json!({ "services": { "rack": { "deadline_ms": 0 } } });
    wrong["overlays"]["yungay"] = Value::from(overlay.to_string());
    watched.publish_value(&wrong).await;
    wait(2 * FAULT_MS).await;
    let mut visible = 0;
    for ix in 0..NODES {
        let status = watched.status(ix).await;
        assert_eq!(status["revision"], 2, "rack-{ix}");
        let rejected = status["control"]["rejected"].as_array().unwrap();
        let named = rejected.iter().any(|entry| {
            let reason = entry["reason"].as_str().unwrap_or_default();
            entry["revision"] == 3 && reason.contains("deadline_ms")
        });
        visible += usize::from(named);
    }
    println!("the error is in the status of {visible} of {NODES} nodes");
    assert!(visible > 0);
    watched.publish().await;
    watched.assert_in_force(4, "mended").await;
    watched.assert_never_reverted();
}

#[ntex::main]
#[test]
async fn a_value_at_its_limit_comes_into_force() {
    let mut watched = Watched::start(seed_or(65)).await;
    for _ in 0..2 {
        let mut value = watched.draw();
        let base = value["base"].as_str().unwrap().to_owned();
        let room = LARGE_BYTES - value.to_string().len() - 16;
        let noise: String = (0..room / 17)
            .map(|_| format!("{:016x} ", watched.rng.random::<u64>()))
            .collect();
        value["base"] = Value::from(format!("// {noise}\n{base}"));
        assert!(value.to_string().len() > LARGE_BYTES - 100);
        watched.publish_value(&value).await;
        watched.assert_in_force(watched.newest, "1 MB").await;
    }
    watched.assert_never_reverted();
}

#[ntex::main]
#[test]
async fn replaced_nodes_learn_from_peers_while_the_service_is_down() {
    let mut watched = Watched::start(seed_or(66)).await;
    watched.publish().await;
    watched.assert_in_force(2, "up").await;
    watched.switch("down", "config").await;
    for ix in 0..NODES {
        watched.replace(ix).await;
        watched.assert_in_force(2, "replaced").await;
    }
    watched.switch("up", "config").await;
    watched.publish().await;
    watched.assert_in_force(3, "up again").await;
    watched.assert_never_reverted();
}

#[ntex::main]
#[test]
async fn a_stopped_node_catches_up_when_it_wakes() {
    let mut watched = Watched::start(seed_or(67)).await;
    watched.publish().await;
    watched.assert_in_force(2, "up").await;
    let stopped = watched.rng.random_range(0..NODES);
    assert!(watched.fleet.members[stopped].node.signal(Signal::Stop));
    watched.publish().await;
    watched.publish().await;
    wait(2 * FAULT_MS).await;
    // It wakes while the service serves the value before the newest as well.
    watched.switch("flap", "config").await;
    assert!(watched.fleet.members[stopped].node.signal(Signal::Continue));
    watched.assert_in_force(4, "woken").await;
    watched.assert_never_reverted();
}
