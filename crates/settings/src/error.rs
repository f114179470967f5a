//! What can be wrong with a settings file.

use std::fmt;

/// What is wrong at one place of a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SettingsProblem {
    /// The file can't be read.
    Unreadable {
        /// The system's own words.
        detail: String,
    },
    /// The line is neither a section, nor `key = value`, nor a comment.
    Syntax {
        /// The line.
        text: String,
    },
    /// No program reads a section of this name.
    UnknownSection,
    /// The section has no such key.
    UnknownKey,
    /// A key that has no default is not there.
    Missing {
        /// What the value would be.
        expected: &'static str,
    },
    /// The section or key stands twice.
    Repeated {
        /// Line of the first one, from 1.
        first: usize,
    },
    /// The value isn't of the key's kind, or has the wrong unit.
    Invalid {
        /// The value as written.
        value: String,
        /// What was expected.
        expected: &'static str,
    },
    /// The value is out of its bounds.
    OutOfRange {
        /// The value as written.
        value: String,
        /// The bounds.
        bounds: String,
    },
    /// Two values can't stand together.
    Clash {
        /// Which values, and why not.
        detail: String,
    },
}

impl fmt::Display for SettingsProblem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable { detail } => write!(f, "can't be read: {detail}"),
            Self::Syntax { text } => write!(f, "not a section, key or comment: `{text}`"),
            Self::UnknownSection => f.write_str("unknown section"),
            Self::UnknownKey => f.write_str("unknown key"),
            Self::Missing { expected } => write!(f, "missing; expected {expected}"),
            Self::Repeated { first } => write!(f, "repeated; first on line {first}"),
            Self::Invalid { value, expected } => write!(f, "`{value}`: expected {expected}"),
            Self::OutOfRange { value, bounds } => write!(f, "`{value}` is not {bounds}"),
            Self::Clash { detail } => f.write_str(detail),
        }
    }
}

/// One fault: where it is and what it is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsError {
    /// Line from 1; 0 when the fault is not on a line (a missing key, an unreadable file).
    pub line: usize,
    /// The section's name; empty outside any section.
    pub section: String,
    /// The key; empty when the section or the line itself is at fault.
    pub key: String,
    /// What is wrong.
    pub problem: SettingsProblem,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.line > 0 {
            write!(f, "line {}: ", self.line)?;
        }
        if !self.section.is_empty() {
            write!(f, "[{}] ", self.section)?;
        }
        if !self.key.is_empty() {
            write!(f, "{}: ", self.key)?;
        }
        write!(f, "{}", self.problem)
    }
}

impl std::error::Error for SettingsError {}

/// Every fault of a file, in line order. Never empty.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsErrors(pub Vec<SettingsError>);

impl fmt::Display for SettingsErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, error) in self.0.iter().enumerate() {
            if index > 0 {
                f.write_str("\n")?;
            }
            write!(f, "{error}")?;
        }
        Ok(())
    }
}

impl std::error::Error for SettingsErrors {}
