//! Whether a job still is ours.

use std::sync::Arc;

use async_std::task;
use notch_messages::prelude::PeerMessage;
use notch_relay::prelude::OwnedJob;

use crate::{
    batch::{commits, records::read_job},
    constants::STORE_PAUSE,
    node::EntryNode,
    store::feed::jittered,
};

/// Asks the store who owns a job that we run, and gives it up if it's another gateway.
///
/// A gateway that was out of touch with the others may have lost a job without a word. Two that both
/// run it waste places, and each would tell readers of its own view of the list.
pub async fn verify(node: &Arc<EntryNode>, job: &str) {
    let stored = loop {
        if !node.jobs().is_owned(job) {
            return;
        }
        match read_job(&node.store, job).await {
            Ok(stored) => break stored,
            Err(_) => task::sleep(jittered(STORE_PAUSE)).await,
        }
    };
    let owner = stored.as_ref().map_or("", |stored| stored.owner());
    if owner != node.owner {
        node.log.warn("job_lost", &[("job", &job), ("owner", &owner)]);
        let mut desk = node.jobs();
        desk.give_up_job(job);
        desk.note_owner(&[job.to_owned()], owner);
        drop(desk);
        node.job_news.notify(usize::MAX);
        return;
    }
    node.peers.broadcast(&PeerMessage::JobsOwned(vec![job.to_owned()]));
    let is_closed = node.jobs().board.get(job).is_some_and(OwnedJob::is_closed);
    if is_closed {
        commits::close(node, job).await;
    }
    node.runner_wake.notify(usize::MAX);
}
