//! Outcomes of attempts.

use serde::{Deserialize, Serialize};

/// How one attempt ended, as observed by its sidecar.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptOutcome {
    /// The target produced its whole answer.
    Complete {
        /// HTTP status of the target's answer.
        status: u16,
    },
    /// The target failed or answered with an error.
    Failed {
        /// HTTP status of the target's answer; 0 if there was none.
        status: u16,
        /// Whether a retry at another target may succeed.
        retryable: bool,
    },
    /// The target crashed or closed the connection with the attempt in flight.
    Crashed,
    /// Cancelled by its gateway, by the cancellation of its job, or because its caller disconnected.
    Cancelled,
    /// Preempted by online work; the output so far is returned with it.
    Preempted,
    /// The deadline passed while it ran.
    DeadlinePassed,
}

/// A sidecar's answer to the request to seal an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum SealVerdict {
    /// The attempt was never started here and never will be.
    NeverStarted,
    /// The attempt is running; its answer can be resumed.
    Running,
    /// The attempt has ended; the outcome is known and the answer may still be buffered.
    Finished,
    /// This incarnation doesn't know: the attempt was meant for an earlier incarnation, or its
    /// record was evicted.
    Unknown,
}
