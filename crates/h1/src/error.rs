//! Errors of a connection.

use std::{fmt, io};

/// Why a message could not be read or written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WireError {
    /// The peer closed the connection within a message, or before an expected one.
    Closed,
    /// Reading or writing failed.
    Io(io::ErrorKind),
    /// The bytes are not a valid message.
    Malformed,
    /// A head or body exceeds its size limit.
    TooLarge,
    /// The peer read nothing for so long that the message was given up.
    Stalled,
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Closed => f.write_str("connection closed before the end of a message"),
            Self::Io(kind) => write!(f, "connection failed: {kind}"),
            Self::Malformed => f.write_str("malformed HTTP message"),
            Self::TooLarge => f.write_str("HTTP message exceeds its size limit"),
            Self::Stalled => f.write_str("the peer does not read"),
        }
    }
}

impl std::error::Error for WireError {}

impl From<io::Error> for WireError {
    fn from(error: io::Error) -> Self {
        Self::Io(error.kind())
    }
}
