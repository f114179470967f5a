//! A gateway's in-memory state of batch jobs.

use std::time::Duration;

use async_channel::Sender;
use notch_relay::prelude::*;
use notch_types::prelude::*;

use crate::batch::{
    job_cache::JobCache, kept_failures::KeptFailures, prior_submission::LookupLimiter,
};

/// Maximum number of jobs for which handed-over progress is kept until a takeover. A gateway owns
/// about a dozen jobs.
const MAX_HANDED_OVER_JOBS: usize = 256;

/// How long a job reported as being stored at another gateway may still become stored. That gateway
/// retries until the store answers; its client gives up within seconds.
const STORING_TIMEOUT: Duration = Duration::from_secs(60);

/// A run of an item in progress.
#[derive(Debug)]
pub struct ItemRunHandle {
    /// Id of the job.
    pub job: String,
    /// Index of the item in the job.
    pub index: usize,
    /// Id of the target that runs it.
    pub target: String,
    /// When the run began.
    pub since: MonoTime,
    /// Closing this channel cancels the run.
    pub cancel: Sender<()>,
    /// Whether it is a probe of an item that is refused.
    pub is_probe: bool,
}

impl ItemRunHandle {
    /// Whether online work may preempt it. A probe is one of few, and would tell nothing.
    pub fn is_preemptible(&self) -> bool {
        !self.is_probe && !self.cancel.is_closed()
    }
}

/// A job's owner, as reported by another gateway.
#[derive(Debug)]
struct ReportedOwner {
    owner: String,
    /// When all results were stored. The owner still answers readers, but the job needs no
    /// takeover.
    closed_at: Option<MonoTime>,
}

/// Tokens reserved for a job that is being accepted.
#[derive(Debug)]
struct ReservedTokens {
    route: String,
    tokens: u64,
}

/// Estimated work of a job that is being accepted.
#[derive(Debug)]
struct PendingWork {
    route: String,
    work: DueWork,
}

/// A gateway's in-memory state of batch jobs.
#[derive(Debug, Default)]
pub struct JobRegistry {
    /// Jobs that this gateway owns.
    pub table: JobTable,
    /// Cached results and item bodies of jobs that this gateway does not own.
    pub cache: JobCache,
    /// Item runs in progress, by run number.
    pub runs: FastMap<u64, ItemRunHandle>,
    next_run: u64,
    /// Owners of jobs, as reported by other gateways.
    owners: FastMap<String, ReportedOwner>,
    /// Jobs that were seen only in the store, without a report by any gateway, and when they were
    /// seen.
    listed: FastMap<String, MonoTime>,
    /// Jobs whose end is stored, and when this gateway learned of it.
    ended: FastMap<String, MonoTime>,
    /// Progress of jobs handed over by stopping gateways. Invariant: at most
    /// [`MAX_HANDED_OVER_JOBS`] entries.
    handed_over: FastMap<String, Vec<HeldProgress>>,
    /// Failures of items of other gateways' jobs.
    pub kept_failures: KeptFailures,
    /// Jobs that a task is accepting or taking over.
    busy: FastSet<String>,
    /// Jobs of which a takeover here failed halfway: the store may name this gateway as their owner, so that no other one takes
    /// them over.
    pub unfinished: FastSet<String>,
    /// Jobs for which an ownership check in the store is in progress.
    checking: FastSet<String>,
    /// Stored jobs that cannot be decoded, with the revision that was logged last.
    unreadable: FastMap<String, u64>,
    /// Tokens of jobs being accepted, counted against their routes' limits, by job.
    reserved: FastMap<String, ReservedTokens>,
    /// Jobs whose storing is delayed at another gateway, and when this was reported. Invariant:
    /// none is older than [`STORING_TIMEOUT`].
    storing_elsewhere: FastMap<String, MonoTime>,
    /// Owned jobs whose route the configuration in force lacks.
    pub missing_routes: MissingRoutes,
    /// When to search the store for jobs without an owner.
    pub search: SearchSchedule,
    /// Limits store lookups for jobs that are about to be refused.
    pub lookups: LookupLimiter,
    /// Work of jobs being accepted, by job.
    pending_work: FastMap<String, PendingWork>,
}

impl JobRegistry {
    /// Whether this gateway owns the job.
    pub fn is_owned(&self, job: &str) -> bool {
        self.table.get(job).is_some()
    }

    /// Whether the job is known from any source: owned here, reported, listed or cached.
    pub fn is_known(&self, job: &str) -> bool {
        self.is_owned(job)
            || self.owners.contains_key(job)
            || self.listed.contains_key(job)
            || self.cache.get(job).is_some()
    }

    /// The client account that submitted the job, or `None` if unknown. Empty for a job without an
    /// account.
    pub fn account(&self, job: &str) -> Option<&str> {
        if let Some(owned) = self.table.get(job) {
            return Some(&owned.spec().account);
        }
        self.cache.get(job)?.account.as_deref()
    }

