//! What the records of one shard add up to.

pub mod item_table;
pub mod job_state;
pub mod request_table;

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
};

use notch_messages::prelude::*;
use notch_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::{
    record::LedgerRecord,
    state::{
        item_table::MAX_ITEMS,
        job_state::JobState,
        request_table::{AnswerPlace, RequestState, RequestTable},
    },
};

/// Most quarantined fingerprints held; the oldest makes room.
pub const MAX_QUARANTINED: usize = 4_096;
/// Format of the snapshot; another one is refused.
const SNAPSHOT_VERSION: u32 = 1;

/// Sequence numbers `from..until`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct SeqRange {
    /// The first one.
    pub from: u64,
    /// The first one after the range.
    pub until: u64,
}

impl SeqRange {
    /// The least range that holds both.
    pub fn cover(self, other: SeqRange) -> SeqRange {
        SeqRange { from: self.from.min(other.from), until: self.until.max(other.until) }
    }
}

/// Bytes that are no snapshot of this version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SnapshotError;

impl fmt::Display for SnapshotError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("not a snapshot of a shard's state")
    }
}

impl std::error::Error for SnapshotError {}

/// The state of one shard: a function of its records alone.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ShardState {
    /// Every record before this sequence number is in the state.
    upto: u64,
    #[serde(with = "job_list")]
    jobs: BTreeMap<JobId, JobState>,
    requests: RequestTable,
    /// With the sequence number of the record that told it; at most [`MAX_QUARANTINED`].
    quarantined: BTreeMap<Fingerprint, u64>,
}

impl ShardState {
    /// Applies the record at `seq`; says whether it changed anything.
    pub fn apply(&mut self, seq: u64, record: &LedgerRecord) -> bool {
        self.skip(seq);
        match record {
            LedgerRecord::JobAccepted(accepted) => {
                let sane = accepted.item_count <= MAX_ITEMS;
                let fresh = sane && !self.jobs.contains_key(&accepted.job);
                if fresh {
                    self.jobs.insert(accepted.job, JobState::new(accepted.clone()));
                }
                fresh
            }
            LedgerRecord::JobCancelled { job, at } => self.on_job(*job, |job| job.cancel(*at)),
            LedgerRecord::JobEnded { job, at } => self.on_job(*job, |job| job.end(*at)),
            LedgerRecord::JobExpired { job } => self.expire_job(*job),
            LedgerRecord::ItemEnded { job, item, outcome } => {
                self.on_job(*job, |job| job.end_item(seq, *item, outcome))
            }
            LedgerRecord::ItemClaimed { job, item, attempt } => {
                self.on_job(*job, |job| job.claim_item(seq, *item, *attempt))
            }
            LedgerRecord::ItemReleased { job, item, attempt } => {
                self.on_job(*job, |job| job.release_item(*item, *attempt))
            }
            LedgerRecord::ItemTried { job, item, attempts, crashed_on } => {
                self.on_job(*job, |job| job.note_try(*item, *attempts, crashed_on.as_ref()))
            }
            LedgerRecord::RequestClaimed { request, account, attempt, fingerprint, until } => {
                self.requests.claim(*request, account, *attempt, *fingerprint, *until)
            }
            LedgerRecord::ClaimReleased { request, attempt } => {
                self.requests.release(*request, *attempt)
            }
            LedgerRecord::AnswerStored {
                request,
                account,
                fingerprint,
                answer,
                readable_until,
                until,
            } => {
                let place = match answer {
                    StoredAnswer::Answered { .. } => AnswerPlace::Record { seq },
                    StoredAnswer::Unknown => AnswerPlace::Unknown,
                };
                let stored = RequestState {
                    account: account.clone(),
                    fingerprint: *fingerprint,
                    holder: None,
                    answer: Some(place),
                    readable_until: *readable_until,
                    until: *until,
                };
                self.requests.store(*request, stored)
            }
            LedgerRecord::RequestsExpired { until } => self.requests.expire(*until),
            LedgerRecord::Quarantined { fingerprint, .. } => self.quarantine(seq, *fingerprint),
        }
    }

    /// Passes over the record at `seq`, which can't be read.
    pub fn skip(&mut self, seq: u64) {
        self.upto = seq + 1;
    }

    /// Every record before this sequence number is in the state.
    pub fn upto(&self) -> u64 {
        self.upto
    }

