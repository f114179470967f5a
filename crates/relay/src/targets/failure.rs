//! The one table of what a failure says about whether the request ran.

/// How an attempt at a target failed before it brought a whole answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptFailure {
    /// No connection could be made: nothing was sent.
    ConnectFailed,
    /// The target says that it did not run the request.
    RefusedNotRun,
    /// Another target has the address, or another version of the weights; not run.
    OtherTarget,
    /// The connection ended or was reset after the request was sent, before an answer began.
    ClosedBeforeAnswer,
    /// No answer began within the time allowed.
    SilentBeforeAnswer,
    /// What came is no answer to this request.
    SpoiledAnswer,
    /// The answer was cut short, or a part of it was spoiled.
    CutAnswer,
    /// The answer stopped coming.
    StalledAnswer,
    /// The target ran the request and says that it failed.
    TargetError,
    /// The target has started again since: nothing of this attempt is left there.
    TargetRestarted,
}

/// Whether a failed attempt may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunVerdict {
    /// Proved: it did not run and never will.
    NotRun,
    /// It may have run, or may still be running.
    Unknown,
}

impl AttemptFailure {
    /// Whether the attempt may have run. Every retry, refusal and final answer follows from this:
    /// a request that can't be repeated goes elsewhere only after `NotRun`, and only `NotRun` may
    /// be told to a client as a refusal.
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

    /// Whether it speaks against the target's health. A full target is not ill, and one that runs
    /// a request and reports its failure may be right.
    pub fn blames_target(self) -> bool {
        match self {
            Self::ConnectFailed
            | Self::ClosedBeforeAnswer
            | Self::SilentBeforeAnswer
            | Self::SpoiledAnswer
            | Self::CutAnswer
            | Self::StalledAnswer => true,
            // The start that failed is gone; the new one has done nothing yet.
            Self::RefusedNotRun | Self::OtherTarget | Self::TargetError | Self::TargetRestarted => {
                false
            }
        }
    }

    /// Whether the target's end may be the request's doing: it closed the connection while it ran it.
    pub fn may_be_crash(self) -> bool {
        matches!(self, Self::ClosedBeforeAnswer | Self::CutAnswer)
    }

    /// Whether nothing came from the target, so that it may be gone or cut off.
    pub fn is_silence(self) -> bool {
        matches!(self, Self::ConnectFailed | Self::SilentBeforeAnswer | Self::StalledAnswer)
    }

    /// Stable name for logs and counters.
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
