//! Makes sure that a live gateway owns a job that the store was found to hold.
//!
//! A write that got no answer may be done seconds later, after every search for jobs without an owner, and after its gateway
//! was lost. So whoever tells a client that the job is known must not rely on a search.

use std::sync::Arc;

use async_std::task;
use notch_types::prelude::*;

use crate::{
    batch::{
        records::{StoredJob, read_job},
        takeover::{is_takeover_due, note_loss, take_over_all},
    },
    node::EntryNode,
    store::{call_cause::StoreCallCause, retry::until_answered},
};

/// Makes sure in a separate task that a job has a live owner, unless one is reported, who is watched anyway.
pub fn ensure_owner(node: &Arc<EntryNode>, job: &str) {
    if !is_unwatched(node, job) {
        return;
    }
    let (node, job) = (Arc::clone(node), job.to_owned());
    task::spawn(async move {
        let is_needed = || is_unwatched(&node, &job);
        let reading = || read_job(&node.store, &job, StoreCallCause::JobTakenOver);
        if let Some(Some(stored)) = until_answered(is_needed, reading).await {
            adopt(&node, stored).await;
        }
    });
}

/// Whether no gateway watches over a job: its owner isn't known here.
fn is_unwatched(node: &EntryNode, job: &str) -> bool {
    let registry = node.jobs();
    !registry.is_owned(job) && !registry.is_ended(job) && registry.owner(job).is_none()
}

/// Records the owner of a job that was read from the store, which is then watched, and takes the job over if that owner
/// is gone already.
async fn adopt(node: &Arc<EntryNode>, stored: StoredJob) {
    note_stored_owner(node, &stored);
    if stored.status.closed || !is_takeover_due(node, &stored) {
        return;
    }
    node.log.info("job_without_owner", &[("job", &stored.id), ("owner", &stored.owner())]);
    node.metrics.count(Counter::Event("jobs_without_owner"));
    if take_over_all(node, vec![stored]).await.is_err() {
        note_loss(node);
    }
}

/// Records the owner of a job as the store has it, so that the job is taken over once that owner is gone.
pub fn note_stored_owner(node: &EntryNode, stored: &StoredJob) {
    let mut registry = node.jobs();
    if !stored.status.closed && stored.owner() != node.owner {
        registry.note_orphan(&stored.id, stored.owner());
    }
}
