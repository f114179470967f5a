//! Checks whether this gateway still owns its jobs.
//!
//! Ownership can be lost without notice: another gateway may take a job over whenever it does not
//! hear from this one. Each event after which that may have happened invalidates ownership and
//! advances a generation number. Ownership is certain only if the store confirmed it by a read that
//! started after the last such event, and while this gateway hears from every other one.

use std::sync::{Arc, atomic::Ordering};

use async_std::task;
use notch_messages::prelude::PeerMessage;
use notch_relay::prelude::OwnedJob;
use notch_types::prelude::{Counter, MonoTime};

use crate::{
    batch::{closing::close_completed_job, limits, records::read_job},
    constants::{VERIFY_DELAY, WRITE_CONFIRM_TIMEOUT},
    node::EntryNode,
    peers::table::PeerSilence,
    store::{call_cause::StoreCallCause, reply::StoreFailure, retry::until_answered},
};

/// Whether the result list known here of an owned job is certainly complete up to now.
pub fn is_sure(node: &EntryNode, job: &str) -> bool {
    let now = node.clock.mono();
    if !is_in_touch(node, now) {
        return false;
    }
    let registry = node.jobs();
    let is_sure =
        |job: &OwnedJob| job.is_confirmed() && !job.is_storing_since(now - WRITE_CONFIRM_TIMEOUT);
    registry.table.get(job).is_some_and(is_sure)
}

/// Invalidates the ownership of all jobs, as any may have been taken over: a link came back, or a
/// gateway was silent for long.
///
/// The store is asked about a job when a reader needs it. Only if this gateway itself was cut off
/// from most others are all jobs checked at once, as it may be running items that other gateways
/// run too.
pub fn invalidate_all(node: &Arc<EntryNode>, cause: &'static str, silence: PeerSilence) {
    let mut registry = node.jobs();
    registry.table.invalidate_all_ownership();
    let jobs = registry.open_owned().len();
    drop(registry);
    if silence == PeerSilence::Majority {
        let node = Arc::clone(node);
        task::spawn(async move { verify_all(&node).await });
    }
    if jobs > 0 {
        node.log.info("ownership_doubted", &[("jobs", &jobs), ("cause", &cause)]);
        node.metrics.count(Counter::Event("ownership_doubts"));
    }
}

/// Invalidates the ownership of one job, and checks it in the store at once.
pub fn invalidate(node: &Arc<EntryNode>, job: &str, cause: &'static str) {
    node.jobs().table.invalidate_ownership(job);
    node.log.info("ownership_doubted", &[("job", &job), ("cause", &cause)]);
    let (node, job) = (Arc::clone(node), job.to_owned());
    task::spawn(async move { verify(&node, &job).await });
}

/// Checks in a separate task who owns a job, unless such a check is in progress.
pub fn check_soon(node: &Arc<EntryNode>, job: &str) {
    if !node.jobs().begin_check(job) {
        return;
    }
    let (node, job) = (Arc::clone(node), job.to_owned());
    task::spawn(async move {
        // If the store does not answer, ownership stays unconfirmed.
        let _ = check(&node, &job).await;
        node.jobs().end_check(&job);
    });
}

/// Whether an answer by the store would confirm the ownership of a job. While some gateway is
/// silent it would hold only for that moment.
pub fn can_confirm(node: &EntryNode, job: &str) -> bool {
    let is_confirmed = node.jobs().table.get(job).is_none_or(OwnedJob::is_confirmed);
    !is_confirmed && is_in_touch(node, node.clock.mono())
}

/// Whether no other gateway can have taken over a job whose ownership was confirmed.
fn is_in_touch(node: &EntryNode, now: MonoTime) -> bool {
    node.peers.has_fresh_entries(now)
        && node.peers.hears_all_peers(now)
        && node.eviction().is_none_or(|eviction| eviction.may_be_certain())
}

/// Stores nothing of any job until the store has confirmed that it is still owned here, and asks for that: this
/// gateway's entry was found gone, so the others took its jobs over.
pub fn suspend_all(node: &Arc<EntryNode>) {
    node.jobs().table.suspend_all();
    let node = Arc::clone(node);
    task::spawn(async move { verify_all(&node).await });
}

/// Checks the ownership of every job here, once for all calls within a short delay.
///
/// A gateway that was suspended or cut off may have lost jobs to others that have ended them by
/// now. Those no longer announce the jobs, so without this check it would keep answering readers
/// from its own outdated list.
pub async fn verify_all(node: &Arc<EntryNode>) {
    if node.is_verifying.swap(true, Ordering::AcqRel) {
        return;
    }
    task::sleep(VERIFY_DELAY).await;
    node.is_verifying.store(false, Ordering::Release);
    let jobs = node.jobs().table.ids();
    for job in jobs {
        verify(node, &job).await;
    }
}

/// Checks the ownership of a job in the store, retrying until it answers, and announces the job to
/// the other gateways if it is still owned here.
///
/// A gateway that was cut off may have lost a job without notice. Two gateways that both run it
/// waste slots, and each would answer readers from its own list.
pub async fn verify(node: &Arc<EntryNode>, job: &str) {
    let is_owned = || node.jobs().is_owned(job);
    let checking = until_answered(is_owned, || check(node, job));
    if checking.await != Some(true) {
        return;
    }
    node.peers.broadcast(&PeerMessage::JobsOwned(vec![job.to_owned()]));
    let is_closed = node.jobs().table.get(job).is_some_and(OwnedJob::is_closed);
    if is_closed {
        close_completed_job(node, job).await;
    }
    node.runner_wake.notify(usize::MAX);
}

/// Asks the store once who owns a job, and gives the job up if another gateway does. Returns
/// whether this gateway owns it.
///
/// # Errors
/// The store did not answer.
pub async fn check(node: &EntryNode, job: &str) -> Result<bool, StoreFailure> {
    // Read before the call, so that an invalidation during the call stays in force.
    let asked = node.jobs().table.ownership_generation();
    let stored = read_job(&node.store, job, StoreCallCause::OwnershipChecked).await?;
    let owner = stored.as_ref().map_or("", |stored| stored.owner());
    let is_owner = owner == node.owner;
    if is_owner {
        if let Some(owned) = node.jobs().table.get_mut(job) {
            owned.confirm(asked);
        }
    } else {
        relinquish_job(node, job, owner);
    }
    Ok(is_owner)
}

fn relinquish_job(node: &EntryNode, job: &str, owner: &str) {
    node.log.warn("job_lost", &[("job", &job), ("owner", &owner)]);
    let mut registry = node.jobs();
    let limit = registry.table.get(job).map(|owned| owned.spec().limit_name());
    registry.give_up_job(job, node.clock.mono());
    registry.note_owner(&[job.to_owned()], owner);
    drop(registry);
    if let Some(limit) = limit {
        limits::release_unused(node, &limit);
    }
    node.job_updates.notify(usize::MAX);
}
