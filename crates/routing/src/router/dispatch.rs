//! Which sidecar gets a request, and when another one may.

use std::time::Duration;

use notch_types::prelude::*;
use rand::RngExt;

use super::{FIRST_SERVICE_TIME, OnlineRouter, RouterTurn, arrival::millis_up};
use crate::{
    effect::RouterEffect,
    request_state::{
        AttemptFailure, AttemptFate, AttemptRecord, RequestPhase, RequestState, RunStage,
    },
    sidecar_choice::choose,
    sidecar_table::{CandidateQuery, CandidateScan},
};

/// Told to callers when no sidecar of the target is known.
const NO_TARGET_RETRY_MS: u64 = 1_000;
/// Bounds of the time told to callers when every sidecar is full.
const MIN_FULL_RETRY: Duration = Duration::from_millis(50);
const MAX_FULL_RETRY: Duration = Duration::from_secs(30);

impl OnlineRouter {
    /// Tries the request: at its first step, and after each backoff.
    pub(super) fn begin(&mut self, turn: &mut RouterTurn<'_>, state: &mut RequestState) {
        if let Err(refusal) = self.check_start(turn, state) {
            return self.refuse(turn, state, refusal);
        }
        match self.choose_sidecar(turn, state) {
            Ok(place) => self.make_attempt(turn, state, place),
            Err(refusal) => self.refuse(turn, state, refusal),
        }
    }

    fn check_start(
        &mut self,
        turn: &mut RouterTurn<'_>,
        state: &RequestState,
    ) -> Result<(), Refusal> {
        let refuse = |reason, detail| Err(self.refusal_for(turn, state, reason, detail));
        if state.deadline <= turn.now + self.settings.retry.dispatch_margin {
            return refuse(RefusalReason::DeadlinePassed, "no time is left to start");
        }
        self.check_suspect(turn, state)
    }

    /// Two VMs must not be at risk from one suspect at a time, whichever gateway took it there.
    pub(super) fn check_suspect(
        &self,
        turn: &RouterTurn<'_>,
        state: &RequestState,
    ) -> Result<(), Refusal> {
        let fingerprint = state.lead.fingerprint;
        if self.suspects.is_quarantined(turn.now, fingerprint) {
            let detail = "this request crashes targets";
            return Err(self.refusal_for(turn, state, RefusalReason::Quarantined, detail));
        }
        if self.suspect_runs.is_out(turn.now, fingerprint) {
            let detail = "the same request may crash targets and is running alone elsewhere";
            let refusal = self.refusal_for(turn, state, RefusalReason::Overloaded, detail);
            let wait = millis_up(self.service_time(&state.lead.target));
            return Err(refusal.retry_after(wait));
        }
        Ok(())
    }

    pub(super) fn service_time(&self, target: &TargetName) -> Duration {
        self.targets.get(target).map_or(FIRST_SERVICE_TIME, |target| target.service_time)
    }

    /// Draws a sidecar, or says why there is none.
    fn choose_sidecar(
        &mut self,
        turn: &RouterTurn<'_>,
        state: &RequestState,
    ) -> Result<usize, Refusal> {
        let scan = self.scan(turn, state);
        choose(&scan.candidates, &self.settings.choice, &mut self.rng)
            .ok_or_else(|| self.no_candidate(turn, state, &scan))
    }

    fn scan(&self, turn: &RouterTurn<'_>, state: &RequestState) -> CandidateScan {
        let lead = &state.lead;
        let Some(target) = self.targets.get(&lead.target) else { return CandidateScan::default() };
        let tried = state.tried();
        let query = CandidateQuery {
            target: &lead.target,
            policy: &target.policy,
            prefix: lead.prefix,
            tried: &tried,
            may_probe: state.idempotent && !self.suspects.is_suspect(turn.now, lead.fingerprint),
            time_left: state.deadline.since(turn.now),
            service_time: target.service_time,
        };
        self.sidecars.scan(turn.now, &query, &self.settings.choice)
    }

