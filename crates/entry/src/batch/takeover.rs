//! Takes over jobs whose owner failed or stopped.

use std::{sync::Arc, time::Duration};

use async_std::task;
use notch_messages::prelude::{ListedJobs, PeerMessage};
use notch_relay::prelude::*;
use notch_types::prelude::*;

use crate::{
    batch::{
        closing::close_completed_job,
        failure_records, limits, ownership,
        records::{StoredJob, read_end, read_job, read_spec, take_job},
        result_objects::fence_results,
        stored_jobs::visit_jobs,
    },
    constants::{ORPHAN_SEARCH_DELAY, ORPHAN_SEARCH_INTERVAL, PEER_DEAD_AFTER, PEER_TICK},
    node::EntryNode,
    peers::{eviction::OwnEntryCheck, table::OwnerLiveness},
    store::{call_cause::StoreCallCause, feed::StorePath, reply::StoreFailure},
};

/// How long a known orphan may wait for its preferred successor before the store is searched.
const STALE_ORPHAN_TIME: Duration = Duration::from_secs(3);
/// Span before the newest job, by the clocks of the gateways that accepted them, in which clients may submit a job
/// again. Longer than [`CLIENT_RESEND_WINDOW`](crate::constants::CLIENT_RESEND_WINDOW), as clocks differ.
const RECENT_JOB_SPAN: Duration = Duration::from_secs(20);
/// Maximum number of jobs named in the announcement of a search, which makes some 20 KB.
const MAX_LISTED_JOBS: usize = 1_000;
/// Maximum size of the items of jobs that are taken over after one search. The others are left to the next one.
const MAX_DUE_BYTES: usize = 4 << 20;
/// Time that an announcement may take from one gateway to another without a loss of the link.
const LIST_NEWS_MARGIN: Duration = Duration::from_millis(300);

/// Searches for jobs without a live owner: after the start, and whenever an owner is lost.
pub async fn watch_owners(node: Arc<EntryNode>) {
    let mut has_settled = false;
    let mut live: FastSet<VmName> = FastSet::default();
    let mut stale_since = None;
    let mut next_takeover = MonoTime::default();
    loop {
        let now = node.clock.mono();
        if !has_settled && now >= MonoTime::default() + ORPHAN_SEARCH_DELAY {
            // Any search since the start serves.
            has_settled = true;
            node.jobs().search.note_reason(MonoTime::default());
        }
        let still: FastSet<VmName> = node.peers.live_vms().into_iter().collect();
        if !live.is_subset(&still) {
            note_loss(&node);
        }
        live = still;
        if node.peers.needs_contact(now) {
            node.confirmation_wanted.notify(usize::MAX);
        }
        let orphans = known_orphans(&node, now);
        stale_since = stale_since.filter(|_| !orphans.is_empty()).or(Some(now));
        let is_stale = stale_since.is_some_and(|since| now.since(since) >= STALE_ORPHAN_TIME);
        if is_stale && !orphans.is_empty() {
            // Its preferred successor may not know of it.
            note_loss(&node);
            stale_since = None;
        }
        if now >= next_takeover && !node.stop.is_stopping() && may_take_over(&node) {
            // A job that couldn't be read is tried again after the pause.
            let unfinished = node.jobs().unfinished.iter().cloned().collect::<Vec<_>>();
            let known = [orphans, unfinished].concat();
            if take_over_known(&node, &known).await.is_err() {
                next_takeover = now + ORPHAN_SEARCH_INTERVAL;
            }
        }
        search_if_due(&node).await;
        task::sleep(PEER_TICK).await;
    }
}

/// Records that jobs may have lost their owner, or that a gateway has started, which knows of no jobs. The search waits
/// until the owner counts as dead, and until no write of it can be late.
pub fn note_loss(node: &EntryNode) {
    let at = node.clock.mono() + PEER_DEAD_AFTER;
    node.jobs().search.note_reason(at);
}

