//! Errors of links.

use std::fmt;

/// Why a link can't be established or used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkError {
    /// TCP or WebSocket failed.
    Transport,
    /// The other side did not answer in time.
    TimedOut,
    /// The other side failed to authenticate with the shared secret, or is not the expected VM.
    Unproved,
    /// A message could not be decoded or encoded.
    Undecodable,
    /// The link is closed.
    Closed,
    /// The send queue is full because the other side reads too slowly.
    Full,
}

impl fmt::Display for LinkError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Transport => "TCP or WebSocket transport failed",
            Self::TimedOut => "peer did not answer in time",
            Self::Unproved => "peer failed to authenticate or is not the expected VM",
            Self::Undecodable => "message could not be encoded or decoded",
            Self::Closed => "link closed",
            Self::Full => "link send queue full",
        })
    }
}

impl std::error::Error for LinkError {}
