//! The ledger's part: claims of requests that must run at most once, and stored answers.

use notch_messages::prelude::*;
use notch_types::prelude::*;

use super::{OnlineRouter, RouterTurn};
use crate::{
    effect::{RequestEnd, RouterEffect},
    request_state::{AttemptFate, RequestPhase, RequestState},
};

impl OnlineRouter {
    /// Claims the request for an attempt, before its dispatch.
    ///
    /// What goes wrong without it: a caller that got no answer sends again through another
    /// gateway, and both gateways dispatch: two learners get one slot. One would notice two
    /// effects under one idempotency key. The claim names the attempt, so that the second gateway
    /// finds out which sidecar to ask instead of running it again.
    pub(super) fn claim(
        &mut self,
        turn: &mut RouterTurn<'_>,
        state: &mut RequestState,
        attempt: AttemptId,
    ) {
        state.phase = RequestPhase::Claiming { attempt, since: turn.now, tries: 1 };
        state.wake_at = Some(turn.now + self.settings.claim.ask_again);
        ask_claim(turn, state, attempt);
    }

    /// No answer yet. The same claim is asked again: for the ledger it is the same one, whether
    /// or not an earlier ask took effect.
    pub(super) fn on_claim_late(&mut self, turn: &mut RouterTurn<'_>, state: &mut RequestState) {
        let RequestPhase::Claiming { attempt, since, tries } = state.phase else { return };
        let waited = turn.now.since(since);
        let is_late = turn.now + self.settings.retry.dispatch_margin >= state.deadline;
        if waited >= self.settings.claim.claim_wait || is_late {
            let detail = "the ledger did not answer the claim in time";
            return self.refuse_for(turn, state, RefusalReason::StoreUnavailable, detail);
        }
        turn.count(Counter::Retried(RetryReason::AmbiguousWrite));
        state.phase = RequestPhase::Claiming { attempt, since, tries: tries + 1 };
        state.wake_at = Some(turn.now + self.settings.claim.ask_again);
        ask_claim(turn, state, attempt);
    }

    pub(super) fn on_claim_answered(
        &mut self,
        turn: &mut RouterTurn<'_>,
        request: RequestId,
        attempt: AttemptId,
        result: Result<ClaimVerdict, Refusal>,
    ) {
        let is_granted = result == Ok(ClaimVerdict::Granted);
        // Never dispatched and never will be: a claim that took effect late is freed again.
        if is_granted && self.dropped_claims.contains(turn.now, attempt) {
            return turn.emit(RouterEffect::ReleaseClaim { request, attempt });
        }
        self.step(turn, request, |router, turn, state| {
            if state.claim_in_doubt() != Some(attempt) {
                return;
            }
            match result {
                Ok(verdict) => router.on_verdict(turn, state, attempt, verdict),
                Err(refusal) => router.on_claim_failed(turn, state, refusal),
            }
        });
    }

    fn on_verdict(
        &mut self,
        turn: &mut RouterTurn<'_>,
        state: &mut RequestState,
        attempt: AttemptId,
        verdict: ClaimVerdict,
    ) {
        match verdict {
            ClaimVerdict::Granted => self.on_granted(turn, state, attempt),
            ClaimVerdict::HeldBy(by) if by == attempt => self.on_granted(turn, state, attempt),
            ClaimVerdict::HeldBy(by) => self.on_held(turn, state, attempt, by),
            ClaimVerdict::Ended(answer @ StoredAnswer::Answered { .. }) => {
                self.end_unclaimed(turn, state, &RequestEnd::Stored(answer));
            }
            ClaimVerdict::Ended(StoredAnswer::Unknown) => {
                let refusal = self.doubt_refusal();
                self.end_unclaimed(turn, state, &RequestEnd::Refused(refusal));
            }
            ClaimVerdict::OtherBody => {
                let detail = "the idempotency key belongs to a request with another body";
                let refusal = Refusal::not_run(RefusalReason::KeyReused, detail);
                self.end_unclaimed(turn, state, &RequestEnd::Refused(refusal));
            }
        }
    }

