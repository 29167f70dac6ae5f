//! A long text in sections, of which a node that knows an earlier one is sent what it lacks.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::section::{Digest, Section, VALUE_MAX_BYTES, compress, decompress, split_sections};

/// Why a delta does not give a text.
#[derive(Debug, PartialEq, Eq, Snafu)]
pub enum DeltaError {
    /// The text would be above the limit.
    #[snafu(display("the text has {len} bytes; publish at most {VALUE_MAX_BYTES}"))]
    Size {
        /// The length of the text.
        len: usize,
    },
    /// A section that was left out is not in the earlier text.
    #[snafu(display("a section of the text is not known here; ask for the whole text"))]
    Unknown,
    /// What was sent does not match the sections.
    #[snafu(display("a section does not match its digest; ask another node"))]
    Content,
}

/// A section of a text, and whether its content is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeltaSection {
    /// The section.
    pub section: Section,
    /// Whether its content is among the packed bytes.
    pub sent: bool,
}

/// What turns a text that some node knows into another one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TextDelta {
    /// All sections of the text, in order.
    pub parts: Vec<DeltaSection>,
    /// The contents that are sent, one after the other and compressed.
    pub packed: Vec<u8>,
}

/// A text and its sections.
#[derive(Clone, Debug)]
pub struct SectionedText {
    bytes: Vec<u8>,
    sections: Vec<Section>,
}

impl SectionedText {
    /// Splits a text.
    pub fn new(bytes: Vec<u8>) -> Self {
        let sections = split_sections(&bytes);
        Self { bytes, sections }
    }

    /// Returns the text.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Returns the sections in order.
    pub fn sections(&self) -> &[Section] {
        &self.sections
    }

    /// Returns what a node lacks that knows a text of `known` sections.
    pub fn delta(&self, known: &[Section]) -> TextDelta {
        let mut lacking = Vec::new();
        let mut parts = Vec::with_capacity(self.sections.len());
        for (section, content) in self.contents() {
            let sent = !known.contains(&section);
            if sent {
                lacking.extend_from_slice(content);
            }
            parts.push(DeltaSection { section, sent });
        }
        let packed = match lacking.is_empty() {
            true => Vec::new(),
            false => compress(&lacking),
        };
        TextDelta { parts, packed }
    }

    /// Puts together the text that `delta` describes, of what this one has and what was sent.
    ///
    /// # Errors
    ///
    /// Returns an error when the text is above [`VALUE_MAX_BYTES`], lacks a section or does not
    /// match its digests.
    pub fn apply(&self, delta: &TextDelta) -> Result<Vec<u8>, DeltaError> {
        let len = total(&delta.parts, |_| true);
        if len > VALUE_MAX_BYTES {
            return SizeSnafu { len }.fail();
        }
        let sent = total(&delta.parts, |part| part.sent);
        let fresh = match sent {
            0 => Vec::new(),
            _ => decompress(&delta.packed, sent).ok_or(DeltaError::Content)?,
        };
        let own: HashMap<Digest, &[u8]> = self.contents().map(|(s, c)| (s.digest, c)).collect();
        let mut rest = fresh.as_slice();
        let mut text = Vec::with_capacity(len);
        for DeltaSection { section, sent } in &delta.parts {
            let content = match sent {
                true => take(&mut rest, *section)?,
                false => own
                    .get(&section.digest)
                    .copied()
                    .ok_or(DeltaError::Unknown)?,
            };
            text.extend_from_slice(content);
        }
        Ok(text)
    }

    fn contents(&self) -> impl Iterator<Item = (Section, &[u8])> {
        let mut rest = self.bytes.as_slice();
        self.sections.iter().map(move |&section| {
            let (content, tail) = rest.split_at(section.len as usize);
            rest = tail;
            (section, content)
        })
    }
}

fn total(parts: &[DeltaSection], counts: impl Fn(&DeltaSection) -> bool) -> usize {
    let counted = parts.iter().filter(|part| counts(part));
    counted.map(|part| part.section.len as usize).sum()
}

/// Takes the content of `section` from the front of `rest`.
fn take<'a>(rest: &mut &'a [u8], section: Section) -> Result<&'a [u8], DeltaError> {
    let Some((content, tail)) = rest.split_at_checked(section.len as usize) else {
        return ContentSnafu.fail();
    };
    if Digest::of(content) != section.digest {
        return ContentSnafu.fail();
    }
    *rest = tail;
    Ok(content)
}
