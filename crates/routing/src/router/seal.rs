//! Attempts in doubt: seals, lost links and sidecars out of sight.

use notch_types::prelude::*;

use super::{
    OnlineRouter, RouterTurn,
    attempt::{TargetHealth, mark_never_started, mark_started},
};
use crate::{
    effect::RouterEffect,
    request_state::{AttemptFailure, RequestPhase, RequestState, RunStage},
};

const LOST: AttemptFailure = AttemptFailure {
    retry: RetryReason::TargetLost,
    refusal: RefusalReason::TargetLost,
    detail: "the target was lost",
};
/// What is known of the sidecar that an attempt was meant for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SidecarState {
    SameIncarnation,
    OtherIncarnation,
    NotThere,
}

impl OnlineRouter {
    /// Asks the sidecar to make sure that the attempt never starts, if it hasn't.
    ///
    /// What goes wrong without it: an offer is lost or stuck on the way, the gateway gives up, and
    /// the offer arrives later and runs, though the caller was told "not run" or another attempt
    /// ran. One would notice an effect of a refused request. Once sealed, it can't start.
    pub(super) fn ask_seal(
        &mut self,
        turn: &mut RouterTurn<'_>,
        state: &mut RequestState,
        attempt: AttemptId,
        tries: u32,
    ) {
        let Some(record) = state.record(attempt) else { return };
        let vm = record.vm.clone();
        state.phase = RequestPhase::Running { attempt, stage: RunStage::Sealing { tries } };
        let wait = self.settings.retry.seal_wait * tries.clamp(1, 4);
        self.set_run_wake(state, Some(turn.now + wait));
        turn.count(Counter::Event("seals_asked"));
        turn.note(
            DecisionNote::new(
                NoteSubject::Request(state.id()),
                "sealing",
                "no sign of the attempt".to_owned(),
            )
            .with_vm(&vm),
        );
        turn.emit(RouterEffect::Seal { vm, attempt });
    }

    /// The seal isn't answered. What may be repeated goes elsewhere; the rest asks on.
    pub(super) fn on_seal_late(
        &mut self,
        turn: &mut RouterTurn<'_>,
        state: &mut RequestState,
        attempt: AttemptId,
        tries: u32,
    ) {
        if !state.idempotent {
            return self.ask_seal(turn, state, attempt, tries + 1);
        }
        self.cancel_attempt(turn, state, attempt);
        self.lose(turn, state, attempt);
    }

    pub(super) fn on_sealed(
        &mut self,
        turn: &mut RouterTurn<'_>,
        attempt: AttemptId,
        verdict: SealVerdict,
    ) {
        if let SealVerdict::NeverStarted | SealVerdict::Finished = verdict {
            self.suspect_over(turn, attempt);
        }
        let is_holder = self.requests.get(&attempt.request).is_some_and(
            |state| matches!(state.phase, RequestPhase::Held { by, .. } if by == attempt),
        );
        if is_holder {
            self.step(turn, attempt.request, |router, turn, state| {
                router.on_holder_sealed(turn, state, attempt, verdict);
            });
            return;
        }
        self.hear(turn, attempt, |router, turn, state| match verdict {
            SealVerdict::NeverStarted => {
                if mark_never_started(state, attempt) && state.is_running(attempt) {
                    turn.count(Counter::Event("seals_never_started"));
                    router.on_never_started(turn, state, attempt, RefusalReason::TargetLost);
                }
            }
            SealVerdict::Running | SealVerdict::Finished => {
                mark_started(state, attempt);
                if state.is_running(attempt) {
                    state.phase = RequestPhase::Running { attempt, stage: RunStage::Started };
                    router.set_run_wake(state, None);
                }
            }
            SealVerdict::Unknown => {
                mark_started(state, attempt);
                if state.is_running(attempt) {
                    router.lose(turn, state, attempt);
                }
            }
        });
    }

    pub(super) fn on_lost(&mut self, turn: &mut RouterTurn<'_>, attempt: AttemptId) {
        self.hear(turn, attempt, |router, turn, state| {
            if !state.is_running(attempt) {
                return;
            }
            if state.idempotent {
                return router.lose(turn, state, attempt);
            }
            match router.sidecar_of(state, attempt) {
                SidecarState::SameIncarnation => router.ask_seal(turn, state, attempt, 1),
                SidecarState::OtherIncarnation => router.lose(turn, state, attempt),
                SidecarState::NotThere => router.lose_sight(turn, state, attempt),
            }
        });
    }

    fn sidecar_of(&self, state: &RequestState, attempt: AttemptId) -> SidecarState {
        let place = state.record(attempt).and_then(|record| self.sidecars.place(&record.vm));
        match place.and_then(|place| self.sidecars.incarnation(place)) {
            Some(incarnation) if incarnation == attempt.incarnation => {
                SidecarState::SameIncarnation
            }
            Some(_) => SidecarState::OtherIncarnation,
            None => SidecarState::NotThere,
        }
    }

    /// Nothing more will be heard of the attempt, of anybody.
    fn lose(&mut self, turn: &mut RouterTurn<'_>, state: &mut RequestState, attempt: AttemptId) {
        mark_started(state, attempt);
        self.close_attempt(turn, state, attempt, TargetHealth::Fails);
        self.fail(turn, state, attempt, LOST);
    }

    /// The sidecar is out of sight, and may still run what must run at most once. Nothing is
    /// recorded: when it is seen again, by whichever gateway, it can tell a resend the truth.
    fn lose_sight(
        &mut self,
        turn: &mut RouterTurn<'_>,
        state: &mut RequestState,
        attempt: AttemptId,
    ) {
        mark_started(state, attempt);
        self.close_attempt(turn, state, attempt, TargetHealth::Untold);
        turn.count(Counter::Event("attempts_unheard"));
        let refusal = self.doubt_refusal();
        self.refuse(turn, state, refusal);
    }

    /// The deadline and the time after it are over. A later resend finds the claim, and the
    /// sidecar that can still tell.
    pub(super) fn stop_listening(
        &mut self,
        turn: &mut RouterTurn<'_>,
        state: &mut RequestState,
        attempt: AttemptId,
    ) {
        if state.idempotent {
            self.cancel_attempt(turn, state, attempt);
            let detail = "the deadline passed before the whole answer was there";
            return self.refuse_for(turn, state, RefusalReason::DeadlinePassed, detail);
        }
        self.lose_sight(turn, state, attempt);
    }
}
