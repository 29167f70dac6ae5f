//! The kinds of faults in settings, each with a remedy.

use compact_str::CompactString;
use snafu::Snafu;

/// What is wrong with a field, and how to correct it.
///
/// The message follows the path of the field, as in "services.caja.queue.length is 0; …".
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Fault {
    /// The text is not valid JSON with comments.
    #[snafu(display("cannot be read ({detail}); correct the text at this place"))]
    Syntax {
        /// The error of the parser.
        detail: String,
    },
    /// The bundle or a file is too large.
    #[snafu(display("has {bytes} bytes; shorten it to at most {limit}"))]
    TooLarge {
        /// The size.
        bytes: usize,
        /// The largest size that is accepted.
        limit: usize,
    },
    /// Values are nested too deeply.
    #[snafu(display("is nested deeper than {limit} levels; remove the extra levels"))]
    TooDeep {
        /// The deepest level that is accepted.
        limit: usize,
    },
    /// An object has the same key twice.
    #[snafu(display("is set twice; remove it here or on line {line}"))]
    Duplicate {
        /// The line of the first occurrence.
        line: u32,
    },
    /// No field has this name.
    #[snafu(display("is not a field; {}", suggest(suggestion, "remove it")))]
    UnknownField {
        /// The field with the most similar name.
        suggestion: Option<CompactString>,
    },
    /// A route sets a field that would mark its requests as repeatable; only its kind does.
    #[snafu(display("is not a field of a route; {remedy}"))]
    NotRouteField {
        /// How to correct it.
        remedy: &'static str,
    },
    /// An object that needs an entry has none.
    #[snafu(display("is empty; {remedy}"))]
    Empty {
        /// How to correct it.
        remedy: &'static str,
    },
    /// An overlay names a route that is not in the base.
    #[snafu(display(
        "is not a route of the base; {}",
        suggest(suggestion, "add it to the base file or remove it here")
    ))]
    UnknownRoute {
        /// The route with the most similar name.
        suggestion: Option<CompactString>,
    },
    /// An overlay or a route names a service that is not in the base.
    #[snafu(display(
        "is not a service of the base; {}",
        suggest(suggestion, "add it to the base file or remove it here")
    ))]
    UnknownService {
        /// The service with the most similar name.
        suggestion: Option<CompactString>,
    },
    /// A value is null where null is not allowed.
    #[snafu(display("is null; {remedy}"))]
    UnexpectedNull {
        /// How to correct it.
        remedy: &'static str,
    },
    /// A value has the wrong type.
    #[snafu(display("is {found}; write {expected}"))]
    WrongType {
        /// The value found.
        found: String,
        /// A description of the accepted values.
        expected: String,
    },
    /// A number is written as a string, usually with a unit.
    #[snafu(display(
        "is \"{found}\"; write {number}, the number of {unit} without quotes or unit"
    ))]
    NumberAsText {
        /// The string found.
        found: String,
        /// The same quantity, in the unit of the field.
        number: u64,
        /// The unit of the field.
        unit: CompactString,
    },
    /// A number is too small.
    #[snafu(display("is {found}; set it to at least {minimum}"))]
    TooLow {
        /// The number found.
        found: CompactString,
        /// The smallest number that is accepted.
        minimum: u64,
    },
    /// A number is too large.
    #[snafu(display("is {found}; set it to at most {maximum}"))]
    TooHigh {
        /// The number found.
        found: CompactString,
        /// The largest number that is accepted.
        maximum: u64,
    },
    /// A string is not one of the allowed values.
    #[snafu(display("is \"{found}\"; {}", choose(suggestion, allowed)))]
    UnknownValue {
        /// The string found.
        found: String,
        /// The most similar allowed value.
        suggestion: Option<CompactString>,
        /// The allowed values.
        allowed: Vec<CompactString>,
    },
    /// A string has the wrong format.
    #[snafu(display("is \"{found}\"; write {expected}"))]
    WrongFormat {
        /// The string found.
        found: String,
        /// A description of the accepted format.
        expected: &'static str,
    },
    /// A field without a default is missing.
    #[snafu(display("is missing; add it{}", or_flag(flag)))]
    Missing {
        /// The command-line flag that sets the same field.
        flag: Option<String>,
    },
    /// A number exceeds the upper bound that another field sets.
    #[snafu(display("is {found}, above {bound}, which is {limit}; lower it or raise {bound}"))]
    AboveField {
        /// The number found.
        found: u64,
        /// The field that sets the bound.
        bound: CompactString,
        /// The value of that field.
        limit: u64,
    },
    /// A number is below the lower bound that another field sets.
    #[snafu(display("is {found}, below {bound}, which is {limit}; raise it or lower {bound}"))]
    BelowField {
        /// The number found.
        found: u64,
        /// The field that sets the bound.
        bound: CompactString,
        /// The value of that field.
        limit: u64,
    },
    /// Two fields contradict each other.
    #[snafu(display("is {found}, but {other}; {remedy}"))]
    Conflict {
        /// The value found.
        found: String,
        /// The value that it contradicts.
        other: String,
        /// How to correct it.
        remedy: &'static str,
    },
}

/// Returns the remedy for an unknown name, with the most similar known name if there is one.
fn suggest(suggestion: &Option<CompactString>, otherwise: &str) -> String {
    match suggestion {
        Some(suggestion) => format!("write {suggestion}, or {otherwise}"),
        None => otherwise.to_owned(),
    }
}

fn choose(suggestion: &Option<CompactString>, allowed: &[CompactString]) -> String {
    let allowed = allowed.join(", ");
    match suggestion {
        Some(suggestion) => format!("write {suggestion} (allowed are {allowed})"),
        None => format!("write one of {allowed}"),
    }
}

fn or_flag(flag: &Option<String>) -> String {
    match flag {
        Some(flag) => format!(" to the file or give {flag}"),
        None => String::new(),
    }
}
