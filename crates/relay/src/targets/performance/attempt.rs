//! What the end of an attempt tells of its target.

use crate::targets::{failure::AttemptFailure, performance::TargetOutcome};

/// How an attempt ended at its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptResult {
    /// The target answered with this status, completely or with a failure.
    Status(u16),
    /// The answer is incomplete or missing.
    Broken(AttemptFailure),
}

/// Whether the target ran the request of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptStage {
    /// The request may have been queued at the target until the attempt ended.
    Queued,
    /// The request had a slot.
    Begun,
}

impl TargetOutcome {
    /// Outcome of an attempt; `None` if it tells nothing of the target.
    ///
    /// It is designed for peaks that need more slots than there are. Requests then wait in the queues
    /// of healthy targets for longer than gateways do, and ejecting these targets would leave their
    /// load to the others. A queued request tells of its target only what the target sent: a
    /// time-out that the target reports (504) may be that of its queue.
    pub fn of_attempt(result: AttemptResult, stage: AttemptStage) -> Option<Self> {
        match (result, stage) {
            (AttemptResult::Status(504), AttemptStage::Queued) => None,
            (AttemptResult::Status(status), _) => Some(Self::of_status(status)),
            (AttemptResult::Broken(failure), AttemptStage::Begun) => Self::of_failure(failure),
            (AttemptResult::Broken(failure), AttemptStage::Queued) => match failure {
                AttemptFailure::SpoiledAnswer | AttemptFailure::CutAnswer => {
                    Self::of_failure(failure)
                }
                AttemptFailure::ConnectFailed
                | AttemptFailure::RefusedNotRun
                | AttemptFailure::OtherTarget
                | AttemptFailure::ClosedBeforeAnswer
                | AttemptFailure::SilentBeforeAnswer
                | AttemptFailure::StalledAnswer
                | AttemptFailure::TargetError
                | AttemptFailure::TargetRestarted => None,
            },
        }
    }
}
