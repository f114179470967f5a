//! Deletes stored jobs whose retention time is over.
//!
//! Objects in the store do not expire by themselves: without this, each search for jobs without an
//! owner would read every job ever accepted. The gateways that follow the store divide the jobs
//! among themselves.

use std::{sync::Arc, time::Duration};

use async_std::task;
use notch_types::prelude::*;

use crate::{
    batch::{
        failure_records,
        records::{StoredJob, delete_job, read_end},
        stored_jobs::visit_jobs,
        takeover::is_preferred_successor,
    },
    constants::{RETENTION_MARGIN, RETENTION_TICK},
    node::EntryNode,
    store::{call_cause::StoreCallCause, feed::StorePath, reply::StoreFailure, retry::jittered},
};

/// Deletes old jobs until the process ends.
pub async fn delete_old_jobs(node: Arc<EntryNode>) {
    loop {
        task::sleep(jittered(RETENTION_TICK)).await;
        drop_done_jobs(&node);
        if node.watch.is_watching() && !node.stop.is_stopping() {
            // If the store does not answer, the next pass tries again.
            let _ = delete_once(&node).await;
            let _ = delete_old_failures(&node).await;
        }
    }
}

/// Deletes records of failures that no item needs any more: an open job is kept however old it is, and its items are tried
/// until their lifetime is over.
///
/// # Errors
/// The store did not answer.
pub async fn delete_old_failures(node: &EntryNode) -> Result<(), StoreFailure> {
    let Some(routes) = node.routes() else { return Ok(()) };
    let lifetimes = routes.routes().filter_map(|route| route.job_terms.as_ref());
    let longest = lifetimes.map(|terms| terms.item_lifetime).max().unwrap_or_default();
    let kept = retention(node).max(longest + RETENTION_MARGIN);
    failure_records::delete_old(node, kept).await
}

/// How long jobs are kept.
fn retention(node: &EntryNode) -> Duration {
    node.store.settings().result_lifetime + RETENTION_MARGIN
}

fn drop_done_jobs(node: &EntryNode) {
    node.jobs().forget_done(node.clock.mono() - retention(node));
}

/// Deletes the expired jobs for which this gateway is the preferred successor. Returns how many
/// were deleted.
///
/// # Errors
/// The store did not answer.
pub async fn delete_once(node: &EntryNode) -> Result<usize, StoreFailure> {
    let kept = retention(node);
    let mut expired = Vec::new();
    let visit = |job: StoredJob| {
        if is_expired(&job, kept, node.clock.wall()) {
            expired.push(job.without_items());
        }
    };
    visit_jobs(node, StorePath::Direct, StoreCallCause::Retention, visit).await?;
    let mut deleted = 0;
    for job in &expired {
        if !is_preferred_successor(node, &job.id) || node.jobs().is_owned(&job.id) {
            continue;
        }
        // An open job is kept regardless of its age.
        if !job.status.closed && !read_end(&node.store, &job.id, StoreCallCause::Retention).await? {
            continue;
        }
        delete_job(&node.store, job).await?;
        node.log.info("job_deleted", &[("job", &job.id), ("owner", &job.owner())]);
        node.metrics.count(Counter::Event("jobs_deleted"));
        deleted += 1;
    }
    Ok(deleted)
}

fn is_expired(job: &StoredJob, kept: Duration, now: WallTime) -> bool {
    let kept_ms = kept.as_millis() as u64;
    now.0.saturating_sub(job.record.accepted_at_ms) > kept_ms
}
