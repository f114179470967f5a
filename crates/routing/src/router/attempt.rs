//! What is heard of attempts.

use notch_messages::prelude::*;
use notch_types::prelude::*;

use super::{OnlineRouter, RouterTurn};
use crate::{
    effect::RouterEffect,
    request_state::{AttemptFailure, AttemptFate, RequestPhase, RequestState, RunStage},
};

const REFUSED: AttemptFailure = AttemptFailure {
    retry: RetryReason::Refused,
    refusal: RefusalReason::Overloaded,
    detail: "the sidecar did not take the attempt",
};
const FAILED: AttemptFailure = AttemptFailure {
    retry: RetryReason::TargetFailed,
    refusal: RefusalReason::TargetFailed,
    detail: "the target failed",
};
const CRASHED: AttemptFailure = AttemptFailure {
    retry: RetryReason::TargetCrashed,
    refusal: RefusalReason::TargetFailed,
    detail: "the target crashed",
};
const PREEMPTED: AttemptFailure = AttemptFailure {
    retry: RetryReason::Preempted,
    refusal: RefusalReason::Overloaded,
    detail: "the attempt stepped aside",
};

/// What an attempt's end tells of its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum TargetHealth {
    Works,
    Fails,
    Untold,
}

impl OnlineRouter {
    pub(super) fn on_started(&mut self, turn: &mut RouterTurn<'_>, attempt: AttemptId) {
        self.hear(turn, attempt, |router, _, state| {
            mark_started(state, attempt);
            if state.is_running(attempt) {
                state.phase = RequestPhase::Running { attempt, stage: RunStage::Started };
                router.set_run_wake(state, None);
            }
        });
    }

    pub(super) fn on_answer_begun(&mut self, turn: &mut RouterTurn<'_>, attempt: AttemptId) {
        self.hear(turn, attempt, |router, turn, state| {
            mark_started(state, attempt);
            if !state.is_running(attempt) {
                return turn.count(Counter::Dropped(DropReason::LateAnswer));
            }
            state.phase = RequestPhase::Running { attempt, stage: RunStage::Started };
            router.set_run_wake(state, None);
            // What must run at most once is held whole until it is recorded, streams too.
            if state.lead.stream && state.idempotent && state.delivered.is_none() {
                router.deliver(turn, state, attempt);
            }
        });
    }

    pub(super) fn on_delivery_begun(&mut self, turn: &mut RouterTurn<'_>, request: RequestId) {
        self.step(turn, request, |_, _, state| {
            if let Some((attempt, _)) = state.running()
                && state.delivered.is_none()
            {
                state.delivered = Some(attempt);
            }
        });
    }

    pub(super) fn on_ended(
        &mut self,
        turn: &mut RouterTurn<'_>,
        attempt: AttemptId,
        outcome: AttemptOutcome,
    ) {
        let run = self.suspect_over(turn, attempt);
        if let (Some(run), AttemptOutcome::Crashed) = (run, &outcome) {
            self.suspect_crashed(turn, &run);
        }
        self.hear(turn, attempt, |router, turn, state| {
            mark_started(state, attempt);
            if outcome == AttemptOutcome::Crashed {
                router.tell_crash(turn, state, attempt);
            }
            if !state.is_running(attempt) {
                return turn.count(Counter::Dropped(DropReason::LateAnswer));
            }
            let health = target_health(&outcome);
            router.close_attempt(turn, state, attempt, health);
            match outcome {
                AttemptOutcome::Complete { .. } => router.on_complete(turn, state, attempt),
                AttemptOutcome::Failed { status, retryable } => {
                    router.on_failed(turn, state, attempt, status, retryable);
                }
                AttemptOutcome::Crashed => router.on_crashed(turn, state, attempt),
                AttemptOutcome::Preempted => router.fail(turn, state, attempt, PREEMPTED),
                AttemptOutcome::Cancelled => router.fail(turn, state, attempt, FAILED),
                AttemptOutcome::DeadlinePassed => router.on_expired(turn, state, attempt),
            }
        });
    }

    fn on_complete(
        &mut self,
        turn: &mut RouterTurn<'_>,
        state: &mut RequestState,
        attempt: AttemptId,
    ) {
        if self.suspects.cleared(state.lead.fingerprint) {
            turn.count(Counter::Event("suspects_cleared"));
        }
        if let Some(record) = state.record(attempt)
            && let Some(target) = self.targets.get_mut(&state.lead.target)
        {
            target.note_service(turn.now.since(record.sent_at));
        }
        self.answer(turn, state, attempt);
    }

