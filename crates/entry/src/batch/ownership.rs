//! Whether a job still is ours.
//!
//! Belief of ownership ages: another gateway may take a job over whenever it hears nothing of this one.
//! Each event after which that may have happened is a doubt with a number; this gateway is sure of a job
//! only by an answer to a question asked after the last doubt, and while it hears every other gateway.

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

/// Whether the list of a job owned here surely has nothing beyond what is known here.
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

/// Any job that we own may have been taken over: a link came back, or a gateway wasn't heard for long.
///
/// Which are still ours is asked when a reader needs it. Only where it was rather this gateway that nobody
/// heard, all are checked at once, for it may be running what others run, too.
pub fn doubt_all(node: &Arc<EntryNode>, cause: &'static str, silence: PeerSilence) {
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

/// This job may have been taken over: the store is asked at once.
pub fn doubt(node: &Arc<EntryNode>, job: &str, cause: &'static str) {
    node.jobs().table.invalidate_ownership(job);
    node.log.info("ownership_doubted", &[("job", &job), ("cause", &cause)]);
    let (node, job) = (Arc::clone(node), job.to_owned());
    task::spawn(async move { verify(&node, &job).await });
}

/// Asks the store who owns a job, beside whatever goes on, unless that is being asked already.
pub fn check_soon(node: &Arc<EntryNode>, job: &str) {
    if !node.jobs().begin_check(job) {
        return;
    }
    let (node, job) = (Arc::clone(node), job.to_owned());
    task::spawn(async move {
        // A store that doesn't answer leaves the doubt.
        let _ = check(&node, &job).await;
        node.jobs().end_check(&job);
    });
}

/// Whether an answer of the store would end the doubt about a job: not while some gateway isn't heard, for
/// it would be good for that moment only.
pub fn can_confirm(node: &EntryNode, job: &str) -> bool {
    let is_confirmed = node.jobs().table.get(job).is_none_or(OwnedJob::is_confirmed);
    !is_confirmed && is_in_touch(node, node.clock.mono())
}

/// Whether no other gateway can have taken a job over that this one was confirmed to own.
fn is_in_touch(node: &EntryNode, now: MonoTime) -> bool {
    node.peers.has_fresh_entries(now) && node.peers.hears_all_peers(now)
}

/// Checks every job that we run, once for all calls that come together.
///
/// A gateway that stood still, or was cut off, may have lost jobs to others that have ended them by
/// now: they don't speak of them any more, and it would go on telling readers of its own list.
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

/// Asks the store who owns a job that we run, for as long as it takes, and tells the others if we do.
///
/// A gateway that was out of touch with the others may have lost a job without a word. Two that both
/// run it waste places, and each would tell readers of its own view of the list.
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

/// Asks the store once who owns a job that we run, and gives it up if it's another gateway; whether it's
/// ours.
///
/// # Errors
/// The store didn't answer.
pub async fn check(node: &EntryNode, job: &str) -> Result<bool, StoreFailure> {
    // Read before the question goes out: what is doubted meanwhile stays in doubt.
    let asked = node.jobs().table.ownership_generation();
    let stored = read_job(&node.store, job, StoreCallCause::OwnershipChecked).await?;
    let owner = stored.as_ref().map_or("", |stored| stored.owner());
    let is_ours = owner == node.owner;
    if is_ours {
        if let Some(owned) = node.jobs().table.get_mut(job) {
            owned.confirm(asked);
        }
    } else {
        yield_job(node, job, owner);
    }
    Ok(is_ours)
}

fn yield_job(node: &EntryNode, job: &str, owner: &str) {
    node.log.warn("job_lost", &[("job", &job), ("owner", &owner)]);
    let mut registry = node.jobs();
    let limit = registry.table.get(job).map(|owned| owned.spec().limit_name());
    registry.give_up_job(job);
    registry.note_owner(&[job.to_owned()], owner);
    drop(registry);
    if let Some(limit) = limit {
        limits::cede(node, &limit);
    }
    node.job_updates.notify(usize::MAX);
}
