//! Calls that come in, join, or are given up by their callers.

use notch_types::prelude::*;

use super::{OnlineRouter, RouterTurn, TargetState};
use crate::{
    effect::{RequestEnd, RouterEffect},
    event::{ArrivalId, OnlineRequest},
    request_state::{RequestPhase, RequestState, WaitingCaller},
};

/// Told to callers of a gateway that is leaving: another one takes them at once.
const LEAVING_RETRY_MS: u64 = 100;
/// Told to callers when a table of this gateway is full.
const TABLE_RETRY_MS: u64 = 1_000;

impl OnlineRouter {
    pub(super) fn on_arrived(&mut self, turn: &mut RouterTurn<'_>, request: OnlineRequest) {
        let id = request.request;
        // "Not run" is said of an earlier send before this one may run, or it would be untrue.
        if let Some(fingerprint) = self.held_ends.suspect_of(id) {
            self.release_ends(turn, fingerprint);
        }
        if self.requests.contains_key(&id) {
            self.step(turn, id, |router, turn, state| router.join(turn, state, request));
            return;
        }
        let deadline = self.deadline_of(turn, &request);
        match self.check_arrival(turn, &request, deadline) {
            Ok(idempotent) => {
                self.arrivals.insert(request.arrival, id);
                let state = RequestState::new(request, idempotent, deadline);
                self.requests.insert(id, Box::new(state));
                self.step(turn, id, Self::start);
            }
            Err(refusal) => self.refuse_arrival(turn, &request, refusal),
        }
    }

    /// A resend of a request that is here already: it gets the same end as the first send.
    fn join(
        &mut self,
        turn: &mut RouterTurn<'_>,
        state: &mut RequestState,
        request: OnlineRequest,
    ) {
        turn.count(Counter::Event("resends_joined"));
        if request.fingerprint != state.lead.fingerprint {
            let refusal = Refusal::not_run(
                RefusalReason::KeyReused,
                "the idempotency key belongs to a request with another body",
            );
            return self.refuse_call(turn, &request, refusal);
        }
        if let Err(refusal) = self.admit_follower(turn, state, &request) {
            return self.refuse_call(turn, &request, refusal);
        }
        let caller = WaitingCaller {
            arrival: request.arrival,
            deadline: self.deadline_of(turn, &request),
            holds_slot: false,
        };
        self.arrivals.insert(request.arrival, state.id());
        state.callers.push(caller);
        if let RequestPhase::Settled { tell_at, .. } = state.phase
            && tell_at <= turn.now
        {
            self.tell_settled(turn, state);
        }
    }

    fn admit_follower(
        &mut self,
        turn: &RouterTurn<'_>,
        state: &RequestState,
        request: &OnlineRequest,
    ) -> Result<(), Refusal> {
        if state.callers.len() > self.settings.max_followers {
            let detail = "too many calls wait for this request";
            let refusal = self.refusal_for(turn, state, RefusalReason::Overloaded, detail);
            return Err(refusal.retry_after(TABLE_RETRY_MS));
        }
        self.accounts.admit(turn.now, &request.account, false).map_err(|wait| {
            let detail = "the account is over its rate";
            let refusal = self.refusal_for(turn, state, RefusalReason::AccountLimit, detail);
            refusal.retry_after(millis_up(wait))
        })
    }

    /// Checks everything that needs no sidecar, cheapest first. Returns whether the request may be
    /// repeated.
    fn check_arrival(
        &mut self,
        turn: &RouterTurn<'_>,
        request: &OnlineRequest,
        deadline: MonoTime,
    ) -> Result<bool, Refusal> {
        let refuse = |reason, detail| Err(self.early_refusal(turn, request, reason, detail));
        if self.leaving {
            return refuse(RefusalReason::Leaving, "the gateway is leaving")
                .map_err(|refusal: Refusal| refusal.retry_after(LEAVING_RETRY_MS));
        }
        let Some(TargetState { policy, .. }) = self.targets.get(&request.target) else {
            return refuse(RefusalReason::UnknownTarget, "no target has this name");
        };
        let idempotent = policy.allows_repeat(&request.path, request.idempotent);
        if !idempotent && !request.keyed {
            let detail = "a request that must not be repeated needs an idempotency key";
            return refuse(RefusalReason::KeyRequired, detail);
        }
        if deadline <= turn.now + self.settings.retry.dispatch_margin {
            return refuse(RefusalReason::DeadlinePassed, "the deadline had passed on arrival");
        }
        if self.suspects.is_quarantined(turn.now, request.fingerprint) {
            return refuse(RefusalReason::Quarantined, "this request crashes targets");
        }
        if self.requests.len() >= self.settings.max_requests {
            return refuse(RefusalReason::Overloaded, "the gateway has too many requests")
                .map_err(|refusal: Refusal| refusal.retry_after(TABLE_RETRY_MS));
        }
        self.accounts.admit(turn.now, &request.account, true).map_err(|wait| {
            let detail = "the account is over its rate or concurrency limit";
            let refusal = self.early_refusal(turn, request, RefusalReason::AccountLimit, detail);
            refusal.retry_after(millis_up(wait))
        })?;
        Ok(idempotent)
    }

    /// A refusal before anything was done here. An earlier send may have run.
    fn early_refusal(
        &self,
        turn: &RouterTurn<'_>,
        request: &OnlineRequest,
        reason: RefusalReason,
        detail: &str,
    ) -> Refusal {
        if request.keyed && self.may_have_run_before(turn.now, request.request) {
            Refusal::unknown(reason, detail)
        } else {
            Refusal::not_run(reason, detail)
        }
    }

