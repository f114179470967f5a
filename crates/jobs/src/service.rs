//! A shard owner's behaviour.

mod cancel;
mod claims;
pub mod effect;
pub mod event;
mod housekeeping;
mod leases;
mod outbox;
mod outcomes;
mod ownership;
mod pages;
mod pull;
mod reads;
mod results;
mod returns;
mod settlement;
mod submit;
mod waiting;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use notch_messages::prelude::*;
use notch_types::prelude::*;

use crate::{
    chunk::ChunkCache,
    dispatch::{job_queue::JobQueue, lot_table::LotTable, target_share::TargetShare},
    policy::{JobPolicy, TargetPolicy},
    record::LedgerRecord,
    service::{
        cancel::CancelPush, effect::ServiceEffect, event::ServiceEvent, outbox::Outbox,
        pages::PageCall, reads::ReadTable, settlement::SettlementTable, submit::SubmitCall,
        waiting::PullCall,
    },
    settings::JobSettings,
    state::ShardState,
};

type Effects = Vec<ServiceEffect>;

/// One shard's service on one gateway, owner or not. Only an owner acts.
#[derive(Debug)]
pub struct ShardService {
    shard: ShardId,
    settings: JobSettings,
    state: ShardState,
    policy: JobPolicy,
    /// Online's share by target; one entry a target of the catalogue.
    reserves: BTreeMap<TargetName, f64>,
    /// Parsed chunks; survive a change of owner, since chunk objects never change.
    chunks: ChunkCache,
    reads: ReadTable,
    outbox: Outbox,
    /// What only an owner holds; `None` on any other node.
    owner: Option<Box<OwnerTerm>>,
    /// Jobs whose submission may or may not be in the ledger; cleared by a new term, which
    /// reads the truth. A bounded set would forget; this one holds at most the submissions
    /// that were open when a term ended.
    doubtful: BTreeSet<JobId>,
    /// Whether the last snapshot could not be read; no term starts on it.
    unreadable: bool,
}

/// One term of ownership: everything that is lost with it.
#[derive(Debug)]
struct OwnerTerm {
    epoch: Epoch,
    since: MonoTime,
    /// One queue a running job.
    queues: BTreeMap<JobId, JobQueue>,
    lots: LotTable,
    /// One share a target with running jobs.
    shares: BTreeMap<TargetName, TargetShare>,
    /// Calls that wait for results' commits.
    settlements: SettlementTable,
    /// Callers that wait for a job's acceptance.
    submits: BTreeMap<JobId, Vec<SubmitCall>>,
    /// Callers that wait for a job's cancellation.
    cancels: BTreeMap<JobId, Vec<(VmName, CallId)>>,
    /// Cancellations that sidecars have not acknowledged.
    pushes: BTreeMap<JobId, CancelPush>,
    /// Claimed items of lapsed lots, with the time when they end as unknown.
    unsure: BTreeSet<(MonoTime, JobId, u32)>,
    /// Pulls that wait for a chunk; bounded by `max_parked`.
    pulls: Vec<PullCall>,
    /// Pages that wait for chunks and records; bounded by `max_parked`.
    pages: Vec<PageCall>,
    /// Jobs whose expiry is on its way.
    expiring: BTreeSet<JobId>,
    /// Whether an expiry of requests is on its way.
    requests_expiring: bool,
    next_backlog: MonoTime,
    next_expiry: MonoTime,
}

impl OwnerTerm {
    fn new(now: Now, epoch: Epoch) -> Self {
        Self {
            epoch,
            since: now.mono,
            queues: BTreeMap::new(),
            lots: LotTable::default(),
            shares: BTreeMap::new(),
            settlements: SettlementTable::default(),
            submits: BTreeMap::new(),
            cancels: BTreeMap::new(),
            pushes: BTreeMap::new(),
            unsure: BTreeSet::new(),
            pulls: Vec::new(),
            pages: Vec::new(),
            expiring: BTreeSet::new(),
            requests_expiring: false,
            next_backlog: now.mono,
            next_expiry: now.mono,
        }
    }
}

