//! Takes over jobs whose owner died or stopped.

use std::sync::Arc;

use async_std::task;
use notch_messages::prelude::PeerMessage;
use notch_relay::prelude::*;
use notch_types::prelude::*;

use crate::{
    batch::{
        closing::close_completed_job,
        limits,
        records::{StoredJob, fence_results, read_end, read_job, read_spec, take_job},
        stored_jobs::list_jobs,
    },
    constants::{ORPHAN_SEARCH_DELAY, ORPHAN_SEARCH_INTERVAL, PEER_TICK},
    node::EntryNode,
    peers::table::OwnerLiveness,
    store::{call_cause::StoreCallCause, feed::StorePath, reply::StoreFailure},
};

/// Searches for jobs without an owner: once after the start, and whenever an owner is lost.
pub async fn watch_owners(node: Arc<EntryNode>) {
    task::sleep(ORPHAN_SEARCH_DELAY).await;
    let mut next_search = Some(node.clock.mono());
    let mut live = node.peers.live_vms();
    loop {
        let now = node.clock.mono();
        let still = node.peers.live_vms();
        if live.iter().any(|vm| !still.contains(vm)) || has_orphans(&node, now) {
            next_search.get_or_insert(now);
        }
        live = still;
        if next_search.is_some_and(|at| now >= at) && !node.stop.is_stopping() {
            next_search = match take_orphans(&node).await {
                Ok(0) => None,
                // Others are nearer to these, or the store is away: look again.
                Ok(_) | Err(_) => Some(node.clock.mono() + ORPHAN_SEARCH_INTERVAL),
            };
        }
        task::sleep(PEER_TICK).await;
    }
}

/// Whether a job that another gateway told of has lost its owner.
fn has_orphans(node: &EntryNode, now: MonoTime) -> bool {
    let registry = node.jobs();
    let open = registry.owned_elsewhere().filter(|(job, _)| !registry.is_ended(job));
    // A gateway owns many jobs; each owner is asked for once.
    let owners: FastSet<&str> = open.map(|(_, owner)| owner).collect();
    owners.into_iter().any(|owner| node.liveness(owner, now) == OwnerLiveness::Gone)
}

/// Takes over jobs whose owner is gone and for which this gateway comes first among those alive;
/// the number of jobs left to others or to time.
async fn take_orphans(node: &Arc<EntryNode>) -> Result<usize, StoreFailure> {
    let mut left = 0;
    let mut due = Vec::new();
    let asked = node.clock.mono();
    let jobs = list_jobs(node, StorePath::Any, StoreCallCause::OrphanSearch).await?;
    for job in jobs {
        let now = node.clock.mono();
        let owner = job.owner().to_owned();
        node.jobs().note_listed(&job.id, now);
        if job.status.closed {
            node.jobs().note_closed(&job.id, now);
            continue;
        }
        let is_ours = {
            let registry = node.jobs();
            registry.is_ended(&job.id) || registry.is_owned(&job.id) || registry.is_busy(&job.id)
        };
        if is_ours {
            continue;
        }
        match node.liveness(&owner, now) {
            // Ours by the store, and not here: the write that made it so got no answer. Nobody else
            // will take it over.
            OwnerLiveness::Alive if owner == node.owner => {}
            OwnerLiveness::Alive => continue,
            OwnerLiveness::Doubtful => {
                left += 1;
                continue;
            }
            OwnerLiveness::Gone => {}
        }
        if owner != node.owner && !is_preferred_successor(node, &job.id) {
            left += 1;
            continue;
        }
        due.push(job);
    }
    node.peers.note_jobs_listed(asked);
    take_all(node, due).await?;
    Ok(left)
}

