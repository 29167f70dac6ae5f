//! The kinds of faults in settings, each with its remedy.

use compact_str::CompactString;
use snafu::Snafu;

/// What is wrong with a field, and what to do about it.
///
/// A message continues the path of the field: "services.caja.queue.length" "is 0; …".
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Fault {
    /// The text is no JSON with comments.
    #[snafu(display("cannot be read ({detail}); correct the text at this place"))]
    Syntax {
        /// What the parser found.
        detail: String,
    },
    /// The bundle or a file is too large.
    #[snafu(display("has {bytes} bytes; shorten it to at maximum {limit}"))]
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
    /// A key stands twice in one object.
    #[snafu(display("is set twice; remove it here or on line {line}"))]
    Duplicate {
        /// The line of the first one.
        line: u32,
    },
    /// No field has this name.
    #[snafu(display("is not a field; {}", suggest(suggestion, "remove it")))]
    UnknownField {
        /// The field whose name is the nearest.
        suggestion: Option<CompactString>,
    },
    /// The name would be that of a field elsewhere.
    #[snafu(display("is not a field of a route; {remedy}"))]
    NotRouteField {
        /// What to do about it.
        remedy: &'static str,
    },
    /// An object has no entry where one is needed.
    #[snafu(display("is empty; {remedy}"))]
    Empty {
        /// What to add.
        remedy: &'static str,
    },
    /// An overlay names a route that the base lacks.
    #[snafu(display(
        "is not a route of the base; {}",
        suggest(suggestion, "add it to the base file or remove it here")
    ))]
    UnknownRoute {
        /// The route whose name is the nearest.
        suggestion: Option<CompactString>,
    },
    /// An overlay or a route names a service that the base lacks.
    #[snafu(display(
        "is not a service of the base; {}",
        suggest(suggestion, "add it to the base file or remove it here")
    ))]
    UnknownService {
        /// The service whose name is the nearest.
        suggestion: Option<CompactString>,
    },
    /// A value is null where that resets nothing.
    #[snafu(display("is null; {remedy}"))]
    UnexpectedNull {
        /// What to do instead.
        remedy: &'static str,
    },
    /// A value has the wrong type.
    #[snafu(display("is {found}; write {expected}"))]
    WrongType {
        /// The value found.
        found: String,
        /// The kind of value that belongs here.
        expected: String,
    },
    /// A number is written as text, mostly with a unit.
    #[snafu(display(
        "is \"{found}\"; write {number}, the number of {unit} without quotes or unit"
    ))]
    NumberAsText {
        /// The text found.
        found: String,
        /// The same quantity in the unit of the field.
        number: u64,
        /// The unit of the field.
        unit: CompactString,
    },
    /// A number is too small.
    #[snafu(display("is {found}; set it to at least {minimum}"))]
    TooLow {
        /// The number found.
        found: CompactString,
        /// The least number that is accepted.
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
    /// A text is none of those that are allowed.
    #[snafu(display("is \"{found}\"; {}", choose(suggestion, allowed)))]
    UnknownValue {
        /// The text found.
        found: String,
        /// The allowed text that is the nearest.
        suggestion: Option<CompactString>,
        /// All that is allowed.
        allowed: Vec<CompactString>,
    },
    /// A text has the wrong form.
    #[snafu(display("is \"{found}\"; write {expected}"))]
    WrongFormat {
        /// The text found.
        found: String,
        /// The form that is accepted.
        expected: &'static str,
    },
    /// A field without a default is missing.
    #[snafu(display("is missing; add it{}", or_flag(flag)))]
    Missing {
        /// The flag that sets the same field.
        flag: Option<String>,
    },
    /// A number is above the bound that another field sets.
    #[snafu(display("is {found}, above {bound}, which is {limit}; lower it or raise {bound}"))]
    AboveField {
        /// The number found.
        found: u64,
        /// The field that sets the bound.
        bound: CompactString,
        /// The value of that field.
        limit: u64,
    },
    /// A number is below the bound that another field sets.
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
        /// What stands against it.
        other: String,
        /// What to do about it.
        remedy: &'static str,
    },
}

/// Returns the remedy for a name, with the name that is near when there is one.
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
