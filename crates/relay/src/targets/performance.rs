//! Performance of targets as learned from requests: failures, ejections and pace.

pub mod attempt;
pub mod ejection;
pub mod failed_requests;
pub mod failure_window;
pub mod pace;

use crate::targets::{
    failure::AttemptFailure,
    performance::{ejection::TargetEjection, failure_window::FailureWindow, pace::TargetPace},
};

/// How an attempt ended, as far as this says something about its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetOutcome {
    /// The target answered the request.
    Answered,
    /// The target answered with a failure, or its answer was broken.
    Failed,
    /// The target stopped sending, or sent nothing. The network may be the cause.
    Unresponsive,
    /// The target could not be connected to, so the request is not the cause; the network may be.
    Unreachable,
}

impl TargetOutcome {
    /// Outcome of a complete answer. A status that reports a failure of the target counts as one
    /// even if it is relayed to the client as the answer.
    pub fn of_status(status: u16) -> Self {
        match status {
            500 | 502 | 504 => Self::Failed,
            _ => Self::Answered,
        }
    }

    /// Outcome of an attempt without a complete answer; `None` if the target is not at fault.
    pub fn of_failure(failure: AttemptFailure) -> Option<Self> {
        if !failure.is_target_fault() {
            return None;
        }
        Some(match failure {
            AttemptFailure::ConnectFailed => Self::Unreachable,
            _ if failure.is_unresponsive() => Self::Unresponsive,
            _ => Self::Failed,
        })
    }
}

/// End of one attempt at a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptReport {
    /// Identifies the request over all its attempts.
    pub fingerprint: u64,
    /// Its outcome; `None` if it gives no indication.
    pub outcome: Option<TargetOutcome>,
    /// Whether the attempt was a probe of an ejected target.
    pub is_probe: bool,
}

/// Performance of one incarnation of a target. A new incarnation starts with a new one.
#[derive(Debug, Clone, Default)]
pub(super) struct TargetPerformance {
    /// Outcomes at this target: all of them at its home gateway, elsewhere those of this gateway.
    pub(super) window: FailureWindow,
    pub(super) ejection: TargetEjection,
    pub(super) pace: TargetPace,
    /// Whether the target is left out of target selection. Invariant: at most a third of a service's
    /// targets, all of them ejected.
    pub(super) is_excluded: bool,
    /// Slots that count as taken while the target's share grows after a readmission.
    pub(super) closed_slots: u32,
}
