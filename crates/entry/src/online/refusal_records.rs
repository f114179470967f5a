//! Records in the store which requests are refused because they crash targets, and how often they were probed.
//!
//! The gateways tell each other of refusals, but when all are killed at once, none knows them any more, and the request
//! would crash as many targets again until it is found out. Only whole requests are recorded: they come again as they were,
//! while a prompt part may have been refused by mistake.
//!
//! A probe of a refused request is claimed in its record before it starts. So all gateways together start only so many, also
//! when they are cut off from each other, stand still or are restarted. Without the store there is no probe.

use std::{sync::Arc, time::Duration};

use async_channel::{Receiver, Sender};
use async_std::task;
use notch_platform_wire::{
    prelude::StoreObject,
    store::{decode, list_path, object_path, spec_body},
};
use notch_relay::prelude::*;
use notch_types::prelude::FastSet;
use serde::{Deserialize, Serialize};

use crate::{
    constants::STORE_PAUSE,
    node::EntryNode,
    online::crash_counts,
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

/// The record of a refused request.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct RefusalRecord {
    suspect: CrashSuspect,
    level: u32,
    /// When the next probe may be granted, by the clock of the gateway that counts.
    until_ms: u64,
}

impl RefusalRecord {
    fn of(refusal: SuspectRefusal, wall_ms: u64) -> Self {
        let SuspectRefusal { suspect, level, left } = refusal;
        Self { suspect, level, until_ms: wall_ms + left.as_millis() as u64 }
    }

    fn decode(object: &StoreObject) -> Option<Self> {
        serde_json::from_str(object.spec.as_ref()?.get()).ok()
    }

    /// The refusal, and the time since the crash or probe with which its pause began.
    fn refusal(&self, wall_ms: u64) -> (SuspectRefusal, Duration) {
        let whole = SuspectRefusal::at_level(self.suspect, self.level);
        let left = Duration::from_millis(self.until_ms.saturating_sub(wall_ms));
        let since_ms = self.until_ms.saturating_sub(whole.left.as_millis() as u64);
        let age = Duration::from_millis(wall_ms.saturating_sub(since_ms));
        (SuspectRefusal { left: left.min(whole.left), ..whole }, age)
    }
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

/// Restores what gateways recorded before, then writes changes until the process ends.
pub async fn keep_records(node: Arc<EntryNode>) {
    let listing = || list_all(&node.store, REFUSAL_KIND, StorePath::Any, StoreCallCause::Refusals);
    if let Some((objects, _)) = until_answered(|| true, listing).await {
        let surplus = restore(&node, &objects);
        node.crash_counts.note_restored();
        for name in surplus {
            // What is left is deleted by the next gateway that starts.
            let _ = delete(&node, &name).await;
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

/// Applies the records. Returns the names of those beyond what gateways remember: of requests with the fewest probes, the
/// oldest.
fn restore(node: &EntryNode, objects: &[StoreObject]) -> Vec<String> {
    let wall = node.clock.wall().0;
    let (counts, refusals): (Vec<_>, Vec<_>) =
        objects.iter().partition(|object| crash_counts::is_count(&object.metadata.name));
    let mut surplus = crash_counts::restore(node, &counts);
    let mut records: Vec<(&str, RefusalRecord)> = refusals
        .into_iter()
        .filter_map(|object| Some((&*object.metadata.name, RefusalRecord::decode(object)?)))
        .collect();
    records.sort_by_key(|(_, record)| std::cmp::Reverse((record.level, record.until_ms)));
    let beyond = records.split_off(records.len().min(MAX_REFUSED_REQUESTS));
    for (_, record) in &records {
        let (refusal, age) = record.refusal(wall);
        node.suspects().table().apply_told_refusal(refusal, age, node.clock.mono());
    }
    if !records.is_empty() {
        node.log.info("refusals_restored", &[("requests", &records.len())]);
    }
    surplus.extend(beyond.into_iter().map(|(name, _)| name.to_owned()));
    surplus
}

/// Claims a probe of a refused request in its record. Returns the refusal from then on; `None` if there is no probe left,
/// another gateway has claimed one, or the store doesn't confirm it. `age` is the time since the last crash that was counted.
pub async fn claim_probe(
    node: &EntryNode,
    refusal: SuspectRefusal,
    age: Duration,
    work: ProbeWork,
) -> Option<SuspectRefusal> {
    let name = object_name(refusal.suspect);
    let path = object_path(REFUSAL_KIND, &name);
    let reply = node.store.get(StoreCallCause::Refusals, &path).await.ok()?;
    let known: Option<StoreObject> = reply.is_success().then(|| decode(&reply.body).ok()).flatten();
    let wall = node.clock.wall().0;
    if let Some(record) = known.as_ref().and_then(RefusalRecord::decode)
        && record.level > refusal.level
    {
        let (newer, age) = record.refusal(wall);
        node.suspects().table().apply_told_refusal(newer, age, node.clock.mono());
        return None;
    }
    let next = refusal.after_probe(age, work)?;
    let revision = known.map(|object| object.metadata.revision);
    let body = spec_body(&name, revision, &RefusalRecord::of(next, wall));
    let (method, path) = match revision {
        Some(_) => ("PUT", path),
        None => ("POST", list_path(REFUSAL_KIND, None)),
    };
    let wait = node.store.settings().call_timeout;
    let cause = StoreCallCause::Refusals;
    let claimed = node.store.call(cause, method, &path, Some(&body), wait).await.ok()?;
    claimed.is_success().then_some(next)
}

/// Ends the refusals for good whose records an operator has deleted: nothing else can find out that such a request is sound.
pub async fn lift_deleted(node: &EntryNode) {
    let finals = node.suspects().final_refusals();
    if finals.is_empty() {
        return;
    }
    let listing = list_all(&node.store, REFUSAL_KIND, StorePath::Direct, StoreCallCause::Refusals);
    // If the store doesn't answer, the operator's next signal tries again.
    let Ok((objects, _)) = listing.await else { return };
    let recorded: FastSet<&str> = objects.iter().map(|object| &*object.metadata.name).collect();
    for suspect in finals {
        if !recorded.contains(&*object_name(suspect)) {
            node.suspects().lift_refusal(suspect);
        }
    }
}

async fn write(node: &EntryNode, refusal: SuspectRefusal) -> Result<(), StoreFailure> {
    let record = RefusalRecord::of(refusal, node.clock.wall().0);
    let name = object_name(refusal.suspect);
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
    if let Some(recorded) = RefusalRecord::decode(&known).filter(|r| r.level > record.level) {
        // Probes were claimed that this gateway did not hear of.
        let (refusal, age) = recorded.refusal(node.clock.wall().0);
        node.suspects().table().apply_told_refusal(refusal, age, node.clock.mono());
        return Ok(());
    }
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
