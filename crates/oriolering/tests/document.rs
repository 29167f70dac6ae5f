//! The order of revisions, and values put together from sections.

use oriolering::{
    Assembly, Digest, Document, DocumentError, DocumentStore, Head, Section, VALUE_MAX_BYTES,
};
use proptest::prelude::*;

fn document(revision: u64, text: &str) -> Document {
    Document::new(revision, text).unwrap()
}

fn text(edit: u32) -> String {
    let lines = (0..20_000u32).map(|line| {
        let value = if line == 9_000 {
            edit
        } else {
            line.wrapping_mul(2_654_435_761)
        };
        format!("line {line} = {value}\n")
    });
    lines.collect()
}

/// Moves the value of `from` into `to` and returns the number of sections that were sent.
fn transfer(from: &mut DocumentStore, to: &mut DocumentStore) -> usize {
    let manifest = from.manifest().to_vec();
    let mut assembly = Assembly::new(from.head(), manifest, to.document()).unwrap();
    let missing: Vec<_> = assembly
        .missing()
        .iter()
        .map(|section| section.digest)
        .collect();
    let contents = from.sections(&missing, VALUE_MAX_BYTES);
    for (digest, packed) in &contents {
        assembly.add_section(*digest, packed).unwrap();
    }
    to.accept(assembly.finish().unwrap());
    contents.len()
}

#[test]
fn lower_and_equal_revisions_are_ignored_and_counted() {
    let mut relay = DocumentStore::default();
    assert!(relay.accept(document(5, "five")));
    assert!(!relay.accept(document(4, "four")));
    assert!(!relay.accept(document(5, "other")));
    assert!(!relay.accept(document(5, "five")));
    assert_eq!(relay.head().root, Digest::of(b"five"));
    assert_eq!((relay.ignored().older, relay.ignored().conflicts), (1, 1));
}

#[test]
fn a_change_of_one_field_moves_few_sections() {
    let mut source = DocumentStore::default();
    let mut copy = DocumentStore::default();
    source.accept(document(1, &text(1)));
    assert!(transfer(&mut source, &mut copy) > 50);
    source.accept(document(2, &text(2)));
    assert!(transfer(&mut source, &mut copy) <= 2);
    assert_eq!(copy.head(), source.head());
    assert_eq!(&*copy.document().unwrap().value.text, text(2));
}

#[test]
fn a_value_above_the_limit_is_refused() {
    let error = Document::new(1, &"a".repeat(VALUE_MAX_BYTES + 1)).unwrap_err();
    let len = VALUE_MAX_BYTES + 1;
    assert_eq!(error, DocumentError::Size { len });
    assert!(Document::new(1, &"a".repeat(VALUE_MAX_BYTES)).is_ok());
}

#[test]
fn a_wrong_root_is_refused() {
    let mut source = DocumentStore::default();
    source.accept(document(1, "content"));
    let head = Head {
        revision: 2,
        root: Digest::of(b"other"),
    };
    let manifest = source.manifest().to_vec();
    let assembly = Assembly::new(head, manifest, source.document()).unwrap();
    assert_eq!(assembly.finish().unwrap_err(), DocumentError::Root);
}

#[test]
fn a_missing_or_wrong_section_is_refused() {
    let mut source = DocumentStore::default();
    source.accept(document(1, "content"));
    let manifest = source.manifest().to_vec();
    let digest = manifest[0].digest;
    let mut assembly = Assembly::new(source.head(), manifest, None).unwrap();
    assert_eq!(
        assembly.add_section(digest, b"junk"),
        Err(DocumentError::Content)
    );
    assert_eq!(assembly.add_section(Digest::of(b"alien"), b"junk"), Ok(()));
    assert_eq!(assembly.finish().unwrap_err(), DocumentError::Content);
}

proptest! {
    #[test]
    fn a_manifest_out_of_bounds_is_refused(
        lens in proptest::collection::vec(prop_oneof![Just(0), any::<u32>(), 33_000..60_000u32], 1..900),
    ) {
        let sections = lens.iter().map(|&len| Section { digest: Digest::of(b""), len });
        prop_assert!(Assembly::new(Head::default(), sections.collect(), None).is_err());
    }

    #[test]
    fn the_revision_never_falls(offers in proptest::collection::vec((0..9u64, "[ab]{1,2}"), 1..60)) {
        let mut relay = DocumentStore::default();
        let mut highest = Head::default();
        for (revision, text) in offers {
            relay.accept(document(revision, &text));
            prop_assert!(relay.head().revision >= highest.revision);
            prop_assert!(relay.head().revision > highest.revision || relay.head() == highest);
            highest = relay.head();
        }
    }
}
