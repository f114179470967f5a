//! Online attempts: offer, resume, cancel, seal, and the times they may take.

use notch_messages::prelude::*;
use notch_types::{class::WorkClass, prelude::*};

use super::AdmissionGate;
use crate::{
    core::GateCore,
    effect::{GateEffect, RunRequest},
    run_record::{RunPhase, RunRecord, StopCause},
    target_state::TargetHealth,
    timer_set::TimerKind,
    tombstone_set::TombstoneKind,
};

impl AdmissionGate {
    /// Takes in an offer. The same offer again starts nothing: its state is told once more.
    pub(super) fn offer(
        &mut self,
        now: MonoTime,
        gateway: &VmName,
        offer: AttemptOffer,
        effects: &mut Vec<GateEffect>,
    ) {
        let attempt = offer.attempt;
        if self.is_foreign(gateway, attempt, effects) || self.repeat(gateway, attempt, effects) {
            return;
        }
        if let Some(reason) = self.offer_bar(now, &offer) {
            let state = self.targets.get(&offer.target);
            let retry = state.and_then(|state| self.core.retry_after(state, reason));
            return self.core.refuse(now, gateway, attempt, reason, retry, effects);
        }
        let target = offer.target.clone();
        self.queue_offer(now, gateway, offer);
        self.with_target(now, &target, effects, |_, _, _| {});
    }

    /// An attempt meant for another incarnation: that one may have run it, and this one can't
    /// say. Anything but "unknown" would be a guess.
    fn is_foreign(
        &self,
        gateway: &VmName,
        attempt: AttemptId,
        effects: &mut Vec<GateEffect>,
    ) -> bool {
        if attempt.incarnation == self.core.settings.incarnation {
            return false;
        }
        effects.push(GateEffect::Count(Counter::Dropped(DropReason::StaleIncarnation)));
        let verdict = SealVerdict::Unknown;
        GateCore::send(gateway, GatewayMessage::Sealed { attempt, verdict }, effects);
        true
    }

    /// Answers an offer that was seen before; `false` when it is new.
    fn repeat(
        &mut self,
        gateway: &VmName,
        attempt: AttemptId,
        effects: &mut Vec<GateEffect>,
    ) -> bool {
        if self.core.runs.contains_key(&attempt) {
            GateCore::count("offers_repeated", effects);
            self.resume(gateway, attempt, 0, effects);
            return true;
        }
        if let Some(bar) = self.core.barred.get(attempt) {
            let reason = match bar {
                TombstoneKind::Refused(reason) => *reason,
                TombstoneKind::Sealed | TombstoneKind::Finished { .. } => RefusalReason::Cancelled,
            };
            effects.push(GateEffect::Count(Counter::Refused(reason)));
            let refusal = AttemptRefusal { attempt, reason, retry_after_ms: None };
            GateCore::send(gateway, GatewayMessage::Refused(refusal), effects);
            return true;
        }
        if let Some(TombstoneKind::Finished { total, outcome }) = self.core.finished.get(attempt) {
            let message =
                GatewayMessage::Ended { attempt, total: *total, outcome: outcome.clone() };
            GateCore::send(gateway, message, effects);
            return true;
        }
        false
    }

    /// Why an offer can't even wait.
    fn offer_bar(&self, now: MonoTime, offer: &AttemptOffer) -> Option<RefusalReason> {
        if self.core.leaving {
            return Some(RefusalReason::Leaving);
        }
        if self.core.suspects.is_quarantined(offer.fingerprint) {
            return Some(RefusalReason::Quarantined);
        }
        let Some(state) = self.targets.get(&offer.target) else {
            return Some(RefusalReason::UnknownTarget);
        };
        match state.health {
            TargetHealth::Gone => return Some(RefusalReason::UnknownTarget),
            TargetHealth::Down(_) => return Some(RefusalReason::NoTarget),
            TargetHealth::Up | TargetHealth::Doubtful => {}
        }
        if !state.policy.takes_online {
            return Some(RefusalReason::UnknownTarget);
        }
        if offer.deadline_ms == 0 {
            return Some(RefusalReason::DeadlinePassed);
        }
        let is_suspect = offer.alone || self.core.suspects.is_suspect(now, offer.fingerprint);
        if self.core.is_held_by_online(state) && !is_suspect {
            return Some(RefusalReason::Overloaded);
        }
        // A free slot is no place in the queue: a queue of length 0 still serves free slots.
        let waits = !state.has_slot() || state.health == TargetHealth::Doubtful || is_suspect;
        let is_full = state.queue.len() as u32 >= state.policy.queue_length;
        (is_full && (waits || !state.queue.is_empty())).then_some(RefusalReason::Overloaded)
    }

