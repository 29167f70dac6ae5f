//! Holds a published value, serves its sections and puts newer values together.

use std::collections::BTreeMap;
use std::sync::Arc;

use snafu::Snafu;

use crate::revision::{Head, IgnoredCounts, PublishedValue, RevisionOrder};
use crate::section::{
    Digest, SECTION_MAX_BYTES, SECTIONS_MAX, Section, VALUE_MAX_BYTES, compress,
    decompress_section, split_sections,
};

/// Why an offered value was not taken.
#[derive(Debug, PartialEq, Eq, Snafu)]
pub enum DocumentError {
    /// The value is above the limit.
    #[snafu(display("the value has {len} bytes; publish at most {VALUE_MAX_BYTES}"))]
    Size {
        /// The length of the value.
        len: usize,
    },
    /// The list of sections breaks a limit.
    #[snafu(display("the list of {count} sections breaks a limit; ask another peer"))]
    Manifest {
        /// The number of sections.
        count: usize,
    },
    /// A section does not match its digest.
    #[snafu(display("a section does not match its digest; ask another peer"))]
    Content,
    /// The sections together do not match the digest of the value.
    #[snafu(display("the value does not match its digest; ask another peer"))]
    Root,
}

/// A value with its sections.
#[derive(Clone, Debug)]
pub struct Document {
    /// The revision and the digest of the value.
    pub head: Head,
    /// The value.
    pub value: Arc<PublishedValue>,
    sections: Arc<[Section]>,
}

impl Document {
    /// Splits a value that was read from the platform.
    ///
    /// # Errors
    ///
    /// Returns an error when the value is above [`VALUE_MAX_BYTES`].
    pub fn new(revision: u64, text: &str) -> Result<Self, DocumentError> {
        if text.len() > VALUE_MAX_BYTES {
            return Err(DocumentError::Size { len: text.len() });
        }
        let head = Head {
            revision,
            root: Digest::of(text.as_bytes()),
        };
        Ok(Self {
            head,
            value: Arc::new(PublishedValue {
                revision,
                text: text.into(),
            }),
            sections: split_sections(text.as_bytes()).into(),
        })
    }

    /// Walks the sections with their content.
    fn parts(&self) -> impl Iterator<Item = (Section, &[u8])> {
        let mut rest = self.value.text.as_bytes();
        self.sections.iter().map(move |&section| {
            let (head, tail) = rest.split_at(section.len as usize);
            rest = tail;
            (section, head)
        })
    }
}

/// The value in force and what is served of it to peers.
#[derive(Clone, Debug, Default)]
pub struct DocumentStore {
    document: Option<Document>,
    packed: BTreeMap<Digest, Arc<[u8]>>,
    ignored: IgnoredCounts,
}

impl DocumentStore {
    /// Returns the revision and digest in force; revision zero when there is none.
    pub fn head(&self) -> Head {
        self.document
            .as_ref()
            .map(|document| document.head)
            .unwrap_or_default()
    }

    /// Returns the value in force.
    pub fn document(&self) -> Option<&Document> {
        self.document.as_ref()
    }

    /// Returns how an offered head stands to the value in force, and counts one that is ignored.
    pub fn record_offer(&mut self, head: &Head) -> RevisionOrder {
        let standing = self.head().compare(head);
        match standing {
            RevisionOrder::Older => self.ignored.older += 1,
            RevisionOrder::Conflict => self.ignored.conflicts += 1,
            RevisionOrder::Newer | RevisionOrder::Same => {}
        }
        standing
    }

    /// Counts a value that failed validation.
    pub fn record_invalid(&mut self) {
        self.ignored.invalid += 1;
    }

    /// Puts a validated value in force when it is newer and returns whether it was.
    pub fn accept(&mut self, document: Document) -> bool {
        if self.record_offer(&document.head) != RevisionOrder::Newer {
            return false;
        }
        let mut kept = BTreeMap::new();
        for section in document.sections.iter() {
            if let Some(packed) = self.packed.remove(&section.digest) {
                kept.insert(section.digest, packed);
            }
        }
        self.packed = kept;
        self.document = Some(document);
        true
    }

