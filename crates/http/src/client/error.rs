//! Why a request got no answer, and whether it may have run.

use std::fmt;

/// Why a request got no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClientError {
    /// Not a byte of the request left this process: it surely did not run.
    NotSent(SendFailure),
    /// At least one byte left and no whole answer's head came: it may have run.
    Lost(LostCause),
}

/// Why a request could not be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendFailure {
    /// The URL names no `ip:port`.
    BadAddress,
    /// Nobody listens there, or the network has no way there.
    Refused,
    /// The connection took too long.
    ConnectTimedOut,
    /// The connection closed before anything was written.
    Closed,
    /// The request's own body could not be read.
    BodyUnreadable,
}

/// What became of a request that was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LostCause {
    /// The connection closed before the answer's head.
    Closed,
    /// The answer took too long.
    TimedOut,
    /// The answer can't be understood.
    Malformed,
    /// The request's own body broke off.
    BodyUnreadable,
}

impl fmt::Display for ClientError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(failure) => write!(f, "not sent: {failure}"),
            Self::Lost(cause) => write!(f, "sent, no answer: {cause}"),
        }
    }
}

impl fmt::Display for SendFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::BadAddress => "the URL names no address",
            Self::Refused => "connection refused",
            Self::ConnectTimedOut => "connecting took too long",
            Self::Closed => "connection closed",
            Self::BodyUnreadable => "the request's body can't be read",
        })
    }
}

impl fmt::Display for LostCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Closed => "connection closed",
            Self::TimedOut => "timed out",
            Self::Malformed => "malformed answer",
            Self::BodyUnreadable => "the request's body broke off",
        })
    }
}

impl std::error::Error for ClientError {}
