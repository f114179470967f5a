//! All that a gateway holds of jobs.

use std::time::Duration;

use async_channel::Sender;
use notch_relay::prelude::*;
use notch_types::prelude::*;

use crate::batch::{job_cache::JobCache, prior_submission::LookupLimiter};

/// Jobs whose progress is kept until they are taken over, at most: a gateway owns a dozen.
const HANDED_JOBS: usize = 256;

/// A job whose storing takes long may come to be stored for so long: its gateway tries until the store answers,
/// and its client gives up within seconds.
const STORING_SPAN: Duration = Duration::from_secs(60);

/// A run of an item that is under way.
#[derive(Debug)]
pub struct ItemRunHandle {
    /// The job.
    pub job: String,
    /// The target it runs at.
    pub target: String,
    /// Since when.
    pub since: MonoTime,
    /// Closed to break it off.
    pub cancel: Sender<()>,
}

/// A job's owner, as another gateway told.
#[derive(Debug)]
struct ToldOwner {
    /// The gateway.
    owner: String,
    /// Since when all results are stored: the owner still answers readers, but nobody needs to take
    /// over.
    closed_at: Option<MonoTime>,
}

/// Tokens of a job that is being taken in.
#[derive(Debug)]
struct ReservedTokens {
    route: String,
    tokens: u64,
}

/// Work of a job that is being taken in.
#[derive(Debug)]
struct ArrivingWork {
    route: String,
    work: DueWork,
}

/// All that a gateway holds of jobs.
#[derive(Debug, Default)]
pub struct JobRegistry {
    /// Jobs that this gateway owns.
    pub table: JobTable,
    /// Results and bodies of jobs for readers.
    pub cache: JobCache,
    /// Runs under way, by number.
    pub runs: FastMap<u64, ItemRunHandle>,
    next_run: u64,
    /// Owners of jobs, as other gateways told.
    owners: FastMap<String, ToldOwner>,
    /// Jobs that were read in the store, and of which nothing was told here; since when that is known.
    listed: FastMap<String, MonoTime>,
    /// Jobs whose end is stored, and since when that is known here.
    ended: FastMap<String, MonoTime>,
    /// What stopping gateways held of their jobs. Invariant: at most [`HANDED_JOBS`] entries.
    handed: FastMap<String, Vec<HeldProgress>>,
    /// Jobs being taken in or over now.
    busy: FastSet<String>,
    /// Jobs about whose owner the store is being asked for readers.
    checking: FastSet<String>,
    /// Stored jobs that can't be read, with the revision that was told last.
    unreadable: FastMap<String, u64>,
    /// Tokens of jobs being taken in, against their routes' limits, by job.
    reserved: FastMap<String, ReservedTokens>,
    /// Jobs whose storing takes long at another gateway, and since when that is known. Invariant: none is older
    /// than [`STORING_SPAN`].
    storing_elsewhere: FastMap<String, MonoTime>,
    /// Looks in the store for jobs that are about to be refused.
    pub lookups: LookupLimiter,
    /// Work of jobs being taken in, by job.
    arriving: FastMap<String, ArrivingWork>,
}

impl JobRegistry {
    /// Whether this gateway owns the job.
    pub fn is_owned(&self, job: &str) -> bool {
        self.table.get(job).is_some()
    }

    /// Whether anything is known of the job.
    pub fn is_known(&self, job: &str) -> bool {
        self.is_owned(job)
            || self.owners.contains_key(job)
            || self.listed.contains_key(job)
            || self.cache.get(job).is_some()
    }

    /// The account that sent the job, if that is known; empty for none.
    pub fn account(&self, job: &str) -> Option<&str> {
        if let Some(owned) = self.table.get(job) {
            return Some(&owned.spec().account);
        }
        self.cache.get(job)?.account.as_deref()
    }

