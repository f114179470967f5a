//! Records in the store how often items failed, so that the counts outlast all gateways.
//!
//! A record has the name of its job. Any gateway that saw a failure adds to it, also a former owner of the job. Nothing is
//! written of jobs without failures.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use async_std::task;
use event_listener::Event;
use notch_platform_wire::{
    prelude::StoreObject,
    store::{decode, list_path, object_path, spec_body},
};
use notch_relay::prelude::*;
use notch_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::{
    batch::{failures, takeover::is_preferred_successor},
    constants::STORE_PAUSE,
    node::EntryNode,
    store::{
        call_cause::StoreCallCause,
        feed::{StorePath, list_all},
        object_kinds::FAILURE_KIND,
        reply::StoreFailure,
        retry::jittered,
    },
};

/// Maximum number of jobs whose failures wait to be written; those of further jobs are not recorded.
const MAX_PENDING_JOBS: usize = 256;
/// Pause after each write. Targets that fail all items would multiply the calls to the store otherwise.
const WRITE_PAUSE: Duration = Duration::from_millis(100);
const CAUSE: StoreCallCause = StoreCallCause::FailuresRecorded;

/// The record of one job.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct FailureRecord {
    /// When it was written last, by the clock of the gateway that did.
    written_ms: u64,
    items: Vec<ItemFailures>,
}

/// Failures that are to be recorded.
#[derive(Debug, Default)]
pub struct FailureRecords {
    /// By job. Invariant: at most [`MAX_PENDING_JOBS`].
    pending: Mutex<FastMap<String, Vec<ItemFailures>>>,
    added: Event,
}

impl FailureRecords {
    /// Has failures of items of `job` recorded. False if those of too many jobs wait.
    pub fn add(&self, job: &str, items: &[ItemFailures]) -> bool {
        let mut pending = self.pending();
        if !pending.contains_key(job) && pending.len() >= MAX_PENDING_JOBS {
            return false;
        }
        ItemFailures::join_into(pending.entry(job.to_owned()).or_default(), items);
        drop(pending);
        self.added.notify(1);
        true
    }

    fn pending(&self) -> MutexGuard<'_, FastMap<String, Vec<ItemFailures>>> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn take(&self) -> Option<(String, Vec<ItemFailures>)> {
        let mut pending = self.pending();
        let job = pending.keys().next()?.clone();
        pending.remove_entry(&job)
    }
}

/// Writes failures until the process ends.
pub async fn keep_records(node: Arc<EntryNode>) {
    loop {
        let added = node.failure_records.added.listen();
        let Some((job, items)) = node.failure_records.take() else {
            added.await;
            continue;
        };
        match write(&node, &job, &items).await {
            Ok(()) => task::sleep(WRITE_PAUSE).await,
            Err(StoreFailure::Refused) => {
                node.log.error("failures_not_recorded", &[("job", &job), ("reason", &"refused")]);
            }
            Err(StoreFailure::NotDone | StoreFailure::Unknown) => {
                if !node.failure_records.add(&job, &items) {
                    failures::log_dropped(&node, &job, "not_recorded");
                }
                task::sleep(jittered(STORE_PAUSE)).await;
            }
        }
    }
}

async fn write(node: &EntryNode, job: &str, items: &[ItemFailures]) -> Result<(), StoreFailure> {
    let wait = node.store.settings().call_timeout;
    let written_ms = node.clock.wall().0;
    let mut record = FailureRecord { written_ms, items: items.to_vec() };
    let (list, body) = (list_path(FAILURE_KIND, None), spec_body(job, None, &record));
    let created = node.store.call(CAUSE, "POST", &list, Some(&body), wait).await?;
    if created.is_success() {
        return Ok(());
    }
    // Another try would find the same bytes.
    let known: StoreObject = decode(&created.body).map_err(|_| StoreFailure::Refused)?;
    record.items = recorded(&known);
    if !ItemFailures::join_into(&mut record.items, items) {
        return Ok(());
    }
    let body = spec_body(job, Some(known.metadata.revision), &record);
    let path = object_path(FAILURE_KIND, job);
    let replaced = node.store.call(CAUSE, "PUT", &path, Some(&body), wait).await?;
    if replaced.is_success() { Ok(()) } else { Err(StoreFailure::NotDone) }
}

/// Reads the recorded failures of a job.
///
/// # Errors
/// The store did not answer.
pub async fn read(node: &EntryNode, job: &str) -> Result<Vec<ItemFailures>, StoreFailure> {
    let reply = node.store.get(CAUSE, &object_path(FAILURE_KIND, job)).await?;
    if !reply.is_success() {
        return Ok(Vec::new());
    }
    // A record that can't be read must not keep the job from being taken over.
    Ok(decode(&reply.body).map(|object| recorded(&object)).unwrap_or_default())
}

fn recorded(object: &StoreObject) -> Vec<ItemFailures> {
    let record = object.spec.as_ref().map(|spec| serde_json::from_str(spec.get()));
    record.and_then(Result::ok).map(|FailureRecord { items, .. }| items).unwrap_or_default()
}

/// Deletes records that were written longer than `kept` ago, those for which this gateway is preferred.
///
/// # Errors
/// The store did not answer.
pub async fn delete_old(node: &EntryNode, kept: Duration) -> Result<(), StoreFailure> {
    let (objects, _) =
        list_all(&node.store, FAILURE_KIND, StorePath::Direct, StoreCallCause::Retention).await?;
    let oldest_ms = node.clock.wall().0.saturating_sub(kept.as_millis() as u64);
    let wait = node.store.settings().call_timeout;
    for StoreObject { metadata, spec, .. } in &objects {
        let record = spec.as_ref().and_then(|spec| serde_json::from_str(spec.get()).ok());
        let is_old = record.is_none_or(|record: FailureRecord| record.written_ms < oldest_ms);
        if is_old && is_preferred_successor(node, &metadata.name) {
            let path = object_path(FAILURE_KIND, &metadata.name);
            node.store.call(StoreCallCause::Retention, "DELETE", &path, None, wait).await?;
        }
    }
    Ok(())
}
