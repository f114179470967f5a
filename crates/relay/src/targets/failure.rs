//! Classification of failed attempts: whether the request may have run, and whether the target is
//! at fault.

/// How an attempt at a target failed before its answer was complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptFailure {
    /// The connection could not be established; nothing was sent.
    ConnectFailed,
    /// The target reported that it did not run the request.
    RefusedNotRun,
    /// Another target, or one with another version of the weights, answered at the address and did
    /// not run the request.
    OtherTarget,
    /// The connection was closed or reset after the request was sent and before an answer began.
    ClosedBeforeAnswer,
    /// No answer began within the time limit.
    SilentBeforeAnswer,
    /// The data received is not an answer to this request.
    SpoiledAnswer,
    /// The answer was truncated or partly corrupted.
    CutAnswer,
    /// The answer stopped before its end without a closed connection.
    StalledAnswer,
    /// The target ran the request and reported an error.
    TargetError,
    /// The target has restarted since the attempt began; nothing of the attempt is left there.
    TargetRestarted,
}

/// Whether a failed attempt may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunVerdict {
    /// Proven: the request did not run and never will.
    NotRun,
    /// The request may have run or may still be running.
    Unknown,
}

impl AttemptFailure {
    /// Whether the attempt may have run. Every retry, refusal and final answer depends on this: a
    /// non-repeatable request is sent to another target only after `NotRun`, and only `NotRun` may
    /// be reported to a client as a refusal.
    pub fn verdict(self) -> RunVerdict {
        match self {
            Self::ConnectFailed | Self::RefusedNotRun | Self::OtherTarget => RunVerdict::NotRun,
            Self::ClosedBeforeAnswer
            | Self::SilentBeforeAnswer
            | Self::SpoiledAnswer
            | Self::CutAnswer
            | Self::StalledAnswer
            | Self::TargetError
            | Self::TargetRestarted => RunVerdict::Unknown,
        }
    }

    /// Whether the failure counts against the target's health. A full target is healthy, and a
    /// target that runs a request and reports an error may be right.
    pub fn is_target_fault(self) -> bool {
        match self {
            Self::ConnectFailed
            | Self::ClosedBeforeAnswer
            | Self::SilentBeforeAnswer
            | Self::SpoiledAnswer
            | Self::CutAnswer
            | Self::StalledAnswer => true,
            // The incarnation that failed is gone; its successor has not failed yet.
            Self::RefusedNotRun | Self::OtherTarget | Self::TargetError | Self::TargetRestarted => {
                false
            }
        }
    }

    /// Whether the request may have crashed the target: the connection closed while the request
    /// ran, or the target is known to have restarted, which may be told before the connection ends.
    pub fn may_be_crash(self) -> bool {
        matches!(self, Self::ClosedBeforeAnswer | Self::CutAnswer | Self::TargetRestarted)
    }

    /// Whether the target sent nothing at all, so that it may be down or unreachable.
    pub fn is_unresponsive(self) -> bool {
        matches!(self, Self::ConnectFailed | Self::SilentBeforeAnswer | Self::StalledAnswer)
    }

    /// Stable code for logs and counters.
    pub fn code(self) -> &'static str {
        match self {
            Self::ConnectFailed => "connect_failed",
            Self::RefusedNotRun => "refused_not_run",
            Self::OtherTarget => "other_target",
            Self::ClosedBeforeAnswer => "closed_before_answer",
            Self::SilentBeforeAnswer => "silent_before_answer",
            Self::SpoiledAnswer => "spoiled_answer",
            Self::CutAnswer => "cut_answer",
            Self::StalledAnswer => "stalled_answer",
            Self::TargetError => "target_error",
            Self::TargetRestarted => "target_restarted",
        }
    }
}
