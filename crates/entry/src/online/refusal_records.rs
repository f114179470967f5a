//! Records in the store which requests are refused because they crash targets.
//!
//! The gateways tell each other of refusals, but when all are killed at once, none knows them any more, and the request
//! would crash as many targets again until it is found out. Only whole requests are recorded: they come again as they were,
//! while a prompt part may have been refused by mistake.

use std::{sync::Arc, time::Duration};

use async_channel::{Receiver, Sender};
use async_std::task;
use notch_platform_wire::{
    prelude::StoreObject,
    store::{decode, list_path, object_path, spec_body},
};
use notch_relay::prelude::*;
use serde::{Deserialize, Serialize};

use crate::{
    constants::STORE_PAUSE,
    node::EntryNode,
    store::{
        call_cause::StoreCallCause,
        feed::{StorePath, list_all},
        object_kinds::REFUSAL_KIND,
        reply::StoreFailure,
        retry::{jittered, until_answered},
    },
};

/// Maximum number of changes that wait to be written; further ones are lost.
const MAX_QUEUED: usize = 256;
/// How long refusals that nobody renews are kept, as long as gateways remember them, milliseconds.
const RETENTION_MS: u64 = 600_000;

/// The record of a refused request.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct RefusalRecord {
    suspect: CrashSuspect,
    level: u32,
    /// When the next probe may be granted, by the clock of the gateway that counts.
    until_ms: u64,
}

/// A refusal that began or was extended, or ended.
#[derive(Debug, Clone, Copy)]
enum RefusalChange {
    Refused(SuspectRefusal),
    Cleared(CrashSuspect),
}

/// Changes of refusals that are to be recorded.
#[derive(Debug)]
pub struct RefusalRecords {
    sender: Sender<RefusalChange>,
    receiver: Receiver<RefusalChange>,
}

impl Default for RefusalRecords {
    fn default() -> Self {
        let (sender, receiver) = async_channel::bounded(MAX_QUEUED);
        Self { sender, receiver }
    }
}

impl RefusalRecords {
    /// Has the refusal of a request recorded.
    pub fn note_refused(&self, refusal: SuspectRefusal) {
        if matches!(refusal.suspect, CrashSuspect::Request(_)) {
            // A full queue means that very many requests crash targets; the next crash records this one.
            let _ = self.sender.try_send(RefusalChange::Refused(refusal));
        }
    }

    /// Has the end of a request's refusal recorded.
    pub fn note_cleared(&self, suspect: CrashSuspect) {
        if matches!(suspect, CrashSuspect::Request(_)) {
            let _ = self.sender.try_send(RefusalChange::Cleared(suspect));
        }
    }
}

/// Restores the refusals that gateways recorded before, then writes changes until the process ends.
pub async fn keep_records(node: Arc<EntryNode>) {
    let listing = || list_all(&node.store, REFUSAL_KIND, StorePath::Any, StoreCallCause::Refusals);
    if let Some((objects, _)) = until_answered(|| true, listing).await {
        for expired in restore(&node, &objects) {
            // What is left is deleted by the next gateway that starts.
            let _ = delete(&node, &expired).await;
        }
    }
    let changes = &node.refusal_records.receiver;
    while let Ok(change) = changes.recv().await {
        let outcome = match change {
            RefusalChange::Refused(refusal) => write(&node, refusal).await,
            RefusalChange::Cleared(suspect) => delete(&node, &object_name(suspect)).await,
        };
        if outcome.is_err() {
            // A later crash or answer repeats the change; to repeat it here could undo that.
            task::sleep(jittered(STORE_PAUSE)).await;
        }
    }
}

/// Applies the records. Returns the names of those that are over.
fn restore(node: &EntryNode, objects: &[StoreObject]) -> Vec<String> {
    let wall = node.clock.wall().0;
    let mut restored = 0;
    let mut expired = Vec::new();
    for object in objects {
        let spec = object.spec.as_ref().map(|spec| serde_json::from_str(spec.get()));
        let Some(Ok(RefusalRecord { suspect, level, until_ms })) = spec else { continue };
        if wall.saturating_sub(until_ms) > RETENTION_MS {
            expired.push(object.metadata.name.clone());
            continue;
        }
        let whole = SuspectRefusal::at_level(suspect, level);
        let left = Duration::from_millis(until_ms.saturating_sub(wall));
        let refusal = SuspectRefusal { left: left.min(whole.left), ..whole };
        // The pause began with the last crash.
        let since_ms = until_ms.saturating_sub(whole.left.as_millis() as u64);
        let age = Duration::from_millis(wall.saturating_sub(since_ms));
        node.suspects().table().apply_told_refusal(refusal, age, node.clock.mono());
        restored += 1;
    }
    if restored > 0 {
        node.log.info("refusals_restored", &[("requests", &restored)]);
    }
    expired
}

async fn write(node: &EntryNode, refusal: SuspectRefusal) -> Result<(), StoreFailure> {
    let SuspectRefusal { suspect, level, left } = refusal;
    let until_ms = node.clock.wall().0 + left.as_millis() as u64;
    let record = RefusalRecord { suspect, level, until_ms };
    let name = object_name(suspect);
    let wait = node.store.settings().call_timeout;
    let cause = StoreCallCause::Refusals;
    let body = spec_body(&name, None, &record);
    let list = list_path(REFUSAL_KIND, None);
    let created = node.store.call(cause, "POST", &list, Some(&body), wait).await?;
    if created.is_success() {
        return Ok(());
    }
    // Conditional on what is there, so that a write that is done late replaces nothing newer.
    let known: StoreObject = decode(&created.body).map_err(|_| StoreFailure::NotDone)?;
    let body = spec_body(&name, Some(known.metadata.revision), &record);
    let path = object_path(REFUSAL_KIND, &name);
    node.store.call(cause, "PUT", &path, Some(&body), wait).await.map(|_| ())
}

async fn delete(node: &EntryNode, name: &str) -> Result<(), StoreFailure> {
    let wait = node.store.settings().call_timeout;
    let path = object_path(REFUSAL_KIND, name);
    node.store.call(StoreCallCause::Refusals, "DELETE", &path, None, wait).await.map(|_| ())
}

fn object_name(suspect: CrashSuspect) -> String {
    format!("{:016x}", suspect.id())
}
