//! Where a value of the settings stands.

use std::fmt;

use compact_str::CompactString;

/// A position in a file, or a flag of the command line.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Location {
    /// The name of the file, or the flag.
    pub file: CompactString,
    /// The line, counted from one; zero for a flag or a file as a whole.
    pub line: u32,
    /// The column in characters, counted from one; zero for a flag or a file as a whole.
    pub column: u32,
}

impl Location {
    /// Returns the location of a flag or of a file as a whole.
    pub fn whole(file: &str) -> Self {
        Self {
            file: file.into(),
            line: 0,
            column: 0,
        }
    }
}

impl fmt::Display for Location {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.line == 0 {
            return write!(f, "{}", self.file);
        }
        write!(f, "{}:{}:{}", self.file, self.line, self.column)
    }
}
