//! Answers of our own to clients.

use std::time::Duration;

/// One answer of our own.
#[derive(Debug, Default)]
pub struct OwnAnswer {
    /// Its status.
    pub status: u16,
    /// When the client should come back.
    pub retry_after: Option<Duration>,
    /// Its body.
    pub body: Vec<u8>,
}

impl OwnAnswer {
    /// An answer without a body.
    pub fn of(status: u16) -> Self {
        Self { status, ..Self::default() }
    }

    /// A refusal for want of room under a limit: nothing ran; come back after `wait`.
    pub fn over_limit(wait: Duration) -> Self {
        Self { status: 429, retry_after: Some(wait), ..Self::default() }
    }

    /// A refusal: nothing ran; come back after `wait`.
    pub fn refused(wait: Duration) -> Self {
        Self { status: 503, retry_after: Some(wait), ..Self::default() }
    }
}