/// Number of gateways that search the store before this one.
fn search_rank(node: &EntryNode) -> usize {
    let rank = |vm: &VmName| stable_hash64(&[b"search", vm.as_str().as_bytes()]);
    let own = rank(&node.config.node.vm);
    node.peers.successor_vms().iter().filter(|vm| rank(vm) > own).count()
}

async fn search_if_due(node: &Arc<EntryNode>) {
    let began = node.clock.mono();
    // Computed only if a search is due at all, as it looks at every gateway.
    if node.stop.is_stopping() || !may_take_over(node) || !node.jobs().search.is_due(0, began) {
        return;
    }
    let rank = search_rank(node);
    if !node.jobs().search.is_due(rank, began) {
        return;
    }
    // Other gateways are preferred for the jobs left, or the store does not answer: search again.
    let has_left = !matches!(take_over_orphans(node).await, Ok(0));
    node.jobs().search.note_searched(began, has_left, node.clock.mono());
}

/// Whether this gateway's entry is not known to be gone, and was not written again just now.
fn may_take_over(node: &EntryNode) -> bool {
    node.eviction().is_none_or(|eviction| eviction.may_take_over())
}

/// Completes a takeover only if this gateway's entry is in the store after the job was read back. The others may have
/// evicted it; their owners are certain of jobs that they confirmed after that.
async fn check_registration(node: &Arc<EntryNode>, job: &str) -> Result<(), StoreFailure> {
    let Some(eviction) = node.eviction() else { return Ok(()) };
    let check = eviction.check_own_entry("takeover").await?;
    if check == OwnEntryCheck::Lost {
        ownership::suspend_all(node);
    }
    if check == OwnEntryCheck::Found && eviction.may_take_over() {
        return Ok(());
    }
    node.log.warn("takeover_given_up", &[("job", &job)]);
    node.metrics.count(Counter::Event("takeovers_given_up"));
    Err(StoreFailure::NotDone)
}

/// Open jobs reported by other gateways that have lost their owner.
fn known_orphans(node: &EntryNode, now: MonoTime) -> Vec<String> {
    let registry = node.jobs();
    let open = registry.owned_elsewhere().filter(|(job, _)| !registry.is_ended(job));
    let open: Vec<(&str, &str)> = open.collect();
    // A gateway owns many jobs, so its liveness is checked once for all of them.
    let owners: FastSet<&str> = open.iter().map(|(_, owner)| *owner).collect();
    let gone: FastSet<&str> = owners
        .into_iter()
        .filter(|owner| node.liveness(owner, now) == OwnerLiveness::Gone)
        .collect();
    let orphans = open.into_iter().filter(|(_, owner)| gone.contains(owner));
    orphans.map(|(job, _)| job.to_owned()).collect()
}

/// Takes over those of the orphaned jobs for which this gateway is the preferred successor, and those whose takeover here
/// failed halfway.
///
/// # Errors
/// The store did not answer for at least one of them.
async fn take_over_known(node: &Arc<EntryNode>, orphans: &[String]) -> Result<(), StoreFailure> {
    let mut due = Vec::new();
    let mut outcome = Ok(());
    for job in orphans {
        let is_unfinished = node.jobs().unfinished.contains(job);
        if node.jobs().is_busy(job) || !(is_unfinished || is_preferred_successor(node, job)) {
            continue;
        }
        match read_job(&node.store, job, StoreCallCause::JobTakenOver).await {
            Ok(Some(stored)) if is_takeover_due(node, &stored) => due.push(stored),
            Ok(Some(stored)) if stored.status.closed => {
                node.jobs().note_closed(job, node.clock.mono());
            }
            Ok(Some(stored)) => node.jobs().note_owner(std::slice::from_ref(job), stored.owner()),
            Ok(None) => node.jobs().note_closed(job, node.clock.mono()),
            Err(failure) => {
                outcome = Err(failure);
                continue;
            }
        }
        // What is still due is unfinished again if it fails again.
        node.jobs().unfinished.remove(job);
    }
    take_over_all(node, due).await?;
    outcome
}