    /// The final answer when nobody can take the request: told at once, never at the deadline.
    fn no_candidate(
        &mut self,
        turn: &RouterTurn<'_>,
        state: &RequestState,
        scan: &CandidateScan,
    ) -> Refusal {
        if !self.targets.contains_key(&state.lead.target) {
            let detail = "the target has left the catalogue";
            return self.refusal_for(turn, state, RefusalReason::UnknownTarget, detail);
        }
        if let Some(wait) = scan.full_wait {
            let wait = self.full_retry(wait);
            let detail = "every sidecar of the target is full";
            let refusal = self.refusal_for(turn, state, RefusalReason::Overloaded, detail);
            return refusal.retry_after(millis_up(wait));
        }
        if let Some(failure) = state.failure {
            let refusal = self.refusal_for(turn, state, failure.refusal, failure.detail);
            return refusal.retry_after(millis_up(self.settings.retry.backoff_cap));
        }
        if scan.known > 0 {
            let wait =
                scan.probe_at.map_or(self.settings.circuit.open_base, |at| at.since(turn.now));
            let detail = "every sidecar of the target fails";
            let refusal = self.refusal_for(turn, state, RefusalReason::CircuitOpen, detail);
            return refusal.retry_after(millis_up(wait.max(MIN_FULL_RETRY)));
        }
        let detail = "no sidecar of the target is up and staying";
        let refusal = self.refusal_for(turn, state, RefusalReason::NoTarget, detail);
        refusal.retry_after(NO_TARGET_RETRY_MS)
    }

    /// A little over the wait, drawn: callers refused together don't come back together.
    fn full_retry(&mut self, wait: Duration) -> Duration {
        let factor = self.rng.random_range(1.0..=1.25);
        wait.clamp(MIN_FULL_RETRY, MAX_FULL_RETRY).mul_f64(factor)
    }

    fn make_attempt(&mut self, turn: &mut RouterTurn<'_>, state: &mut RequestState, place: usize) {
        let Some(attempt) = self.add_attempt(turn, state, place) else {
            let detail = "a chosen sidecar is not known";
            return self.refuse_for(turn, state, RefusalReason::Internal, detail);
        };
        if state.idempotent {
            self.send(turn, state, attempt);
        } else {
            self.claim(turn, state, attempt);
        }
    }

    fn add_attempt(
        &mut self,
        turn: &RouterTurn<'_>,
        state: &mut RequestState,
        place: usize,
    ) -> Option<AttemptId> {
        let incarnation = self.sidecars.incarnation(place)?;
        let vm = self.sidecars.vm(place)?.clone();
        self.attempts_made += 1;
        let number = self.number_base | (self.attempts_made & u64::from(u32::MAX));
        let id = AttemptId { request: state.id(), number, incarnation };
        state.attempts.push(AttemptRecord {
            id,
            place,
            vm,
            fate: AttemptFate::Unsent,
            sent_at: turn.now,
            alone: false,
        });
        Some(id)
    }

    /// Dispatches an attempt made before.
    pub(super) fn send(
        &mut self,
        turn: &mut RouterTurn<'_>,
        state: &mut RequestState,
        attempt: AttemptId,
    ) {
        let fingerprint = state.lead.fingerprint;
        let alone = self.suspects.is_suspect(turn.now, fingerprint);
        let is_first = state.attempts.iter().all(|record| record.fate == AttemptFate::Unsent);
        let Some(record) = state.record_mut(attempt) else { return };
        record.fate = AttemptFate::Sent;
        record.sent_at = turn.now;
        record.alone = alone;
        let (place, vm) = (record.place, record.vm.clone());
        self.sidecars.dispatched(turn.now, place, &state.lead.target, attempt);
        if alone {
            self.suspect_begins(turn, state, attempt);
            turn.count(Counter::Event("suspects_run_alone"));
        }
        if is_first && let Some(target) = self.targets.get_mut(&state.lead.target) {
            target.budget.pay_in();
        }
        state.phase = RequestPhase::Running { attempt, stage: RunStage::Offered };
        self.set_run_wake(state, Some(turn.now + self.settings.retry.start_wait));
        let deadline_left = state.deadline.since(turn.now);
        turn.count(Counter::Event("attempts_dispatched"));
        turn.note(routed_note(state, &vm, deadline_left));
        turn.emit(RouterEffect::Dispatch {
            request: state.id(),
            attempt,
            vm,
            deadline_left,
            idempotent: state.idempotent,
            alone,
        });
    }

