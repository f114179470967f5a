//! How attempts end.

use serde::{Deserialize, Serialize};

/// How one attempt ended, as its sidecar saw it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptOutcome {
    /// The whole answer was produced; `status` is the target's HTTP status.
    Complete {
        /// HTTP status of the target's answer.
        status: u16,
    },
    /// The target answered with an error; another try may do better when `retryable`.
    Failed {
        /// HTTP status of the target's answer, 0 when there was none.
        status: u16,
        /// Whether another target might do better.
        retryable: bool,
    },
    /// The target crashed or hung up with the attempt in flight.
    Crashed,
    /// Cancelled by its gateway, its job's cancellation, or its caller leaving.
    Cancelled,
    /// Stepped aside for online work; the progress goes back with it.
    Preempted,
    /// The deadline passed while it ran.
    DeadlinePassed,
}

/// What a sidecar says when asked to seal an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum SealVerdict {
    /// Never started here, and now never will be.
    NeverStarted,
    /// Running now; its answer can be resumed.
    Running,
    /// It ran; how it ended is known and its answer may still be held.
    Finished,
    /// This incarnation can't say: the attempt was meant for an earlier one, or was forgotten.
    Unknown,
}
