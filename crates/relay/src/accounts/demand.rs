//! Requests for which a gateway asks an account's limiter for credit.

/// Requests for which a gateway asks an account's limiter for credit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CreditDemand {
    /// Number of requests. At least 1; those after the first are asked for ahead of need.
    pub wanted: u32,
    /// Whether new requests go first: credit is granted only while the bucket is well filled.
    pub is_deferred: bool,
}

impl From<u32> for CreditDemand {
    fn from(wanted: u32) -> Self {
        Self { wanted, is_deferred: false }
    }
}