    fn queue_offer(&mut self, now: MonoTime, gateway: &VmName, offer: AttemptOffer) {
        let Some(state) = self.targets.get_mut(&offer.target) else { return };
        let run = offer.attempt;
        let deadline = now + std::time::Duration::from_millis(offer.deadline_ms);
        let patience = match offer.alone || self.core.suspects.is_suspect(now, offer.fingerprint) {
            true => self.core.settings.isolation_wait + state.policy.queue_wait,
            false => state.policy.queue_wait,
        };
        let request = RunRequest {
            run,
            target: offer.target.clone(),
            class: WorkClass::Online,
            gateway: gateway.clone(),
            path: offer.path,
            body: offer.body,
            stream: offer.stream,
            idempotent: offer.idempotent,
            progress: offer.progress,
        };
        let record = RunRecord {
            run,
            target: offer.target,
            class: WorkClass::Online,
            gateway: gateway.clone(),
            fingerprint: offer.fingerprint,
            idempotent: offer.idempotent,
            deadline,
            phase: RunPhase::Waiting(Box::new(request)),
            arrived_at: now,
            started_at: None,
            stopped_at: None,
            orphaned_at: None,
            has_first_token: false,
            alone: offer.alone,
            holds_slot: false,
            carried: 0,
            item: None,
        };
        self.core.timers.set(deadline.min(now + patience), TimerKind::WaitOver(run));
        state.queue.insert((deadline, run));
        self.core.runs.insert(run, record);
    }

    /// Sends the attempt's output from `offset` to whoever asks now.
    pub(super) fn resume(
        &mut self,
        gateway: &VmName,
        attempt: AttemptId,
        offset: u64,
        effects: &mut Vec<GateEffect>,
    ) {
        let Some(record) = self.core.runs.get_mut(&attempt) else {
            let verdict = self.seal_verdict_of_past(attempt);
            return GateCore::send(gateway, GatewayMessage::Sealed { attempt, verdict }, effects);
        };
        record.gateway = gateway.clone();
        record.orphaned_at = None;
        if let RunPhase::Waiting(request) = &mut record.phase {
            request.gateway = gateway.clone();
            return;
        }
        GateCore::send(gateway, GatewayMessage::Started { attempt }, effects);
        effects.push(GateEffect::Replay { run: attempt, gateway: gateway.clone(), offset });
        if let RunPhase::Ended { total, outcome } = &record.phase {
            let message =
                GatewayMessage::Ended { attempt, total: *total, outcome: outcome.clone() };
            GateCore::send(gateway, message, effects);
        }
    }

    fn seal_verdict_of_past(&self, attempt: AttemptId) -> SealVerdict {
        if self.core.finished.get(attempt).is_some() {
            SealVerdict::Finished
        } else if self.core.barred.get(attempt).is_some() {
            SealVerdict::NeverStarted
        } else {
            SealVerdict::Unknown
        }
    }

    /// Stops the attempt. One that was never seen is barred: its offer may still be on its way.
    pub(super) fn cancel(
        &mut self,
        now: MonoTime,
        gateway: &VmName,
        attempt: AttemptId,
        effects: &mut Vec<GateEffect>,
    ) {
        if self.is_foreign(gateway, attempt, effects) {
            return;
        }
        let Some(record) = self.core.runs.get(&attempt) else {
            if self.core.finished.get(attempt).is_none() && self.core.barred.get(attempt).is_none()
            {
                let reason = RefusalReason::Cancelled;
                self.core.refuse(now, gateway, attempt, reason, None, effects);
            }
            return;
        };
        let target = record.target.clone();
        let is_item = record.item.is_some();
        self.with_target(now, &target, effects, |core, state, effects| {
            match is_item {
                true => core.cancel_item(now, state, attempt, effects),
                false => {
                    core.refuse_waiting(now, state, attempt, RefusalReason::Cancelled, effects);
                    core.stop(now, state, attempt, StopCause::Cancelled, effects);
                }
            };
        });
    }

    /// Makes sure that an attempt that hasn't started never does, and tells what is known.
    pub(super) fn seal(
        &mut self,
        now: MonoTime,
        gateway: &VmName,
        attempt: AttemptId,
        effects: &mut Vec<GateEffect>,
    ) {
        if self.is_foreign(gateway, attempt, effects) {
            return;
        }
        let verdict = self.seal_verdict(now, attempt);
        if verdict == SealVerdict::NeverStarted {
            self.drop_waiting(now, attempt, effects);
        }
        GateCore::count("attempts_sealed", effects);
        GateCore::send(gateway, GatewayMessage::Sealed { attempt, verdict }, effects);
    }

