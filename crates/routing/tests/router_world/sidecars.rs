//! The world's sidecars and its ledger.

use notch_messages::prelude::*;
use notch_routing::*;
use notch_types::prelude::*;
use rand::RngExt;

use crate::world::{Message, Work, World};

impl World {
    pub(crate) fn offer(
        &mut self,
        router: usize,
        number: usize,
        attempt: AttemptId,
        deadline: u64,
    ) {
        let is_known = self.sidecars[number].work.contains_key(&attempt);
        let is_other = self.sidecars[number].incarnation != attempt.incarnation;
        if is_known || is_other || deadline <= self.millis || self.rng.random_bool(0.1) {
            self.sidecars[number].work.entry(attempt).or_insert(Work::Sealed);
            return self.refuse_offer(router, number, attempt, RefusalReason::Overloaded);
        }
        self.sidecars[number].work.insert(attempt, Work::Waiting { router, deadline });
        let delay = if self.rng.random_bool(0.1) { 2_500 } else { self.rng.random_range(0..100) };
        self.post(delay, Message::Start { vm: number, attempt });
    }

    pub(crate) fn refuse_offer(
        &mut self,
        router: usize,
        number: usize,
        attempt: AttemptId,
        reason: RefusalReason,
    ) {
        let refusal = AttemptRefusal { attempt, reason, retry_after_ms: None };
        let event = RouterEvent::AttemptRefused(refusal);
        self.post_link(number, Message::ToRouter(router, event));
    }

    pub(crate) fn start_work(&mut self, number: usize, attempt: AttemptId) {
        let Some(Work::Waiting { router, deadline }) = self.sidecars[number].work.get(&attempt)
        else {
            return;
        };
        let (router, deadline) = (*router, *deadline);
        if deadline <= self.millis {
            self.sidecars[number].work.insert(attempt, Work::Sealed);
            return self.refuse_offer(router, number, attempt, RefusalReason::DeadlinePassed);
        }
        self.sidecars[number].work.insert(attempt, Work::Running { router, deadline });
        assert!(self.ran.insert(attempt), "an attempt starts once");
        *self.runs.entry(attempt.request).or_default() += 1;
        let event = RouterEvent::AttemptStarted { attempt };
        self.post_link(number, Message::ToRouter(router, event));
        if self.rng.random_bool(0.5) {
            let first_token = std::time::Duration::from_millis(1);
            let event = RouterEvent::AnswerBegun { attempt, first_token };
            self.post_link(number, Message::ToRouter(router, event));
        }
        let delay = self.rng.random_range(0..1_500);
        self.post(delay, Message::End { vm: number, attempt });
    }

    pub(crate) fn finish_work(
        &mut self,
        number: usize,
        attempt: AttemptId,
        outcome: AttemptOutcome,
    ) {
        let Some(Work::Running { router, .. }) = self.sidecars[number].work.get(&attempt) else {
            return;
        };
        let router = *router;
        self.sidecars[number].work.insert(attempt, Work::Ended);
        let is_whole = match outcome {
            AttemptOutcome::Complete { .. } => true,
            AttemptOutcome::Failed { status, .. } => status != 0,
            _ => false,
        };
        if is_whole {
            self.whole.insert(attempt);
        }
        let event = RouterEvent::AttemptEnded { attempt, outcome, first_token: None };
        self.post_link(number, Message::ToRouter(router, event));
    }

    pub(crate) fn seal(&mut self, router: usize, number: usize, attempt: AttemptId) {
        let sidecar = &mut self.sidecars[number];
        let verdict = if sidecar.incarnation != attempt.incarnation {
            SealVerdict::Unknown
        } else {
            match sidecar.work.get(&attempt) {
                Some(Work::Running { .. }) => SealVerdict::Running,
                Some(Work::Ended) => SealVerdict::Finished,
                Some(Work::Waiting { .. } | Work::Sealed) | None => {
                    sidecar.work.insert(attempt, Work::Sealed);
                    SealVerdict::NeverStarted
                }
            }
        };
        let event = RouterEvent::AttemptSealed { attempt, verdict };
        self.post_link(number, Message::ToRouter(router, event));
    }

    /// The ledger: late, and while it is down it refuses, or acts and loses its answer.
    pub(crate) fn store(&mut self, router: usize, effect: RouterEffect) {
        let is_down = self.store_down_until > self.millis;
        let acts = !is_down || self.rng.random_bool(0.5);
        let answer_lost = (is_down && acts) || self.rng.random_bool(0.03);
        let event = match effect {
            RouterEffect::Claim { request, attempt, fingerprint, .. } => {
                let result = if acts {
                    Ok(self.claim(request, attempt, fingerprint))
                } else {
                    Err(Refusal::not_run(RefusalReason::StoreUnavailable, "down"))
                };
                RouterEvent::ClaimAnswered { request, attempt, result }
            }
            RouterEffect::ReleaseClaim { request, attempt } => {
                let row = self.rows.entry(request).or_default();
                if acts && row.holder == Some(attempt) {
                    row.holder = None;
                }
                return;
            }
            RouterEffect::Fetch { request, .. } => {
                let answer = self.rows.entry(request).or_default().answer.clone();
                let down = Refusal::not_run(RefusalReason::StoreUnavailable, "down");
                let result = if acts { Ok(answer) } else { Err(down) };
                RouterEvent::AnswerFetched { request, result }
            }
            RouterEffect::RecordAnswer { request, attempt, .. } => {
                let body = Payload::from(attempt.to_string().as_str());
                self.record(acts, request, StoredAnswer::Answered { status: 200, body });
                RouterEvent::AnswerRecorded { request, ok: acts }
            }
            RouterEffect::RecordUnknown { request, .. } => {
                self.record(acts, request, StoredAnswer::Unknown);
                RouterEvent::AnswerRecorded { request, ok: acts }
            }
            _ => return,
        };
        if !answer_lost {
            let delay = self.rng.random_range(0..40);
            self.post(delay, Message::ToRouter(router, event));
        }
    }

    pub(crate) fn record(&mut self, acts: bool, request: RequestId, answer: StoredAnswer) {
        let row = self.rows.entry(request).or_default();
        if acts && row.answer.is_none() {
            row.answer = Some(answer);
        }
    }

    pub(crate) fn claim(
        &mut self,
        request: RequestId,
        attempt: AttemptId,
        fingerprint: Fingerprint,
    ) -> ClaimVerdict {
        let row = self.rows.entry(request).or_default();
        if *row.fingerprint.get_or_insert(fingerprint) != fingerprint {
            return ClaimVerdict::OtherBody;
        }
        if let Some(answer) = &row.answer {
            return ClaimVerdict::Ended(answer.clone());
        }
        match row.holder {
            Some(holder) if holder != attempt => ClaimVerdict::HeldBy(holder),
            _ => {
                row.holder = Some(attempt);
                ClaimVerdict::Granted
            }
        }
    }
}