    /// Ends a request whose claim surely isn't in the ledger.
    fn end_unclaimed(
        &mut self,
        turn: &mut RouterTurn<'_>,
        state: &mut RequestState,
        end: &RequestEnd,
    ) {
        state.phase = RequestPhase::Backoff;
        self.end(turn, state, end);
    }

    /// The claim is committed: this attempt alone may run.
    fn on_granted(
        &mut self,
        turn: &mut RouterTurn<'_>,
        state: &mut RequestState,
        attempt: AttemptId,
    ) {
        if state.deadline <= turn.now + self.settings.retry.dispatch_margin {
            let detail = "the deadline passed while the claim was made";
            return self.refuse_for(turn, state, RefusalReason::DeadlinePassed, detail);
        }
        // Another send of the same suspect may have gone out meanwhile.
        if let Err(refusal) = self.check_suspect(turn, state) {
            return self.refuse(turn, state, refusal);
        }
        let Some(record) = state.record(attempt) else { return };
        if self.sidecars.takes_work(record.place, attempt.incarnation) {
            return self.send(turn, state, attempt);
        }
        // The claim names an incarnation that is leaving or gone: it goes to another attempt.
        self.drop_claim(turn, state);
        turn.count(Counter::Event("claims_moved"));
        state.phase = RequestPhase::Backoff;
        if state.attempts.len() >= self.settings.retry.max_attempts as usize {
            let detail = "each chosen sidecar left while the claim was made";
            return self.refuse_for(turn, state, RefusalReason::NoTarget, detail);
        }
        self.begin(turn, state);
    }

    /// Frees a claim whose attempt was never dispatched, and makes sure that it never will be.
    pub(super) fn drop_claim(&mut self, turn: &mut RouterTurn<'_>, state: &mut RequestState) {
        let Some(attempt) = state.claim_in_doubt() else { return };
        let request = state.id();
        self.dropped_claims.insert(turn.now, attempt);
        turn.emit(RouterEffect::ReleaseClaim { request, attempt });
    }

    /// An attempt that was dispatched and surely never started frees its claim.
    pub(super) fn release_claim(
        &mut self,
        turn: &mut RouterTurn<'_>,
        state: &RequestState,
        attempt: AttemptId,
    ) {
        if state.idempotent {
            return;
        }
        self.dropped_claims.insert(turn.now, attempt);
        turn.emit(RouterEffect::ReleaseClaim { request: state.id(), attempt });
    }

    fn on_claim_failed(
        &mut self,
        turn: &mut RouterTurn<'_>,
        state: &mut RequestState,
        refusal: Refusal,
    ) {
        if let RequestPhase::Held { .. } = state.phase {
            return self.wait_for_holder(turn, state);
        }
        // The answer was lost: the claim may be there. The timer asks for it again.
        if refusal.ran == Ran::Unknown {
            return;
        }
        let told = self.refusal_for(turn, state, refusal.reason, &refusal.detail);
        let told = Refusal { retry_after_ms: refusal.retry_after_ms, ..told };
        self.refuse(turn, state, told);
    }

    /// Another attempt holds the claim.
    fn on_held(
        &mut self,
        turn: &mut RouterTurn<'_>,
        state: &mut RequestState,
        attempt: AttemptId,
        by: AttemptId,
    ) {
        let (since, tries) = match state.phase {
            RequestPhase::Held { since, tries, .. } => (since, tries),
            _ => (turn.now, 0),
        };
        if tries == 0 {
            turn.count(Counter::Event("claims_held_by_another"));
        }
        state.phase = RequestPhase::Held { attempt, by, since, tries, asking: false };
        if self.is_never_to_run(turn.now, state, by) {
            turn.emit(RouterEffect::ReleaseClaim { request: state.id(), attempt: by });
        }
        self.wait_for_holder(turn, state);
    }

