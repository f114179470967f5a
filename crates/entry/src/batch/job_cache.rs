//! Results and bodies of jobs that this gateway doesn't own, kept for readers.

use std::sync::Arc;

use notch_relay::prelude::*;
use notch_types::prelude::*;

use crate::constants::COPY_BYTES;

/// What is held of one job.
#[derive(Debug, Clone, Default)]
pub struct CachedJob {
    /// Items of the job; `None` when not known yet.
    pub total: Option<usize>,
    /// Stored results from the first on. Invariant: a prefix of the job's list.
    pub lines: Vec<Arc<ResultLine>>,
    /// Results up to the end of an object of the store: only from there on can more be read from
    /// it. Invariant: at most the number of `lines`.
    pub chunk_end: usize,
    /// The job as accepted, if a reader needed it.
    pub spec: Option<Arc<JobSpec>>,
    /// Whether the list can't grow any more.
    pub is_closed: bool,
    /// The account that sent the job, if known; empty for none. Whoever else reads is shown nothing of it.
    pub account: Option<String>,
    /// Its owner, if the store told.
    pub owner: Option<String>,
    /// When the store was asked for more last.
    pub asked_at: Option<MonoTime>,
    /// Order of use; the lowest goes first.
    used: u64,
}

impl CachedJob {
    /// Appends lines that stand at `position` and on; those held already are passed over. With
    /// `is_all` the last one ends an object of the store.
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

    /// Whether every result is here.
    pub fn is_whole(&self) -> bool {
        self.is_closed || self.total.is_some_and(|total| self.lines.len() >= total)
    }

    /// Whether `account` is surely not the one that sent the job.
    pub fn is_of_another(&self, account: &str) -> bool {
        self.account.as_deref().is_some_and(|owner| !may_access(owner, account))
    }

    fn weight(&self) -> usize {
        let lines: usize = self.lines.iter().map(|line| line.approx_bytes()).sum();
        lines + self.spec.as_ref().map_or(0, |spec| spec.approx_bytes())
    }
}

/// Copies, the ones used last within a bound of memory. What was dropped is read from the store.
#[derive(Debug, Default)]
pub struct JobCache {
    entries: FastMap<String, CachedJob>,
    uses: u64,
}

impl JobCache {
    /// A copy.
    pub fn get(&self, job: &str) -> Option<&CachedJob> {
        self.entries.get(job)
    }

    /// Keeps what a reader gathered of a job. What is held already and longer stays; then old copies
    /// over the bound are dropped.
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
        self.trim();
    }

    /// Keeps what an owned job holds.
    pub fn take_owned(&mut self, job: &OwnedJob, is_closed: bool) {
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

    fn trim(&mut self) {
        let mut weight: usize = self.entries.values().map(CachedJob::weight).sum();
        while weight > COPY_BYTES && self.entries.len() > 1 {
            let oldest = self.entries.iter().min_by_key(|(_, copy)| copy.used);
            let Some(job) = oldest.map(|(job, _)| job.clone()) else { return };
            weight -= self.entries.remove(&job).map_or(0, |copy| copy.weight());
        }
    }
}