    fn seal_verdict(&mut self, now: MonoTime, attempt: AttemptId) -> SealVerdict {
        if let Some(record) = self.core.runs.get(&attempt) {
            return match record.phase {
                RunPhase::Waiting(_) => SealVerdict::NeverStarted,
                RunPhase::Running | RunPhase::Stopping(_) | RunPhase::Doubtful(_) => {
                    SealVerdict::Running
                }
                RunPhase::Ended { .. } => SealVerdict::Finished,
            };
        }
        match self.seal_verdict_of_past(attempt) {
            // Without room for the tombstone the promise couldn't be kept.
            SealVerdict::Unknown if self.core.barred.has_room(now) => SealVerdict::NeverStarted,
            verdict => verdict,
        }
    }

    /// Takes a waiting run out without an answer of its own, and bars it for good.
    fn drop_waiting(&mut self, now: MonoTime, run: AttemptId, effects: &mut Vec<GateEffect>) {
        if self.core.barred.get(run).is_none() {
            self.core.barred.insert(now, run, TombstoneKind::Sealed);
        }
        let Some(record) = self.core.runs.get(&run) else { return };
        let (target, deadline, is_item) =
            (record.target.clone(), record.deadline, record.item.is_some());
        self.with_target(now, &target, effects, |core, state, effects| {
            if is_item {
                return core.return_pending(state, run, effects);
            }
            state.queue.remove(&(deadline, run));
            core.runs.remove(&run);
        });
    }

    pub(super) fn run_started(&mut self, run: AttemptId, effects: &mut Vec<GateEffect>) {
        let Some(record) = self.core.runs.get(&run) else { return };
        if record.class == WorkClass::Online {
            GateCore::count("attempts_started", effects);
            let message = GatewayMessage::Started { attempt: run };
            GateCore::send(&record.gateway, message, effects);
        }
    }

    pub(super) fn run_first_token(&mut self, now: MonoTime, run: AttemptId) {
        let Some(record) = self.core.runs.get_mut(&run) else { return };
        let is_first = !std::mem::replace(&mut record.has_first_token, true);
        if record.class == WorkClass::Online
            && is_first
            && let Some(started) = record.started_at
            && let Some(state) = self.targets.get_mut(&record.target)
        {
            state.limits.note_first_token(now.since(started));
        }
    }

    /// A waiting run's patience is over: it gets its final answer now.
    pub(super) fn wait_over(
        &mut self,
        now: MonoTime,
        run: AttemptId,
        effects: &mut Vec<GateEffect>,
    ) {
        let Some(record) = self.core.runs.get(&run).filter(|record| record.is_waiting()) else {
            return;
        };
        let reason = match now >= record.deadline {
            true => RefusalReason::DeadlinePassed,
            false => RefusalReason::Overloaded,
        };
        let is_item = record.item.is_some();
        self.with_run(now, run, effects, |core, state, effects| match is_item {
            true => core.return_pending(state, run, effects),
            false => core.refuse_waiting(now, state, run, reason, effects),
        });
    }

    /// Marks a lost gateway's runs; each goes on for a while, for the gateway may come back and
    /// resume.
    pub(super) fn orphan_runs(&mut self, now: MonoTime, gateway: &VmName) {
        let until = now + self.core.settings.orphan_grace;
        for state in self.targets.values() {
            let waiting = state.queue.iter().map(|(_, run)| run);
            for run in state.online.iter().chain(waiting) {
                if let Some(record) = self.core.runs.get_mut(run)
                    && record.gateway == *gateway
                {
                    record.orphaned_at = Some(now);
                    self.core.timers.set(until, TimerKind::Orphan(*run));
                }
            }
        }
    }

    /// Nobody came back for the run. A started non-idempotent one goes on: stopping it would
    /// leave its effect unknown for ever.
    pub(super) fn orphan_over(
        &mut self,
        now: MonoTime,
        run: AttemptId,
        effects: &mut Vec<GateEffect>,
    ) {
        let Some(record) = self.core.runs.get(&run) else { return };
        let grace = self.core.settings.orphan_grace;
        let is_left = record.orphaned_at.is_some_and(|at| now >= at + grace)
            && !self.core.gateways.is_up(&record.gateway);
        if !is_left {
            return;
        }
        let is_stoppable = record.idempotent;
        self.with_run(now, run, effects, |core, state, effects| {
            core.refuse_waiting(now, state, run, RefusalReason::Cancelled, effects);
            if is_stoppable {
                core.stop(now, state, run, StopCause::Cancelled, effects);
            }
        });
    }
}
