//! The text in which the routes were published, as nodes send it to each other.

use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::net::IpAddr;
use std::rc::Rc;

use oriolering::{DeltaSection, Section, SectionedText, TextDelta};

/// How many earlier texts are remembered by their sections.
const EARLIER: usize = 4;

/// The newest text, and the sections of earlier ones that other nodes may still know.
#[derive(Default)]
pub(crate) struct RoutesText {
    newest: Option<SectionedText>,
    earlier: VecDeque<(u64, Vec<Section>)>,
    /// What those who know an earlier version lack, by that version.
    deltas: RefCell<HashMap<u64, Rc<TextDelta>>>,
}

impl RoutesText {
    /// Takes a newer text over; `before` is the version of the one that it replaces.
    pub(crate) fn replace(&mut self, before: u64, text: Vec<u8>) {
        self.deltas.borrow_mut().clear();
        if let Some(text) = &self.newest {
            self.earlier.push_front((before, text.sections().to_vec()));
            self.earlier.truncate(EARLIER);
        }
        self.newest = Some(SectionedText::new(text));
    }

    /// Returns what a node lacks that knows `version`, or nothing when no text is known.
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

/// A text of which some pieces are still on their way.
struct Part {
    /// How long ago a node had read it from the store, in milliseconds.
    age_ms: u64,
    delta: TextDelta,
}

/// Texts of which some pieces are still on their way, by the node that sends them.
#[derive(Default)]
pub(crate) struct Arriving(HashMap<IpAddr, Part>);

impl Arriving {
    /// Begins with a text whose packed content follows in pieces.
    pub(crate) fn begin(&mut self, from: IpAddr, age_ms: u64, parts: Vec<DeltaSection>) {
        let packed = Vec::new();
        let delta = TextDelta { parts, packed };
        self.0.insert(from, Part { age_ms, delta });
    }

    /// Adds a piece, and returns all of it with its age once the last has come.
    pub(crate) fn piece(
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