    /// Returns the counts of values that were not put in force.
    pub fn ignored(&self) -> IgnoredCounts {
        self.ignored
    }

    /// Returns the sections of the value in force.
    pub fn manifest(&self) -> Arc<[Section]> {
        self.document
            .as_ref()
            .map(|document| Arc::clone(&document.sections))
            .unwrap_or_default()
    }

    /// Returns the compressed content of those `wanted` sections that are in force, until their
    /// content exceeds `limit` bytes.
    pub fn sections(&mut self, wanted: &[Digest], limit: usize) -> Vec<(Digest, Arc<[u8]>)> {
        let Some(document) = &self.document else {
            return Vec::new();
        };
        let mut found = Vec::new();
        let mut total = 0;
        for (section, content) in document.parts() {
            if !wanted.contains(&section.digest) {
                continue;
            }
            total += content.len();
            if total > limit {
                break;
            }
            let packed = self
                .packed
                .entry(section.digest)
                .or_insert_with(|| compress(content).into());
            found.push((section.digest, Arc::clone(packed)));
        }
        found
    }
}

/// A value that is put together from sections held already and sections of a peer.
#[derive(Debug)]
pub struct Assembly {
    head: Head,
    sections: Vec<Section>,
    contents: BTreeMap<Digest, Vec<u8>>,
}

impl Assembly {
    /// Starts from a peer's list of sections and from the value in force.
    ///
    /// # Errors
    ///
    /// Returns an error when the list breaks a limit.
    pub fn new(
        head: Head,
        sections: Vec<Section>,
        base: Option<&Document>,
    ) -> Result<Self, DocumentError> {
        let count = sections.len();
        let total: usize = sections.iter().map(|section| section.len as usize).sum();
        let large = sections
            .iter()
            .any(|section| section.len as usize > SECTION_MAX_BYTES || section.len == 0);
        if count > SECTIONS_MAX || total > VALUE_MAX_BYTES || large {
            return Err(DocumentError::Manifest { count });
        }
        let mut contents = BTreeMap::new();
        if let Some(base) = base {
            let held = base
                .parts()
                .filter(|(section, _)| sections.contains(section));
            contents.extend(held.map(|(section, content)| (section.digest, content.to_vec())));
        }
        Ok(Self {
            head,
            sections,
            contents,
        })
    }

    /// Returns the sections that are still missing.
    pub fn missing(&self) -> Vec<Section> {
        let mut missing: Vec<Section> = Vec::new();
        for section in &self.sections {
            if !self.contents.contains_key(&section.digest) && !missing.contains(section) {
                missing.push(*section);
            }
        }
        missing
    }

    /// Takes in the compressed content of a missing section; another one is ignored.
    ///
    /// # Errors
    ///
    /// Returns an error when the content does not match the digest.
    pub fn add_section(&mut self, digest: Digest, packed: &[u8]) -> Result<(), DocumentError> {
        let wanted = self
            .sections
            .iter()
            .find(|section| section.digest == digest);
        let Some(&section) = wanted else {
            return Ok(());
        };
        let content = decompress_section(section, packed).ok_or(DocumentError::Content)?;
        self.contents.insert(digest, content);
        Ok(())
    }

    /// Joins the sections and checks the whole against the digest of the value.
    ///
    /// # Errors
    ///
    /// Returns an error when a section is missing or the value does not match.
    pub fn finish(self) -> Result<Document, DocumentError> {
        let mut bytes = Vec::with_capacity(VALUE_MAX_BYTES);
        for section in &self.sections {
            let content = self
                .contents
                .get(&section.digest)
                .ok_or(DocumentError::Content)?;
            bytes.extend_from_slice(content);
        }
        let text = String::from_utf8(bytes).map_err(|_| DocumentError::Root)?;
        if Digest::of(text.as_bytes()) != self.head.root {
            return Err(DocumentError::Root);
        }
        Ok(Document {
            head: self.head,
            value: Arc::new(PublishedValue {
                revision: self.head.revision,
                text: text.into(),
            }),
            sections: self.sections.into(),
        })
    }
}
