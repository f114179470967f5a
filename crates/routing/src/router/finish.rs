//! How requests end.

use notch_types::prelude::*;

use super::{OnlineRouter, RouterTurn};
use crate::{
    effect::{RequestEnd, RouterEffect},
    request_state::{RecordState, RequestPhase, RequestState, WaitingCaller},
};

/// Told to callers of a request whose outcome nobody can tell yet.
const DOUBT_RETRY_MS: u64 = 2_000;

impl OnlineRouter {
    /// A refusal that says `not_run` only when that is proved.
    pub(super) fn refusal_for(
        &self,
        turn: &RouterTurn<'_>,
        state: &RequestState,
        reason: RefusalReason,
        detail: &str,
    ) -> Refusal {
        if self.is_proved_not_run(turn.now, state) {
            Refusal::not_run(reason, detail)
        } else {
            Refusal::unknown(reason, detail)
        }
    }

    /// Whether no attempt made here may have started, and no earlier send either. A granted claim
    /// doesn't prove the latter for long: another gateway may have had the attempt sealed, freed
    /// its claim and run the request itself.
    fn is_proved_not_run(&self, now: MonoTime, state: &RequestState) -> bool {
        let is_held = matches!(state.phase, RequestPhase::Held { .. });
        let is_settled = matches!(state.phase, RequestPhase::Settled { .. });
        let earlier = state.lead.keyed && self.may_have_run_before(now, state.id());
        state.is_clean() && !is_held && !is_settled && !earlier
    }

    /// What a caller is told of a request that must run at most once and may have run.
    pub(super) fn doubt_refusal(&self) -> Refusal {
        let detail = "it may have run and won't be run again; ask again with the same key";
        Refusal::unknown(RefusalReason::OutcomeUnknown, detail).retry_after(DOUBT_RETRY_MS)
    }

    /// Ends one call.
    pub(super) fn finish_caller(
        &mut self,
        turn: &mut RouterTurn<'_>,
        state: &RequestState,
        caller: &WaitingCaller,
        end: RequestEnd,
    ) {
        self.arrivals.remove(&caller.arrival);
        if caller.holds_slot {
            self.accounts.release(&state.lead.account);
        }
        match &end {
            RequestEnd::Refused(refusal) => note_refusal(turn, state, refusal),
            RequestEnd::Answered { .. } => note_answer(turn, state),
            RequestEnd::Stored(_) => turn.count(Counter::Event("requests_answered_from_store")),
        }
        let is_refused = matches!(end, RequestEnd::Refused(_));
        let finish = RouterEffect::Finish { arrival: caller.arrival, request: state.id(), end };
        match is_refused {
            true => self.emit_end(turn, state.lead.fingerprint, finish),
            false => turn.emit(finish),
        }
    }

    /// Ends a call once the other gateways know of a crash with its request in flight: its caller may come to one
    /// of them next.
    pub(super) fn emit_end(
        &mut self,
        turn: &mut RouterTurn<'_>,
        fingerprint: Fingerprint,
        effect: RouterEffect,
    ) {
        if let Some(effect) = self.held_ends.hold(fingerprint, effect) {
            turn.emit(effect);
        }
    }

    /// The other gateways know of the crash, or aren't waited for any longer.
    pub(super) fn release_ends(&mut self, turn: &mut RouterTurn<'_>, fingerprint: Fingerprint) {
        turn.effects.extend(self.held_ends.release(fingerprint));
    }

    fn finish_all(
        &mut self,
        turn: &mut RouterTurn<'_>,
        state: &mut RequestState,
        end: &RequestEnd,
    ) {
        for caller in std::mem::take(&mut state.callers) {
            self.finish_caller(turn, state, &caller, end.clone());
        }
    }

    /// Ends the request without a record.
    pub(super) fn end(
        &mut self,
        turn: &mut RouterTurn<'_>,
        state: &mut RequestState,
        end: &RequestEnd,
    ) {
        self.drop_claim(turn, state);
        self.finish_all(turn, state, end);
        state.phase = RequestPhase::Done;
    }

    /// Ends the request with a refusal.
    pub(super) fn refuse(
        &mut self,
        turn: &mut RouterTurn<'_>,
        state: &mut RequestState,
        refusal: Refusal,
    ) {
        self.end(turn, state, &RequestEnd::Refused(refusal));
    }

    /// Ends the request for `reason`, with what is proved of its having run.
    pub(super) fn refuse_for(
        &mut self,
        turn: &mut RouterTurn<'_>,
        state: &mut RequestState,
        reason: RefusalReason,
        detail: &str,
    ) {
        let refusal = self.refusal_for(turn, state, reason, detail);
        self.refuse(turn, state, refusal);
    }

    /// Nobody waits: stops what runs and forgets the request.
    pub(super) fn abandon(&mut self, turn: &mut RouterTurn<'_>, state: &mut RequestState) {
        if let Some((attempt, _)) = state.running() {
            self.cancel_attempt(turn, state, attempt);
        }
        turn.count(Counter::Event("requests_abandoned"));
        self.end(turn, state, &RequestEnd::Refused(self.doubt_refusal()));
    }

    /// The attempt's whole answer is the request's.
    pub(super) fn answer(
        &mut self,
        turn: &mut RouterTurn<'_>,
        state: &mut RequestState,
        attempt: AttemptId,
    ) {
        let end = RequestEnd::Answered { attempt };
        if state.delivered.is_none() && state.idempotent {
            self.deliver(turn, state, attempt);
        }
        if !state.lead.keyed {
            return self.end(turn, state, &end);
        }
        self.settle(turn, state, end, attempt);
    }

