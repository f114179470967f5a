//! One call of a target, and what comes back.

use notch_types::prelude::*;

/// How a call's answer is taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallMode {
    /// As the target streams it, byte for byte.
    Stream,
    /// As one whole answer, byte for byte.
    Whole,
    /// For a batch item: streamed where the target can, its text collected on the way, and the
    /// whole answer made at the end.
    Collect,
}

/// What to ask a target.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetCall {
    /// Names the call at an engine, for its cancellation.
    pub id: String,
    /// The same for every try of one request, for services that drop repeats themselves.
    pub request: RequestId,
    /// Path below a plain service; empty for an engine.
    pub path: String,
    /// JSON body.
    pub body: Payload,
    /// How the answer is taken.
    pub mode: CallMode,
    /// Whether the target may run it more than once.
    pub idempotent: bool,
    /// Text already produced, to resume after.
    pub progress: Option<Payload>,
}

/// Hears of a running call, in order, on the call's own task: it must not block.
pub trait CallSink: Send {
    /// The target took the call.
    fn started(&mut self);

    /// Bytes of the answer (`Stream`, `Whole`), or of the text produced (`Collect`, after the
    /// text that the call resumed).
    fn bytes(&mut self, bytes: &[u8]);
}

/// How a call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallEnd {
    /// The whole answer came.
    Complete {
        /// HTTP status.
        status: u16,
    },
    /// The target answered with an error, or broke the protocol (`status` 0).
    Failed {
        /// HTTP status.
        status: u16,
        /// Whether another target might do better.
        retryable: bool,
    },
    /// The connection was cut, or went silent, after the call had been sent.
    Cut,
    /// Surely never sent.
    Unreached,
}

/// A call's end; `body` is the whole answer of a `Collect`.
#[derive(Debug, Clone, PartialEq)]
pub struct CallAnswer {
    /// How it ended.
    pub end: CallEnd,
    /// The whole answer in JSON, of a `Collect` that completed.
    pub body: Option<Payload>,
}

impl CallAnswer {
    /// An end without a body.
    pub(crate) fn bare(end: CallEnd) -> Self {
        Self { end, body: None }
    }
}

/// Statuses that another target, or a later try, may answer better.
pub(crate) fn is_retryable(status: u16) -> bool {
    matches!(status, 408 | 425 | 429) || status >= 500
}
