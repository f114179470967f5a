//! Records in the store which software versions the targets of each service had in the recent past.
//!
//! When all gateways are killed, none of them knows any more where the streams began that clients take up afterwards, nor
//! whether a version has just left. The record tells. The gateway ranked first among those that follow the store writes it
//! whenever a version comes, or has been gone for so long that none of its streams can be taken up.

use std::{sync::Arc, time::Duration};

use async_std::{
    future::timeout,
    sync::{Mutex, MutexGuard},
    task,
};
use notch_platform_wire::{
    prelude::StoreObject,
    store::{decode, list_path, object_path, spec_body},
};
use notch_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::{
    node::EntryNode,
    store::{
        call_cause::StoreCallCause, object_kinds::VERSION_KIND, reply::StoreFailure,
        retry::jittered,
    },
};

/// Interval at which the versions are compared with their record.
const RECORD_TICK: Duration = Duration::from_millis(250);
/// How long a client that takes up a stream waits for the record: less than the usual objective of a first event.
const RECORD_WAIT: Duration = Duration::from_millis(200);

/// The record of one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct VersionRecord {
    /// Sorted.
    versions: Vec<String>,
}

/// A record as the store holds it.
#[derive(Debug, Clone)]
struct StoredRecord {
    record: VersionRecord,
    /// Revision of its last change. A write that is done late must not replace a newer one.
    revision: u64,
}

/// What this gateway knows of the records, by service; `None` for one that the store doesn't hold.
#[derive(Debug, Default)]
pub struct VersionRecords {
    known: Mutex<FastMap<String, Option<StoredRecord>>>,
}

/// Keeps the records up to date while this gateway is the one to do so, until the process ends.
pub async fn keep_records(node: Arc<EntryNode>) {
    let mut was_writer = false;
    loop {
        task::sleep(RECORD_TICK).await;
        let is_writer = node.watch.is_watching() && node.proof_source().is_none();
        if is_writer && !was_writer {
            // Another gateway may have written since they were read.
            node.version_records.known.lock().await.clear();
        }
        was_writer = is_writer;
        if is_writer && !node.stop.is_stopping() && !write_changes(&node).await {
            task::sleep(jittered(RECORD_TICK * 2)).await;
        }
    }
}

/// Restores the versions of a service from their record, unless they are known. Gives up after a short while.
pub async fn restore(node: &EntryNode, service: &str) {
    let restoring = async {
        let mut known = node.version_records.known.lock().await;
        let is_complete = node.targets().versions().is_complete(service, node.clock.mono());
        if is_complete { Ok(()) } else { load(node, service, &mut known).await }
    };
    let outcome = timeout(RECORD_WAIT, restoring).await;
    let is_answered = matches!(outcome, Ok(Ok(())));
    node.log.info("versions_restored", &[("service", &service), ("answered", &is_answered)]);
}

type KnownRecords<'a> = MutexGuard<'a, FastMap<String, Option<StoredRecord>>>;

/// Reads the record of a service unless it is known, and restores the versions from it.
async fn load(
    node: &EntryNode,
    service: &str,
    known: &mut KnownRecords<'_>,
) -> Result<(), StoreFailure> {
    if known.contains_key(service) {
        return Ok(());
    }
    let path = object_path(VERSION_KIND, service);
    let reply = node.store.get(StoreCallCause::VersionsRecorded, &path).await?;
    let stored = if reply.is_success() { Some(decode_record(&reply.body)?) } else { None };
    let now = node.clock.mono();
    if let Some(stored) = &stored {
        let mut targets = node.targets();
        if !targets.versions().is_complete(service, now) {
            targets.versions_mut().restore(service, &stored.record.versions, now);
        }
    }
    known.insert(service.to_owned(), stored);
    Ok(())
}

/// Writes the records that differ from what is known here. False if one of them could not be read or written; the others
/// don't depend on it.
async fn write_changes(node: &EntryNode) -> bool {
    let services: Vec<String> = node.targets().versions().services().map(str::to_owned).collect();
    let mut is_recorded = true;
    for service in services {
        let mut known = node.version_records.known.lock().await;
        if let Err(failure) = write_change(node, &service, &mut known).await {
            known.remove(&service);
            let reason = format!("{failure:?}");
            node.log.warn("versions_not_recorded", &[("service", &service), ("reason", &reason)]);
            is_recorded = false;
        }
    }
    is_recorded
}

/// Writes the record of a service if it differs from what is known here.
async fn write_change(
    node: &EntryNode,
    service: &str,
    known: &mut KnownRecords<'_>,
) -> Result<(), StoreFailure> {
    load(node, service, known).await?;
    let record = {
        let targets = node.targets();
        let now = node.clock.mono();
        // A gateway that doesn't know the recent past must not claim that there was nothing else.
        if !targets.versions().is_complete(service, now) {
            return Ok(());
        }
        VersionRecord { versions: targets.versions().recent(service, now) }
    };
    let before = known.get(service).cloned().flatten();
    if before.as_ref().is_some_and(|stored| stored.record == record) {
        return Ok(());
    }
    let stored = write(node, service, record, before.map(|stored| stored.revision)).await?;
    known.insert(service.to_owned(), Some(stored));
    Ok(())
}

async fn write(
    node: &EntryNode,
    service: &str,
    record: VersionRecord,
    revision: Option<u64>,
) -> Result<StoredRecord, StoreFailure> {
    let body = spec_body(service, revision, &record);
    let (method, path) = match revision {
        Some(_) => ("PUT", object_path(VERSION_KIND, service)),
        None => ("POST", list_path(VERSION_KIND, None)),
    };
    let wait = node.store.settings().call_timeout;
    let cause = StoreCallCause::VersionsRecorded;
    let reply = node.store.call(cause, method, &path, Some(&body), wait).await?;
    if !reply.is_success() {
        return Err(StoreFailure::NotDone);
    }
    let object: StoreObject = decode(&reply.body).map_err(|_| StoreFailure::NotDone)?;
    let versions = record.versions.join(",");
    node.log.info("versions_recorded", &[("service", &service), ("versions", &versions)]);
    Ok(StoredRecord { record, revision: object.metadata.revision })
}

fn decode_record(body: &[u8]) -> Result<StoredRecord, StoreFailure> {
    let object: StoreObject = decode(body).map_err(|_| StoreFailure::NotDone)?;
    let spec = object.spec.ok_or(StoreFailure::NotDone)?;
    let record = serde_json::from_str(spec.get()).map_err(|_| StoreFailure::NotDone)?;
    Ok(StoredRecord { record, revision: object.metadata.revision })
}
