//! Cache of results and item bodies of jobs that this gateway does not own.

use std::sync::Arc;

use notch_relay::prelude::*;
use notch_types::prelude::*;

use crate::constants::COPY_BYTES;

/// What is cached of one job.
#[derive(Debug, Clone, Default)]
pub struct CachedJob {
    /// Number of items of the job, if known.
    pub total: Option<usize>,
    /// Stored results from the first on. Invariant: a prefix of the job's list.
    pub lines: Vec<Arc<ResultLine>>,
    /// Number of results up to the last known end of a store object. The store can be read only
    /// from there on. Invariant: at most the number of `lines`.
    pub chunk_end: usize,
    /// The job as accepted, if a reader needed it.
    pub spec: Option<Arc<JobSpec>>,
    /// Whether the result list is final.
    pub is_closed: bool,
    /// The account that submitted the job, if known; empty for none. Other accounts may not read
    /// it.
    pub account: Option<String>,
    /// The job's owner, if read from the store.
    pub owner: Option<String>,
    /// When the store was last asked for more results.
    pub asked_at: Option<MonoTime>,
    /// Sequence number of the last use; the lowest is evicted first.
    used: u64,
}

impl CachedJob {
    /// Appends lines that start at `position`, skipping those held already. With `is_all` the last
    /// one is at the end of a store object.
    pub fn extend(&mut self, position: usize, lines: &[Arc<ResultLine>], is_all: bool) {
        let held = self.lines.len();
        if position > held {
            return;
        }
        let new = lines.get(held - position..).unwrap_or_default();
        self.lines.extend_from_slice(new);
        if is_all {
            self.chunk_end = self.chunk_end.max(position + lines.len());
        }
    }

    /// Whether all results are held.
    pub fn is_whole(&self) -> bool {
        self.is_closed || self.total.is_some_and(|total| self.lines.len() >= total)
    }

    /// Whether the job is known to belong to another account than `account`.
    pub fn belongs_to_other_account(&self, account: &str) -> bool {
        self.account.as_deref().is_some_and(|owner| !may_access(owner, account))
    }

    fn weight(&self) -> usize {
        let lines: usize = self.lines.iter().map(|line| line.memory_bytes()).sum();
        lines + self.spec.as_ref().map_or(0, |spec| spec.approx_bytes())
    }
}

/// A least recently used cache with a bound on its memory. Evicted jobs are read from the store
/// again.
#[derive(Debug, Default)]
pub struct JobCache {
    entries: FastMap<String, CachedJob>,
    uses: u64,
}

impl JobCache {
    /// The cached copy of a job.
    pub fn get(&self, job: &str) -> Option<&CachedJob> {
        self.entries.get(job)
    }

    /// Merges what a reader gathered of a job. The longer list of results is kept. Then evicts the
    /// least recently used jobs beyond the memory bound.
    pub fn keep(&mut self, job: &str, gathered: CachedJob) {
        self.uses += 1;
        let copy = self.entries.entry(job.to_owned()).or_default();
        copy.used = self.uses;
        copy.total = copy.total.or(gathered.total);
        copy.spec = copy.spec.take().or(gathered.spec);
        copy.account = copy.account.take().or(gathered.account);
        copy.owner = gathered.owner.or(copy.owner.take());
        copy.is_closed |= gathered.is_closed;
        copy.asked_at = copy.asked_at.max(gathered.asked_at);
        if copy.lines.len() < gathered.lines.len() {
            copy.lines = gathered.lines;
        }
        copy.chunk_end = copy.chunk_end.max(gathered.chunk_end);
        self.evict();
    }

    /// Caches the results of an owned job.
    pub fn insert_owned(&mut self, job: &OwnedJob, is_closed: bool) {
        let lines = job.results().to_vec();
        let gathered = CachedJob {
            total: Some(job.spec().items.len()),
            chunk_end: lines.len(),
            lines,
            spec: (!is_closed).then(|| Arc::clone(job.spec())),
            is_closed,
            account: Some(job.spec().account.clone()),
            ..CachedJob::default()
        };
        self.keep(&job.spec().id, gathered);
    }

    fn evict(&mut self) {
        let mut weight: usize = self.entries.values().map(CachedJob::weight).sum();
        while weight > COPY_BYTES && self.entries.len() > 1 {
            let oldest = self.entries.iter().min_by_key(|(_, copy)| copy.used);
            let Some(job) = oldest.map(|(job, _)| job.clone()) else { return };
            weight -= self.entries.remove(&job).map_or(0, |copy| copy.weight());
        }
    }
}
