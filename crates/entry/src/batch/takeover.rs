//! Takes over jobs whose owner failed or stopped.

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

/// Searches for jobs without a live owner: once after the start, and whenever an owner is lost.
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
            next_search = match take_over_orphans(&node).await {
                Ok(0) => None,
                // Other gateways are preferred for these jobs, or the store does not answer: search
                // again.
                Ok(_) | Err(_) => Some(node.clock.mono() + ORPHAN_SEARCH_INTERVAL),
            };
        }
        task::sleep(PEER_TICK).await;
    }
}

/// Whether any job reported by another gateway has lost its owner.
fn has_orphans(node: &EntryNode, now: MonoTime) -> bool {
    let registry = node.jobs();
    let open = registry.owned_elsewhere().filter(|(job, _)| !registry.is_ended(job));
    // A gateway owns many jobs, so its liveness is checked once for all of them.
    let owners: FastSet<&str> = open.map(|(_, owner)| owner).collect();
    owners.into_iter().any(|owner| node.liveness(owner, now) == OwnerLiveness::Gone)
}

/// Takes over jobs whose owner is gone and for which this gateway is the preferred successor.
/// Returns the number of jobs left to other gateways or to a later search.
async fn take_over_orphans(node: &Arc<EntryNode>) -> Result<usize, StoreFailure> {
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
        let is_handled = {
            let registry = node.jobs();
            registry.is_ended(&job.id) || registry.is_owned(&job.id) || registry.is_busy(&job.id)
        };
        if is_handled {
            continue;
        }
        match node.liveness(&owner, now) {
            // The store names this gateway as the owner, but the write that made it so got no
            // answer. No other gateway will take the job over.
            OwnerLiveness::Alive if owner == node.owner => {}
            OwnerLiveness::Alive => continue,
            OwnerLiveness::Suspect => {
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
    take_over_all(node, due).await?;
    Ok(left)
}

/// Takes jobs over. On routes with a limit, a job's tokens are counted here before the takeover and
/// released from the former owner after it. In between they count twice, but are never uncounted.
async fn take_over_all(node: &Arc<EntryNode>, jobs: Vec<StoredJob>) -> Result<(), StoreFailure> {
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
fn weight(job: &str, vm: &VmName) -> u64 {
    stable_hash64(&[job.as_bytes(), vm.as_str().as_bytes()])
}

/// Takes one job over, unless another task here is accepting it or taking it over.
///
/// # Errors
/// The store did not answer. This gateway may own the job by now; the takeover is retried later.
pub async fn take_over(node: &Arc<EntryNode>, job: &StoredJob) -> Result<(), StoreFailure> {
    if !node.jobs().begin(&job.id) {
        return Ok(());
    }
    let taken = take_over_reserved(node, job).await;
    node.jobs().finish(&job.id);
    taken
}

async fn take_over_reserved(node: &Arc<EntryNode>, job: &StoredJob) -> Result<(), StoreFailure> {
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
    // A gateway that took the job over before the fence was written may still extend the list
    // before the fence; one that does so later finds the fence. So only a read that starts after
    // the fence was written proves ownership of the list.
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