    /// One job.
    pub fn job(&self, job: JobId) -> Option<&JobState> {
        self.jobs.get(&job)
    }

    /// All jobs, by id.
    pub fn jobs(&self) -> &BTreeMap<JobId, JobState> {
        &self.jobs
    }

    /// The keyed online requests.
    pub fn requests(&self) -> &RequestTable {
        &self.requests
    }

    /// Whether a fingerprint crashes targets.
    pub fn is_quarantined(&self, fingerprint: Fingerprint) -> bool {
        self.quarantined.contains_key(&fingerprint)
    }

    /// Quarantined fingerprints, for gossip.
    pub fn quarantined(&self) -> impl Iterator<Item = Fingerprint> + '_ {
        self.quarantined.keys().copied()
    }

    /// The state as bytes.
    pub fn snapshot(&self) -> Payload {
        let mut bytes = Vec::new();
        let image = (SNAPSHOT_VERSION, self);
        ciborium::into_writer(&image, &mut bytes).expect("writing to memory can't fail");
        Payload(bytes)
    }

    /// The state from [`ShardState::snapshot`]'s bytes; empty bytes are the empty state.
    pub fn restore(bytes: &[u8]) -> Result<Self, SnapshotError> {
        if bytes.is_empty() {
            return Ok(Self::default());
        }
        let (version, state): (u32, Self) =
            ciborium::from_reader(bytes).map_err(|_| SnapshotError)?;
        match version {
            SNAPSHOT_VERSION => Ok(state),
            _ => Err(SnapshotError),
        }
    }

    /// Sequence numbers whose records must stay readable, rising and apart: for each job the
    /// stretch from its first to its last result, and each stored answer.
    pub fn needed_ranges(&self) -> Vec<SeqRange> {
        let of_jobs = self.jobs.values().filter_map(JobState::results);
        let of_answers =
            self.requests.answer_seqs().map(|seq| SeqRange { from: seq, until: seq + 1 });
        let mut ranges: Vec<SeqRange> = of_jobs.chain(of_answers).collect();
        ranges.sort_unstable();
        let mut merged: Vec<SeqRange> = Vec::new();
        for range in ranges {
            match merged.last_mut().filter(|last| last.until >= range.from) {
                Some(last) => *last = last.cover(range),
                None => merged.push(range),
            }
        }
        merged
    }

    /// Keys of the chunk objects that must stay.
    pub fn live_chunks(&self) -> Vec<String> {
        let keys: BTreeSet<&str> = self.chunk_keys().collect();
        keys.into_iter().map(str::to_owned).collect()
    }

    /// Keys of chunk objects that jobs name.
    pub(crate) fn chunk_keys(&self) -> impl Iterator<Item = &str> {
        self.jobs.values().flat_map(|job| &job.accepted().chunks).map(|(key, _)| key.as_str())
    }

    fn on_job(&mut self, job: JobId, change: impl FnOnce(&mut JobState) -> bool) -> bool {
        self.jobs.get_mut(&job).is_some_and(change)
    }

    fn expire_job(&mut self, job: JobId) -> bool {
        let over = self.jobs.get(&job).is_some_and(|job| !job.is_running());
        over && self.jobs.remove(&job).is_some()
    }

    fn quarantine(&mut self, seq: u64, fingerprint: Fingerprint) -> bool {
        if self.quarantined.contains_key(&fingerprint) {
            return false;
        }
        if self.quarantined.len() >= MAX_QUARANTINED {
            let oldest = self.quarantined.iter().min_by_key(|(_, seq)| **seq);
            let oldest = oldest.map(|(fingerprint, _)| *fingerprint);
            oldest.map(|oldest| self.quarantined.remove(&oldest));
        }
        self.quarantined.insert(fingerprint, seq);
        true
    }
}

/// Jobs as a list: each knows its id.
mod job_list {
    use std::collections::BTreeMap;

    use notch_types::prelude::*;
    use serde::{Deserialize, Deserializer, Serializer};

    use crate::state::job_state::JobState;

    pub(super) fn serialize<S: Serializer>(
        jobs: &BTreeMap<JobId, JobState>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.collect_seq(jobs.values())
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<BTreeMap<JobId, JobState>, D::Error> {
        let jobs = Vec::<JobState>::deserialize(deserializer)?;
        Ok(jobs.into_iter().map(|job| (job.accepted().job, job)).collect())
    }
}