impl ShardService {
    /// A service that owns nothing and has applied nothing.
    pub fn new(shard: ShardId, settings: JobSettings) -> Self {
        let chunks = ChunkCache::new(settings.chunk_cache_bytes);
        Self {
            shard,
            settings,
            state: ShardState::default(),
            policy: JobPolicy::default(),
            reserves: BTreeMap::new(),
            chunks,
            reads: ReadTable::default(),
            outbox: Outbox::default(),
            owner: None,
            doubtful: BTreeSet::new(),
            unreadable: false,
        }
    }

    /// Decides what follows from `event`.
    pub fn handle(&mut self, now: Now, event: ServiceEvent, effects: &mut Vec<ServiceEffect>) {
        match event {
            ServiceEvent::Asked { from, call, request } => {
                self.asked(now, from, call, request, effects);
            }
            ServiceEvent::Apply { seq, record } => self.apply(now, seq, &record, effects),
            ServiceEvent::Restore { state } => self.restore(&state, effects),
            ServiceEvent::Owned { epoch } => self.start_term(now, epoch, effects),
            ServiceEvent::Lost { .. } => self.end_term(effects),
            ServiceEvent::Committed { ticket, first_seq } => {
                let count = self.outbox.record_count(ticket);
                self.outbox.commit(ticket, first_seq, count);
                self.finish_applied(now, effects);
            }
            ServiceEvent::Rejected { ticket, kind } => self.rejected(now, ticket, kind, effects),
            ServiceEvent::SnapshotWanted => self.give_snapshot(effects),
            ServiceEvent::ObjectRead { key, result } => {
                self.object_read(now, &key, result, effects);
            }
            ServiceEvent::RecordsRead { read, result } => {
                self.records_read(now, read, result, effects);
            }
            ServiceEvent::Policy(policy) => self.policy = policy,
            ServiceEvent::OnlineReserve { target, share } => {
                self.reserves.insert(target, share);
            }
            ServiceEvent::Tick => self.tick(now, effects),
        }
        if self.owner.is_some() {
            self.outbox.flush(now.mono, effects);
        }
    }

    /// The state the records add up to.
    pub fn state(&self) -> &ShardState {
        &self.state
    }

    /// The epoch owned.
    pub fn epoch(&self) -> Option<Epoch> {
        self.owner.as_ref().map(|term| term.epoch)
    }

    /// Those of `keys` that no job names, neither an accepted one nor one whose acceptance is
    /// on its way.
    pub fn unused_chunks(&self, keys: &[String]) -> Vec<String> {
        let mut used: BTreeSet<&str> = self.state.chunk_keys().collect();
        if let Some(term) = &self.owner {
            used.extend(term.submits.values().flatten().flat_map(SubmitCall::chunk_keys));
        }
        keys.iter().filter(|key| !used.contains(key.as_str())).cloned().collect()
    }

    fn asked(
        &mut self,
        now: Now,
        from: VmName,
        call: CallId,
        request: ShardRequest,
        effects: &mut Effects,
    ) {
        if self.owner.is_none() {
            answer(effects, &from, call, ShardAnswer::NotOwner { owner: None });
            return;
        }
        match request {
            ShardRequest::SubmitJob(submission) => {
                self.submit(now, from, call, submission, effects);
            }
            ShardRequest::CancelJob { job, account } => {
                self.cancel(now, from, call, job, &account, effects);
            }
            ShardRequest::JobStatus { job, account } => {
                let status = self.status(job, &account);
                answer(effects, &from, call, status);
            }
            ShardRequest::JobResults { job, account, from: first, limit } => {
                let page = pages::PageQuery { job, first, limit };
                self.results_page(now, from, call, &account, page, effects);
            }
            ShardRequest::Pull(pull) => {
                let pull = PullCall { from, call, pull, since: now.mono };
                self.pull(now, pull, effects);
            }
            ShardRequest::ItemsDone(results) => {
                self.items_done(now, from, call, results, effects);
            }
            ShardRequest::ItemsReturned(returns) => {
                self.items_returned(now, from, call, returns, effects);
            }
            request @ (ShardRequest::Claim { .. }
            | ShardRequest::ReleaseClaim { .. }
            | ShardRequest::StoreAnswer { .. }
            | ShardRequest::FetchAnswer { .. }
            | ShardRequest::RecordQuarantine { .. }) => {
                let asked = waiting::AskedCall { from, call, request };
                self.keyed_request(now, asked, effects);
            }
        }
    }

