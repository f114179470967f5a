//! Failures of the items of other gateways' jobs, kept in case this gateway takes a job over.

use std::time::Duration;

use notch_relay::prelude::*;
use notch_types::prelude::*;

/// Most items whose failures are kept, about 1 MB.
const MAX_ITEMS: usize = 8_192;
/// How long they are kept: longer than items usually live.
const RETENTION: Duration = Duration::from_secs(600);

/// Failures of the items of one job.
#[derive(Debug)]
struct JobFailures {
    /// When the last one was told.
    told_at: MonoTime,
    items: Vec<ItemFailures>,
}

/// Failures of items by job. Invariant: of a bounded number of items.
#[derive(Debug, Default)]
pub struct KeptFailures {
    jobs: FastMap<String, JobFailures>,
}

impl KeptFailures {
    /// Keeps failures of items of `job` beside those that are known. False if there is no room for them.
    pub fn keep(&mut self, job: &str, items: &[ItemFailures], now: MonoTime) -> bool {
        if items.is_empty() {
            return true;
        }
        if self.items() + items.len() > MAX_ITEMS {
            self.jobs.retain(|_, known| now.since(known.told_at) < RETENTION);
        }
        if self.items() + items.len() > MAX_ITEMS {
            return false;
        }
        let new = || JobFailures { told_at: now, items: Vec::new() };
        let known = self.jobs.entry(job.to_owned()).or_insert_with(new);
        known.told_at = now;
        ItemFailures::join_into(&mut known.items, items);
        true
    }

    /// Counts a failed run of an item of `job`. Returns all failures of the item, unless this one is known.
    pub fn note(
        &mut self,
        job: &str,
        item: &str,
        run: FailedRun,
        now: MonoTime,
    ) -> Option<ItemFailures> {
        let known = self.of(job).iter().find(|known| known.item == item);
        let mut failed = known.map(|known| known.failed.clone()).unwrap_or_default();
        if !failed.note(run) {
            return None;
        }
        let failures = ItemFailures { item: item.to_owned(), failed };
        self.keep(job, std::slice::from_ref(&failures), now);
        Some(failures)
    }

    fn items(&self) -> usize {
        self.jobs.values().map(|known| known.items.len()).sum()
    }

    /// The failures of the items of a job.
    pub fn of(&self, job: &str) -> &[ItemFailures] {
        self.jobs.get(job).map_or(&[], |known| &known.items)
    }

    /// Removes and returns the failures of the items of a job.
    pub fn take(&mut self, job: &str) -> Vec<ItemFailures> {
        self.jobs.remove(job).map(|known| known.items).unwrap_or_default()
    }
}