    /// Starts to run a job. Returns false and changes nothing if the job has ended or is owned
    /// already.
    ///
    /// While the store is slow, two submissions of one job may be stored at the same time, and the
    /// second one's outcome may arrive after the job was accepted, run and ended.
    pub fn own_job(&mut self, job: OwnedJob) -> bool {
        let id = job.spec().id.clone();
        if self.is_ended(&id) || self.is_owned(&id) {
            return false;
        }
        self.forget_owner(&id);
        self.table.add(job);
        true
    }

    /// Jobs owned here that are not closed.
    pub fn open_owned(&self) -> Vec<String> {
        let open = self.table.iter().filter(|job| !job.is_closed());
        open.map(|job| job.spec().id.clone()).collect()
    }

    /// The job's owner, as reported by another gateway.
    pub fn owner(&self, job: &str) -> Option<&str> {
        self.owners.get(job).map(|reported| reported.owner.as_str())
    }

    /// Records that `owner` owns these jobs.
    pub fn note_owner(&mut self, jobs: &[String], owner: &str) {
        for job in jobs {
            let reported = ReportedOwner { owner: owner.to_owned(), closed_at: None };
            self.owners.insert(job.clone(), reported);
            self.storing_elsewhere.remove(job);
            self.listed.remove(job);
        }
    }

    /// Records the owner of a job found in the store, unless some gateway reported one.
    pub fn note_orphan(&mut self, job: &str, owner: &str) {
        if !self.is_owned(job) && self.owner(job).is_none() {
            self.note_owner(&[job.to_owned()], owner);
        }
    }

    /// Records that the store holds this job.
    pub fn note_listed(&mut self, job: &str, now: MonoTime) {
        if !self.is_known(job) {
            self.listed.insert(job.to_owned(), now);
        }
    }

    /// Open jobs that other gateways own, each with its owner.
    pub fn owned_elsewhere(&self) -> impl Iterator<Item = (&str, &str)> {
        let open = self.owners.iter().filter(|(_, reported)| reported.closed_at.is_none());
        open.map(|(job, reported)| (job.as_str(), reported.owner.as_str()))
    }

    /// Records that all results of the job are stored, so that it needs no owner any more.
    pub fn note_closed(&mut self, job: &str, now: MonoTime) {
        if let Some(reported) = self.owners.get_mut(job) {
            reported.closed_at.get_or_insert(now);
        }
        self.handed_over.remove(job);
    }

    /// Marks a job as ended. Returns false if it was marked before.
    pub fn note_ended(&mut self, job: &str, now: MonoTime) -> bool {
        self.ended.insert(job.to_owned(), now).is_none()
    }

    /// Drops records of jobs that were closed or ended before `before`, which are not asked for any
    /// more. Without this they would exhaust a gateway's memory within weeks.
    pub fn forget_done(&mut self, before: MonoTime) {
        self.ended.retain(|_, since| *since >= before);
        self.listed.retain(|_, since| *since >= before);
        self.owners.retain(|_, reported| reported.closed_at.is_none_or(|since| since >= before));
    }

    /// Whether the job is known to have ended.
    pub fn is_ended(&self, job: &str) -> bool {
        self.ended.contains_key(job)
    }

    /// Drops the reported owner and handed-over progress of a job that this gateway now owns.
    pub fn forget_owner(&mut self, job: &str) {
        self.owners.remove(job);
        self.handed_over.remove(job);
    }

    /// Marks an ownership check as started. Returns false if one is in progress.
    pub fn begin_check(&mut self, job: &str) -> bool {
        self.checking.insert(job.to_owned())
    }

    /// Marks an ownership check as finished, with or without an answer.
    pub fn end_check(&mut self, job: &str) {
        self.checking.remove(job);
    }

    /// Reserves the job for one task that accepts it or takes it over. Returns false if another
    /// task has it.
    pub fn begin(&mut self, job: &str) -> bool {
        self.busy.insert(job.to_owned())
    }

    /// Ends the task's reservation of the job, and of its tokens and work.
    pub fn finish(&mut self, job: &str) {
        self.busy.remove(job);
        self.reserved.remove(job);
        self.pending_work.remove(job);
    }

    /// Records that another gateway is storing the job with an unknown outcome.
    pub fn note_storing_elsewhere(&mut self, job: &str, now: MonoTime) {
        self.storing_elsewhere.retain(|_, since| now.since(*since) < STORING_TIMEOUT);
        self.storing_elsewhere.insert(job.to_owned(), now);
    }

    /// Whether another gateway may be storing the job.
    pub fn may_be_stored_elsewhere(&self, job: &str) -> bool {
        self.storing_elsewhere.contains_key(job)
    }

