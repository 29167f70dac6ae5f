//! What is wrong with a configuration.

use std::error::Error;
use std::fmt;

/// One problem.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// What is wrong.
    pub text: String,
}

/// All problems of a configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problems(pub Vec<Problem>);

impl fmt::Display for Problems {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for problem in &self.0 {
            writeln!(f, "{}", problem.text)?;
        }
        Ok(())
    }
}

impl Error for Problems {}