    /// The target answered with an error. One that a retry won't mend is the caller's answer, and
    /// so is any error of a request that must not be repeated; but a stream that has begun is cut,
    /// for the caller took its first bytes for those of a good answer.
    fn on_failed(
        &mut self,
        turn: &mut RouterTurn<'_>,
        state: &mut RequestState,
        attempt: AttemptId,
        status: u16,
        retryable: bool,
    ) {
        if self.suspects.cleared(state.lead.fingerprint) {
            turn.count(Counter::Event("suspects_cleared"));
        }
        let is_final = !retryable || !state.idempotent;
        if status != 0 && is_final && state.delivered.is_none() {
            return self.answer(turn, state, attempt);
        }
        self.fail(turn, state, attempt, FAILED);
    }

    fn on_crashed(
        &mut self,
        turn: &mut RouterTurn<'_>,
        state: &mut RequestState,
        attempt: AttemptId,
    ) {
        let Some(record) = state.record(attempt).cloned() else { return };
        let fingerprint = state.lead.fingerprint;
        let target = state.lead.target.clone();
        if !record.alone {
            self.accuse(turn, fingerprint, &record.vm, &target, false);
        }
        if self.suspects.is_quarantined(turn.now, fingerprint) && state.idempotent {
            let detail = "this request crashes targets";
            return self.refuse_for(turn, state, RefusalReason::Quarantined, detail);
        }
        self.fail(turn, state, attempt, CRASHED);
    }

    fn on_expired(
        &mut self,
        turn: &mut RouterTurn<'_>,
        state: &mut RequestState,
        attempt: AttemptId,
    ) {
        if !state.idempotent {
            return self.settle_unknown(turn, state, attempt);
        }
        let detail = "the deadline passed while it ran";
        self.refuse_for(turn, state, RefusalReason::DeadlinePassed, detail);
    }

    /// An attempt that may have run came to nothing.
    pub(super) fn fail(
        &mut self,
        turn: &mut RouterTurn<'_>,
        state: &mut RequestState,
        attempt: AttemptId,
        failure: AttemptFailure,
    ) {
        if !state.idempotent {
            return self.settle_unknown(turn, state, attempt);
        }
        // The caller has bytes of this attempt: another one's must not be joined to them.
        if state.delivered.is_some() {
            return self.refuse_for(turn, state, failure.refusal, failure.detail);
        }
        self.retry(turn, state, failure);
    }

    pub(super) fn on_refused(&mut self, turn: &mut RouterTurn<'_>, refusal: AttemptRefusal) {
        let attempt = refusal.attempt;
        self.suspect_over(turn, attempt);
        self.hear(turn, attempt, |router, turn, state| {
            if !mark_never_started(state, attempt) || !state.is_running(attempt) {
                return;
            }
            router.note_refusal_reason(turn, state, attempt, refusal.reason);
            router.on_never_started(turn, state, attempt, refusal.reason);
        });
    }

    fn note_refusal_reason(
        &mut self,
        turn: &mut RouterTurn<'_>,
        state: &RequestState,
        attempt: AttemptId,
        reason: RefusalReason,
    ) {
        match reason {
            RefusalReason::Quarantined => {
                self.suspects.quarantine(turn.now, state.lead.fingerprint);
            }
            RefusalReason::Leaving => {
                if let Some(record) = state.record(attempt)
                    && self.sidecars.incarnation(record.place) == Some(attempt.incarnation)
                {
                    self.on_sidecar_draining(turn, &record.vm);
                }
            }
            _ => {}
        }
    }

    /// Proved: the attempt never started and never will.
    pub(super) fn on_never_started(
        &mut self,
        turn: &mut RouterTurn<'_>,
        state: &mut RequestState,
        attempt: AttemptId,
        reason: RefusalReason,
    ) {
        self.close_attempt(turn, state, attempt, TargetHealth::Untold);
        self.release_claim(turn, state, attempt);
        if let RefusalReason::Quarantined | RefusalReason::DeadlinePassed = reason {
            return self.refuse_for(turn, state, reason, "the sidecar did not start it");
        }
        // The sidecar knows what it serves, not what the catalogue holds: a model just unloaded
        // there would else be told to callers as one that doesn't exist.
        let refusal = match reason {
            RefusalReason::UnknownTarget => RefusalReason::NoTarget,
            other => other,
        };
        self.retry(turn, state, AttemptFailure { refusal, ..REFUSED });
    }

