//! A naive reading of a ledger, to compare the service with.

use std::collections::BTreeMap;

use notch_jobs::prelude::*;
use notch_messages::prelude::*;
use notch_types::prelude::*;

use super::custom_id;

/// The ledger read by plain maps, everything at once: obviously right, and slow.
#[derive(Debug, Default, PartialEq)]
pub struct NaiveShard {
    pub jobs: BTreeMap<JobId, NaiveJob>,
    pub holders: BTreeMap<RequestId, AttemptId>,
    pub answers: BTreeMap<RequestId, StoredAnswer>,
}

#[derive(Debug, PartialEq)]
pub struct NaiveJob {
    pub accepted: notch_jobs::record::AcceptedJob,
    pub cancelled: bool,
    pub results: BTreeMap<u32, ItemOutcome>,
    pub claims: BTreeMap<u32, u64>,
}

impl NaiveJob {
    pub fn is_running(&self) -> bool {
        !self.cancelled && self.results.len() < self.accepted.item_count as usize
    }
}

impl NaiveShard {
    pub fn read(records: &[LedgerRecord]) -> Self {
        let mut naive = Self::default();
        records.iter().for_each(|record| naive.apply(record));
        naive
    }

    fn apply(&mut self, record: &LedgerRecord) {
        match record.clone() {
            LedgerRecord::JobAccepted(accepted) => {
                self.jobs.entry(accepted.job).or_insert(NaiveJob {
                    accepted,
                    cancelled: false,
                    results: BTreeMap::new(),
                    claims: BTreeMap::new(),
                });
            }
            LedgerRecord::JobCancelled { job, .. } => {
                if let Some(job) = self.jobs.get_mut(&job).filter(|job| job.is_running()) {
                    job.cancelled = true;
                }
            }
            LedgerRecord::ItemEnded { job, item, outcome } => {
                if let Some(job) = self.jobs.get_mut(&job).filter(|job| !job.cancelled) {
                    job.results.entry(item.0).or_insert(outcome);
                }
            }
            LedgerRecord::ItemClaimed { job, item, attempt } => {
                if let Some(job) = self.jobs.get_mut(&job).filter(|job| !job.cancelled)
                    && !job.results.contains_key(&item.0)
                {
                    job.claims.entry(item.0).or_insert(attempt);
                }
            }
            LedgerRecord::ItemReleased { job, item, attempt } => {
                if let Some(job) = self.jobs.get_mut(&job)
                    && job.claims.get(&item.0) == Some(&attempt)
                {
                    job.claims.remove(&item.0);
                }
            }
            LedgerRecord::RequestClaimed { request, attempt, .. } => {
                if !self.answers.contains_key(&request) {
                    self.holders.entry(request).or_insert(attempt);
                }
            }
            LedgerRecord::ClaimReleased { request, attempt } => {
                let held = self.holders.get(&request) == Some(&attempt);
                if held && !self.answers.contains_key(&request) {
                    self.holders.remove(&request);
                }
            }
            LedgerRecord::AnswerStored { request, answer, .. } => {
                self.answers.entry(request).or_insert(answer);
            }
            LedgerRecord::JobEnded { .. }
            | LedgerRecord::JobExpired { .. }
            | LedgerRecord::ItemTried { .. }
            | LedgerRecord::RequestsExpired { .. }
            | LedgerRecord::Quarantined { .. } => {}
        }
    }

    /// The result lines of a job, as a caller should read them.
    pub fn lines(&self, job: JobId) -> Vec<ResultLine> {
        let Some(naive) = self.jobs.get(&job) else { return Vec::new() };
        let line = |item: u32| {
            let status = match naive.results.get(&item) {
                Some(outcome) => ItemStatus::Ended(outcome.clone()),
                None if naive.cancelled => ItemStatus::Cancelled,
                None => return None,
            };
            Some(ResultLine { item: ItemIndex(item), custom_id: custom_id(job, item), status })
        };
        (0..naive.accepted.item_count).filter_map(line).collect()
    }
}