/// Whether a job of the store is open and its owner gone.
pub(super) fn is_takeover_due(node: &EntryNode, job: &StoredJob) -> bool {
    let now = node.clock.mono();
    let owner = job.owner();
    !job.status.closed && (owner == node.owner || node.liveness(owner, now) == OwnerLiveness::Gone)
}

/// What a search of the store found.
#[derive(Debug, Default)]
struct OrphanSearch {
    /// Number of jobs left to other gateways or to a later search.
    left: usize,
    /// Jobs to be taken over here. Invariant: their items have at most [`MAX_DUE_BYTES`], unless it is one job.
    due: Vec<StoredJob>,
    due_bytes: usize,
    /// Jobs without a live owner that are left to others, with that owner.
    orphans: Vec<(String, String)>,
    /// When each job was accepted, by the clock of the gateway that did, and its id.
    accepted: Vec<(u64, String)>,
}

impl OrphanSearch {
    fn note_job(&mut self, node: &EntryNode, job: StoredJob) {
        let now = node.clock.mono();
        self.accepted.push((job.record.accepted_at_ms, job.id.clone()));
        node.jobs().note_listed(&job.id, now);
        if job.status.closed {
            node.jobs().note_closed(&job.id, now);
            return;
        }
        let is_handled = {
            let registry = node.jobs();
            registry.is_ended(&job.id) || registry.is_owned(&job.id) || registry.is_busy(&job.id)
        };
        if is_handled {
            return;
        }
        let owner = job.owner().to_owned();
        let is_left = match node.liveness(&owner, now) {
            // The store names this gateway as the owner, but the write that made it so got no
            // answer. No other gateway will take the job over.
            OwnerLiveness::Alive if owner == node.owner => false,
            OwnerLiveness::Alive => return,
            OwnerLiveness::Suspect => true,
            OwnerLiveness::Gone => owner != node.owner && !is_preferred_successor(node, &job.id),
        };
        if is_left {
            self.left += 1;
            self.orphans.push((job.id, owner));
            return;
        }
        let bytes = job.record.items.get().len();
        if self.due.is_empty() || self.due_bytes + bytes <= MAX_DUE_BYTES {
            self.due_bytes += bytes;
            self.due.push(job);
        } else {
            self.left += 1;
        }
    }

    /// Ids of the jobs that their clients may still submit again, by the time at which they were
    /// accepted. `None` if they are too many for a message.
    fn recent_jobs(&self) -> Option<Vec<String>> {
        let newest = self.accepted.iter().map(|(at, _)| *at).max().unwrap_or_default();
        let oldest = newest.saturating_sub(RECENT_JOB_SPAN.as_millis() as u64);
        let recent = self.accepted.iter().filter(|(at, _)| *at >= oldest);
        let ids: Vec<String> = recent.map(|(_, id)| id.clone()).collect();
        (ids.len() <= MAX_LISTED_JOBS).then_some(ids)
    }
}

/// Lists the jobs of the store, takes over those whose owner is gone and for which this gateway is
/// the preferred successor, and tells the others what it found. Returns the number of jobs left to
/// other gateways or to a later search.
async fn take_over_orphans(node: &Arc<EntryNode>) -> Result<usize, StoreFailure> {
    let mut search = OrphanSearch::default();
    let asked = node.clock.mono();
    let visit = |job: StoredJob| search.note_job(node, job);
    visit_jobs(node, StorePath::Any, StoreCallCause::OrphanSearch, visit).await?;
    node.peers.note_jobs_listed(asked);
    let recent = search.recent_jobs();
    let OrphanSearch { left, due, orphans, .. } = search;
    let age_ms = node.clock.mono().since(asked).as_millis() as u64;
    node.log.info(
        "jobs_listed",
        &[("orphans", &orphans.len()), ("own", &due.len()), ("age_ms", &age_ms)],
    );
    node.peers.broadcast(&PeerMessage::JobsListed(ListedJobs { age_ms, orphans, recent }));
    take_over_all(node, due).await?;
    Ok(left)
}

