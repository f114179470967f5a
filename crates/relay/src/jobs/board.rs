//! The jobs that one gateway owns, and which item runs next.

use std::{sync::Arc, time::Duration};

use notch_types::prelude::*;

use crate::{
    intake::demand::DueWork,
    jobs::{
        doubt::OwnershipGeneration,
        owned::OwnedJob,
        pace::ItemRunTime,
        result::ResultLine,
        spec::{ItemSpec, JobSpec},
    },
};

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
    /// The account that sent the job; empty for none.
    pub account: String,
    /// Last event held of an earlier run, which the run goes on after.
    pub last_event: Option<u64>,
}

/// The jobs that one gateway owns.
#[derive(Debug, Default)]
pub struct JobTable {
    jobs: FastMap<String, OwnedJob>,
    /// The last doubt of all.
    ownership_generation: OwnershipGeneration,
    /// The last doubt that was about every job. Invariant: at most `ownership_generation`.
    required_generation: OwnershipGeneration,
    /// How long items take here.
    pace: ItemRunTime,
    /// How long items take at all gateways, as far as is known.
    shared_pace: ItemRunTime,
}

impl JobTable {
    /// Takes a job over; nothing changes when it is here already. A doubt about every job that came after
    /// its ownership was asked for is about it, too.
    pub fn add(&mut self, mut job: OwnedJob) {
        job.require_generation(self.required_generation);
        self.jobs.entry(job.spec().id.clone()).or_insert(job);
    }

    /// The last doubt: who asks the store now gets an answer that is good until the next one.
    pub fn ownership_generation(&self) -> OwnershipGeneration {
        self.ownership_generation
    }

    /// Any job may have been taken over by another gateway.
    pub fn invalidate_all_ownership(&mut self) {
        self.ownership_generation = self.ownership_generation.next();
        self.required_generation = self.ownership_generation;
        for job in self.jobs.values_mut() {
            job.require_generation(self.ownership_generation);
        }
    }

    /// This job may have been taken over by another gateway.
    pub fn invalidate_ownership(&mut self, id: &str) {
        self.ownership_generation = self.ownership_generation.next();
        if let Some(job) = self.jobs.get_mut(id) {
            job.require_generation(self.ownership_generation);
        }
    }

    /// Another gateway wrote where the job's results were to stand; false when the job isn't here.
    pub fn displace(&mut self, id: &str, lines: Vec<Arc<ResultLine>>, now: MonoTime) -> bool {
        let Some(job) = self.jobs.get_mut(id) else { return false };
        self.ownership_generation = self.ownership_generation.next();
        job.displaced(lines, self.ownership_generation, now);
        true
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

    /// Tokens that wait here against a limit, by its name.
    pub fn waiting_tokens(&self, limit: &str) -> u64 {
        let jobs = self.jobs.values().filter(|job| job.spec().limit_name() == limit);
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
        let pace = self.run_time();
        let rank = |job: &OwnedJob, index| (job.is_late(index, &pace, now), job.due());
        let (job, index) = ready.min_by_key(|(job, index)| rank(job, *index))?;
        Some((job.spec().id.clone(), index))
    }

    /// An item ran from its beginning to its end within `took`.
    pub fn note_whole_run(&mut self, item: &ItemSpec, took: Duration) {
        self.pace.note(took, item.answer.expected());
    }

    /// How long items take.
    pub fn run_time(&self) -> ItemRunTime {
        if self.shared_pace.is_known() { self.shared_pace } else { self.pace }
    }

    /// How long items take here, for the other gateways.
    pub fn own_run_time(&self) -> ItemRunTime {
        self.pace
    }

    /// How long items take at all gateways.
    pub fn set_shared_run_time(&mut self, pace: ItemRunTime) {
        self.shared_pace = pace;
    }

    /// How long the items of a job that comes would take one place.
    pub fn estimated_work(&self, spec: &JobSpec) -> Duration {
        let pace = self.run_time();
        spec.items.iter().map(|item| pace.expected_or_default(item.answer.expected())).sum()
    }

    /// What waits to be done in time, job by job, with each job's route.
    pub fn works(&self, now: MonoTime) -> Vec<(&str, DueWork)> {
        let pace = self.run_time();
        let open = self.jobs.values().filter(|job| !job.is_closed());
        let works = open.map(|job| {
            let work = DueWork { due: job.due(), work: job.timely_work(&pace, now) };
            (job.spec().route.as_str(), work)
        });
        works.filter(|(_, work)| !work.work.is_zero()).collect()
    }

    /// Marks an item as running.
    pub fn start_item(&mut self, job: &str, index: usize) -> Option<ItemStart> {
        let owned = self.jobs.get_mut(job)?;
        let JobSpec { host, account, .. } = owned.spec().as_ref();
        let (host, account) = (host.clone(), account.clone());
        let (item, last_event) = owned.start_item(index);
        Some(ItemStart { job: job.to_owned(), index, item, host, account, last_event })
    }
}
