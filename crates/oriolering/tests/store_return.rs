//! The store comes back from a copy: which of two eras the list of backend servers believes.

use std::collections::BTreeMap;

use oriolering::{Millis, ServerList, ServerRecord, ServerState, ServerUpdate, StorePosition};
use proptest::prelude::*;
use rstest::rstest;

/// How long earlier knowledge is kept, in milliseconds.
const KEEP_MS: u64 = 2_000;
const NOW: Millis = Millis(1_000);
/// The last revision of the first era, and where the next one is read first.
const LAST: u64 = 100;
const RETURN: StorePosition = StorePosition {
    era: 2,
    revision: 91,
};

use ServerState::{Draining, Ready};

fn at(era: u64, revision: u64) -> StorePosition {
    StorePosition::new(era, revision)
}

fn record(id: &str, state: ServerState, born: Option<u64>) -> ServerRecord {
    ServerRecord {
        id: id.into(),
        service: "s".into(),
        address: "10.0.0.1:80".parse().expect("an address"),
        zone: "z".into(),
        slots: 4,
        state,
        cold_ms: 0,
        sequence: 0,
        born,
    }
}

fn update(id: &str, position: StorePosition, record: Option<ServerRecord>) -> ServerUpdate {
    ServerUpdate {
        id: id.into(),
        position,
        record,
        lapsed: false,
        kept: None,
    }
}

/// Returns the state in which each backend server is listed.
fn states(list: &ServerList) -> BTreeMap<String, ServerState> {
    let servers = list.servers();
    servers.map(|r| (r.id.to_string(), r.state)).collect()
}

fn state_of(list: &ServerList) -> Option<ServerState> {
    states(list).get("a").copied()
}

/// Returns the list of a node that knows one backend server, up to the end of the first era.
fn list_knowing(known: &[(u64, Option<ServerState>, Option<u64>)]) -> ServerList {
    let mut list = ServerList::default();
    for (revision, state, born) in known {
        let record = state.map(|state| record("a", state, *born));
        list.apply(NOW, update("a", at(1, *revision), record));
    }
    list.advance(at(1, LAST));
    list
}

#[rstest]
// The copy says what is known.
#[case::unchanged(&[(5, Some(Ready), None)], Some((5, Ready, None)), Some(Ready), Some(Ready))]
// It was lost with the changes since the copy, and is written again if it lives.
#[case::joined_after_the_copy(&[(95, Some(Ready), None)], None, Some(Ready), None)]
#[case::drained_after_the_copy(&[(5, Some(Ready), None), (95, Some(Draining), None)],
    Some((5, Ready, None)), Some(Draining), Some(Ready))]
#[case::gone_after_the_copy(&[(5, Some(Ready), None), (95, None, None)],
    Some((5, Ready, None)), None, Some(Ready))]
#[case::restarted_after_the_copy(&[(5, Some(Draining), Some(1)), (95, Some(Ready), Some(2))],
    Some((5, Draining, Some(1))), Some(Ready), Some(Draining))]
// Written after the return: with a higher revision than any that was known, or by a later run.
#[case::ready_again(&[(95, None, None)], Some((101, Ready, None)), Some(Ready), Some(Ready))]
#[case::a_later_run(&[(95, Some(Draining), Some(1))], Some((92, Ready, Some(2))), Some(Ready), Some(Ready))]
// A drain is never undone by the copy, so it was written after the return.
#[case::drains_now(&[(95, Some(Ready), None)], Some((92, Draining, None)), Some(Draining), Some(Draining))]
fn what_is_believed_after_a_return(
    #[case] known: &[(u64, Option<ServerState>, Option<u64>)],
    #[case] listed: Option<(u64, ServerState, Option<u64>)>,
    #[case] at_once: Option<ServerState>,
    #[case] later: Option<ServerState>,
) {
    let mut list = list_knowing(known);
    let listed = listed.map(|(revision, state, born)| {
        update("a", at(2, revision), Some(record("a", state, born)))
    });
    let returned = list.replace(NOW, listed.into_iter().collect(), RETURN, false);
    assert_eq!(
        returned.map(|r| (r.before, r.after)),
        Some((at(1, LAST), RETURN))
    );
    assert_eq!(state_of(&list), at_once);
    list.expire(NOW + (KEEP_MS - 1));
    assert_eq!(state_of(&list), at_once);
    list.expire(NOW + KEEP_MS);
    assert_eq!(state_of(&list), later);
}