/// Handles what another gateway's search of the store found.
pub fn apply_listed(node: &EntryNode, listed: ListedJobs) {
    let now = node.clock.mono();
    // The message itself took some time, so the list is older than its sender knows.
    let asked = now - Duration::from_millis(listed.age_ms) - LIST_NEWS_MARGIN;
    let has_recent = listed.recent.is_some();
    {
        let mut registry = node.jobs();
        registry.search.note_announced(asked);
        for (job, owner) in &listed.orphans {
            registry.note_orphan(job, owner);
        }
        for job in listed.recent.iter().flatten() {
            registry.note_listed(job, now);
        }
    }
    if has_recent {
        node.peers.note_jobs_listed(asked);
    }
}

/// Takes jobs over. On routes with a limit, a job's tokens are counted here before the takeover and
/// released from the former owner after it. In between they count twice, but are never uncounted.
pub(super) async fn take_over_all(
    node: &Arc<EntryNode>,
    jobs: Vec<StoredJob>,
) -> Result<(), StoreFailure> {
    let with_limit = limited_routes(node);
    let limited = jobs.iter().filter(|job| with_limit.contains(&job.record.route));
    let limited: Vec<(&StoredJob, String)> = limited.map(|job| (job, limit_of(job))).collect();
    for (job, limit) in &limited {
        node.jobs().reserve(&job.id, limit, job.record.limit_tokens);
    }
    let limits = limited.iter().map(|(_, limit)| limit.as_str()).collect();
    let taken = take_over_covered(node, &jobs, &limits).await;
    limited.iter().for_each(|(job, _)| node.jobs().unreserve(&job.id));
    let mut moved: FastMap<&str, Vec<(String, u64)>> = FastMap::default();
    for (job, limit) in &limited {
        if node.jobs().is_owned(&job.id) {
            let former = (job.owner().to_owned(), job.record.limit_tokens);
            moved.entry(limit).or_default().push(former);
        }
    }
    for (limit, former) in moved {
        limits::release_taken_over(node, limit, &former).await;
    }
    taken
}

async fn take_over_covered(
    node: &Arc<EntryNode>,
    jobs: &[StoredJob],
    limits: &FastSet<&str>,
) -> Result<(), StoreFailure> {
    for limit in limits {
        limits::cover(node, limit).await?;
    }
    for job in jobs {
        take_over(node, job).await?;
    }
    Ok(())
}

/// Name of the limit against which a job counts.
fn limit_of(job: &StoredJob) -> String {
    limit_name(&job.record.route, &job.record.account)
}

/// Names of the routes that have a limit on waiting tokens.
fn limited_routes(node: &EntryNode) -> FastSet<String> {
    let Some(table) = node.routes() else { return FastSet::default() };
    let limited = table.routes().filter(|route| route.waiting_limit > 0);
    limited.map(|route| route.name.clone()).collect()
}

/// Whether this gateway is the preferred successor for the job among the gateways that may take it
/// over. Prevents two gateways from both reading the job.
pub fn is_preferred_successor(node: &EntryNode, job: &str) -> bool {
    let own = weight(job, &node.config.node.vm);
    node.peers.successor_vms().iter().all(|vm| weight(job, vm) < own)
}

/// The other gateway that is the preferred successor for the job.
pub fn preferred_successor(node: &EntryNode, job: &str) -> Option<VmName> {
    node.peers.successor_vms().into_iter().max_by_key(|vm| weight(job, vm))
}

/// Rendezvous hash weight of a gateway for a job, the same on every gateway.
pub(super) fn weight(job: &str, vm: &VmName) -> u64 {
    stable_hash64(&[job.as_bytes(), vm.as_str().as_bytes()])
}

