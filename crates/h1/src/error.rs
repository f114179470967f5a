//! Faults of a connection.

use std::{fmt, io};

/// Why a message could not be read or written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WireError {
    /// The other side closed the connection in the middle of a message, or before one.
    Closed,
    /// The connection failed.
    Io(io::ErrorKind),
    /// The bytes are no message.
    Malformed,
    /// A head or body over its limit.
    TooLarge,
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Closed => f.write_str("connection closed"),
            Self::Io(kind) => write!(f, "connection failed: {kind}"),
            Self::Malformed => f.write_str("malformed message"),
            Self::TooLarge => f.write_str("message over its limit"),
        }
    }
}

impl std::error::Error for WireError {}

impl From<io::Error> for WireError {
    fn from(error: io::Error) -> Self {
        Self::Io(error.kind())
    }
}
