//! Delta encoding of long texts: a node that has an earlier text is only sent the sections that
//! it lacks.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::section::{Digest, Section, VALUE_MAX_BYTES, compress, decompress, split_sections};

/// Why a delta cannot be applied.
#[derive(Debug, PartialEq, Eq, Snafu)]
pub enum DeltaError {
    /// The text would exceed the size limit.
    #[snafu(display("the text has {len} bytes; the maximum is {VALUE_MAX_BYTES}"))]
    Size {
        /// The length of the text.
        len: usize,
    },
    /// A section whose content was not sent is missing from the earlier text.
    #[snafu(display("a section that was not sent is missing here; request the whole text"))]
    Unknown,
    /// The content that was sent does not match the sections.
    #[snafu(display("a section does not match its digest; fetch the text from another node"))]
    Content,
}

/// A section of a text, and whether the delta contains its content.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeltaSection {
    /// The section.
    pub section: Section,
    /// Whether its content is part of the compressed bytes.
    pub sent: bool,
}

/// The difference between an earlier text, known to the receiver, and a new one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TextDelta {
    /// All sections of the new text, in order.
    pub parts: Vec<DeltaSection>,
    /// The contents that are sent, concatenated and compressed.
    pub packed: Vec<u8>,
}

/// A text and its sections.
#[derive(Clone, Debug)]
pub struct SectionedText {
    bytes: Vec<u8>,
    sections: Vec<Section>,
}

impl SectionedText {
    /// Splits a text into sections.
    pub fn new(bytes: Vec<u8>) -> Self {
        let sections = split_sections(&bytes);
        Self { bytes, sections }
    }

    /// Returns the bytes of the text.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Returns the sections in order.
    pub fn sections(&self) -> &[Section] {
        &self.sections
    }

    /// Returns the delta for a node that already has the `known` sections.
    pub fn delta(&self, known: &[Section]) -> TextDelta {
        let mut missing = Vec::new();
        let mut parts = Vec::with_capacity(self.sections.len());
        for (section, content) in self.contents() {
            let sent = !known.contains(&section);
            if sent {
                missing.extend_from_slice(content);
            }
            parts.push(DeltaSection { section, sent });
        }
        let packed = match missing.is_empty() {
            true => Vec::new(),
            false => compress(&missing),
        };
        TextDelta { parts, packed }
    }

    /// Builds the text that `delta` describes from the sections of this text and those sent.
    ///
    /// # Errors
    ///
    /// Returns an error if the text would be larger than [`VALUE_MAX_BYTES`], a section is
    /// missing, or a section does not match its digest.
    pub fn apply(&self, delta: &TextDelta) -> Result<Vec<u8>, DeltaError> {
        let len = total_len(&delta.parts, |_| true);
        if len > VALUE_MAX_BYTES {
            return SizeSnafu { len }.fail();
        }
        let sent = total_len(&delta.parts, |part| part.sent);
        let received = match sent {
            0 => Vec::new(),
            _ => decompress(&delta.packed, sent).ok_or(DeltaError::Content)?,
        };
        let own: HashMap<Digest, &[u8]> = self.contents().map(|(s, c)| (s.digest, c)).collect();
        let mut rest = received.as_slice();
        let mut text = Vec::with_capacity(len);
        for DeltaSection { section, sent } in &delta.parts {
            let content = match sent {
                true => take_section(&mut rest, *section)?,
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

fn total_len(parts: &[DeltaSection], include: impl Fn(&DeltaSection) -> bool) -> usize {
    let included = parts.iter().filter(|part| include(part));
    included.map(|part| part.section.len as usize).sum()
}

/// Removes the content of `section` from the front of `rest` and checks its digest.
fn take_section<'a>(rest: &mut &'a [u8], section: Section) -> Result<&'a [u8], DeltaError> {
    let Some((content, tail)) = rest.split_at_checked(section.len as usize) else {
        return ContentSnafu.fail();
    };
    if Digest::of(content) != section.digest {
        return ContentSnafu.fail();
    }
    *rest = tail;
    Ok(content)
}
