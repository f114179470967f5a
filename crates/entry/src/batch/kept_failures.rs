//! Failures of the items of other gateways' jobs, kept in case this gateway takes a job over.

use std::time::Duration;

use notch_relay::prelude::ItemFailures;
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
    /// Keeps the failures of items of `job`. The last ones told of an item count.
    pub fn keep(&mut self, job: &str, items: Vec<ItemFailures>, now: MonoTime) {
        if self.items() + items.len() > MAX_ITEMS {
            self.jobs.retain(|_, known| now.since(known.told_at) < RETENTION);
        }
        if self.items() + items.len() > MAX_ITEMS {
            return;
        }
        let new = || JobFailures { told_at: now, items: Vec::new() };
        let known = self.jobs.entry(job.to_owned()).or_insert_with(new);
        known.told_at = now;
        known.items.retain(|known| items.iter().all(|told| told.item != known.item));
        known.items.extend(items);
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