    /// Begins to run a job; false, and nothing begins, when its end is known or it's here already.
    ///
    /// A job that was sent twice is stored twice at the same time while the store is slow. The second
    /// one's outcome may come after the first one was accepted, run and ended.
    pub fn own_job(&mut self, job: OwnedJob) -> bool {
        let id = job.spec().id.clone();
        if self.is_ended(&id) || self.is_owned(&id) {
            return false;
        }
        self.forget_owner(&id);
        self.table.add(job);
        true
    }

    /// Jobs owned here that aren't closed.
    pub fn open_owned(&self) -> Vec<String> {
        let open = self.table.iter().filter(|job| !job.is_closed());
        open.map(|job| job.spec().id.clone()).collect()
    }

    /// The job's owner, if another gateway told.
    pub fn owner(&self, job: &str) -> Option<&str> {
        self.owners.get(job).map(|told| told.owner.as_str())
    }

    /// These jobs have that owner.
    pub fn note_owner(&mut self, jobs: &[String], owner: &str) {
        for job in jobs {
            let told = ToldOwner { owner: owner.to_owned(), closed_at: None };
            self.owners.insert(job.clone(), told);
            self.storing_elsewhere.remove(job);
            self.listed.remove(job);
        }
    }

    /// The store has this job.
    pub fn note_listed(&mut self, job: &str, now: MonoTime) {
        if !self.is_known(job) {
            self.listed.insert(job.to_owned(), now);
        }
    }

    /// Jobs that other gateways own, by owner, as far as they are open.
    pub fn owned_elsewhere(&self) -> impl Iterator<Item = (&str, &str)> {
        let open = self.owners.iter().filter(|(_, told)| told.closed_at.is_none());
        open.map(|(job, told)| (job.as_str(), told.owner.as_str()))
    }

    /// All results of the job are stored: nobody needs to own it any more.
    pub fn note_closed(&mut self, job: &str, now: MonoTime) {
        if let Some(told) = self.owners.get_mut(job) {
            told.closed_at.get_or_insert(now);
        }
        self.handed.remove(job);
    }

    /// Marks a job as ended; false when it was already.
    pub fn note_ended(&mut self, job: &str, now: MonoTime) -> bool {
        self.ended.insert(job.to_owned(), now).is_none()
    }

    /// Forgets jobs that were closed or ended before `before`: nobody asks for them any more. Kept for
    /// good they would take a gateway's memory within weeks.
    pub fn forget_done(&mut self, before: MonoTime) {
        self.ended.retain(|_, since| *since >= before);
        self.listed.retain(|_, since| *since >= before);
        self.owners.retain(|_, told| told.closed_at.is_none_or(|since| since >= before));
    }

    /// Whether the job's end is known.
    pub fn is_ended(&self, job: &str) -> bool {
        self.ended.contains_key(job)
    }

    /// This gateway owns the job now.
    pub fn forget_owner(&mut self, job: &str) {
        self.owners.remove(job);
        self.handed.remove(job);
    }

    /// Claims the question who owns a job; false when it's being asked already.
    pub fn begin_check(&mut self, job: &str) -> bool {
        self.checking.insert(job.to_owned())
    }

    /// The question who owns a job was answered or given up.
    pub fn end_check(&mut self, job: &str) {
        self.checking.remove(job);
    }

    /// Claims the job for one task; false when another one has it.
    pub fn begin(&mut self, job: &str) -> bool {
        self.busy.insert(job.to_owned())
    }

    /// The task is done with the job.
    pub fn finish(&mut self, job: &str) {
        self.busy.remove(job);
        self.reserved.remove(job);
        self.arriving.remove(job);
    }

    /// Another gateway is storing the job, and doesn't know yet what becomes of it.
    pub fn note_storing_elsewhere(&mut self, job: &str, now: MonoTime) {
        self.storing_elsewhere.retain(|_, since| now.since(*since) < STORING_SPAN);
        self.storing_elsewhere.insert(job.to_owned(), now);
    }

    /// Whether another gateway may be storing the job.
    pub fn may_be_stored_elsewhere(&self, job: &str) -> bool {
        self.storing_elsewhere.contains_key(job)
    }

