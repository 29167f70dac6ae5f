//! Bodies and signatures that tie an answer to one request.

use compact_str::CompactString;

/// Hexadecimal digits of a signature; 64 bits are enough against chance within one run.
const SIGNATURE_DIGITS: usize = 16;

/// Returns the signature of a backend server over one answer.
pub fn signature(id: &str, status: u16, body: &[u8]) -> CompactString {
    let mut hasher = blake3::Hasher::new();
    hasher.update(format!("{id}\n{status}\n").as_bytes());
    hasher.update(body);
    short(&hasher)
}

/// Returns the digest of a body.
pub fn digest(body: &[u8]) -> CompactString {
    let mut hasher = blake3::Hasher::new();
    hasher.update(body);
    short(&hasher)
}

/// Returns `size` bytes that only this text gives.
pub fn bytes_of(text: &str, size: usize) -> Vec<u8> {
    let mut bytes = vec![0; size];
    let mut hasher = blake3::Hasher::new();
    hasher.update(text.as_bytes());
    hasher.finalize_xof().fill(&mut bytes);
    bytes
}

fn short(hasher: &blake3::Hasher) -> CompactString {
    hasher.finalize().to_hex()[..SIGNATURE_DIGITS].into()
}
