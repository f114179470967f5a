//! What can be wrong with an entry.

use std::fmt;

/// What can be wrong with a field.
#[derive(Debug, Clone, PartialEq)]
pub enum FaultKind {
    /// The name holds other characters than letters, digits, `.`, `_` and `-`, or is too long.
    BadName,
    /// The text is no JSON; carries the parser's words.
    NotJson(String),
    /// The same field stands twice, and only one of them could take effect.
    Duplicate,
    /// The field is required.
    Missing,
    /// No field of this name exists; most often a misspelling.
    Unknown,
    /// Another type of value.
    WrongType {
        /// What belongs there.
        expected: &'static str,
    },
    /// A number outside its range.
    OutOfRange {
        /// Least value.
        least: f64,
        /// Greatest value.
        most: f64,
    },
    /// A text or list over its length.
    TooLong {
        /// Greatest length, bytes or elements.
        most: usize,
    },
    /// None of the allowed words.
    NotOneOf(&'static [&'static str]),
    /// Breaks a rule between fields; carries the rule.
    Rule(&'static str),
}

impl fmt::Display for FaultKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::BadName => {
                f.write_str("must be at most 64 letters, digits, '.', '_' or '-', and begin with a letter or digit")
            }
            Self::NotJson(detail) => write!(f, "is not JSON: {detail}"),
            Self::Duplicate => f.write_str("stands twice"),
            Self::Missing => f.write_str("is required"),
            Self::Unknown => f.write_str("is not a field of this kind of entry"),
            Self::WrongType { expected } => write!(f, "must be {expected}"),
            Self::OutOfRange { least, most } => write!(f, "must be between {least} and {most}"),
            Self::TooLong { most } => write!(f, "must be at most {most} long"),
            Self::NotOneOf(words) => write!(f, "must be one of {}", words.join(", ")),
            Self::Rule(rule) => f.write_str(rule),
        }
    }
}

/// One fault of an entry.
#[derive(Debug, Clone, PartialEq)]
pub struct EntryFault {
    /// The field, as in `limits.queue`; empty for the entry as a whole.
    pub field: String,
    /// What is wrong with it.
    pub kind: FaultKind,
}

impl EntryFault {
    /// A fault of a field.
    pub fn new(field: &str, kind: FaultKind) -> Self {
        Self { field: field.to_owned(), kind }
    }
}

impl fmt::Display for EntryFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let field = if self.field.is_empty() { "the entry" } else { &self.field };
        write!(f, "{field} {}", self.kind)
    }
}

impl std::error::Error for EntryFault {}