    /// Nobody will ever be able to say how an attempt that must run at most once ended.
    pub(super) fn settle_unknown(
        &mut self,
        turn: &mut RouterTurn<'_>,
        state: &mut RequestState,
        attempt: AttemptId,
    ) {
        turn.count(Counter::Event("outcomes_unknown"));
        let end = RequestEnd::Refused(self.doubt_refusal());
        self.settle(turn, state, end, attempt);
    }

    /// Has the end recorded. A repeatable request's callers get it at once; the others when it is
    /// durable, so that no caller holds an answer that a resend could not read again.
    fn settle(
        &mut self,
        turn: &mut RouterTurn<'_>,
        state: &mut RequestState,
        end: RequestEnd,
        attempt: AttemptId,
    ) {
        let waits = !state.idempotent && state.delivered.is_none();
        let wait = if waits { self.settings.claim.record_wait } else { std::time::Duration::ZERO };
        let tell_at = turn.now + wait;
        let record = RecordState { attempt, since: turn.now, tries: 0 };
        state.phase = RequestPhase::Settled { end, record, tell_at };
        self.recording += 1;
        self.ask_record(turn, state);
        if !waits {
            self.tell_settled(turn, state);
        }
        if self.recording > self.settings.claim.max_recording {
            self.give_up_record(turn, state);
        }
    }

    fn ask_record(&mut self, turn: &mut RouterTurn<'_>, state: &mut RequestState) {
        let request = state.id();
        let account = state.lead.account.clone();
        let fingerprint = state.lead.fingerprint;
        let RequestPhase::Settled { end, record, tell_at } = &mut state.phase else { return };
        let attempt = record.attempt;
        record.tries += 1;
        turn.emit(match end {
            RequestEnd::Answered { .. } => {
                RouterEffect::RecordAnswer { request, account, fingerprint, attempt }
            }
            RequestEnd::Stored(_) | RequestEnd::Refused(_) => {
                RouterEffect::RecordUnknown { request, account, fingerprint, attempt }
            }
        });
        let ask_again = turn.now + self.settings.claim.ask_again * record.tries.min(8);
        let tell_at = if *tell_at > turn.now { Some(*tell_at) } else { None };
        state.wake_at = Some(tell_at.map_or(ask_again, |at| at.min(ask_again)));
    }

    /// Tells the end to every caller that waits for the record.
    pub(super) fn tell_settled(&mut self, turn: &mut RouterTurn<'_>, state: &mut RequestState) {
        let RequestPhase::Settled { end, tell_at, .. } = &mut state.phase else { return };
        let end = end.clone();
        *tell_at = turn.now;
        if let RequestEnd::Answered { attempt } = end
            && state.delivered.is_none()
        {
            self.deliver(turn, state, attempt);
        }
        self.finish_all(turn, state, &end);
    }

    pub(super) fn on_answer_recorded(
        &mut self,
        turn: &mut RouterTurn<'_>,
        request: RequestId,
        ok: bool,
    ) {
        self.step(turn, request, |router, turn, state| {
            let RequestPhase::Settled { .. } = state.phase else { return };
            if ok {
                router.tell_settled(turn, state);
                router.recording = router.recording.saturating_sub(1);
                state.phase = RequestPhase::Done;
            } else {
                turn.count(Counter::Retried(RetryReason::StoreUnavailable));
            }
        });
    }

    /// The record is late, or the callers have waited for it long enough.
    pub(super) fn on_record_wake(&mut self, turn: &mut RouterTurn<'_>, state: &mut RequestState) {
        let RequestPhase::Settled { record, tell_at, .. } = &state.phase else { return };
        let is_old = turn.now.since(record.since) >= self.settings.claim.record_keep;
        if *tell_at <= turn.now && !state.callers.is_empty() {
            turn.count(Counter::Event("answers_told_unrecorded"));
            self.tell_settled(turn, state);
        }
        if is_old {
            return self.give_up_record(turn, state);
        }
        self.ask_record(turn, state);
    }

    /// What goes wrong without a bound: while the store is down, answers that can't be recorded
    /// fill the gateway's memory. One would notice it growing with the length of the outage.
    fn give_up_record(&mut self, turn: &mut RouterTurn<'_>, state: &mut RequestState) {
        turn.count(Counter::Event("records_given_up"));
        self.tell_settled(turn, state);
        self.recording = self.recording.saturating_sub(1);
        state.phase = RequestPhase::Done;
    }

    /// From here on the caller may get bytes of this attempt, and of no other.
    pub(super) fn deliver(
        &mut self,
        turn: &mut RouterTurn<'_>,
        state: &mut RequestState,
        attempt: AttemptId,
    ) {
        state.delivered = Some(attempt);
        turn.emit(RouterEffect::Deliver { request: state.id(), attempt });
    }
}

fn note_answer(turn: &mut RouterTurn<'_>, state: &RequestState) {
    turn.count(Counter::Event("requests_answered"));
    let detail = format!("attempts: {}", state.attempts.len());
    turn.note(DecisionNote::new(NoteSubject::Request(state.id()), "answered", detail));
}

fn note_refusal(turn: &mut RouterTurn<'_>, state: &RequestState, refusal: &Refusal) {
    turn.count(Counter::Refused(refusal.reason));
    let ran = match refusal.ran {
        Ran::No => "not run",
        Ran::Unknown => "may have run",
    };
    let detail = format!("{}; attempts: {}, {ran}", refusal.detail, state.attempts.len());
    turn.note(
        DecisionNote::new(NoteSubject::Request(state.id()), "refused", detail)
            .with_reason(refusal.reason.code()),
    );
}
