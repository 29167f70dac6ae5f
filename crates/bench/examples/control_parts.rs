//! Measures the parts of control whose cost grows with the fleet, at the target's size.

use std::hint::black_box;
use std::net::SocketAddr;
use std::time::Instant;

use oriolering::{
    Assembly, Document, DocumentStore, Incarnation, Member, MemberList, MemberUpdate, Millis,
    VALUE_MAX_BYTES, is_reader,
};
use oriolering_bench::control_fleet::{bundle, list};

const NODES: usize = 2_700;
const ZONES: usize = 15;
const SERVICES: usize = 120;
const RUNS: u32 = 20;

fn main() {
    let members = members();
    let instances = list(&members);
    let value = bundle(SERVICES, 1_000_000, 1_000);
    println!("list of {NODES}: {} bytes", instances.len());
    measure_transfer("value", &value, &bundle(SERVICES, 1_000_000, 1_001));
    let mut fewer = members.clone();
    fewer[NODES / 2].leaving = true;
    measure_transfer("list", &instances, &list(&fewer));
    time("split and digest a value", || {
        Document::new(1, &value).is_ok()
    });
    time("split and digest a list", || {
        Document::new(1, &instances).is_ok()
    });
    time("parse a list", || {
        serde_json::from_str::<serde_json::Value>(&instances).is_ok()
    });
    let mut roster = MemberList::new(&members[0]);
    time("take a list over", || roster.replace(&members));
    for member in &members {
        let note = MemberUpdate {
            id: member.id.clone(),
            incarnation: Incarnation(1),
            leaving: false,
            age_ms: 0,
        };
        roster.apply(Millis(1), &note);
    }
    time("draw 32 notes", || {
        roster.updates(Millis(2), 32, &mut rand::rng())
    });
    time("hand the members on", || roster.members());
    time("decide who reads", || is_reader(&members, "node-7", 1, 3));
}

fn members() -> Vec<Member> {
    let address = SocketAddr::from(([10, 20, 30, 40], 7_000));
    let member = |ix: usize| Member {
        id: format!("node-{ix}").into(),
        service: format!("service-{}", ix % SERVICES).into(),
        zone: format!("zone-{}", ix % ZONES).into(),
        region: format!("region-{}", ix % ZONES / 4).into(),
        ingress: address,
        gate: address,
        control: address,
        leaving: false,
        incarnation: None,
    };
    (0..NODES).map(member).collect()
}

/// Prints the bytes of the sections that a whole value and a changed one need.
fn measure_transfer(name: &str, old: &str, new: &str) {
    let mut source = DocumentStore::default();
    let mut copy = DocumentStore::default();
    for (revision, text) in [(1, old), (2, new)] {
        let Ok(document) = Document::new(revision, text) else {
            return;
        };
        source.accept(document);
        let manifest = source.manifest().to_vec();
        let count = manifest.len();
        let Ok(mut assembly) = Assembly::new(source.head(), manifest, copy.document()) else {
            return;
        };
        let missing = assembly.missing();
        let digests: Vec<_> = missing.iter().map(|section| section.digest).collect();
        let contents = source.sections(&digests, VALUE_MAX_BYTES);
        let bytes: usize = contents.iter().map(|(_, packed)| packed.len()).sum();
        let moved = contents.len();
        println!("{name}, revision {revision}: {moved} of {count} sections, {bytes} bytes packed");
        for (digest, packed) in contents {
            let filled = assembly.add_section(digest, &packed);
            assert!(filled.is_ok(), "a section must match its digest");
        }
        if let Ok(document) = assembly.finish() {
            copy.accept(document);
        }
    }
}

fn time<T>(name: &str, mut run: impl FnMut() -> T) {
    let start = Instant::now();
    for _ in 0..RUNS {
        black_box(run());
    }
    let each = start.elapsed() / RUNS;
    println!("{name}: {} us", each.as_micros());
}
