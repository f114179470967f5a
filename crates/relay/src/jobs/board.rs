//! The jobs that one gateway owns, and which item runs next.

use std::time::Duration;

use notch_types::prelude::*;

use crate::jobs::{owned::OwnedJob, pace::ItemPace, spec::ItemSpec};

/// An item to be run now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ItemStart {
    /// The job's id.
    pub job: String,
    /// The item's place in the job.
    pub index: usize,
    /// The item.
    pub item: ItemSpec,
    /// Host of the job.
    pub host: String,
    /// Last event held of an earlier run, which the run goes on after.
    pub last_event: Option<u64>,
}

/// The jobs that one gateway owns.
#[derive(Debug, Default)]
pub struct JobBoard {
    jobs: FastMap<String, OwnedJob>,
    /// How long items take.
    pace: ItemPace,
}

impl JobBoard {
    /// Takes a job over; nothing changes when it is here already.
    pub fn add(&mut self, job: OwnedJob) {
        self.jobs.entry(job.spec().id.clone()).or_insert(job);
    }

    /// Drops a job that another gateway owns now, or that is closed.
    pub fn remove(&mut self, id: &str) -> Option<OwnedJob> {
        self.jobs.remove(id)
    }

    /// A job.
    pub fn get(&self, id: &str) -> Option<&OwnedJob> {
        self.jobs.get(id)
    }

    /// A job, to be changed.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut OwnedJob> {
        self.jobs.get_mut(id)
    }

    /// Ids of all jobs.
    pub fn ids(&self) -> Vec<String> {
        self.jobs.keys().cloned().collect()
    }

    /// Jobs, in no order.
    pub fn iter(&self) -> impl Iterator<Item = &OwnedJob> {
        self.jobs.values()
    }

    /// Tokens that wait here on a route, against its limit.
    pub fn waiting_tokens(&self, route: &str) -> u64 {
        let jobs = self.jobs.values().filter(|job| job.spec().route == route);
        jobs.fold(0, |sum, job| sum.saturating_add(job.waiting_tokens()))
    }

    /// Whether no job is open.
    pub fn is_idle(&self) -> bool {
        self.jobs.values().all(OwnedJob::is_closed)
    }

    /// The next item to run: of the job that is due first and has one. Items that would end late
    /// come after all others: run in the order of their due times alone, each item of a burst that
    /// is too large starts just too late, and nearly all end late instead of some. The item isn't
    /// marked yet.
    pub fn next_item(&self, now: MonoTime) -> Option<(String, usize)> {
        let ready = self.jobs.values().filter_map(|job| Some((job, job.next_item(now)?)));
        let rank = |job: &OwnedJob, index| (job.is_late(index, &self.pace, now), job.due());
        let (job, index) = ready.min_by_key(|(job, index)| rank(job, *index))?;
        Some((job.spec().id.clone(), index))
    }

    /// An item ran from its beginning to its end within `took`.
    pub fn note_whole_run(&mut self, item: &ItemSpec, took: Duration) {
        self.pace.note(took, item.answer.expected());
    }

    /// Marks an item as running.
    pub fn start_item(&mut self, job: &str, index: usize) -> Option<ItemStart> {
        let owned = self.jobs.get_mut(job)?;
        let host = owned.spec().host.clone();
        let (item, last_event) = owned.start_item(index);
        Some(ItemStart { job: job.to_owned(), index, item, host, last_event })
    }
}
