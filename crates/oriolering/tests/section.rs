//! Sections of a published value.

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
fn an_inserted_byte_moves_few_sections() {
    let old = text(VALUE_MAX_BYTES, 1);
    for at in [0, 12_345, VALUE_MAX_BYTES / 2, VALUE_MAX_BYTES - 10] {
        let mut new = old.clone();
        new.insert(at, b'!');
        let held = split_sections(&old);
        let moved = split_sections(&new)
            .iter()
            .filter(|section| !held.contains(section))
            .count();
        assert!(moved <= 3, "{moved} sections moved for a byte at {at}");
    }
}

#[test]
fn sections_keep_their_bounds() {
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
fn content_that_expands_beyond_its_length_is_refused() {
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
    fn any_packed_bytes_are_safe(
        packed in proptest::collection::vec(any::<u8>(), 0..2_000),
        len in any::<u32>(),
    ) {
        let section = Section { digest: Digest::of(b"x"), len };
        prop_assert!(decompress_section(section, &packed).is_none_or(|bytes| bytes == b"x"));
    }
}