    /// Counts the work of a job that is being taken in, until the task is done.
    pub fn note_arriving(&mut self, job: &str, route: &str, work: DueWork) {
        let route = route.to_owned();
        self.arriving.insert(job.to_owned(), ArrivingWork { route, work });
    }

    /// What waits here to be done in time, of jobs owned and of those being taken in, with each job's route.
    pub fn works(&self, now: MonoTime) -> Vec<(&str, DueWork)> {
        let mut works = self.table.works(now);
        let arriving = self.arriving.iter().filter(|(job, _)| !self.is_owned(job));
        works.extend(arriving.map(|(_, arriving)| (arriving.route.as_str(), arriving.work)));
        works
    }

    /// Counts a job that is being taken in against its route's limit, until the task is done.
    pub fn reserve(&mut self, job: &str, route: &str, tokens: u64) {
        let reserved = ReservedTokens { route: route.to_owned(), tokens };
        self.reserved.insert(job.to_owned(), reserved);
    }

    /// A job counts no longer as one that is being taken in or over.
    pub fn unreserve(&mut self, job: &str) {
        self.reserved.remove(job);
    }

    /// Tokens here that count against a route's limit: of jobs owned and of those being taken in.
    pub fn limit_tokens(&self, route: &str) -> u64 {
        let reserved = self.reserved.values().filter(|reserved| reserved.route == route);
        reserved.fold(self.table.waiting_tokens(route), |sum, reserved| {
            sum.saturating_add(reserved.tokens)
        })
    }

    /// A stored job can't be read as it is at `revision`; whether that is news.
    pub fn note_unreadable(&mut self, job: &str, revision: u64) -> bool {
        self.unreadable.insert(job.to_owned(), revision) != Some(revision)
    }

    /// Whether a task takes the job in or over now.
    pub fn is_busy(&self, job: &str) -> bool {
        self.busy.contains(job)
    }

    /// Keeps what a stopping gateway held of a job, until somebody takes the job over.
    pub fn keep_progress(&mut self, job: &str, items: Vec<HeldProgress>) {
        if self.handed.len() < HANDED_JOBS {
            self.handed.insert(job.to_owned(), items);
        }
    }

    /// What a stopping gateway held of a job.
    pub fn take_progress(&mut self, job: &str) -> Vec<HeldProgress> {
        self.handed.remove(job).unwrap_or_default()
    }

    /// Counts a run; its number.
    pub fn add_run(&mut self, handle: ItemRunHandle) -> u64 {
        self.next_run += 1;
        self.runs.insert(self.next_run, handle);
        self.next_run
    }

    /// Breaks off every run of the job.
    pub fn cancel_runs(&mut self, job: &str) {
        for run in self.runs.values().filter(|run| run.job == job) {
            run.cancel.close();
        }
    }

    /// Breaks off every run at one start of a target; how many.
    pub fn cancel_runs_at(&mut self, target: &str) -> usize {
        let mut cancelled = 0;
        for run in self.runs.values().filter(|run| run.target == target) {
            run.cancel.close();
            cancelled += 1;
        }
        cancelled
    }

    /// Another gateway owns the job: nothing of it runs or is stored here any more. Its results so
    /// far stay for readers.
    pub fn give_up_job(&mut self, job: &str) {
        self.cancel_runs(job);
        if let Some(owned) = self.table.remove(job) {
            self.cache.take_owned(&owned, false);
        }
    }

    /// Moves a job that needs no owner any more to the copies for readers. The list of one that was
    /// ended may still grow by a write that is under way.
    pub fn retire_job(&mut self, job: &str) {
        self.cancel_runs(job);
        if let Some(owned) = self.table.remove(job) {
            let is_whole = owned.results().len() >= owned.spec().items.len();
            self.cache.take_owned(&owned, is_whole);
        }
    }

    /// Bytes of jobs held, about.
    pub fn weight(&self) -> usize {
        self.table.iter().map(|job| job.spec().approx_bytes()).sum()
    }
}
