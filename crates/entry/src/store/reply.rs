//! Outcomes of calls to the store.

/// Status by which a refusal for good is passed on to the gateway for which the call was made.
const REFUSED_STATUS: u16 = 413;

/// Why a call failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreFailure {
    /// Certainly not done: not sent, or refused for now.
    NotDone,
    /// Refused for good, for its size or form: the same call will be refused again.
    Refused,
    /// Sent and not answered: it may have been done, or be done seconds later.
    Unknown,
}

impl StoreFailure {
    /// Stable name for logs.
    pub fn code(self) -> &'static str {
        match self {
            Self::NotDone => "not_done",
            Self::Refused => "refused",
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
    /// The outcome of a call that was answered with `status`.
    ///
    /// # Errors
    /// The store refused the call, for now or for good.
    pub fn of(status: u16, body: Vec<u8>) -> Result<Self, StoreFailure> {
        match status {
            200..300 | 404 | 409 | 410 => Ok(Self { status, body }),
            400 | 405 | 406 | 411 | 413..=415 | 422 | 431 => Err(StoreFailure::Refused),
            _ => Err(StoreFailure::NotDone),
        }
    }

    /// A refusal for good, as passed on to another gateway.
    pub fn refused() -> Self {
        Self { status: REFUSED_STATUS, body: Vec::new() }
    }

    /// Whether the call was done.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }
}
