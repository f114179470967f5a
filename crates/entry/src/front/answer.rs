//! Responses that the gateway itself gives to clients.

use std::time::Duration;

use crate::memory::HeldBytes;

/// A response of the gateway itself, as opposed to a relayed one.
#[derive(Debug, Default)]
pub struct OwnAnswer {
    /// HTTP status.
    pub status: u16,
    /// Time after which the client should retry.
    pub retry_after: Option<Duration>,
    /// JSON body; empty for none.
    pub body: Vec<u8>,
    /// Memory held for the body until it is written.
    pub held: Option<HeldBytes>,
}

impl OwnAnswer {
    /// A response without a body.
    pub fn of(status: u16) -> Self {
        Self { status, ..Self::default() }
    }

    /// A refusal of a request over its account's or a job limit (429). Nothing ran; the client may retry after
    /// `wait`.
    pub fn over_limit(wait: Duration) -> Self {
        Self { status: 429, retry_after: Some(wait), ..Self::default() }
    }

    /// A refusal because of missing state or capacity (503). Nothing ran; the client may retry after `wait`.
    pub fn refused(wait: Duration) -> Self {
        Self { status: 503, retry_after: Some(wait), ..Self::default() }
    }
}
