//! The age of another gateway's configuration proof.

use std::time::Duration;

/// Another gateway's answer about the age of its configuration proof.
#[derive(Debug, Clone, Copy)]
pub struct ProofAge {
    /// The configuration version that was proved to be the newest one that long ago; 0 without a proof.
    pub version: u64,
    /// Age of its proof; `None` when it has none.
    pub age: Option<Duration>,
}