    /// The current attempt came to nothing and another may be made: it is repeatable, or surely
    /// never started. Waits for the backoff, or gives the final answer at once.
    pub(super) fn retry(
        &mut self,
        turn: &mut RouterTurn<'_>,
        state: &mut RequestState,
        failure: AttemptFailure,
    ) {
        state.failure = Some(failure);
        // Until the next step nothing runs; an end on the way must find no running attempt.
        state.phase = RequestPhase::Backoff;
        if state.attempts.len() >= self.settings.retry.max_attempts as usize {
            return self.refuse_after(turn, state, failure.refusal, failure.detail);
        }
        let wait = self.backoff(state.attempts.len() as u32);
        let starts_at = turn.now + wait;
        if starts_at + self.settings.retry.dispatch_margin >= state.deadline {
            return self.refuse_after(turn, state, failure.refusal, failure.detail);
        }
        let scan = self.scan(turn, state);
        if scan.candidates.is_empty() {
            let refusal = self.no_candidate(turn, state, &scan);
            return self.refuse(turn, state, refusal);
        }
        let has_budget = self
            .targets
            .get_mut(&state.lead.target)
            .is_some_and(|target| target.budget.take(turn.now));
        if !has_budget {
            let detail = "the target's retry budget is spent";
            return self.refuse_after(turn, state, RefusalReason::RetryBudget, detail);
        }
        state.wake_at = Some(starts_at);
        turn.count(Counter::Retried(failure.retry));
        turn.note(retried_note(state, &failure, wait));
    }

    fn refuse_after(
        &mut self,
        turn: &mut RouterTurn<'_>,
        state: &mut RequestState,
        reason: RefusalReason,
        detail: &str,
    ) {
        let refusal = self.refusal_for(turn, state, reason, detail);
        let wait = millis_up(self.settings.retry.backoff_cap);
        self.refuse(turn, state, refusal.retry_after(wait));
    }

    /// Full jitter: from zero to a bound that doubles.
    pub(super) fn backoff(&mut self, tries: u32) -> Duration {
        let settings = &self.settings.retry;
        let factor = 1_u32 << tries.saturating_sub(1).min(16);
        let bound = settings.backoff_base.saturating_mul(factor).min(settings.backoff_cap);
        bound.mul_f64(self.rng.random_range(0.0..=1.0))
    }

    /// Until when a running attempt is listened to, at the most.
    pub(super) fn listen_until(&self, state: &RequestState) -> MonoTime {
        if state.idempotent { state.deadline } else { state.deadline + self.settings.claim.linger }
    }

    pub(super) fn set_run_wake(&self, state: &mut RequestState, at: Option<MonoTime>) {
        let last = self.listen_until(state);
        state.wake_at = Some(at.map_or(last, |at| at.min(last)));
    }
}

fn routed_note(state: &RequestState, vm: &VmName, deadline_left: Duration) -> DecisionNote {
    let detail = format!(
        "attempt {} of target {}, {} ms left",
        state.attempts.len(),
        state.lead.target,
        deadline_left.as_millis()
    );
    DecisionNote::new(NoteSubject::Request(state.id()), "routed", detail).with_vm(vm)
}

fn retried_note(state: &RequestState, failure: &AttemptFailure, wait: Duration) -> DecisionNote {
    let detail = format!("{}; again in {} ms", failure.detail, wait.as_millis());
    DecisionNote::new(NoteSubject::Request(state.id()), "retried", detail)
        .with_reason(failure.retry.code())
}
