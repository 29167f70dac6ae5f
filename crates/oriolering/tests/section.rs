//! Splitting of a published value into sections, and their compression.

use oriolering::{
    Digest, SECTION_MAX_BYTES, SECTION_MIN_BYTES, Section, VALUE_MAX_BYTES, compress,
    decompress_section, split_sections,
};
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

fn text(len: usize, seed: u64) -> Vec<u8> {
    let mut rng = StdRng::seed_from_u64(seed);
    (0..len).map(|_| rng.random_range(b' '..b'~')).collect()
}

#[test]
fn an_inserted_byte_changes_few_sections() {
    let old = text(VALUE_MAX_BYTES, 1);
    for at in [0, 12_345, VALUE_MAX_BYTES / 2, VALUE_MAX_BYTES - 10] {
        let mut new = old.clone();
        new.insert(at, b'!');
        let known = split_sections(&old);
        let changed = split_sections(&new)
            .iter()
            .filter(|section| !known.contains(section))
            .count();
        assert!(
            changed <= 3,
            "a byte inserted at {at} changed {changed} sections"
        );
    }
}

#[test]
fn section_sizes_are_within_bounds() {
    for bytes in [text(VALUE_MAX_BYTES, 2), vec![b'a'; VALUE_MAX_BYTES]] {
        let sections = split_sections(&bytes);
        let (last, rest) = sections.split_last().unwrap();
        assert!(last.len as usize <= SECTION_MAX_BYTES);
        for section in rest {
            let len = section.len as usize;
            assert!((SECTION_MIN_BYTES..=SECTION_MAX_BYTES).contains(&len));
        }
    }
}

#[test]
fn content_that_decompresses_beyond_its_length_is_rejected() {
    let section = Section {
        digest: Digest::of(b"a"),
        len: 1,
    };
    assert!(decompress_section(section, &compress(&[b'a'; 1 << 20])).is_none());
}

proptest! {
    #[test]
    fn sections_cover_the_value(bytes in proptest::collection::vec(any::<u8>(), 0..100_000)) {
        let mut rest = bytes.as_slice();
        for section in split_sections(&bytes) {
            let (head, tail) = rest.split_at(section.len as usize);
            let content = decompress_section(section, &compress(head));
            prop_assert_eq!(content.as_deref(), Some(head));
            rest = tail;
        }
        prop_assert!(rest.is_empty());
    }

    #[test]
    fn arbitrary_compressed_bytes_are_safe(
        compressed in proptest::collection::vec(any::<u8>(), 0..2_000),
        len in any::<u32>(),
    ) {
        let section = Section { digest: Digest::of(b"x"), len };
        prop_assert!(decompress_section(section, &compressed).is_none_or(|bytes| bytes == b"x"));
    }
}
