//! How calls to the store end.

/// Why a call brought nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreFailure {
    /// Surely not done: not sent, or turned away.
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

/// What the store answered.
#[derive(Debug)]
pub struct StoreReply {
    /// The status: 2xx, 404, 409 or 410.
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
