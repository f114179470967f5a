//! Records in the store the crashes under requests that are not refused yet.
//!
//! A request that comes once in minutes may meet only gateways that were restarted since. Each gateway that counts writes what
//! it knows into one object, soon after a change, so that a target that crashes under many requests costs few calls.

use std::{
    sync::{
        Arc, OnceLock,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use async_std::task;
use event_listener::Event;
use notch_platform_wire::{
    prelude::StoreObject,
    store::{list_path, object_path, spec_body},
};
use notch_relay::prelude::*;
use notch_types::prelude::MonoTime;
use serde::{Deserialize, Serialize};

use crate::{
    constants::STORE_PAUSE,
    node::EntryNode,
    store::{
        call_cause::StoreCallCause, object_kinds::REFUSAL_KIND, reply::StoreFailure,
        retry::jittered,
    },
};

/// Beginning of the names of these objects; the name of the gateway follows.
const NAME_PREFIX: &str = "counts-";
/// Time for which changes are collected before a write, and pause after it.
const COLLECT_TIME: Duration = Duration::from_millis(100);
const WRITE_PAUSE: Duration = Duration::from_secs(2);
/// Age from which the object of another gateway is deleted, milliseconds: whoever started since has counted on from it.
const RETENTION_MS: u64 = 7 * 24 * 3_600 * 1_000;

/// What one gateway counted.
#[derive(Debug, Serialize, Deserialize)]
struct CountRecord {
    /// When it was written, by the clock of the gateway.
    written_ms: u64,
    counts: Vec<RequestCrashes>,
}

/// How long requests of a gateway that has started wait for what was recorded before: the store may be down.
const RESTORE_TIMEOUT: Duration = Duration::from_secs(1);

/// Whether counts are to be recorded, and whether those of before were restored.
#[derive(Debug, Default)]
pub struct CrashCounts {
    /// When the first request came.
    first_request: OnceLock<MonoTime>,
    changed: Event,
    is_changed: AtomicBool,
    is_restored: AtomicBool,
}

impl CrashCounts {
    /// Has the counts recorded.
    pub fn note_changed(&self) {
        self.is_changed.store(true, Ordering::Release);
        self.changed.notify(1);
    }

    /// Records that refusals and counts of before are known.
    pub fn note_restored(&self) {
        self.is_restored.store(true, Ordering::Release);
    }

    /// Whether requests no longer wait for the refusals and counts of before.
    pub fn is_ready(&self, now: MonoTime) -> bool {
        self.is_restored.load(Ordering::Acquire)
            || now.since(*self.first_request.get_or_init(|| now)) >= RESTORE_TIMEOUT
    }
}

/// Whether an object with this name holds counts.
pub fn is_count(name: &str) -> bool {
    name.starts_with(NAME_PREFIX)
}

/// Counts on from the records. Returns the names of those that are too old.
pub fn restore(node: &EntryNode, objects: &[&StoreObject]) -> Vec<String> {
    let (own, wall) = (object_name(node), node.clock.wall().0);
    let mut old = Vec::new();
    for object in objects {
        let spec = object.spec.as_ref().map(|spec| serde_json::from_str(spec.get()));
        let Some(Ok(CountRecord { written_ms, counts })) = spec else { continue };
        for count in &counts {
            let is_refused = node.suspects().table().restore_count(count, node.clock.mono());
            node.log.info(
                "crashes_restored",
                &[
                    ("request", &format_args!("{:016x}", count.request)),
                    ("crashes", &count.targets.len()),
                    ("refused", &is_refused),
                ],
            );
        }
        let name = &object.metadata.name;
        if *name != own && wall.saturating_sub(written_ms) > RETENTION_MS {
            old.push(name.clone());
            node.crash_counts.note_changed();
        }
    }
    old
}

/// Writes counts until the process ends.
pub async fn keep_counts(node: Arc<EntryNode>) {
    loop {
        let changed = node.crash_counts.changed.listen();
        if !node.crash_counts.is_changed.load(Ordering::Acquire) {
            changed.await;
            continue;
        }
        task::sleep(COLLECT_TIME).await;
        node.crash_counts.is_changed.store(false, Ordering::Release);
        match write(&node).await {
            Ok(()) | Err(StoreFailure::Refused) => task::sleep(WRITE_PAUSE).await,
            Err(StoreFailure::NotDone | StoreFailure::Unknown) => {
                node.crash_counts.note_changed();
                task::sleep(jittered(STORE_PAUSE)).await;
            }
        }
    }
}

async fn write(node: &EntryNode) -> Result<(), StoreFailure> {
    let name = object_name(node);
    let counts = node.suspects().table().counts();
    let record = CountRecord { written_ms: node.clock.wall().0, counts };
    let body = spec_body(&name, None, &record);
    let (wait, cause) = (node.store.settings().call_timeout, StoreCallCause::Refusals);
    let path = object_path(REFUSAL_KIND, &name);
    let replaced = node.store.call(cause, "PUT", &path, Some(&body), wait).await?;
    if replaced.is_success() {
        return Ok(());
    }
    let list = list_path(REFUSAL_KIND, None);
    node.store.call(cause, "POST", &list, Some(&body), wait).await.map(|_| ())
}

fn object_name(node: &EntryNode) -> String {
    format!("{NAME_PREFIX}{}", node.config.node.vm)
}