    /// Whether an earlier send of a keyed request may have run, as far as this gateway can tell.
    pub(super) fn may_have_run_before(&self, now: MonoTime, request: RequestId) -> bool {
        self.settings.claim.doubt_other_gateways
            || self.started.contains(now, request)
            || self.started.has_overflowed(now)
    }

    fn refuse_arrival(
        &mut self,
        turn: &mut RouterTurn<'_>,
        request: &OnlineRequest,
        refusal: Refusal,
    ) {
        self.refuse_call(turn, request, refusal);
        turn.emit(RouterEffect::Forget { request: request.request });
    }

    fn deadline_of(&self, turn: &RouterTurn<'_>, request: &OnlineRequest) -> MonoTime {
        let of_target = self
            .targets
            .get(&request.target)
            .and_then(|target| target.policy.default_deadline)
            .unwrap_or(self.settings.default_deadline);
        request.deadline.unwrap_or(turn.now + of_target)
    }

    /// First step of a request that was taken in.
    fn start(&mut self, turn: &mut RouterTurn<'_>, state: &mut RequestState) {
        if state.lead.keyed && state.idempotent {
            self.arrive_keyed(turn, state);
        } else {
            self.begin(turn, state);
        }
    }

    /// An earlier send may have ended at another gateway: its stored answer is the answer.
    fn arrive_keyed(&mut self, turn: &mut RouterTurn<'_>, state: &mut RequestState) {
        turn.emit(RouterEffect::Fetch { request: state.id(), account: state.lead.account.clone() });
        state.phase = RequestPhase::Fetching;
        state.wake_at = Some(turn.now + self.settings.claim.fetch_wait);
    }

    pub(super) fn on_caller_gone(&mut self, turn: &mut RouterTurn<'_>, arrival: ArrivalId) {
        let Some(request) = self.arrivals.get(&arrival).copied() else { return };
        turn.count(Counter::Event("callers_gone"));
        self.step(turn, request, |router, turn, state| {
            let Some(place) = state.callers.iter().position(|caller| caller.arrival == arrival)
            else {
                return;
            };
            let caller = state.callers.remove(place);
            let detail = "the caller hung up";
            let refusal = router.refusal_for(turn, state, RefusalReason::Cancelled, detail);
            router.finish_caller(turn, state, &caller, RequestEnd::Refused(refusal));
            if state.callers.is_empty() && state.idempotent && !state.lead.keyed {
                router.abandon(turn, state);
            }
        });
    }

    /// Ends the calls whose own deadline has passed.
    pub(super) fn expire_callers(&mut self, turn: &mut RouterTurn<'_>, state: &mut RequestState) {
        if state.callers.iter().all(|caller| caller.deadline > turn.now) {
            return;
        }
        let (expired, waiting) = std::mem::take(&mut state.callers)
            .into_iter()
            .partition(|caller| caller.deadline <= turn.now);
        state.callers = waiting;
        let end = self.end_at_deadline(turn, state);
        if let RequestEnd::Answered { attempt } = end
            && state.delivered.is_none()
        {
            self.deliver(turn, state, attempt);
        }
        let expired: Vec<WaitingCaller> = expired;
        for caller in expired {
            self.finish_caller(turn, state, &caller, end.clone());
        }
    }

    fn end_at_deadline(&self, turn: &RouterTurn<'_>, state: &RequestState) -> RequestEnd {
        if let RequestPhase::Settled { end, .. } = &state.phase {
            return end.clone();
        }
        let refusal = self.refusal_for(
            turn,
            state,
            RefusalReason::DeadlinePassed,
            "the deadline passed before the whole answer was there",
        );
        let is_doubtful = !state.idempotent && refusal.ran == Ran::Unknown;
        RequestEnd::Refused(if is_doubtful { self.doubt_refusal() } else { refusal })
    }

    /// Nobody waits any more. What can be repeated, or never started, is dropped; what must run at
    /// most once is listened to for a while, so that its end gets recorded for a resend.
    pub(super) fn on_callers_gone(&mut self, turn: &mut RouterTurn<'_>, state: &mut RequestState) {
        match state.phase {
            RequestPhase::Done | RequestPhase::Settled { .. } => {}
            RequestPhase::Running { .. } if !state.idempotent => {}
            _ if turn.now >= state.deadline || !state.lead.keyed => self.abandon(turn, state),
            _ => {}
        }
    }

    fn refuse_call(
        &mut self,
        turn: &mut RouterTurn<'_>,
        request: &OnlineRequest,
        refusal: Refusal,
    ) {
        turn.count(Counter::Refused(refusal.reason));
        let subject = NoteSubject::Request(request.request);
        let note = DecisionNote::new(subject, "refused", refusal.detail.clone());
        turn.note(note.with_reason(refusal.reason.code()));
        let finish = RouterEffect::Finish {
            arrival: request.arrival,
            request: request.request,
            end: RequestEnd::Refused(refusal),
        };
        self.emit_end(turn, request.fingerprint, finish);
    }
}

/// Milliseconds, rounded up so that a caller never comes back too early.
pub(super) fn millis_up(wait: std::time::Duration) -> u64 {
    wait.as_micros().div_ceil(1_000) as u64
}
