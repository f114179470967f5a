//! Whether a job that is about to be refused was taken in before.
//!
//! A client sends a job again, at another gateway, when it got no answer. A refusal says that nothing of the job
//! runs, so it must not come after another gateway has taken it in. In a burst each refused job comes back
//! a dozen times: asked of the store each time, that alone would be more calls than the store takes.

use std::time::Duration;

use async_std::future::timeout;
use notch_types::prelude::*;

use crate::{
    batch::records::read_job,
    constants::{CLIENT_RESEND_WINDOW, REFUSAL_LOOKUP_TIMEOUT},
    node::EntryNode,
    store::{call_cause::StoreCallCause, reply::StoreFailure},
};

/// Looks in the store that all gateways together make each second for jobs that are about to be refused: a
/// twentieth of the reads that it takes for everything. Usual refusals are all looked up.
const LOOKS_EACH_SECOND: usize = 100;
/// Span in which so many may be made.
const LOOKS_SPAN: Duration = Duration::from_secs(1);

/// What is known of a job that came.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PriorJob {
    /// It was taken in.
    Accepted,
    /// It wasn't, and no gateway is about to.
    None,
    /// Nobody can say now.
    Unclear,
    /// The store doesn't answer.
    StoreUnavailable,
}

/// Counts looks.
#[derive(Debug, Default)]
pub struct LookupLimiter {
    since: MonoTime,
    looks: usize,
}

impl LookupLimiter {
    /// Whether one of `gateways` may make one more now; counts it.
    pub fn take(&mut self, gateways: usize, now: MonoTime) -> bool {
        if now.since(self.since) >= LOOKS_SPAN {
            *self = Self { since: now, looks: 0 };
        }
        self.looks += 1;
        self.looks <= (LOOKS_EACH_SECOND / gateways.max(1)).max(1)
    }
}

/// Looks for a job that nothing is known of here: in the store, as often as it bears, and beyond that in what the
/// other gateways told.
///
/// A gateway tells the others of each job before its client is answered, and of each one whose storing takes
/// long, so one that has heard all others for longer than a client tries knows the jobs that can come again;
/// so does one that has read all jobs since it missed somebody.
pub async fn find_prior_submission(node: &EntryNode, job: &str) -> PriorJob {
    let now = node.clock.mono();
    let gateways = node.peers.known_count() + 1;
    let (may_look, is_storing) = {
        let mut registry = node.jobs();
        (registry.lookups.take(gateways, now), registry.may_be_stored_elsewhere(job))
    };
    if !may_look {
        let is_known = !is_storing && node.peers.knows_all_recent_jobs(CLIENT_RESEND_WINDOW, now);
        return if is_known { PriorJob::None } else { PriorJob::Unclear };
    }
    let looking =
        timeout(REFUSAL_LOOKUP_TIMEOUT, read_job(&node.store, job, StoreCallCause::JobStored));
    match looking.await.unwrap_or(Err(StoreFailure::Unknown)) {
        Ok(Some(_)) => PriorJob::Accepted,
        Ok(None) if is_storing => PriorJob::Unclear,
        Ok(None) => PriorJob::None,
        Err(_) => PriorJob::StoreUnavailable,
    }
}
