//! Splits a published value into sections that are addressed by the digest of their content.

use std::io::{Read, Write};

use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use serde::{Deserialize, Serialize};

/// The largest published value.
pub const VALUE_MAX_BYTES: usize = 1 << 20;
/// The smallest section but the last.
pub const SECTION_MIN_BYTES: usize = 2 << 10;
/// The largest section.
pub const SECTION_MAX_BYTES: usize = 32 << 10;
/// The largest number of sections in a value.
pub const SECTIONS_MAX: usize = VALUE_MAX_BYTES / SECTION_MIN_BYTES + 1;

/// A cut follows a byte where these bits of the rolling hash are zero: every 4 KiB on average.
const CUT_MASK: u64 = 0xfff << 52;

/// The first half of a BLAKE3 digest.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Digest(pub [u8; 16]);

impl Digest {
    /// Returns the digest of `bytes`.
    pub fn of(bytes: &[u8]) -> Self {
        let hash = blake3::hash(bytes);
        let mut half = [0; 16];
        half.copy_from_slice(&hash.as_bytes()[..16]);
        Self(half)
    }
}

/// A section of a value: the digest and the length of its content.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Section {
    /// The digest of the content.
    pub digest: Digest,
    /// The length of the content in bytes.
    pub len: u32,
}

/// Splits `bytes` where the content itself says so, so that an edit moves only the sections
/// that it touches.
pub fn split_sections(bytes: &[u8]) -> Vec<Section> {
    let mut sections = Vec::new();
    let mut rest = bytes;
    while !rest.is_empty() {
        let (head, tail) = rest.split_at(scan_cut(rest));
        sections.push(Section {
            digest: Digest::of(head),
            len: head.len() as u32,
        });
        rest = tail;
    }
    sections
}

/// Returns the length of the first section of `bytes`.
fn scan_cut(bytes: &[u8]) -> usize {
    let end = bytes.len().min(SECTION_MAX_BYTES);
    let mut hash = 0u64;
    for (ix, &byte) in bytes[..end].iter().enumerate() {
        hash = (hash << 1).wrapping_add(GEAR[byte as usize]);
        if ix + 1 >= SECTION_MIN_BYTES && hash & CUT_MASK == 0 {
            return ix + 1;
        }
    }
    end
}

/// One random number for each byte of the rolling hash.
static GEAR: [u64; 256] = gear();

const fn gear() -> [u64; 256] {
    let mut table = [0; 256];
    let mut state = 0u64;
    let mut ix = 0;
    while ix < table.len() {
        state = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = (state ^ (state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        table[ix] = mixed ^ (mixed >> 31);
        ix += 1;
    }
    table
}

/// Compresses the content of a section.
pub fn compress(bytes: &[u8]) -> Vec<u8> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    let written = encoder.write_all(bytes).and_then(|()| encoder.finish());
    written.unwrap_or_default()
}

/// Expands the content of `section` and checks its length and digest.
pub fn decompress_section(section: Section, packed: &[u8]) -> Option<Vec<u8>> {
    let len = section.len as usize;
    if len > SECTION_MAX_BYTES {
        return None;
    }
    let bytes = decompress(packed, len)?;
    (Digest::of(&bytes) == section.digest).then_some(bytes)
}

/// Expands packed content of exactly `len` bytes.
pub fn decompress(packed: &[u8], len: usize) -> Option<Vec<u8>> {
    let mut bytes = Vec::with_capacity(len);
    let mut decoder = DeflateDecoder::new(packed).take(len as u64 + 1);
    decoder.read_to_end(&mut bytes).ok()?;
    (bytes.len() == len).then_some(bytes)
}
