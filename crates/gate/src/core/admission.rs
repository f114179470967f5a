//! Who starts now: online first, batch in what is left, batch stopped where online would wait.

use notch_messages::prelude::*;
use notch_types::prelude::*;

use super::{GateCore, isolation::StartBlock};
use crate::{
    effect::GateEffect,
    run_record::{RunRecord, StopCause},
    settings::AdmissionRule,
    target_state::TargetState,
};

/// Shortest time that a refused gateway is told to wait, milliseconds.
const RETRY_AFTER_MIN_MS: u64 = 50;
/// Longest time that a refused gateway is told to wait, milliseconds.
const RETRY_AFTER_MAX_MS: u64 = 1_000;

impl GateCore {
    /// Starts and stops whatever the rules call for now.
    pub(crate) fn pump(
        &mut self,
        now: MonoTime,
        state: &mut TargetState,
        effects: &mut Vec<GateEffect>,
    ) {
        if state.is_up() && !self.leaving {
            let block = self.isolate(now, state, effects);
            match self.settings.rule {
                AdmissionRule::OnlineFirst => self.start_by_class(now, state, block, effects),
                AdmissionRule::ArrivalOrder => self.start_in_order(now, state, block, effects),
            }
        }
        self.pull(now, state, effects);
        state.note_running();
    }

    fn start_by_class(
        &mut self,
        now: MonoTime,
        state: &mut TargetState,
        block: StartBlock,
        effects: &mut Vec<GateEffect>,
    ) {
        if block != StartBlock::Everything {
            self.start_online(now, state, effects);
            self.preempt(now, state, effects);
        }
        if block == StartBlock::Nothing {
            self.start_batch(now, state, effects);
        }
    }

    /// Starts whatever came first, of either class.
    fn start_in_order(
        &mut self,
        now: MonoTime,
        state: &mut TargetState,
        block: StartBlock,
        effects: &mut Vec<GateEffect>,
    ) {
        if block != StartBlock::Nothing {
            return;
        }
        let waiting = state.queue.iter().map(|(_, run)| run).chain(&state.pending);
        let records = waiting.filter_map(|run| self.runs.get(run));
        let mut line: Vec<_> =
            records.map(|record| (record.arrived_at, record.run, record.deadline)).collect();
        line.sort_unstable();
        for (_, run, deadline) in line {
            if !state.has_slot() {
                return;
            }
            if self.must_run_alone(now, run) || now >= deadline {
                continue;
            }
            state.queue.remove(&(deadline, run));
            state.pending.retain(|pending| *pending != run);
            self.start(now, state, run, false, effects);
        }
    }

    /// Slots that online runs may hold: all but the floor that items of late jobs use now.
    pub(crate) fn online_slots(&self, state: &TargetState) -> u32 {
        let runs = state.batch.iter().chain(state.pending.iter());
        let urgent = runs.filter(|run| self.is_urgent(**run)).count() as u32;
        let floor = state.floor_slots(&self.weights).min(urgent);
        state.limits.limit() - floor
    }

    fn start_online(
        &mut self,
        now: MonoTime,
        state: &mut TargetState,
        effects: &mut Vec<GateEffect>,
    ) {
        let slots = self.online_slots(state);
        let waiting: Vec<(MonoTime, AttemptId)> = state.queue.iter().copied().collect();
        for (deadline, run) in waiting {
            if !state.has_slot() || state.online.len() as u32 >= slots {
                return;
            }
            if !self.must_run_alone(now, run) {
                state.queue.remove(&(deadline, run));
                self.start(now, state, run, false, effects);
            }
        }
    }

    /// Stops as many batch runs as online runs wait for a slot, least progress first.
    fn preempt(&mut self, now: MonoTime, state: &mut TargetState, effects: &mut Vec<GateEffect>) {
        let waiting =
            state.queue.iter().filter(|(_, run)| !self.must_run_alone(now, *run)).count() as u32;
        let online = state.online.len() as u32;
        let wanted = waiting.min(self.online_slots(state).saturating_sub(online));
        if wanted == 0 {
            return;
        }
        let batch = state.batch.len() as u32;
        let excess = (online + batch + wanted).saturating_sub(state.limits.limit());
        for run in self.victims(now, state).into_iter().take(excess as usize) {
            self.stop(now, state, run, StopCause::Preempted, effects);
            effects.push(GateEffect::Count(Counter::Retried(RetryReason::Preempted)));
        }
    }

    /// Stops the batch runs above a fill that was just cut hard: online tokens come too slowly
    /// while they run.
    pub(crate) fn trim_batch(
        &mut self,
        now: MonoTime,
        state: &mut TargetState,
        effects: &mut Vec<GateEffect>,
    ) {
        if self.settings.rule == AdmissionRule::ArrivalOrder {
            return;
        }
        let excess = state.limits.trim(state.batch.len() as u32);
        for run in self.victims(now, state).into_iter().take(excess as usize) {
            self.stop(now, state, run, StopCause::Preempted, effects);
            Self::count("batch_trimmed", effects);
        }
    }

    /// Batch runs that may be stopped, in the order in which to stop them.
    fn victims(&self, now: MonoTime, state: &TargetState) -> Vec<AttemptId> {
        let mut victims: Vec<&RunRecord> = state
            .batch
            .iter()
            .filter(|run| self.is_preemptible(**run))
            .filter_map(|run| self.runs.get(run))
            .collect();
        victims.sort_by_key(|record| (record.is_urgent(), record.progress(now), record.run));
        let urgent = victims.iter().filter(|record| record.is_urgent()).count();
        let held = urgent.min(state.floor_slots(&self.weights) as usize);
        victims.truncate(victims.len() - held);
        victims.into_iter().map(|record| record.run).collect()
    }

    /// A started non-idempotent item can't go back: it would never run again.
    pub(crate) fn is_preemptible(&self, run: AttemptId) -> bool {
        self.runs
            .get(&run)
            .is_some_and(|record| record.item.is_some() && record.idempotent && record.is_running())
    }

    pub(crate) fn is_urgent(&self, run: AttemptId) -> bool {
        self.runs.get(&run).is_some_and(RunRecord::is_urgent)
    }

    /// Takes a waiting online run out of its queue and gives it its final answer.
    pub(crate) fn refuse_waiting(
        &mut self,
        now: MonoTime,
        state: &mut TargetState,
        run: AttemptId,
        reason: RefusalReason,
        effects: &mut Vec<GateEffect>,
    ) {
        if !self.runs.get(&run).is_some_and(RunRecord::is_waiting) {
            return;
        }
        let Some(record) = self.runs.remove(&run) else { return };
        state.queue.remove(&(record.deadline, run));
        let retry = self.retry_after(state, reason);
        self.refuse(now, &record.gateway, run, reason, retry, effects);
    }

    /// When a refused gateway may try here again; `None` where that makes no sense.
    pub(crate) fn retry_after(&self, state: &TargetState, reason: RefusalReason) -> Option<u64> {
        let is_passing = matches!(reason, RefusalReason::Overloaded | RefusalReason::NoTarget);
        let estimate = state.limits.first_token_us() / 1_000;
        is_passing.then(|| estimate.clamp(RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS))
    }

    /// An item goes back without having started.
    pub(crate) fn return_pending(
        &mut self,
        state: &mut TargetState,
        run: AttemptId,
        effects: &mut Vec<GateEffect>,
    ) {
        state.pending.retain(|waiting| *waiting != run);
        let reason = match self.leaving {
            true => ReturnReason::Leaving,
            false => ReturnReason::NotStarted,
        };
        self.return_item(run, reason, None, effects);
    }
}
