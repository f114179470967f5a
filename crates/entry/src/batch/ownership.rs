//! Whether a job still is ours.

use std::sync::{Arc, atomic::Ordering};

use async_std::task;
use notch_messages::prelude::PeerMessage;
use notch_relay::prelude::OwnedJob;

use crate::{
    batch::{closing::close_whole_job, limits, records::read_job},
    constants::VERIFY_DELAY,
    node::EntryNode,
    store::{call_cause::StoreCallCause, retry::until_answered},
};

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
    let jobs = node.jobs().board.ids();
    for job in jobs {
        verify(node, &job).await;
    }
}

/// Asks the store who owns a job that we run, and gives it up if it's another gateway.
///
/// A gateway that was out of touch with the others may have lost a job without a word. Two that both
/// run it waste places, and each would tell readers of its own view of the list.
pub async fn verify(node: &Arc<EntryNode>, job: &str) {
    let is_owned = || node.jobs().is_owned(job);
    let reading =
        until_answered(is_owned, || read_job(&node.store, job, StoreCallCause::OwnershipChecked));
    let Some(stored) = reading.await else { return };
    let owner = stored.as_ref().map_or("", |stored| stored.owner());
    if owner != node.owner {
        node.log.warn("job_lost", &[("job", &job), ("owner", &owner)]);
        let mut desk = node.jobs();
        let route = desk.board.get(job).map(|owned| owned.spec().route.clone());
        desk.give_up_job(job);
        desk.note_owner(&[job.to_owned()], owner);
        drop(desk);
        if let Some(route) = route {
            limits::cede(node, &route);
        }
        node.job_news.notify(usize::MAX);
        return;
    }
    if let Some(owned) = node.jobs().board.get_mut(job) {
        owned.confirm();
    }
    node.peers.broadcast(&PeerMessage::JobsOwned(vec![job.to_owned()]));
    let is_closed = node.jobs().board.get(job).is_some_and(OwnedJob::is_closed);
    if is_closed {
        close_whole_job(node, job).await;
    }
    node.runner_wake.notify(usize::MAX);
}
