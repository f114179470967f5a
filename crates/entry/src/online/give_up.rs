//! Why a request was given up.

use notch_relay::prelude::AttemptFailure;

/// Why a request was given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum GiveUpReason {
    /// The request itself crashes targets.
    Quarantined,
    /// A part of its prompt crashes targets.
    PartRefused,
    /// Its account uses more than its fair share of the slots.
    OverFairShare,
    /// No target has the software version that began the stream.
    VersionGone,
    /// The stream that the client takes up may have begun at several software versions.
    VersionUnknown,
    /// Its time is over.
    Deadline,
    /// No target has a slot for it.
    NoSlot,
    /// Its last attempt failed and no other is allowed.
    Failed(AttemptFailure),
}

impl GiveUpReason {
    /// Stable code for logs.
    pub(super) fn code(self) -> &'static str {
        match self {
            Self::Quarantined => "quarantined",
            Self::PartRefused => "part_refused",
            Self::OverFairShare => "over_fair_share",
            Self::VersionGone => "version_gone",
            Self::VersionUnknown => "version_unknown",
            Self::Deadline => "deadline",
            Self::NoSlot => "no_place",
            Self::Failed(failure) => failure.code(),
        }
    }

    /// Status of the answer, and whether it says when to come back. A request that may have run is not refused, and one
    /// that would be refused again is not told to come back.
    pub(super) fn answer(self, may_have_run: bool) -> (u16, bool) {
        match (may_have_run, self) {
            (false, Self::VersionGone | Self::VersionUnknown) => (503, false),
            (false, _) => (503, true),
            (true, Self::Deadline) => (504, false),
            (true, _) => (502, false),
        }
    }
}
