//! Closes jobs whose results are all stored.

use std::sync::Arc;

use notch_messages::prelude::PeerMessage;

use crate::{batch::records::close_job, node::EntryNode};

/// Closes a job whose results are all stored: caches the results for readers, and tells the other
/// gateways and the store.
pub async fn close_completed_job(node: &Arc<EntryNode>, job: &str) {
    node.jobs().retire_job(job);
    node.log.info("job_closed", &[("job", &job)]);
    node.peers.broadcast(&PeerMessage::JobClosed(job.to_owned()));
    // Best effort: this only saves work for a gateway that takes jobs over.
    let _ = close_job(&node.store, job, &node.owner).await;
}
