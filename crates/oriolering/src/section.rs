//! Content-defined chunking: splits a published value into sections that are addressed by their
//! digest.

use std::io::{Read, Write};

use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use serde::{Deserialize, Serialize};

/// The maximum size of a published value, in bytes.
pub const VALUE_MAX_BYTES: usize = 1 << 20;
/// The minimum size of every section except the last, in bytes.
pub const SECTION_MIN_BYTES: usize = 2 << 10;
/// The maximum size of a section, in bytes.
pub const SECTION_MAX_BYTES: usize = 32 << 10;
/// The maximum number of sections in a value.
pub const SECTIONS_MAX: usize = VALUE_MAX_BYTES / SECTION_MIN_BYTES + 1;

/// A section ends after a byte where these bits of the rolling hash are zero: every 4 KiB on
/// average.
const BOUNDARY_MASK: u64 = 0xfff << 52;

/// A BLAKE3 digest, truncated to its first 16 bytes.
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

/// A section of a value, described by the digest and the length of its content.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Section {
    /// The digest of the content.
    pub digest: Digest,
    /// The length of the content in bytes.
    pub len: u32,
}

/// Splits `bytes` at boundaries that depend on the content, so that an edit only changes the
/// sections that it touches.
pub fn split_sections(bytes: &[u8]) -> Vec<Section> {
    let mut sections = Vec::new();
    let mut rest = bytes;
    while !rest.is_empty() {
        let (head, tail) = rest.split_at(find_boundary(rest));
        sections.push(Section {
            digest: Digest::of(head),
            len: head.len() as u32,
        });
        rest = tail;
    }
    sections
}

/// Returns the length of the first section of `bytes`.
fn find_boundary(bytes: &[u8]) -> usize {
    let end = bytes.len().min(SECTION_MAX_BYTES);
    let mut hash = 0u64;
    for (ix, &byte) in bytes[..end].iter().enumerate() {
        hash = (hash << 1).wrapping_add(GEAR[byte as usize]);
        if ix + 1 >= SECTION_MIN_BYTES && hash & BOUNDARY_MASK == 0 {
            return ix + 1;
        }
    }
    end
}

/// Random numbers of the gear hash, one for each byte value.
static GEAR: [u64; 256] = gear_table();

const fn gear_table() -> [u64; 256] {
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

/// Compresses content with DEFLATE.
pub fn compress(bytes: &[u8]) -> Vec<u8> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    let written = encoder.write_all(bytes).and_then(|()| encoder.finish());
    written.unwrap_or_default()
}

/// Decompresses the content of `section`; returns `None` if its length or digest is wrong.
pub fn decompress_section(section: Section, compressed: &[u8]) -> Option<Vec<u8>> {
    let len = section.len as usize;
    if len > SECTION_MAX_BYTES {
        return None;
    }
    let bytes = decompress(compressed, len)?;
    (Digest::of(&bytes) == section.digest).then_some(bytes)
}

/// Decompresses content; returns `None` if it is not exactly `len` bytes long.
pub fn decompress(compressed: &[u8], len: usize) -> Option<Vec<u8>> {
    let mut bytes = Vec::with_capacity(len);
    let mut decoder = DeflateDecoder::new(compressed).take(len as u64 + 1);
    decoder.read_to_end(&mut bytes).ok()?;
    (bytes.len() == len).then_some(bytes)
}
