//! The check that ties an answer of the stand-in backend server to its request.

use ntex::util::Bytes;

/// The header that carries the check.
pub const CHECK: &str = "x-check";
/// The header that carries the nonce of a request.
pub const NONCE: &str = "x-nonce";
/// The header that tells for how many microseconds a run held its slot.
pub const SPENT: &str = "x-spent-us";

const BLOCK_REPEATS: usize = 1024;

/// The digest of a request's method, path and body.
#[derive(Clone, Debug)]
pub struct Check(blake3::Hasher);

impl Check {
    /// Starts the check of a request.
    pub fn new(method: &str, path: &str) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(method.as_bytes());
        hasher.update(b"\n");
        hasher.update(path.as_bytes());
        hasher.update(b"\n");
        Self(hasher)
    }

    /// Adds a part of the body.
    pub fn update(&mut self, part: &[u8]) {
        self.0.update(part);
    }

    /// Returns the check as hexadecimal digits.
    pub fn finish(&self) -> String {
        self.0.finalize().to_hex().to_string()
    }
}

/// The body of an answer: a line of nonce and check, then the check repeated up to a size.
#[derive(Clone, Debug)]
pub struct Echo {
    head: Bytes,
    block: Bytes,
    left: u64,
}

impl Echo {
    /// Returns the body for a request; it is never shorter than its first line.
    pub fn new(nonce: &str, check: &str, size: u64) -> Self {
        let head = format!("{nonce} {check}\n");
        let left = size.saturating_sub(head.len() as u64);
        let repeats = BLOCK_REPEATS.min(left as usize / check.len().max(1) + 1);
        Self {
            head: Bytes::from(head.into_bytes()),
            block: Bytes::from(check.repeat(repeats).into_bytes()),
            left,
        }
    }

    /// Returns the bytes not yet taken.
    pub fn remaining(&self) -> u64 {
        self.head.len() as u64 + self.left
    }
}

impl Iterator for Echo {
    type Item = Bytes;

    fn next(&mut self) -> Option<Bytes> {
        if !self.head.is_empty() {
            return Some(std::mem::take(&mut self.head));
        }
        if self.left == 0 {
            return None;
        }
        let size = self.left.min(self.block.len() as u64);
        self.left -= size;
        Some(self.block.slice(..size as usize))
    }
}

/// Compares a body that arrives in parts with the one expected.
#[derive(Debug)]
pub struct EchoReader {
    expected: Echo,
    part: Bytes,
    matches: bool,
}

impl EchoReader {
    /// Starts to read the body that `expected` tells.
    pub fn new(expected: Echo) -> Self {
        Self {
            expected,
            part: Bytes::new(),
            matches: true,
        }
    }

    /// Compares the next part of the body.
    pub fn update(&mut self, mut part: &[u8]) {
        while !part.is_empty() && self.matches {
            if self.part.is_empty() {
                self.part = self.expected.next().unwrap_or_default();
            }
            let size = part.len().min(self.part.len());
            self.matches = size > 0 && part[..size] == self.part[..size];
            part = &part[size..];
            self.part = self.part.slice(size..);
        }
    }

    /// Returns whether the whole body arrived and nothing else.
    pub fn finish(&self) -> bool {
        self.matches && self.part.is_empty() && self.expected.remaining() == 0
    }
}
