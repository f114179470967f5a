//! Keyed online requests: claims, stored answers, and quarantine.

use std::{collections::BTreeMap, time::Duration};

use notch_messages::prelude::*;
use notch_types::prelude::*;

use super::{
    Effects, ShardService, answer,
    outbox::AppendPurpose,
    reads::ReadPurpose,
    waiting::{AskedCall, StoredRead},
};
use crate::{
    record::LedgerRecord,
    service::event::{ReadFailure, RejectKind},
    state::request_table::{AnswerPlace, RequestState},
};

/// What a keyed request comes to.
enum KeyedStep {
    /// Answer now.
    Answer(ShardAnswer),
    /// Append this first, then look again.
    Append(LedgerRecord),
    /// Answer with the record at this sequence number.
    Read { seq: u64, claim: bool },
}

impl ShardService {
    /// Decides a keyed request from the state; a record it needs is appended first, and after
    /// the commit the same decision is taken again, from the state that the ledger's order left.
    pub(super) fn keyed_request(&mut self, now: Now, asked: AskedCall, effects: &mut Effects) {
        match self.keyed_step(now, &asked.request) {
            KeyedStep::Answer(verdict) => answer(effects, &asked.from, asked.call, verdict),
            KeyedStep::Append(record) => {
                if let Some(refused) = self.refuse_append(now, &record) {
                    answer(effects, &asked.from, asked.call, refused);
                    return;
                }
                let purpose = AppendPurpose::Ask(Box::new(asked));
                self.outbox.append(now.mono, purpose, &[record], Vec::new(), effects);
            }
            KeyedStep::Read { seq, claim } => {
                let AskedCall { from, call, .. } = asked;
                if self.reads.open_records() >= self.settings.max_parked {
                    answer(effects, &from, call, self.keyed_refusal(Ran::No));
                    return;
                }
                let purpose = ReadPurpose::Answer(StoredRead { from, call, seq, claim });
                self.reads.read_records(now.mono, vec![seq], purpose, effects);
            }
        }
    }

    /// The record is in the ledger: the state says what it came to. A release, an answer or a
    /// quarantine that lost to an earlier one is done too.
    pub(super) fn keyed_committed(&mut self, now: Now, asked: AskedCall, effects: &mut Effects) {
        match &asked.request {
            ShardRequest::Claim { .. } | ShardRequest::StoreAnswer { .. } => {
                self.keyed_request(now, asked, effects);
            }
            _ => answer(effects, &asked.from, asked.call, ShardAnswer::Done),
        }
    }

    pub(super) fn keyed_rejected(
        &mut self,
        asked: &AskedCall,
        kind: RejectKind,
        effects: &mut Effects,
    ) {
        let ran = match kind {
            RejectKind::Unknown => Ran::Unknown,
            RejectKind::NotCommitted | RejectKind::ChunkStale => Ran::No,
        };
        answer(effects, &asked.from, asked.call, self.keyed_refusal(ran));
    }

    /// The record of a stored answer came, or not.
    pub(super) fn answer_read(
        &mut self,
        stored: StoredRead,
        result: Result<BTreeMap<u64, LedgerRecord>, ReadFailure>,
        effects: &mut Effects,
    ) {
        let StoredRead { from, call, seq, claim } = stored;
        let found = match result {
            Ok(mut records) => match records.remove(&seq) {
                Some(LedgerRecord::AnswerStored { answer, .. }) => Some(answer),
                _ => None,
            },
            Err(ReadFailure::Gone) => None,
            Err(ReadFailure::Unavailable) => {
                answer(effects, &from, call, self.keyed_refusal(Ran::Unknown));
                return;
            }
        };
        let verdict = match (found, claim) {
            (Some(found), true) => ShardAnswer::Claim(ClaimVerdict::Ended(found)),
            (Some(found), false) => ShardAnswer::Answer(Some(found)),
            (None, true) => ShardAnswer::Claim(ClaimVerdict::Ended(StoredAnswer::Unknown)),
            (None, false) => expired(),
        };
        answer(effects, &from, call, verdict);
    }

