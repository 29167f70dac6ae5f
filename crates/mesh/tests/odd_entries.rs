//! Entries of other writers among those of the backend servers, on each way by which a node reads
//! the list.

mod support;

use std::time::Instant;

use rstest::rstest;
use support::raw::{run, sleep_ms};
use support::{Fleet, config, get};

/// The time by which a change in the store is in force, in milliseconds.
const APPLY_WITHIN_MS: u64 = 2_000;
/// The levels of a deeply nested value: more than a recursive parser has stack for.
const LEVELS: usize = 100_000;

/// Returns a valid entry with one field replaced by `field` and `value`, at an address without a
/// node.
fn entry_with(field: &str, value: &str) -> Vec<u8> {
    let mut fields = vec![
        ("service", "\"s\"".to_owned()),
        ("address", "\"127.255.255.1:8628\"".to_owned()),
        ("zone", "\"z\"".to_owned()),
        ("version", "\"1\"".to_owned()),
        ("slots", "8".to_owned()),
        ("state", "\"ready\"".to_owned()),
        ("cold_remaining_ms", "0".to_owned()),
        ("sequence", "1".to_owned()),
    ];
    fields.retain(|(name, _)| *name != field);
    fields.push((field, value.to_owned()));
    let fields: Vec<String> = fields
        .iter()
        .map(|(name, value)| format!("\"{name}\":{value}"))
        .collect();
    format!("{{{}}}", fields.join(",")).into_bytes()
}

fn nested(open: &str, close: &str) -> String {
    open.repeat(LEVELS) + &close.repeat(LEVELS)
}

/// The odd entries, each under a key of its own.
fn odd_entries() -> Vec<Vec<u8>> {
    let mut entries = vec![
        nested("[", "]").into_bytes(),
        "[".repeat(LEVELS).into_bytes(),
        nested("{\"a\":", "0}").into_bytes(),
        entry_with("extra", &nested("[", "]")),
        entry_with("state", &nested("[", "]")),
        b"\xff\xfe\x00".to_vec(),
        Vec::new(),
        b"{".to_vec(),
    ];
    let numbers = ["4294967295", "4294967296", "18446744073709551615"];
    let larger = ["18446744073709551616", "1e400", "-1", "1e19", "0.5"];
    for number in numbers.into_iter().chain(larger) {
        for field in ["slots", "cold_remaining_ms", "sequence", "born"] {
            entries.push(entry_with(field, number));
        }
    }
    let addresses = ["127.0.0.1:65536", "127.0.0.1:99999999999999999999"];
    let others = [
        "127.0.0.1:0",
        "127.0.0.1:-1",
        "127.0.0.1",
        "[::1]:70000",
        "[::1]:1",
        ":1",
    ];
    for address in addresses.into_iter().chain(others) {
        entries.push(entry_with("address", &format!("\"{address}\"")));
    }
    entries.push(entry_with("address", "70000"));
    entries
}

/// The key of an item that the store sends as another text.
const ODD_KEY: &str = r#""key":"servers/odd""#;

/// What is odd among the entries.
#[derive(Clone, Copy, Debug)]
enum Odd {
    /// The values of many entries.
    Values,
    /// The key of an item is no Unicode text.
    SurrogateKey,
    /// The key of an item is a number.
    NumericKey,
    /// An item has a deeply nested field.
    NestedField,
    /// An item has a field with a number that is too large.
    LargeNumber,
}

impl Odd {
    /// Returns what the store sends in place of the key of the odd item, or none if only the values
    /// are odd.
    fn key(self) -> Option<String> {
        match self {
            Self::Values => None,
            Self::SurrogateKey => Some(r#""key":"servers/\ud800""#.to_owned()),
            Self::NumericKey => Some(r#""key":70000"#.to_owned()),
            Self::NestedField => Some(format!(r#"{ODD_KEY},"extra":{}"#, nested("[", "]"))),
            Self::LargeNumber => Some(format!(r#"{ODD_KEY},"extra":1e400"#)),
        }
    }

    fn put(self, fleet: &Fleet) {
        if let Some(key) = self.key() {
            fleet.store.substitute(ODD_KEY, &key);
            let entry = entry_with("sequence", "2");
            return fleet.store.put_bytes("servers/odd", &entry);
        }
        for (number, entry) in odd_entries().iter().enumerate() {
            let key = format!("servers/odd-{number}");
            fleet.store.put_bytes(&key, entry);
        }
    }
}

/// Checks that all nodes serve, and that each one still applies a change of the list.
async fn assert_followed(fleet: &Fleet) {
    for index in 0..fleet.instances.len() {
        fleet.wait_ready(index).await;
        let now = Instant::now();
        fleet
            .wait_for_target(index, "/get/echo", now, APPLY_WITHIN_MS)
            .await;
    }
    fleet.publish(1, "draining");
    sleep_ms(APPLY_WITHIN_MS / 2).await;
    let leaving = &fleet.instances[1].backend;
    leaving.clear_requests();
    for index in 0..fleet.instances.len() {
        for _ in 0..10 {
            assert_eq!(fleet.call(index, &get("/get/echo")).await.status, 200);
        }
    }
    assert_eq!(leaving.total_requests(), 0);
}

/// How the nodes come to read the odd entries.
#[derive(Clone, Copy, Debug)]
enum Path {
    /// They are listed before the first start.
    FirstStart,
    /// They are written while nodes watch the store.
    Watch,
    /// A node without the store hears of them from its peers.
    Peers,
    /// A node is killed, and restarts with them in the list.
    Restart,
    /// The same, and all pages of the list have to be read.
    Pages,
}

// Guards against an odd entry that ends the processes that read the list, or makes them stop
// following it.
#[rstest]
fn odd_entries_end_no_node_and_the_others_hold(
    #[values(Path::FirstStart, Path::Watch, Path::Peers, Path::Restart, Path::Pages)] path: Path,
    #[values(
        Odd::Values,
        Odd::SurrogateKey,
        Odd::NumericKey,
        Odd::NestedField,
        Odd::LargeNumber
    )]
    odd: Odd,
) {
    run(async move {
        let mut fleet = Fleet::new(&["front", "s", "s"]).await;
        fleet.store.put("op/config", &config(1, "s"));
        match path {
            Path::FirstStart => odd.put(&fleet),
            Path::Watch | Path::Peers | Path::Restart => {}
            Path::Pages => fleet.store.set_page_size(7),
        }
        match path {
            Path::Peers => {
                fleet.start_without_store(0);
                fleet.start_one(1);
                fleet.start_one(2);
            }
            Path::FirstStart | Path::Watch | Path::Restart | Path::Pages => fleet.start_all(),
        }
        fleet.wait_all_serving().await;
        match path {
            Path::FirstStart => {}
            Path::Watch | Path::Peers => odd.put(&fleet),
            Path::Restart | Path::Pages => {
                fleet.kill(0).await;
                odd.put(&fleet);
                fleet.start_one(0);
            }
        }
        assert_followed(&fleet).await;
        for index in 0..fleet.instances.len() {
            assert!(fleet.is_running(index), "node {index} has ended");
        }
    });
}