    /// Whether an attempt of this gateway is known never to run.
    fn is_never_to_run(&self, now: MonoTime, state: &RequestState, attempt: AttemptId) -> bool {
        let was_clean =
            state.record(attempt).is_some_and(|record| record.fate == AttemptFate::NeverStarted);
        was_clean || self.dropped_claims.contains(now, attempt)
    }

    fn wait_for_holder(&mut self, turn: &mut RouterTurn<'_>, state: &mut RequestState) {
        let RequestPhase::Held { attempt, by, since, tries, .. } = state.phase else { return };
        state.phase = RequestPhase::Held { attempt, by, since, tries: tries + 1, asking: false };
        let settings = &self.settings.claim;
        let factor = 1_u32 << tries.min(16);
        let wait = settings.held_base.saturating_mul(factor).min(settings.held_cap);
        state.wake_at = Some(turn.now + wait);
    }

    /// Asks again, or tells the caller that the outcome is unknown.
    pub(super) fn on_held_wake(&mut self, turn: &mut RouterTurn<'_>, state: &mut RequestState) {
        let RequestPhase::Held { attempt, by, since, tries, asking } = state.phase else { return };
        let waited = turn.now.since(since);
        let is_late = turn.now + self.settings.retry.dispatch_margin >= state.deadline;
        if waited >= self.settings.claim.held_wait || is_late {
            let refusal = self.doubt_refusal();
            return self.refuse(turn, state, refusal);
        }
        if asking {
            turn.count(Counter::Retried(RetryReason::AmbiguousWrite));
        }
        if waited >= self.settings.claim.foreign_seal_after {
            self.seal_holder(turn, by);
        }
        state.phase = RequestPhase::Held { attempt, by, since, tries, asking: true };
        state.wake_at = Some(turn.now + self.settings.claim.ask_again);
        ask_claim(turn, state, attempt);
    }

    /// The holder's gateway may be gone. Its sidecar, when it is one of this gateway's, can tell
    /// whether the attempt ever started, and keep it from starting.
    fn seal_holder(&mut self, turn: &mut RouterTurn<'_>, by: AttemptId) {
        let Some(vm) = self.sidecars.find_incarnation(by.incarnation).cloned() else { return };
        turn.count(Counter::Event("seals_of_other_gateways"));
        turn.emit(RouterEffect::Seal { vm, attempt: by });
    }

    /// The verdict on the attempt that holds the claim.
    pub(super) fn on_holder_sealed(
        &mut self,
        turn: &mut RouterTurn<'_>,
        state: &mut RequestState,
        by: AttemptId,
        verdict: SealVerdict,
    ) {
        // Any other verdict leaves the end to the holder's gateway: it may have the answer and be
        // waiting for the ledger to take it.
        if verdict != SealVerdict::NeverStarted {
            return;
        }
        turn.emit(RouterEffect::ReleaseClaim { request: state.id(), attempt: by });
        self.dropped_claims.insert(turn.now, by);
        state.wake_at = Some(turn.now + self.settings.claim.held_base);
    }

    pub(super) fn on_answer_fetched(
        &mut self,
        turn: &mut RouterTurn<'_>,
        request: RequestId,
        result: Result<Option<StoredAnswer>, Refusal>,
    ) {
        self.step(turn, request, |router, turn, state| {
            let RequestPhase::Fetching = state.phase else { return };
            match result {
                Ok(Some(answer @ StoredAnswer::Answered { .. })) => {
                    router.end(turn, state, &RequestEnd::Stored(answer));
                }
                Err(refusal) if refusal.reason == RefusalReason::KeyReused => {
                    router.refuse(turn, state, refusal);
                }
                // Without an answer it runs: it may be repeated, and the first record counts.
                Ok(_) | Err(_) => router.begin(turn, state),
            }
        });
    }
}

fn ask_claim(turn: &mut RouterTurn<'_>, state: &RequestState, attempt: AttemptId) {
    turn.emit(RouterEffect::Claim {
        request: state.id(),
        account: state.lead.account.clone(),
        attempt,
        fingerprint: state.lead.fingerprint,
    });
}
