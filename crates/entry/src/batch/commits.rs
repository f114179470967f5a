//! Stores the results of jobs.

use std::sync::Arc;

use notch_relay::prelude::*;
use notch_telemetry::prelude::*;
use notch_types::prelude::*;

use crate::{
    batch::{
        closing::close_completed_job,
        ownership,
        records::{ChunkOutcome, store_results},
    },
    node::EntryNode,
    store::retry::until_answered,
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
pub async fn store(
    node: Arc<EntryNode>,
    job: String,
    place: ListPlace,
    lines: Vec<Arc<ResultLine>>,
) {
    let ListPlace { position, fences } = place;
    let began = node.clock.mono();
    let is_owned = || node.jobs().is_owned(&job);
    let write = || store_results(&node.store, &job, position, fences, &node.owner, &lines);
    let Some(outcome) = until_answered(is_owned, write).await else { return };
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