#[test]
fn nothing_of_an_earlier_era_is_applied() {
    let mut list = list_knowing(&[(5, Some(Ready), None)]);
    list.replace(NOW, Vec::new(), RETURN, false);
    let late = update("b", at(1, LAST), Some(record("b", Ready, None)));
    assert!(!list.apply(NOW, late.clone()));
    list.replace(NOW, vec![late], at(1, LAST + 9), false);
    assert_eq!(list.position(), RETURN);
    assert!(!states(&list).contains_key("b"));
}

#[test]
fn a_change_after_the_return_ends_what_is_kept() {
    let mut list = list_knowing(&[(5, Some(Ready), None), (95, None, None)]);
    let copied = update("a", at(2, 5), Some(record("a", Ready, None)));
    list.replace(NOW, vec![copied], RETURN, false);
    assert_eq!(state_of(&list), None);
    let again = update("a", at(2, 92), Some(record("a", Ready, Some(7))));
    assert!(list.apply(NOW, again));
    assert_eq!(state_of(&list), Some(Ready));
}

#[test]
fn a_second_return_keeps_what_was_known_before_the_first() {
    let mut list = list_knowing(&[(5, Some(Ready), None), (95, None, None)]);
    let copied = |era| update("a", at(era, 5), Some(record("a", Ready, None)));
    list.replace(NOW, vec![copied(2)], RETURN, false);
    list.replace(NOW + 500, vec![copied(4)], at(4, 60), false);
    list.expire(NOW + KEEP_MS);
    assert_eq!(state_of(&list), None);
    list.expire(NOW + KEEP_MS + 500);
    assert_eq!(state_of(&list), Some(Ready));
}

/// A node without the knowledge learns it from a peer, as long as the peer believes it.
#[rstest]
#[case::of_the_first_era(list_knowing(&[(5, Some(Ready), None)]))]
#[case::that_just_started(ServerList::default())]
fn what_a_peer_keeps_is_passed_on(#[case] mut other: ServerList) {
    let mut list = list_knowing(&[(5, Some(Ready), None), (95, None, None)]);
    let copied = update("a", at(2, 5), Some(record("a", Ready, None)));
    list.replace(NOW, vec![copied], RETURN, false);
    let later = NOW + 700;
    other.merge(later, list.updates_since(later, other.position()));
    assert_eq!(state_of(&other), None);
    other.expire(NOW + KEEP_MS);
    assert_eq!(state_of(&other), Some(Ready));
}

#[test]
fn a_position_orders_by_era_first() {
    let mut positions = [at(2, 1), at(0, 900), at(1, 7), at(2, 0), at(1, 6)];
    positions.sort();
    assert_eq!(
        positions,
        [at(0, 900), at(1, 6), at(1, 7), at(2, 0), at(2, 1)]
    );
    assert_eq!(at(2, 30).to_string(), "2:30");
}

/// A change of one backend server: its number, and its state or none when it is removed.
type Write = (u8, Option<ServerState>);

/// The store of the model: its history by era.
#[derive(Clone, Debug)]
struct Model {
    eras: Vec<Vec<Write>>,
    /// How many of the first era's changes are in the copy.
    copied: usize,
}

impl Model {
    /// Returns the changes of an era from its beginning, with their positions.
    fn history(&self, era: usize) -> Vec<ServerUpdate> {
        let copied = &self.eras[0][..self.copied.min(self.eras[0].len())];
        let writes: Vec<Write> = match era {
            0 => self.eras[0].clone(),
            _ => copied.iter().chain(&self.eras[era]).copied().collect(),
        };
        let changes = writes.into_iter().enumerate();
        changes
            .map(|(i, (id, state))| {
                let id = format!("s{id}");
                let record = state.map(|state| record(&id, state, None));
                update(&id, at(era as u64 + 1, i as u64 + 1), record)
            })
            .collect()
    }

    /// Returns a complete read of an era after its first `count` changes.
    fn read(&self, era: usize, count: usize) -> (Vec<ServerUpdate>, StorePosition) {
        let history = self.history(era);
        let count = count.min(history.len()).max(1.min(history.len()));
        let mut listed = BTreeMap::new();
        for change in &history[..count] {
            match change.record {
                Some(_) => listed.insert(change.id.clone(), change.clone()),
                None => listed.remove(&change.id),
            };
        }
        let position = at(era as u64 + 1, count as u64);
        (listed.into_values().collect(), position)
    }

