//! Failures of items: counted as soon as a target reports them, told to other gateways, and recorded in the store.
//!
//! How a run ends afterwards, and who owns the job by then, changes nothing: each failed run has an id, so that what several
//! gateways and the store know of an item can be joined.

use std::cmp::Reverse;

use notch_messages::prelude::PeerMessage;
use notch_relay::prelude::*;
use notch_types::prelude::*;

use crate::{batch::takeover::weight, node::EntryNode};

/// Number of gateways that are told of failures of items: those that would take the job over if one or two are lost.
const TOLD_SUCCESSORS: usize = 2;

/// Number by which a run is known to all gateways.
pub fn failed_run(node: &EntryNode, run: u64, status: u16) -> Option<FailedRun> {
    let is_impossible = match status {
        500 => false,
        422 => true,
        _ => return None,
    };
    let hash = stable_hash64(&[node.owner.as_bytes(), &run.to_be_bytes()]);
    Some(FailedRun::new(hash, is_impossible))
}

/// Counts a run for which a target reported a failure. If the job has another owner by now, all gateways are told, as the
/// owner may not be known here.
pub fn note(node: &EntryNode, start: &ItemStart, run: FailedRun) {
    let now = node.clock.mono();
    let (job, item) = (&start.job, &start.item.id);
    let (failures, is_owned) = {
        let mut registry = node.jobs();
        match registry.table.get_mut(job) {
            Some(owned) => (owned.note_failure(start.index, run, now), true),
            None => (registry.kept_failures.note(job, item, run, now), false),
        }
    };
    let Some(failures) = failures else { return };
    let ItemFailures { failed, .. } = &failures;
    node.log.info(
        "item_failure_counted",
        &[
            ("job", job),
            ("item", item),
            ("failures", &failed.count),
            ("is_impossible", &failed.is_impossible),
            ("is_owned", &is_owned),
        ],
    );
    if !node.failure_records.add(job, std::slice::from_ref(&failures)) {
        log_dropped(node, job, "not_recorded");
    }
    if is_owned {
        tell(node, job, vec![failures]);
    } else {
        let (job, items) = (job.clone(), vec![failures]);
        node.peers.broadcast(&PeerMessage::ItemFailures { job, items });
    }
}

/// Logs and counts failures of items of a job that are forgotten for lack of room.
pub fn log_dropped(node: &EntryNode, job: &str, outcome: &'static str) {
    node.log.warn("item_failures_dropped", &[("job", &job), ("outcome", &outcome)]);
    node.metrics.count(Counter::Event("item_failures_dropped"));
}

/// Tells the gateways that would take the job over that items failed.
pub fn tell(node: &EntryNode, job: &str, failures: Vec<ItemFailures>) {
    if failures.is_empty() {
        return;
    }
    let mut successors = node.peers.successor_vms();
    successors.sort_by_cached_key(|vm| Reverse(weight(job, vm)));
    for vm in successors.into_iter().take(TOLD_SUCCESSORS) {
        let (job, items) = (job.to_owned(), failures.clone());
        node.peers.send(&vm, PeerMessage::ItemFailures { job, items });
    }
}

/// Handles failures that another gateway tells of. The owner of the job adds them to its own, others keep them.
pub fn receive(node: &EntryNode, job: &str, items: &[ItemFailures]) {
    let now = node.clock.mono();
    let mut registry = node.jobs();
    let Some(owned) = registry.table.get_mut(job) else {
        let is_kept = registry.kept_failures.keep(job, items, now);
        drop(registry);
        if !is_kept {
            log_dropped(node, job, "not_kept");
        }
        return;
    };
    let given_up = owned.adopt_failures(items, now);
    registry.cancel_item_runs(job, &given_up);
    drop(registry);
    if !given_up.is_empty() {
        node.runner_wake.notify(usize::MAX);
    }
}
