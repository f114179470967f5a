//! Finds out whether a job that is about to be refused was accepted before.
//!
//! A client that got no answer submits the job again at another gateway. A refusal tells the client
//! that nothing of the job runs, so it must not follow an acceptance by another gateway. In a burst
//! each refused job comes back a dozen times; looking each up in the store would alone exceed the
//! call rate that the store sustains.

use std::time::Duration;

use async_std::{future::timeout, task};
use notch_types::prelude::*;

use crate::{
    batch::records::read_job,
    constants::{CLIENT_RESEND_WINDOW, REFUSAL_LOOKUP_TIMEOUT},
    node::EntryNode,
    store::{call_cause::StoreCallCause, reply::StoreFailure},
};

/// Store lookups per second that all gateways together make for jobs about to be refused: a
/// twentieth of all reads that the store sustains. Under usual load every refusal is looked up.
const LOOKUPS_PER_SECOND: usize = 100;
/// Interval at which a refusal checks whether all recent jobs are known.
const RECENT_JOBS_POLL: Duration = Duration::from_millis(20);
/// Length of the window in which lookups are counted.
const LOOKUP_WINDOW: Duration = Duration::from_secs(1);

/// What is known of a submitted job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PriorJob {
    /// It was accepted before.
    Accepted,
    /// It was not, and no gateway is storing it.
    None,
    /// It cannot be determined now.
    Unclear,
    /// The store did not answer.
    StoreUnavailable,
}

/// Limits the rate of lookups.
#[derive(Debug, Default)]
pub struct LookupLimiter {
    since: MonoTime,
    lookups: usize,
}

impl LookupLimiter {
    /// Counts a lookup. Returns whether one of `gateways` gateways may make it now.
    pub fn take(&mut self, gateways: usize, now: MonoTime) -> bool {
        if now.since(self.since) >= LOOKUP_WINDOW {
            *self = Self { since: now, lookups: 0 };
        }
        self.lookups += 1;
        self.lookups <= (LOOKUPS_PER_SECOND / gateways.max(1)).max(1)
    }
}

/// Whether all jobs that may be submitted again are known. If not, one search of the store is started for all refusals
/// that need it, and awaited for as long as a lookup.
async fn await_recent_jobs(node: &EntryNode) -> bool {
    let began = node.clock.mono();
    loop {
        let now = node.clock.mono();
        if node.peers.knows_all_recent_jobs(CLIENT_RESEND_WINDOW, now) {
            return true;
        }
        if now.since(began) >= REFUSAL_LOOKUP_TIMEOUT {
            return false;
        }
        node.jobs().search.demand(began);
        task::sleep(RECENT_JOBS_POLL).await;
    }
}

/// Finds an earlier submission of a job that is unknown here: in the store, within the rate limit,
/// and beyond it by what the other gateways reported.
///
/// A gateway reports each job before its client is answered, and each job whose storing is delayed.
/// So a gateway that has heard from all others for longer than a client retries knows every job
/// that may be submitted again; so does one that has listed all jobs since it last missed a
/// gateway.
pub async fn find_prior_submission(node: &EntryNode, job: &str) -> PriorJob {
    let now = node.clock.mono();
    let gateways = node.peers.known_count() + 1;
    let (may_look, is_storing) = {
        let mut registry = node.jobs();
        (registry.lookups.take(gateways, now), registry.may_be_stored_elsewhere(job))
    };
    if !may_look {
        let is_known = !is_storing && await_recent_jobs(node).await;
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
