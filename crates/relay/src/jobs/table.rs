//! Jobs owned by one gateway, and the selection of the next item to run.

use std::{cmp::Reverse, sync::Arc, time::Duration};

use notch_types::prelude::*;

use crate::{
    item_slots::preemption::PreemptionRank,
    job_admission::demand::DueWork,
    jobs::{
        owned::OwnedJob,
        ownership::OwnershipGeneration,
        result::ResultLine,
        run_time::ItemRunTime,
        spec::{ItemSpec, JobSpec},
    },
};

/// An item to be started.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ItemStart {
    /// Id of the job.
    pub job: String,
    /// Index of the item in the job.
    pub index: usize,
    /// The item.
    pub item: ItemSpec,
    /// Host that the job was sent to.
    pub host: String,
    /// Account that sent the job; empty if there is none.
    pub account: String,
    /// Last event held of an earlier run; the new run resumes after it.
    pub last_event: Option<u64>,
}

/// A waiting item that may start now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WaitingItem<'a> {
    /// The item's job.
    pub spec: &'a Arc<JobSpec>,
    /// Index of the item in the job.
    pub index: usize,
    /// Time left until it is due, less its expected run time, milliseconds; negative if it is
    /// expected to be late.
    pub slack_ms: i64,
    /// Whether a target has run it and reported a failure.
    pub has_failed: bool,
    /// Software version that wrote the events it holds; `None` if it holds none.
    pub version: Option<&'a str>,
}

/// Jobs owned by one gateway.
#[derive(Debug, Default)]
pub struct JobTable {
    jobs: FastMap<String, OwnedJob>,
    /// Current generation of ownership confirmations. A confirmation only counts for a job if it
    /// was requested in the generation that the job requires or later.
    ownership_generation: OwnershipGeneration,
    /// Generation in which the ownership of all jobs was last invalidated. Invariant: at most
    /// `ownership_generation`.
    required_generation: OwnershipGeneration,
    /// Run time of items as learned at this gateway.
    run_time: ItemRunTime,
    /// Run time of items as learned at all gateways, if known.
    shared_run_time: ItemRunTime,
}

impl JobTable {
    /// Adds a job; has no effect if the job is already present. If the ownership of all jobs was
    /// invalidated after the confirmation of this job was requested, the invalidation applies to
    /// this job too.
    pub fn add(&mut self, mut job: OwnedJob) {
        job.require_generation(self.required_generation);
        self.jobs.entry(job.spec().id.clone()).or_insert(job);
    }

    /// Current generation of ownership confirmations. The answer to a store read started now is
    /// valid until the next invalidation.
    pub fn ownership_generation(&self) -> OwnershipGeneration {
        self.ownership_generation
    }

    /// Invalidates the ownership of all jobs: any of them may have been taken over by another
    /// gateway.
    pub fn invalidate_all_ownership(&mut self) {
        self.ownership_generation = self.ownership_generation.next();
        self.required_generation = self.ownership_generation;
        for job in self.jobs.values_mut() {
            job.require_generation(self.ownership_generation);
        }
    }

    /// Invalidates the ownership of all jobs, and stores nothing of them until it is confirmed.
    pub fn suspend_all(&mut self) {
        self.invalidate_all_ownership();
        for job in self.jobs.values_mut() {
            job.suspend(self.ownership_generation);
        }
    }

    /// Invalidates the ownership of a job: it may have been taken over by another gateway.
    pub fn invalidate_ownership(&mut self, id: &str) {
        self.ownership_generation = self.ownership_generation.next();
        if let Some(job) = self.jobs.get_mut(id) {
            job.require_generation(self.ownership_generation);
        }
    }

    /// Handles a conflicting write of another gateway at the position where the job's results were
    /// to be stored. Returns false if the job is not present.
    pub fn displace(&mut self, id: &str, lines: Vec<Arc<ResultLine>>, now: MonoTime) -> bool {
        let Some(job) = self.jobs.get_mut(id) else { return false };
        self.ownership_generation = self.ownership_generation.next();
        job.displaced(lines, self.ownership_generation, now);
        true
    }

    /// Removes a job that is closed or that another gateway owns now.
    pub fn remove(&mut self, id: &str) -> Option<OwnedJob> {
        self.jobs.remove(id)
    }

    /// Returns a job.
    pub fn get(&self, id: &str) -> Option<&OwnedJob> {
        self.jobs.get(id)
    }

