//! The published text of the routes, which nodes send to each other as deltas.

use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::net::IpAddr;
use std::rc::Rc;

use oriolering::{DeltaSection, Section, SectionedText, TextDelta};

/// The number of earlier texts whose sections are kept, to compute deltas against them.
const EARLIER: usize = 4;

/// The newest text, and the sections of earlier ones that other nodes may still have.
#[derive(Default)]
pub(crate) struct RoutesText {
    newest: Option<SectionedText>,
    earlier: VecDeque<(u64, Vec<Section>)>,
    /// The delta from each earlier version to the newest text, by that version.
    deltas: RefCell<HashMap<u64, Rc<TextDelta>>>,
}

impl RoutesText {
    /// Stores a newer text; `before` is the version of the one that it replaces.
    pub(crate) fn replace(&mut self, before: u64, text: Vec<u8>) {
        self.deltas.borrow_mut().clear();
        if let Some(text) = &self.newest {
            self.earlier.push_front((before, text.sections().to_vec()));
            self.earlier.truncate(EARLIER);
        }
        self.newest = Some(SectionedText::new(text));
    }

    /// Returns the delta from `version` to the newest text, or none when no text is known.
    pub(crate) fn delta(&self, version: u64) -> Option<Rc<TextDelta>> {
        let newest = self.newest.as_ref()?;
        let mut deltas = self.deltas.borrow_mut();
        let delta = deltas.entry(version).or_insert_with(|| {
            let earlier = self.earlier.iter().find(|(v, _)| *v == version);
            let known = earlier.map_or(&[][..], |(_, sections)| sections);
            Rc::new(newest.delta(known))
        });
        Some(Rc::clone(delta))
    }

    /// Returns the newest text, or an empty one.
    pub(crate) fn newest(&self) -> SectionedText {
        let newest = self.newest.as_ref();
        newest.map_or_else(|| SectionedText::new(Vec::new()), SectionedText::clone)
    }
}

/// A delta whose packed content has not been received in full.
struct PartialDelta {
    /// How long ago a node read the text from the store, in milliseconds.
    age_ms: u64,
    delta: TextDelta,
}

/// Deltas that have not been received in full, by the address of the sending node.
#[derive(Default)]
pub(crate) struct PartialDeltas(HashMap<IpAddr, PartialDelta>);

impl PartialDeltas {
    /// Begins a delta whose packed content follows in pieces.
    pub(crate) fn begin(&mut self, from: IpAddr, age_ms: u64, parts: Vec<DeltaSection>) {
        let packed = Vec::new();
        let delta = TextDelta { parts, packed };
        self.0.insert(from, PartialDelta { age_ms, delta });
    }

    /// Appends a piece, and returns the delta with the age of its text after the last piece.
    pub(crate) fn add_piece(
        &mut self,
        from: IpAddr,
        bytes: &[u8],
        last: bool,
    ) -> Option<(u64, TextDelta)> {
        let part = self.0.get_mut(&from)?;
        part.delta.packed.extend_from_slice(bytes);
        if !last {
            return None;
        }
        self.0.remove(&from).map(|part| (part.age_ms, part.delta))
    }
}