/// Takes jobs over. Where their routes have a limit they are counted here before, and no longer at
/// their former owners after: in between they count twice, but never not at all.
async fn take_all(node: &Arc<EntryNode>, jobs: Vec<StoredJob>) -> Result<(), StoreFailure> {
    let with_limit = limited_routes(node);
    let limited = jobs.iter().filter(|job| with_limit.contains(&job.record.route));
    let limited: Vec<(&StoredJob, String)> = limited.map(|job| (job, limit_of(job))).collect();
    for (job, limit) in &limited {
        node.jobs().reserve(&job.id, limit, job.record.limit_tokens);
    }
    let limits = limited.iter().map(|(_, limit)| limit.as_str()).collect();
    let taken = take_covered(node, &jobs, &limits).await;
    limited.iter().for_each(|(job, _)| node.jobs().unreserve(&job.id));
    let mut moved: FastMap<&str, Vec<(String, u64)>> = FastMap::default();
    for (job, limit) in &limited {
        if node.jobs().is_owned(&job.id) {
            let former = (job.owner().to_owned(), job.record.limit_tokens);
            moved.entry(limit).or_default().push(former);
        }
    }
    for (limit, former) in moved {
        limits::release(node, limit, &former).await;
    }
    taken
}

async fn take_covered(
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

/// Name of the limit that counts a job.
fn limit_of(job: &StoredJob) -> String {
    limit_name(&job.record.route, &job.record.account)
}

/// Names of the routes that limit what waits.
fn limited_routes(node: &EntryNode) -> FastSet<String> {
    let Some(table) = node.routes() else { return FastSet::default() };
    let limited = table.routes().filter(|route| route.waiting_limit > 0);
    limited.map(|route| route.name.clone()).collect()
}

/// Whether this gateway comes first for the job among those that take jobs over: so that two don't both
/// read it.
pub fn is_preferred_successor(node: &EntryNode, job: &str) -> bool {
    let own = weight(job, &node.config.node.vm);
    node.peers.successor_vms().iter().all(|vm| weight(job, vm) < own)
}

/// The other gateway that comes first for the job among those that take jobs over.
pub fn preferred_successor(node: &EntryNode, job: &str) -> Option<VmName> {
    node.peers.successor_vms().into_iter().max_by_key(|vm| weight(job, vm))
}

/// Weight of a gateway for a job, the same everywhere.
fn weight(job: &str, vm: &VmName) -> u64 {
    stable_hash64(&[job.as_bytes(), vm.as_str().as_bytes()])
}

/// Takes one job over, unless another task here has it.
///
/// # Errors
/// The store didn't answer: the job may be this gateway's by now, and is taken again later.
pub async fn take_over(node: &Arc<EntryNode>, job: &StoredJob) -> Result<(), StoreFailure> {
    if !node.jobs().begin(&job.id) {
        return Ok(());
    }
    let taken = take_begun(node, job).await;
    node.jobs().finish(&job.id);
    taken
}

async fn take_begun(node: &Arc<EntryNode>, job: &StoredJob) -> Result<(), StoreFailure> {
    let id = &job.id;
    if job.owner() != node.owner && !take_job(&node.store, job, &node.owner).await? {
        return Ok(());
    }
    let spec = Arc::new(read_spec(&node.store, job, StoreCallCause::JobTakenOver).await?);
    let list = fence_results(&node.store, id, &node.owner).await?;
    if read_end(&node.store, id, StoreCallCause::JobTakenOver).await? {
        node.jobs().note_ended(id, node.clock.mono());
        return Ok(());
    }
    // Who took the job over before our fence stood may extend the list before it; whoever does it later
    // finds the fence. So only an answer to a question asked now tells that the list is ours.
    let asked = node.jobs().table.ownership_generation();
    let owner = read_job(&node.store, id, StoreCallCause::JobTakenOver)
        .await?
        .map(|job| job.owner().to_owned());
    if owner.as_deref() != Some(&*node.owner) {
        node.log.warn("job_overtaken", &[("job", id), ("owner", &owner.unwrap_or_default())]);
        return Ok(());
    }
    let listed = list.lines.len();
    let mut owned = OwnedJob::new(spec, list.lines, node.clock.now());
    owned.set_fences(list.fences);
    owned.confirm(asked);
    let is_closed = owned.is_closed();
    {
        let mut registry = node.jobs();
        owned.adopt_progress(registry.take_progress(id));
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
