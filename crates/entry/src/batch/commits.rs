//! Stores the results of jobs.

use std::sync::Arc;

use notch_relay::prelude::*;
use notch_telemetry::prelude::*;
use notch_types::prelude::*;

use crate::{
    batch::{
        closing::close_completed_job,
        ownership,
        result_objects::{ChunkOutcome, PlacedResults, store_results},
    },
    node::EntryNode,
    store::retry::{RetryEnd, until_settled},
};

/// A position in a job's stored result list.
#[derive(Debug, Clone, Copy)]
pub struct ListPlace {
    /// Number of results before it.
    pub position: usize,
    /// Number of fences before it, at that position.
    pub fences: u32,
}

/// Stores results at a position, retrying until the store answers. A write without an answer may
/// still take effect, so only the same results may be retried there.
pub async fn store(node: Arc<EntryNode>, job: String, place: ListPlace, pending: PendingWrite) {
    let ListPlace { position, fences } = place;
    let PendingWrite { lines, bytes } = pending;
    let began = node.clock.mono();
    let is_owned = || node.jobs().is_owned(&job);
    let placed = PlacedResults { job: &job, position, fences, lines: &lines };
    let write = || store_results(&node.store, &node.owner, placed, bytes);
    let outcome = match until_settled(is_owned, write).await {
        RetryEnd::Answered(outcome) => outcome,
        RetryEnd::Refused => return apply_refused(&node, &job, position, bytes),
        RetryEnd::NotNeeded => return,
    };
    let now = node.clock.mono();
    node.metrics.observe(Timing::LedgerCommit, now.since(began));
    match outcome {
        ChunkOutcome::Stored => {
            node.log.info(
                "results_stored",
                &[
                    ("job", &job),
                    ("position", &position),
                    ("count", &lines.len()),
                    ("ms", &now.since(began).as_millis()),
                ],
            );
            apply_stored(&node, &job, now).await;
        }
        ChunkOutcome::Displaced { writer, lines } => {
            node.log.warn(
                "results_displaced",
                &[("job", &job), ("position", &position), ("writer", &writer)],
            );
            node.metrics.count(Counter::Dropped(DropReason::DuplicateResult));
            apply_displaced(&node, &job, lines, now).await;
        }
    }
}

/// Handles results that the store refuses for good: they are written in another form by the next pass.
fn apply_refused(node: &EntryNode, job: &str, position: usize, bytes: usize) {
    let given_up = {
        let mut registry = node.jobs();
        let Some(owned) = registry.table.get_mut(job) else { return };
        owned.refused(bytes, node.clock.mono())
    };
    let item = given_up.as_deref().unwrap_or("-");
    node.log.error(
        "results_refused",
        &[("job", &job), ("position", &position), ("bytes", &bytes), ("given_up", &item)],
    );
    node.metrics.count(Counter::Event("results_refused"));
    node.runner_wake.notify(usize::MAX);
}

async fn apply_stored(node: &Arc<EntryNode>, job: &str, now: MonoTime) {
    let is_closed = {
        let mut registry = node.jobs();
        let Some(owned) = registry.table.get_mut(job) else { return };
        owned.stored(now);
        owned.is_closed()
    };
    node.job_updates.notify(usize::MAX);
    node.runner_wake.notify(usize::MAX);
    if is_closed {
        close_completed_job(node, job).await;
    } else if !node.peers.hears_all_peers(node.clock.mono()) {
        ownership::verify(node, job).await;
    }
}

/// Handles results that another gateway wrote at this position. Either it owns the job, or it was
/// the previous owner and its write was delayed; the job's object in the store shows which.
async fn apply_displaced(
    node: &Arc<EntryNode>,
    job: &str,
    lines: Vec<Arc<ResultLine>>,
    now: MonoTime,
) {
    {
        let is_owned = node.jobs().table.displace(job, lines, now);
        if !is_owned {
            return;
        }
    }
    node.job_updates.notify(usize::MAX);
    ownership::verify(node, job).await;
}