    /// Returns a job for modification.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut OwnedJob> {
        self.jobs.get_mut(id)
    }

    /// Ids of all jobs.
    pub fn ids(&self) -> Vec<String> {
        self.jobs.keys().cloned().collect()
    }

    /// All jobs, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &OwnedJob> {
        self.jobs.values()
    }

    /// Waiting tokens at this gateway that count against the limit with this name.
    pub fn waiting_tokens(&self, limit: &str) -> u64 {
        let jobs = self.jobs.values().filter(|job| job.spec().limit_name() == limit);
        jobs.fold(0, |sum, job| sum.saturating_add(job.waiting_tokens()))
    }

    /// Whether all jobs are closed.
    pub fn is_idle(&self) -> bool {
        self.jobs.values().all(OwnedJob::is_closed)
    }

    /// Selects the next item to run: one of the job with the earliest due time. Items that are
    /// expected to end late come after all others. If items of an oversized burst were run by due
    /// time alone, each of them would start just too late and nearly all would end late instead of
    /// some. The item is not marked as running.
    pub fn next_item(&self, now: MonoTime) -> Option<(String, usize)> {
        let ready = self.jobs.values().filter_map(|job| Some((job, job.next_item(now)?)));
        let run_time = self.run_time();
        let rank = |job: &OwnedJob, index| (job.is_late(index, &run_time, now), job.due());
        let (job, index) = ready.min_by_key(|(job, index)| rank(job, *index))?;
        Some((job.spec().id.clone(), index))
    }

    /// All items that may start at `now`, in the order of [`next_item`](Self::next_item).
    pub fn waiting_items(&self, now: MonoTime) -> Vec<WaitingItem<'_>> {
        let run_time = self.run_time();
        let mut ranked = Vec::new();
        for job in self.jobs.values() {
            for (index, output) in job.ready_items(now) {
                let is_late = job.is_late(index, &run_time, now);
                let slack_ms = job.slack_ms(index, &run_time, now);
                // An item whose lifetime is nearly over is not late, whatever its slack.
                let slack_ms = if is_late { slack_ms.min(-1) } else { slack_ms.max(0) };
                let has_failed = job.has_failed(index);
                let version = job.item_version(index);
                let item = WaitingItem { spec: job.spec(), index, slack_ms, has_failed, version };
                ranked.push(((is_late, job.due(), Reverse(output)), item));
            }
        }
        ranked.sort_by_key(|(rank, _)| *rank);
        ranked.into_iter().map(|(_, item)| item).collect()
    }

    /// Rank of a running item among those to preempt; `None` if the job is not present.
    pub fn preemption_rank(
        &self,
        job: &str,
        index: usize,
        since: MonoTime,
        now: MonoTime,
    ) -> Option<PreemptionRank> {
        let job = self.jobs.get(job)?;
        let answer = job.spec().items.get(index)?.answer;
        let expected = self.run_time().expected_or_default(answer.expected());
        Some(PreemptionRank::new(job.due(), since, expected, now))
    }

    /// Records that an item ran from start to end within `took`.
    pub fn note_whole_run(&mut self, item: &ItemSpec, took: Duration) {
        self.run_time.note(took, item.answer.expected());
    }

    /// Expected run time of items.
    pub fn run_time(&self) -> ItemRunTime {
        if self.shared_run_time.is_known() { self.shared_run_time } else { self.run_time }
    }

    /// Run time of items as learned at this gateway, to be reported to the others.
    pub fn own_run_time(&self) -> ItemRunTime {
        self.run_time
    }

    /// Sets the run time of items as learned at all gateways.
    pub fn set_shared_run_time(&mut self, run_time: ItemRunTime) {
        self.shared_run_time = run_time;
    }

    /// Total run time of a new job's items on one slot.
    pub fn estimated_work(&self, spec: &JobSpec) -> Duration {
        let run_time = self.run_time();
        spec.items.iter().map(|item| run_time.expected_or_default(item.answer.expected())).sum()
    }

    /// Work that can still be done in time, for each open job, with the job's route.
    pub fn works(&self, now: MonoTime) -> Vec<(&str, DueWork)> {
        let run_time = self.run_time();
        let open = self.jobs.values().filter(|job| !job.is_closed());
        let works = open.map(|job| {
            let work = DueWork { due: job.due(), work: job.timely_work(&run_time, now) };
            (job.spec().route.as_str(), work)
        });
        works.filter(|(_, work)| !work.work.is_zero()).collect()
    }

    /// Marks an item as running at a target with software `version`.
    pub fn start_item(&mut self, job: &str, index: usize, version: &str) -> Option<ItemStart> {
        let owned = self.jobs.get_mut(job)?;
        let JobSpec { host, account, .. } = owned.spec().as_ref();
        let (host, account) = (host.clone(), account.clone());
        let (item, last_event) = owned.start_item(index, version);
        Some(ItemStart { job: job.to_owned(), index, item, host, account, last_event })
    }
}