    fn status(&self, job: JobId, account: &AccountName) -> ShardAnswer {
        match self.job_of(job, account) {
            Some(_) => self.progress_answer(job),
            None => not_found(),
        }
    }

    /// A job of this account.
    fn job_of(
        &self,
        job: JobId,
        account: &AccountName,
    ) -> Option<&crate::state::job_state::JobState> {
        self.state.job(job).filter(|job| job.accepted().account == *account)
    }

    fn progress(&self, job: JobId) -> Option<JobProgress> {
        let leased = self.owner.as_ref().and_then(|term| term.queues.get(&job));
        let leased = leased.map_or(0, JobQueue::leased);
        self.state.job(job).map(|job| job.progress(leased))
    }

    fn progress_answer(&self, job: JobId) -> ShardAnswer {
        self.progress(job).map_or_else(not_found, ShardAnswer::Job)
    }

    fn store_is_down(&self, now: Now) -> bool {
        self.outbox.is_down(now.mono, self.settings.append_patience)
    }

    fn store_retry_ms(&self) -> u64 {
        millis(self.settings.store_retry)
    }

    fn target_policy(&self, target: &TargetName) -> TargetPolicy {
        let default = TargetPolicy { lot_items: self.settings.lot_items, ..Default::default() };
        self.policy.targets.get(target).cloned().unwrap_or(default)
    }

    /// The floor's share of a target: the policy's, outside of online's reserve.
    fn floor_share(&self, target: &TargetName, policy: &TargetPolicy) -> f64 {
        let reserve = self.reserves.get(target).copied().unwrap_or(0.0);
        policy.floor_share.min(1.0 - reserve).clamp(0.0, 1.0)
    }

    fn apply(&mut self, now: Now, seq: u64, bytes: &[u8], effects: &mut Effects) {
        match LedgerRecord::decode(bytes) {
            Ok(record) => {
                let changed = self.state.apply(seq, &record);
                self.after_apply(now, &record, changed, effects);
            }
            // A record of a later version, or a broken one: what it says is lost to this node,
            // seen by the counter. Passing over it keeps every other record readable.
            Err(_) => {
                self.state.skip(seq);
                count(effects, Counter::Dropped(DropReason::Undecodable));
            }
        }
        self.finish_applied(now, effects);
    }

    fn give_snapshot(&self, effects: &mut Effects) {
        effects.push(ServiceEffect::SnapshotReady {
            state: self.state.snapshot(),
            upto: self.state.upto(),
            needed: self.state.needed_ranges(),
            live_chunks: self.state.live_chunks(),
        });
    }
}

fn answer(effects: &mut Effects, to: &VmName, call: CallId, answer: ShardAnswer) {
    if let ShardAnswer::Refused(refusal) = &answer {
        count(effects, Counter::Refused(refusal.reason));
    }
    effects.push(ServiceEffect::Answer { to: to.clone(), call, answer });
}

fn count(effects: &mut Effects, counter: Counter) {
    effects.push(ServiceEffect::Count(counter));
}

fn note(effects: &mut Effects, job: JobId, code: &'static str, detail: String) {
    effects.push(ServiceEffect::Note(DecisionNote::new(NoteSubject::Job(job), code, detail)));
}

fn not_found() -> ShardAnswer {
    let detail = "no such job of this account, or its retention is over";
    ShardAnswer::Refused(Refusal::not_run(RefusalReason::NotFound, detail))
}

fn millis(span: Duration) -> u64 {
    span.as_millis() as u64
}