    fn keyed_step(&self, now: Now, request: &ShardRequest) -> KeyedStep {
        match request {
            ShardRequest::Claim { request, account, attempt, fingerprint, retention_ms } => {
                let known = self.state.requests().get(*request);
                match known.and_then(|known| claimed_step(now, known, account, *fingerprint)) {
                    Some(step) => step,
                    None if known.is_some_and(|known| known.holder == Some(*attempt)) => {
                        KeyedStep::Answer(ShardAnswer::Claim(ClaimVerdict::Granted))
                    }
                    None if self.state.is_quarantined(*fingerprint) => {
                        let detail = "the request crashes targets";
                        refuse(RefusalReason::Quarantined, detail)
                    }
                    None => KeyedStep::Append(LedgerRecord::RequestClaimed {
                        request: *request,
                        account: account.clone(),
                        attempt: *attempt,
                        fingerprint: *fingerprint,
                        until: self.claim_until(now, *retention_ms),
                    }),
                }
                .held_by_other(known, *attempt)
            }
            ShardRequest::ReleaseClaim { request, attempt } => {
                let known = self.state.requests().get(*request);
                let held = known
                    .is_some_and(|known| known.holder == Some(*attempt) && known.answer.is_none());
                match held {
                    false => KeyedStep::Answer(ShardAnswer::Done),
                    true => KeyedStep::Append(LedgerRecord::ClaimReleased {
                        request: *request,
                        attempt: *attempt,
                    }),
                }
            }
            ShardRequest::StoreAnswer { .. } => self.store_step(now, request),
            ShardRequest::FetchAnswer { request, account } => {
                match self.state.requests().get(*request) {
                    None => KeyedStep::Answer(ShardAnswer::Answer(None)),
                    Some(known) => fetch_step(now, known, account),
                }
            }
            ShardRequest::RecordQuarantine { fingerprint, target } => {
                match self.state.is_quarantined(*fingerprint) {
                    true => KeyedStep::Answer(ShardAnswer::Done),
                    false => KeyedStep::Append(LedgerRecord::Quarantined {
                        fingerprint: *fingerprint,
                        target: target.clone(),
                    }),
                }
            }
            _ => refuse(RefusalReason::Internal, "not a keyed request"),
        }
    }

    fn store_step(&self, now: Now, request: &ShardRequest) -> KeyedStep {
        let ShardRequest::StoreAnswer { request, account, fingerprint, answer, retention_ms } =
            request
        else {
            return refuse(RefusalReason::Internal, "not an answer");
        };
        let known = self.state.requests().get(*request);
        if known.is_some_and(|known| !known.is_same(account, *fingerprint)) {
            return refuse(RefusalReason::KeyReused, "the key was used with another body");
        }
        if known.is_some_and(|known| known.answer.is_some()) {
            return KeyedStep::Answer(ShardAnswer::Done);
        }
        if let StoredAnswer::Answered { body, .. } = answer
            && body.len() > self.settings.body_bytes
        {
            return refuse(
                RefusalReason::TooLarge,
                "the answer is larger than a stored one may be",
            );
        }
        let readable_until = after(now, Duration::from_millis(*retention_ms));
        let claimed = known.is_some_and(|known| known.holder.is_some());
        let until = match claimed {
            true => self.claim_until(now, *retention_ms),
            false => readable_until,
        };
        KeyedStep::Append(LedgerRecord::AnswerStored {
            request: *request,
            account: account.clone(),
            fingerprint: *fingerprint,
            answer: answer.clone(),
            readable_until,
            until,
        })
    }

    /// A claim outlives its answer's retention by as long as a caller may still resend: without
    /// it a resend would find nothing and run a second time.
    fn claim_until(&self, now: Now, retention_ms: u64) -> WallTime {
        let retention = Duration::from_millis(retention_ms);
        after(now, retention.max(self.settings.claim_window))
    }

