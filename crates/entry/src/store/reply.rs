//! Outcomes of calls to the store.

/// Why a call failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreFailure {
    /// Certainly not done: not sent, or refused.
    NotDone,
    /// Sent and not answered: it may have been done, or be done seconds later.
    Unknown,
}

impl StoreFailure {
    /// Stable name for logs.
    pub fn code(self) -> &'static str {
        match self {
            Self::NotDone => "not_done",
            Self::Unknown => "unknown",
        }
    }
}

/// An answer by the store.
#[derive(Debug)]
pub struct StoreReply {
    /// HTTP status: 2xx, 404, 409 or 410.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
}

impl StoreReply {
    /// Whether the call was done.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }
}
