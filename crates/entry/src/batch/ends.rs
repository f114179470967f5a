//! Ends jobs at a client's request.

use std::sync::Arc;

use notch_messages::prelude::PeerMessage;
use notch_relay::prelude::may_access;
use notch_types::prelude::*;

use crate::{
    batch::{
        item_run::item_suspect,
        records::{read_job, store_end},
    },
    constants::RETRY_AFTER,
    front::answer::OwnAnswer,
    node::EntryNode,
    store::{
        call_cause::StoreCallCause,
        feed::{FeedPlan, FeedStart, follow},
        feed_event::FeedEvent,
        object_kinds::END_KIND,
    },
};

/// Ends a job for a client. The client gets a 200 only once the end is stored.
pub async fn end_job(node: &Arc<EntryNode>, job: &str, account: &str) -> OwnAnswer {
    let is_known = {
        let registry = node.jobs();
        let owner = registry.account(job);
        if owner.is_some_and(|owner| !may_access(owner, account)) {
            return answer(node, job, "job_of_another", OwnAnswer::of(404));
        }
        if registry.is_ended(job) {
            return answer(node, job, "ended_before", OwnAnswer::of(200));
        }
        // With client accounts, the job's account must be known to decide who may end it.
        registry.is_known(job) && (owner.is_some() || account.is_empty())
    };
    if !is_known {
        match read_job(&node.store, job, StoreCallCause::EndStored).await {
            Ok(Some(stored)) if may_access(&stored.record.account, account) => {}
            Ok(Some(_)) => return answer(node, job, "job_of_another", OwnAnswer::of(404)),
            Ok(None) => return answer(node, job, "no_such_job", OwnAnswer::of(404)),
            Err(_) => {
                return answer(node, job, "store_unavailable", OwnAnswer::refused(RETRY_AFTER));
            }
        }
    }
    // Once the end is stored no gateway may run the job any more, even if the answer is lost.
    match store_end(&node.store, job).await {
        Ok(()) => {
            apply_job_end(node, job, "client");
            node.peers.broadcast(&PeerMessage::JobEnded(job.to_owned()));
            answer(node, job, "ended", OwnAnswer::of(200))
        }
        Err(_) => answer(node, job, "store_unavailable", OwnAnswer::of(502)),
    }
}

/// Applies a job's end that is stored: nothing of the job runs here any more.
pub fn apply_job_end(node: &EntryNode, job: &str, source: &str) {
    let now = node.clock.mono();
    let mut registry = node.jobs();
    if !registry.note_ended(job, now) {
        return;
    }
    let was_owned = registry.is_owned(job);
    let spec = registry.table.get_mut(job).map(|owned| {
        owned.end();
        Arc::clone(owned.spec())
    });
    registry.retire_job(job);
    registry.note_closed(job, now);
    drop(registry);
    for item in spec.iter().flat_map(|spec| &spec.items) {
        node.suspects().forget_item(item_suspect(job, item));
    }
    node.log.info("job_ended", &[("job", &job), ("source", &source), ("owned", &was_owned)]);
    node.job_updates.notify(usize::MAX);
    if source == "store" {
        // Passes the end on to gateways that do not follow the store themselves.
        node.peers.broadcast(&PeerMessage::JobEnded(job.to_owned()));
    }
}

/// Follows the ends of jobs in the store. The gateway that owns a job may have no link to the one
/// that ended it for the client.
pub async fn follow_ends(node: Arc<EntryNode>) {
    let plan =
        FeedPlan { watcher: Some(&node), start: FeedStart::UnlessPassedOn, ..FeedPlan::default() };
    follow(&node.store, END_KIND, plan, |event| match event {
        FeedEvent::Snapshot { objects, .. } => {
            for object in &objects {
                apply_job_end(&node, &object.metadata.name, "store");
            }
        }
        FeedEvent::Changed { object } => apply_job_end(&node, &object.metadata.name, "store"),
        FeedEvent::Deleted { .. } | FeedEvent::Complete { .. } => {}
    })
    .await;
}

fn answer(node: &EntryNode, job: &str, outcome: &'static str, answer: OwnAnswer) -> OwnAnswer {
    node.metrics.count(Counter::Event(outcome));
    node.log
        .info("job_end_asked", &[("job", &job), ("outcome", &outcome), ("status", &answer.status)]);
    answer
}
