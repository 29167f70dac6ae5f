//! What is wrong with settings, and where.

use std::collections::HashSet;
use std::error::Error;
use std::fmt;

use compact_str::CompactString;

use crate::config::{Fault, Location};

/// The most problems that are reported at once.
const MAX_PROBLEMS: usize = 1_000;

/// One problem of the settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Where it stands.
    pub location: Location,
    /// The path of the field, such as `services.caja.queue.length`; empty for a whole file.
    pub path: CompactString,
    /// What is wrong, and the remedy.
    pub fault: Fault,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let path = match self.path.as_str() {
            "" => "the file",
            path => path,
        };
        write!(f, "{}: {path} {}", self.location, self.fault)
    }
}

/// All problems of the settings, in the order of files and lines.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Problems(Vec<Problem>);

impl Problems {
    /// Returns the problems.
    pub fn iter(&self) -> impl Iterator<Item = &Problem> {
        self.0.iter()
    }

    /// Returns the number of problems.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether there is no problem.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub(crate) fn push(&mut self, location: &Location, path: &str, fault: Fault) {
        if self.is_full() {
            return;
        }
        self.0.push(Problem {
            location: location.clone(),
            path: path.into(),
            fault,
        });
    }

    /// Returns the one problem of a value that its types refuse.
    pub(crate) fn unreadable(file: &str, e: &serde_json::Error) -> Self {
        let mut problems = Self::default();
        let detail = e.to_string();
        problems.push(&Location::whole(file), "", Fault::Syntax { detail });
        problems
    }

    /// Returns whether so many problems are known that looking for more is of no use.
    pub(crate) fn is_full(&self) -> bool {
        self.0.len() >= MAX_PROBLEMS
    }

    /// Returns the paths in `file` whose values cannot be taken. A problem of an item stands
    /// for its whole list; of a key that stands twice the first value is taken.
    pub(crate) fn paths(&self, file: &str) -> HashSet<CompactString> {
        let is_taken = |p: &&Problem| matches!(p.fault, Fault::Duplicate { .. });
        let of_file = self.0.iter().filter(|p| p.location.file == file);
        let of_file = of_file.filter(|p| !is_taken(p));
        let whole = |p: &Problem| p.path.split('[').next().unwrap_or_default().into();
        of_file.map(whole).collect()
    }

    /// Returns `value` when there is no problem.
    pub(crate) fn into_result<T>(mut self, value: T) -> Result<T, Self> {
        if self.is_empty() {
            return Ok(value);
        }
        self.0
            .sort_by_cached_key(|p| (p.location.clone(), p.to_string()));
        self.0.dedup();
        Err(self)
    }
}

impl fmt::Display for Problems {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, problem) in self.0.iter().enumerate() {
            if i > 0 {
                writeln!(f)?;
            }
            write!(f, "{problem}")?;
        }
        Ok(())
    }
}

impl Error for Problems {}