    /// Counts the work of a job that is being accepted, until [`Self::finish`].
    pub fn note_pending_work(&mut self, job: &str, route: &str, work: DueWork) {
        let route = route.to_owned();
        self.pending_work.insert(job.to_owned(), PendingWork { route, work });
    }

    /// Outstanding work with its deadlines, each with its job's route: of owned jobs and of jobs
    /// being accepted.
    pub fn works(&self, now: MonoTime) -> Vec<(&str, DueWork)> {
        let mut works = self.table.works(now);
        let arriving = self.pending_work.iter().filter(|(job, _)| !self.is_owned(job));
        works.extend(arriving.map(|(_, arriving)| (arriving.route.as_str(), arriving.work)));
        works
    }

    /// Counts the tokens of a job that is being accepted against its route's limit, until
    /// [`Self::finish`].
    pub fn reserve(&mut self, job: &str, route: &str, tokens: u64) {
        let reserved = ReservedTokens { route: route.to_owned(), tokens };
        self.reserved.insert(job.to_owned(), reserved);
    }

    /// Stops counting the tokens of a job that is being accepted or taken over.
    pub fn unreserve(&mut self, job: &str) {
        self.reserved.remove(job);
    }

    /// Tokens counted here against a route's limit: of owned jobs and of jobs being accepted.
    pub fn limit_tokens(&self, route: &str) -> u64 {
        let reserved = self.reserved.values().filter(|reserved| reserved.route == route);
        reserved.fold(self.table.waiting_tokens(route), |sum, reserved| {
            sum.saturating_add(reserved.tokens)
        })
    }

    /// Records that a stored job cannot be decoded at `revision`. Returns whether this revision is
    /// new.
    pub fn note_unreadable(&mut self, job: &str, revision: u64) -> bool {
        self.unreadable.insert(job.to_owned(), revision) != Some(revision)
    }

    /// Whether a task is accepting the job or taking it over.
    pub fn is_busy(&self, job: &str) -> bool {
        self.busy.contains(job)
    }

    /// Keeps the progress of a job that a stopping gateway handed over, until the job is taken
    /// over.
    pub fn keep_progress(&mut self, job: &str, items: Vec<HeldProgress>) {
        if let Some(known) = self.handed_over.get_mut(job) {
            // The progress of a job with much output comes in several messages. The first for an item counts.
            known.splice(0..0, items);
        } else if self.handed_over.len() < MAX_HANDED_OVER_JOBS {
            self.handed_over.insert(job.to_owned(), items);
        }
    }

    /// Removes and returns the progress of a job that a stopping gateway handed over.
    pub fn take_progress(&mut self, job: &str) -> Vec<HeldProgress> {
        self.handed_over.remove(job).unwrap_or_default()
    }

    /// Registers a run and returns its number.
    pub fn add_run(&mut self, handle: ItemRunHandle) -> u64 {
        self.next_run += 1;
        self.runs.insert(self.next_run, handle);
        self.next_run
    }

    /// Cancels every run of the job.
    pub fn cancel_runs(&mut self, job: &str) {
        for run in self.runs.values().filter(|run| run.job == job) {
            run.cancel.close();
        }
    }

    /// Cancels the runs of these items of the job.
    pub fn cancel_item_runs(&mut self, job: &str, items: &[usize]) {
        for run in self.runs.values().filter(|run| run.job == job && items.contains(&run.index)) {
            run.cancel.close();
        }
    }

    /// Cancels every run at one instance of a target. Returns how many.
    pub fn cancel_runs_at(&mut self, target: &str) -> usize {
        let mut cancelled = 0;
        for run in self.runs.values().filter(|run| run.target == target) {
            run.cancel.close();
            cancelled += 1;
        }
        cancelled
    }

    /// Stops running and storing a job that another gateway owns. Its results so far are cached for
    /// readers, and the failures of its items are kept, as this gateway may take it over again.
    pub fn give_up_job(&mut self, job: &str, now: MonoTime) {
        self.cancel_runs(job);
        if let Some(owned) = self.table.remove(job) {
            self.kept_failures.keep(job, &owned.failures(), now);
            self.cache.insert_owned(&owned, false);
        }
    }

    /// Moves a job that needs no owner any more to the cache. The result list of a job that was
    /// ended may still grow by a write in flight, so it is cached as incomplete.
    pub fn retire_job(&mut self, job: &str) {
        self.cancel_runs(job);
        if let Some(owned) = self.table.remove(job) {
            let is_whole = owned.results().len() >= owned.spec().items.len();
            self.cache.insert_owned(&owned, is_whole);
        }
    }

    /// Approximate bytes of the jobs held.
    pub fn weight(&self) -> usize {
        self.table.iter().map(|job| job.spec().approx_bytes()).sum()
    }
}
