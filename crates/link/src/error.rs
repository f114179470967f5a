//! Why a link can't be made or used.

use std::fmt;

/// A link's fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkError {
    /// TCP or WebSocket failed.
    Transport,
    /// The other side took too long.
    TimedOut,
    /// The other side did not prove the secret, or is not the VM expected.
    Unproved,
    /// A message that can't be decoded.
    Undecodable,
    /// The link is closed.
    Closed,
    /// The link's queue is full: the other side reads too slowly.
    Full,
}

impl fmt::Display for LinkError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Transport => "transport failed",
            Self::TimedOut => "timed out",
            Self::Unproved => "the other side did not prove the secret",
            Self::Undecodable => "undecodable message",
            Self::Closed => "link closed",
            Self::Full => "link queue full",
        })
    }
}

impl std::error::Error for LinkError {}
