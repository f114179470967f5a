//! Keyed online requests: claims and stored answers.

use std::collections::{BTreeMap, BTreeSet};

use notch_types::prelude::*;
use serde::{Deserialize, Serialize};

/// Where a request's stored answer is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum AnswerPlace {
    /// In the record at this sequence number.
    Record {
        /// Its sequence number.
        seq: u64,
    },
    /// Nobody can say how the request ended.
    Unknown,
}

/// One keyed request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestState {
    /// Whose.
    pub account: AccountName,
    /// What it runs.
    pub fingerprint: Fingerprint,
    /// The attempt that alone may run it; `None` once released or when it was never claimed.
    pub holder: Option<AttemptId>,
    /// Its end, once stored.
    pub answer: Option<AnswerPlace>,
    /// Until when the answer stays readable.
    pub readable_until: WallTime,
    /// When the request may be forgotten.
    pub until: WallTime,
}

impl RequestState {
    /// Whether its account and body are these.
    pub fn is_same(&self, account: &AccountName, fingerprint: Fingerprint) -> bool {
        self.account == *account && self.fingerprint == fingerprint
    }
}

/// The requests of a shard. Bounded by the owner, which refuses claims beyond its limit.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "Vec<(RequestId, RequestState)>", into = "Vec<(RequestId, RequestState)>")]
pub struct RequestTable {
    requests: BTreeMap<RequestId, RequestState>,
    /// One entry a request: its `until` and id.
    expiries: BTreeSet<(WallTime, RequestId)>,
}

impl From<Vec<(RequestId, RequestState)>> for RequestTable {
    fn from(lines: Vec<(RequestId, RequestState)>) -> Self {
        let expiries = lines.iter().map(|(id, request)| (request.until, *id)).collect();
        Self { requests: lines.into_iter().collect(), expiries }
    }
}

impl From<RequestTable> for Vec<(RequestId, RequestState)> {
    fn from(table: RequestTable) -> Self {
        table.requests.into_iter().collect()
    }
}

impl RequestTable {
    /// One request.
    pub fn get(&self, request: RequestId) -> Option<&RequestState> {
        self.requests.get(&request)
    }

    /// Number of requests held.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether none is held.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Whether a request may be forgotten at `now`.
    pub fn has_expired(&self, now: WallTime) -> bool {
        self.expiries.first().is_some_and(|(until, _)| *until <= now)
    }

    /// Sequence numbers of all stored answers.
    pub(crate) fn answer_seqs(&self) -> impl Iterator<Item = u64> + '_ {
        self.requests.values().filter_map(|request| match request.answer? {
            AnswerPlace::Record { seq } => Some(seq),
            AnswerPlace::Unknown => None,
        })
    }

    pub(crate) fn claim(
        &mut self,
        request: RequestId,
        account: &AccountName,
        attempt: AttemptId,
        fingerprint: Fingerprint,
        until: WallTime,
    ) -> bool {
        let state = self.requests.entry(request).or_insert_with(|| RequestState {
            account: account.clone(),
            fingerprint,
            holder: None,
            answer: None,
            readable_until: WallTime(0),
            until,
        });
        let free = state.holder.is_none() && state.answer.is_none();
        if !free || !state.is_same(account, fingerprint) {
            return false;
        }
        state.holder = Some(attempt);
        self.extend(request, until);
        true
    }

    pub(crate) fn release(&mut self, request: RequestId, attempt: AttemptId) -> bool {
        let Some(state) = self.requests.get_mut(&request) else { return false };
        if state.holder != Some(attempt) || state.answer.is_some() {
            return false;
        }
        state.holder = None;
        true
    }

    pub(crate) fn store(&mut self, request: RequestId, stored: RequestState) -> bool {
        let state = self.requests.entry(request).or_insert_with(|| RequestState {
            answer: None,
            holder: None,
            ..stored.clone()
        });
        if state.answer.is_some() || !state.is_same(&stored.account, stored.fingerprint) {
            return false;
        }
        state.answer = stored.answer;
        state.readable_until = stored.readable_until;
        self.extend(request, stored.until);
        true
    }

    pub(crate) fn expire(&mut self, now: WallTime) -> bool {
        let before = self.requests.len();
        while let Some((until, request)) = self.expiries.first().copied() {
            if until > now {
                break;
            }
            self.expiries.pop_first();
            self.requests.remove(&request);
        }
        self.requests.len() < before
    }

    /// Moves a request's expiry, never to an earlier time.
    fn extend(&mut self, request: RequestId, until: WallTime) {
        let Some(state) = self.requests.get_mut(&request) else { return };
        self.expiries.remove(&(state.until, request));
        state.until = state.until.max(until);
        self.expiries.insert((state.until, request));
    }
}