    /// Frees the attempt's place and tells its circuit.
    pub(super) fn close_attempt(
        &mut self,
        turn: &mut RouterTurn<'_>,
        state: &RequestState,
        attempt: AttemptId,
        health: TargetHealth,
    ) {
        let Some(record) = state.record(attempt) else { return };
        let (place, target) = (record.place, &state.lead.target);
        self.sidecars.ended(place, target, attempt);
        // A suspect's crash is its own: the sidecar must not be avoided for it.
        let health = if record.alone && health == TargetHealth::Fails {
            TargetHealth::Untold
        } else {
            health
        };
        let vm = record.vm.clone();
        match health {
            TargetHealth::Works => {
                if self.sidecars.succeeded(place, target, attempt) {
                    note_circuit(turn, "circuit_closed", "circuits_closed", target, &vm);
                }
            }
            TargetHealth::Fails => {
                let settings = &self.settings.circuit;
                let sidecars = &mut self.sidecars;
                if sidecars.failed(turn.now, place, target, attempt, settings, &mut self.rng) {
                    note_circuit(turn, "circuit_opened", "circuits_opened", target, &vm);
                }
            }
            TargetHealth::Untold => self.sidecars.neutral(turn.now, place, target, attempt),
        }
    }

    /// Stops an attempt whose answer is no longer wanted.
    pub(super) fn cancel_attempt(
        &mut self,
        turn: &mut RouterTurn<'_>,
        state: &RequestState,
        attempt: AttemptId,
    ) {
        let Some(record) = state.record(attempt) else { return };
        turn.emit(RouterEffect::Cancel { vm: record.vm.clone(), attempt });
        self.close_attempt(turn, state, attempt, TargetHealth::Untold);
    }

    /// Lets `decide` hear of one of a known request's attempts; others are late.
    pub(super) fn hear(
        &mut self,
        turn: &mut RouterTurn<'_>,
        attempt: AttemptId,
        decide: impl FnOnce(&mut Self, &mut RouterTurn<'_>, &mut RequestState),
    ) {
        let is_known = self
            .requests
            .get(&attempt.request)
            .is_some_and(|state| state.record(attempt).is_some());
        if is_known {
            self.step(turn, attempt.request, decide);
        } else {
            turn.count(Counter::Dropped(DropReason::LateAnswer));
        }
    }
}

pub(super) fn mark_started(state: &mut RequestState, attempt: AttemptId) {
    if let Some(record) = state.record_mut(attempt)
        && record.fate == AttemptFate::Sent
    {
        record.fate = AttemptFate::MaybeStarted;
    }
}

/// Returns false when the attempt is known to have started, or was not dispatched: such a message
/// contradicts what is known and proves nothing.
pub(super) fn mark_never_started(state: &mut RequestState, attempt: AttemptId) -> bool {
    let Some(record) = state.record_mut(attempt) else { return false };
    if record.fate != AttemptFate::Sent {
        return false;
    }
    record.fate = AttemptFate::NeverStarted;
    true
}

fn target_health(outcome: &AttemptOutcome) -> TargetHealth {
    match outcome {
        AttemptOutcome::Complete { .. } => TargetHealth::Works,
        AttemptOutcome::Failed { retryable: false, .. } => TargetHealth::Works,
        AttemptOutcome::Failed { retryable: true, .. } | AttemptOutcome::Crashed => {
            TargetHealth::Fails
        }
        AttemptOutcome::Cancelled | AttemptOutcome::Preempted | AttemptOutcome::DeadlinePassed => {
            TargetHealth::Untold
        }
    }
}

fn note_circuit(
    turn: &mut RouterTurn<'_>,
    code: &'static str,
    counter: &'static str,
    target: &TargetName,
    vm: &VmName,
) {
    turn.count(Counter::Event(counter));
    let detail = format!("target {target}");
    turn.note(DecisionNote::new(NoteSubject::Vm(vm.clone()), code, detail).with_vm(vm));
}