    fn refuse_append(&self, now: Now, record: &LedgerRecord) -> Option<ShardAnswer> {
        let fresh = match record {
            LedgerRecord::RequestClaimed { request, .. }
            | LedgerRecord::AnswerStored { request, .. } => {
                self.state.requests().get(*request).is_none()
            }
            _ => false,
        };
        if fresh && self.state.requests().len() >= self.settings.max_requests {
            let detail = "the shard holds as many keyed requests as it can";
            let refusal = Refusal::not_run(RefusalReason::Overloaded, detail);
            return Some(ShardAnswer::Refused(refusal.retry_after(self.store_retry_ms())));
        }
        self.store_is_down(now).then(|| self.keyed_refusal(Ran::No))
    }

    fn keyed_refusal(&self, ran: Ran) -> ShardAnswer {
        let detail = "the ledger can't make the record durable now; asking again is safe";
        let reason = RefusalReason::StoreUnavailable;
        let refusal = Refusal { ran, ..Refusal::not_run(reason, detail) };
        ShardAnswer::Refused(refusal.retry_after(self.store_retry_ms()))
    }
}

impl KeyedStep {
    /// A claim that another attempt holds is not appended again.
    fn held_by_other(self, known: Option<&RequestState>, attempt: AttemptId) -> Self {
        let holder = known.and_then(|known| known.holder).filter(|holder| *holder != attempt);
        match (self, holder) {
            (KeyedStep::Append(_), Some(holder)) => {
                KeyedStep::Answer(ShardAnswer::Claim(ClaimVerdict::HeldBy(holder)))
            }
            (step, _) => step,
        }
    }
}

/// What a claim of a known request comes to, whoever holds it.
fn claimed_step(
    now: Now,
    known: &RequestState,
    account: &AccountName,
    fingerprint: Fingerprint,
) -> Option<KeyedStep> {
    if known.account != *account {
        return Some(refuse(RefusalReason::NotFound, "no such request of this account"));
    }
    if known.fingerprint != fingerprint {
        return Some(KeyedStep::Answer(ShardAnswer::Claim(ClaimVerdict::OtherBody)));
    }
    let readable = known.readable_until > now.wall;
    match known.answer? {
        AnswerPlace::Record { seq } if readable => Some(KeyedStep::Read { seq, claim: true }),
        AnswerPlace::Record { .. } | AnswerPlace::Unknown => {
            let ended = ClaimVerdict::Ended(StoredAnswer::Unknown);
            Some(KeyedStep::Answer(ShardAnswer::Claim(ended)))
        }
    }
}

fn fetch_step(now: Now, known: &RequestState, account: &AccountName) -> KeyedStep {
    if known.account != *account {
        return refuse(RefusalReason::NotFound, "no such request of this account");
    }
    match known.answer {
        None => KeyedStep::Answer(ShardAnswer::Answer(None)),
        Some(_) if known.readable_until <= now.wall => KeyedStep::Answer(expired()),
        Some(AnswerPlace::Unknown) => {
            KeyedStep::Answer(ShardAnswer::Answer(Some(StoredAnswer::Unknown)))
        }
        Some(AnswerPlace::Record { seq }) => KeyedStep::Read { seq, claim: false },
    }
}

fn refuse(reason: RefusalReason, detail: &str) -> KeyedStep {
    KeyedStep::Answer(ShardAnswer::Refused(Refusal::not_run(reason, detail)))
}

fn expired() -> ShardAnswer {
    let detail = "the answer's retention is over";
    ShardAnswer::Refused(Refusal::unknown(RefusalReason::Expired, detail))
}

fn after(now: Now, span: Duration) -> WallTime {
    WallTime(now.wall.0.saturating_add(span.as_millis() as u64))
}
