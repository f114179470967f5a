//! What can be wrong with a job's lines.

use std::fmt;

use notch_types::prelude::*;

/// The first fault of an input.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IntakeError {
    /// The line, from 1, empty ones included.
    pub line: u64,
    /// What is wrong with it.
    pub fault: LineFault,
}

/// What is wrong with a line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LineFault {
    /// Longer than allowed.
    TooLong {
        /// The limit, bytes.
        limit: usize,
    },
    /// Not UTF-8.
    NotUtf8 {
        /// The first bad byte, from 1.
        column: usize,
    },
    /// No JSON object with a string `custom_id` and an object `body`, each once.
    Malformed {
        /// Where, from 1.
        column: usize,
        /// What the parser expected.
        detail: String,
    },
    /// An empty id.
    EmptyId,
    /// An id longer than allowed.
    LongId {
        /// The limit, bytes.
        limit: usize,
    },
    /// An id that an earlier line has.
    DuplicateId {
        /// The id.
        id: String,
    },
    /// More items than allowed.
    TooManyItems {
        /// The limit.
        limit: u32,
    },
    /// The input has no item at all.
    NoItems,
}

impl fmt::Display for LineFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLong { limit } => write!(f, "longer than {limit} bytes"),
            Self::NotUtf8 { column } => write!(f, "not UTF-8 at byte {column}"),
            Self::Malformed { column, detail } => write!(f, "{detail} (byte {column})"),
            Self::EmptyId => f.write_str("custom_id is empty"),
            Self::LongId { limit } => write!(f, "custom_id is longer than {limit} bytes"),
            Self::DuplicateId { id } => write!(f, "custom_id {id:?} was on an earlier line"),
            Self::TooManyItems { limit } => write!(f, "more than {limit} items"),
            Self::NoItems => f.write_str("no items in the input"),
        }
    }
}

impl fmt::Display for IntakeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}; nothing was accepted", self.line, self.fault)
    }
}

impl std::error::Error for IntakeError {}

impl From<&IntakeError> for Refusal {
    fn from(error: &IntakeError) -> Self {
        let reason = match error.fault {
            LineFault::TooLong { .. } | LineFault::TooManyItems { .. } => RefusalReason::TooLarge,
            _ => RefusalReason::BadRequest,
        };
        Refusal::not_run(reason, &error.to_string())
    }
}
