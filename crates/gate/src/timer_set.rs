//! Times at which the gate has to look at something again.

use std::collections::BTreeSet;

use notch_types::prelude::*;

/// What to look at.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum TimerKind {
    /// A waiting run's patience is over.
    WaitOver(AttemptId),
    /// A running run's time is over.
    RunOver(AttemptId),
    /// A stopped run's slot is taken back even without the target's word.
    StopGrace(AttemptId),
    /// The run's gateway has been away for long.
    Orphan(AttemptId),
    /// The ended run's output may go.
    Forget(AttemptId),
    /// The pull with this number stayed unanswered.
    PullTimeout(TargetName, u64),
    /// The pause between pulls is over.
    PullResume(TargetName),
    /// The suspect waited long enough for an idle target, or the pause between isolations is over.
    Isolation(TargetName),
    /// A target that answered after it cut a run is probed again.
    Reprobe(TargetName),
    /// A learning window closes, for all targets.
    Window,
    /// A load report is due.
    Load,
    /// Results are due to be sent again.
    Resend,
    /// The order at work takes too long.
    OrderOver(Epoch, u64),
    /// Drain must be over.
    DrainBound,
}

/// Timers in order of time. A timer whose matter is settled stays until its time and is then
/// ignored, so the set holds at most a few for each run begun within the longest of their times.
#[derive(Debug, Default)]
pub(crate) struct TimerSet {
    timers: BTreeSet<(MonoTime, TimerKind)>,
}

impl TimerSet {
    pub(crate) fn set(&mut self, at: MonoTime, kind: TimerKind) {
        self.timers.insert((at, kind));
    }

    pub(crate) fn next(&self) -> Option<MonoTime> {
        self.timers.first().map(|(at, _)| *at)
    }

    /// The first timer due at `now`, taken out.
    pub(crate) fn take_due(&mut self, now: MonoTime) -> Option<TimerKind> {
        if self.next()? > now {
            return None;
        }
        self.timers.pop_first().map(|(_, kind)| kind)
    }
}
