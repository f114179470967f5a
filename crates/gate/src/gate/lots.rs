//! Messages about lots, jobs and results.

use std::time::Duration;

use notch_messages::prelude::*;
use notch_types::prelude::*;

use super::AdmissionGate;
use crate::{effect::GateEffect, target_state::PullPhase};

impl AdmissionGate {
    pub(super) fn lot(&mut self, now: MonoTime, grant: LotGrant, effects: &mut Vec<GateEffect>) {
        let target = grant.target.clone();
        if self.targets.contains_key(&target) {
            return self.with_target(now, &target, effects, |core, state, effects| {
                core.take_lot(now, state, grant, effects);
            });
        }
        if self.core.admit_lot(&grant, effects) {
            self.core.return_lot(&grant, effects);
        }
    }

    /// Nothing to do: pause. An answer to a pull that is given up changes nothing.
    pub(super) fn no_work(
        &mut self,
        now: MonoTime,
        gateway: &VmName,
        target: &TargetName,
        retry_after_ms: u64,
    ) {
        let Some(state) = self.targets.get_mut(target) else { return };
        let is_answer =
            matches!(&state.pull, PullPhase::Asked { gateway: asked, .. } if asked == gateway);
        if is_answer {
            self.core.pause_pull(now, state, Duration::from_millis(retry_after_ms));
        }
    }

    /// A pull stayed unanswered: its answer is lost, or slow. Pull again after a pause, over
    /// another gateway; a late lot is taken all the same.
    pub(super) fn pull_over(
        &mut self,
        now: MonoTime,
        target: &TargetName,
        number: u64,
        effects: &mut Vec<GateEffect>,
    ) {
        self.with_target(now, target, effects, |core, state, effects| {
            let is_open =
                matches!(state.pull, PullPhase::Asked { number: asked, .. } if asked == number);
            if is_open {
                effects.push(GateEffect::Count(Counter::Event("pulls_unanswered")));
                core.pause_pull(now, state, Duration::ZERO);
            }
        });
    }

    /// A cancelled job's items never start any more. The owner's epoch is not checked: a
    /// cancellation is told only once it is in the ledger, and nothing there takes it back.
    /// Results that wait to be settled stay: what they are worth is the ledger's to say.
    pub(super) fn cancel_job(
        &mut self,
        now: MonoTime,
        job: JobId,
        epoch: Epoch,
        effects: &mut Vec<GateEffect>,
    ) {
        self.core.lots.admit_epoch(job.shard, epoch);
        self.core.lots.cancel(now, job);
        let first = ItemKey { job, item: ItemIndex(0) };
        let last = ItemKey { job, item: ItemIndex(u32::MAX) };
        let runs: Vec<AttemptId> =
            self.core.items.range(first..=last).map(|(_, run)| *run).collect();
        for run in runs {
            self.with_run(now, run, effects, |core, state, effects| {
                core.cancel_item(now, state, run, effects);
            });
        }
    }

    pub(super) fn items_settled(
        &mut self,
        now: MonoTime,
        keys: &[ItemKey],
        effects: &mut Vec<GateEffect>,
    ) {
        let settled = keys.iter().filter(|key| self.core.results.settle(**key)).count();
        if settled > 0 {
            self.pump_all(now, effects);
        }
    }
}