    /// Returns the states at the end of the last era.
    fn end(&self) -> BTreeMap<String, ServerState> {
        let (listed, _) = self.read(1, usize::MAX);
        let records = listed.into_iter().filter_map(|u| u.record);
        records.map(|r| (r.id.to_string(), r.state)).collect()
    }
}

/// Something that happens to one of three nodes.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// Reads the store as it was in an era after some changes; the answer may be late.
    Read {
        node: usize,
        era: usize,
        count: usize,
    },
    /// Learns from another node.
    Learn { node: usize, from: usize },
    /// Begins anew without any knowledge.
    Restart { node: usize },
}

fn writes() -> impl Strategy<Value = Vec<Write>> {
    let state = prop_oneof![Just(Some(Ready)), Just(Some(Draining)), Just(None)];
    prop::collection::vec((0..3_u8, state), 1..12)
}

fn model() -> impl Strategy<Value = Model> {
    (writes(), writes(), 0..12_usize).prop_map(|(first, second, copied)| Model {
        eras: vec![first, second],
        copied,
    })
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..3_usize, 0..2_usize, 1..24_usize)
            .prop_map(|(node, era, count)| Step::Read { node, era, count }),
        4 => (0..3_usize, 0..3_usize).prop_map(|(node, from)| Step::Learn { node, from }),
        1 => (0..3_usize).prop_map(|node| Step::Restart { node }),
    ]
}

/// Brings a node up to date with another one, as nodes do when the other one knows more.
fn learn(lists: &mut [ServerList; 3], now: Millis, node: usize, from: usize) {
    let (own, other) = (lists[node].position(), lists[from].position());
    if other <= own {
        return;
    }
    let update = lists[from].updates_since(now, own);
    lists[node].merge(now, update);
}

proptest! {
    #[test]
    fn nodes_agree_on_the_last_era_whatever_the_order(
        model in model(),
        steps in prop::collection::vec(step(), 0..40),
        last in 0..3_usize,
    ) {
        let mut lists: [ServerList; 3] = Default::default();
        let mut now = NOW;
        for step in steps {
            now = now + 10;
            match step {
                Step::Read { node, era, count } => {
                    let (updates, position) = model.read(era, count);
                    let before = lists[node].position();
                    // A node passes over answers of an earlier era, and reads nothing older.
                    if position > before {
                        lists[node].replace(now, updates, position, false);
                    }
                }
                Step::Learn { node, from } => learn(&mut lists, now, node, from),
                Step::Restart { node } => lists[node] = ServerList::default(),
            }
            for list in &lists {
                let era = list.position().era;
                let stale = list.updates_since(now, StorePosition::default()).updates;
                let stale = stale.iter().filter(|u| u.record.is_some() && u.position.era < era);
                prop_assert_eq!(stale.count(), 0, "entries of an earlier era");
            }
        }
        let (updates, position) = model.read(1, usize::MAX);
        lists[last].replace(now, updates, position, false);
        for node in 0..3 {
            learn(&mut lists, now, node, last);
        }
        for list in &mut lists {
            list.expire(now + KEEP_MS);
            prop_assert_eq!(states(list), model.end());
            prop_assert_eq!(list.position(), position);
        }
    }

    /// A drain that is written after the return holds at once where it is known.
    #[test]
    fn a_drain_after_the_return_holds_wherever_it_is_known(
        model in model(),
        steps in prop::collection::vec(step(), 0..20),
        id in 0..3_u8,
    ) {
        let mut model = model;
        model.eras[1].push((id, Some(Draining)));
        let mut lists: [ServerList; 3] = Default::default();
        for step in steps {
            match step {
                Step::Read { node, count, .. } => {
                    let (updates, position) = model.read(0, count);
                    lists[node].replace(NOW, updates, position, false);
                }
                Step::Learn { node, from } => learn(&mut lists, NOW, node, from),
                Step::Restart { node } => lists[node] = ServerList::default(),
            }
        }
        let (updates, position) = model.read(1, usize::MAX);
        lists[0].replace(NOW, updates, position, false);
        learn(&mut lists, NOW, 1, 0);
        learn(&mut lists, NOW, 2, 1);
        for list in &lists {
            let state = states(list).get(&format!("s{id}")).copied();
            prop_assert_ne!(state, Some(Ready));
        }
    }
}
