//! The end of a job whose results are all stored.

use std::sync::Arc;

use notch_messages::prelude::PeerMessage;

use crate::{batch::records::close_job, node::EntryNode};

/// All results are stored: tells the store and the others, and keeps the results for readers.
pub async fn close_completed_job(node: &Arc<EntryNode>, job: &str) {
    node.jobs().retire_job(job);
    node.log.info("job_closed", &[("job", &job)]);
    node.peers.broadcast(&PeerMessage::JobClosed(job.to_owned()));
    // Nothing depends on it but the work of a gateway that takes jobs over; it may stay undone.
    let _ = close_job(&node.store, job, &node.owner).await;
}