/// Takes one job over, unless another task here is accepting it or taking it over.
///
/// # Errors
/// The store did not answer. This gateway may own the job by now; the takeover is retried later.
pub async fn take_over(node: &Arc<EntryNode>, job: &StoredJob) -> Result<(), StoreFailure> {
    if !may_take_over(node) {
        return Err(StoreFailure::NotDone);
    }
    if !node.jobs().begin(&job.id) {
        return Ok(());
    }
    let taken = take_over_reserved(node, job).await;
    let mut registry = node.jobs();
    registry.finish(&job.id);
    if taken.is_err() {
        registry.unfinished.insert(job.id.clone());
    }
    drop(registry);
    taken
}

async fn take_over_reserved(node: &Arc<EntryNode>, job: &StoredJob) -> Result<(), StoreFailure> {
    let id = &job.id;
    if job.owner() != node.owner && !take_job(&node.store, job, &node.owner).await? {
        return note_other_owner(node, id).await;
    }
    let spec = Arc::new(read_spec(&node.store, job, StoreCallCause::JobTakenOver).await?);
    let list = fence_results(&node.store, id, &node.owner).await?;
    if read_end(&node.store, id, StoreCallCause::JobTakenOver).await? {
        node.jobs().note_ended(id, node.clock.mono());
        return Ok(());
    }
    // A gateway that took the job over before the fence was written may still extend the list
    // before the fence; one that does so later finds the fence. So only a read that starts after
    // the fence was written proves ownership of the list.
    let asked = node.jobs().table.ownership_generation();
    let stored = read_job(&node.store, id, StoreCallCause::JobTakenOver).await?;
    if stored.as_ref().map(StoredJob::owner) != Some(&*node.owner) {
        note_overtaken(node, id, stored.as_ref());
        return Ok(());
    }
    check_registration(node, id).await?;
    let failures = failure_records::read(node, id).await?;
    let listed = list.lines.len();
    let mut owned = OwnedJob::new(spec, list.lines, node.clock.now());
    owned.set_fences(list.fences);
    owned.confirm(asked);
    let is_closed = owned.is_closed();
    {
        let mut registry = node.jobs();
        owned.adopt_progress(registry.take_progress(id));
        let now = node.clock.mono();
        owned.adopt_failures(&failures, now);
        owned.adopt_failures(&registry.kept_failures.take(id), now);
        if !registry.own_job(owned) {
            return Ok(());
        }
    }
    node.log.info(
        "job_owned",
        &[("job", id), ("listed", &listed), ("cause", &"owner_gone"), ("before", &job.owner())],
    );
    node.metrics.count(Counter::Retried(RetryReason::OwnerMoved));
    node.peers.broadcast(&PeerMessage::JobsOwned(vec![id.clone()]));
    node.runner_wake.notify(usize::MAX);
    if is_closed {
        close_completed_job(node, id).await;
    }
    Ok(())
}

/// Records who owns a job that this gateway couldn't take over, as it had changed: another one may have taken it over
/// with a write that was done late, and be gone by now.
///
/// # Errors
/// The store did not answer, or it names this gateway, by an earlier write.
async fn note_other_owner(node: &EntryNode, job: &str) -> Result<(), StoreFailure> {
    let stored = read_job(&node.store, job, StoreCallCause::JobTakenOver).await?;
    if stored.as_ref().is_some_and(|stored| stored.owner() == node.owner) {
        return Err(StoreFailure::NotDone);
    }
    note_overtaken(node, job, stored.as_ref());
    Ok(())
}

fn note_overtaken(node: &EntryNode, job: &str, stored: Option<&StoredJob>) {
    let owner = stored.map_or("", StoredJob::owner);
    node.log.warn("job_overtaken", &[("job", &job), ("owner", &owner)]);
    if stored.is_some_and(|stored| !stored.status.closed) {
        node.jobs().note_owner(&[job.to_owned()], owner);
    }
}
