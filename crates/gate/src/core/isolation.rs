//! Suspects run alone: the target is drained for one, and nothing joins it.

use std::time::Duration;

use notch_types::{class::WorkClass, prelude::*};

use super::GateCore;
use crate::{
    effect::GateEffect,
    run_record::StopCause,
    target_state::{IsolationPhase, TargetState},
    timer_set::TimerKind,
};

/// What an isolation keeps from starting.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StartBlock {
    /// Nothing.
    Nothing,
    /// Batch.
    Batch,
    /// Everything.
    Everything,
}

impl GateCore {
    /// Moves the target's isolation on, and tells what may start beside it.
    pub(crate) fn isolate(
        &mut self,
        now: MonoTime,
        state: &mut TargetState,
        effects: &mut Vec<GateEffect>,
    ) -> StartBlock {
        if state.isolation == IsolationPhase::Idle {
            self.begin_isolation(now, state, effects);
        }
        match state.isolation {
            IsolationPhase::Idle => StartBlock::Nothing,
            IsolationPhase::Alone { run, .. } => self.keep_alone(now, state, run, effects),
            IsolationPhase::Draining { run, .. } => self.drain_for(now, state, run, effects),
        }
    }

    /// Whether an online suspect has, or waits for, the target for itself: other online work is
    /// sent on to another target rather than kept waiting.
    pub(crate) fn is_held_by_online(&self, state: &TargetState) -> bool {
        let run = match state.isolation {
            IsolationPhase::Idle => return false,
            IsolationPhase::Alone { run, .. } | IsolationPhase::Draining { run, .. } => run,
        };
        self.runs.get(&run).is_some_and(|record| record.class == WorkClass::Online)
    }

    fn begin_isolation(
        &mut self,
        now: MonoTime,
        state: &mut TargetState,
        effects: &mut Vec<GateEffect>,
    ) {
        if now < state.isolation_from {
            return;
        }
        let waiting = state.queue.iter().map(|(_, run)| *run).chain(state.pending.iter().copied());
        let Some(run) = waiting.into_iter().find(|run| self.must_run_alone(now, *run)) else {
            return;
        };
        state.isolation = IsolationPhase::Draining { run, since: now };
        self.timers
            .set(now + self.settings.isolation_wait, TimerKind::Isolation(state.name.clone()));
        Self::count("isolations_begun", effects);
        if self.is_held_by_online(state) {
            self.refuse_others(now, state, run, effects);
        }
    }

    fn refuse_others(
        &mut self,
        now: MonoTime,
        state: &mut TargetState,
        suspect: AttemptId,
        effects: &mut Vec<GateEffect>,
    ) {
        let others: Vec<AttemptId> =
            state.queue.iter().map(|(_, run)| *run).filter(|run| *run != suspect).collect();
        for run in others {
            self.refuse_waiting(now, state, run, RefusalReason::Overloaded, effects);
        }
    }

    fn keep_alone(
        &mut self,
        now: MonoTime,
        state: &mut TargetState,
        run: AttemptId,
        effects: &mut Vec<GateEffect>,
    ) -> StartBlock {
        let is_over = !self.runs.get(&run).is_some_and(|record| record.is_in_flight());
        if is_over {
            return self.end_isolation(now, state, effects);
        }
        if !state.queue.is_empty() && self.is_preemptible(run) {
            self.stop(now, state, run, StopCause::Preempted, effects);
        }
        StartBlock::Everything
    }

    fn drain_for(
        &mut self,
        now: MonoTime,
        state: &mut TargetState,
        run: AttemptId,
        effects: &mut Vec<GateEffect>,
    ) -> StartBlock {
        let Some(record) = self.runs.get(&run).filter(|record| record.is_waiting()) else {
            return self.end_isolation(now, state, effects);
        };
        let is_online = record.class == WorkClass::Online;
        if state.taken() == 0 && (is_online || state.queue.is_empty()) {
            state.queue.retain(|(_, waiting)| *waiting != run);
            state.pending.retain(|waiting| *waiting != run);
            let since = state.isolation.since().unwrap_or(now);
            state.isolation = IsolationPhase::Alone { run, since };
            self.start(now, state, run, true, effects);
            return StartBlock::Everything;
        }
        let waited = state.isolation.since().map_or(Duration::ZERO, |since| now.since(since));
        if waited >= self.settings.isolation_wait {
            match is_online {
                true => self.refuse_waiting(now, state, run, RefusalReason::Overloaded, effects),
                false => self.return_pending(state, run, effects),
            }
            Self::count("isolations_given_up", effects);
            return self.end_isolation(now, state, effects);
        }
        if !is_online {
            return StartBlock::Batch;
        }
        let batch: Vec<AttemptId> = state.batch.iter().copied().collect();
        for other in batch {
            if self.is_preemptible(other) {
                self.stop(now, state, other, StopCause::Preempted, effects);
            }
        }
        StartBlock::Everything
    }

    /// The next isolation waits as long as this one took, so that a stream of suspects has half of
    /// the target's time at most. A fixed pause of seconds made a job wait for it once for each
    /// item that had run beside a culprit: it ended late, or seemed not to end.
    fn end_isolation(
        &mut self,
        now: MonoTime,
        state: &mut TargetState,
        effects: &mut Vec<GateEffect>,
    ) -> StartBlock {
        let took = state.isolation.since().map_or(Duration::ZERO, |since| now.since(since));
        state.isolation = IsolationPhase::Idle;
        state.isolation_from = now + took.min(self.settings.isolation_pause);
        self.timers.set(state.isolation_from, TimerKind::Isolation(state.name.clone()));
        Self::count("isolations_ended", effects);
        StartBlock::Nothing
    }
}
