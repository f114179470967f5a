//! The objects themselves: versions, conditions, listings and changes. No clock of its own.

use std::{collections::BTreeMap, ops::Bound};

use notch_types::{
    object::{
        ListedObject, MAX_OBJECT_BYTES, ObjectVersion, StoreFailure, StoreReply, StoreResult,
        StoredObject, WriteCondition,
    },
    payload::Payload,
    time::WallTime,
};

/// Most lines of a page.
const MAX_PAGE: u32 = 1_000;
/// Most changes of an answer to a watch.
const MAX_CHANGES: usize = 256;
/// Bytes of values after which an answer to a watch takes no more.
const MAX_CHANGE_BYTES: usize = 2 << 20;
/// Deletions remembered for watches; a watcher further behind misses the older ones.
const MAX_DELETIONS: usize = 10_000;

/// All objects, and the deletions that watches still have to tell of.
#[derive(Debug, Default)]
pub(super) struct ObjectTable {
    /// Every key's newest state; `value: None` for a remembered deletion.
    objects: BTreeMap<String, StoredObject>,
    /// The key of each version in `objects`; same size.
    keys: BTreeMap<u64, String>,
    /// Versions of the remembered deletions, oldest first; at most [`MAX_DELETIONS`].
    deletions: std::collections::BTreeSet<u64>,
    /// The newest version ever given.
    newest: u64,
}

impl ObjectTable {
    pub(super) fn get(&self, key: &str) -> StoreResult {
        Ok(StoreReply::Object(self.live(key).cloned()))
    }

    pub(super) fn put(
        &mut self,
        key: &str,
        value: Payload,
        condition: WriteCondition,
        written_at: WallTime,
    ) -> StoreResult {
        if value.len() > MAX_OBJECT_BYTES {
            return Err(StoreFailure::TooLarge);
        }
        self.check(key, condition)?;
        Ok(StoreReply::Written(self.replace(key, Some(value), written_at)))
    }

    pub(super) fn delete(
        &mut self,
        key: &str,
        condition: WriteCondition,
        written_at: WallTime,
    ) -> StoreResult {
        if self.live(key).is_none() {
            return Ok(StoreReply::Deleted);
        }
        self.check(key, condition)?;
        self.replace(key, None, written_at);
        self.forget_old_deletions();
        Ok(StoreReply::Deleted)
    }

    pub(super) fn list(
        &self,
        prefix: &str,
        after: Option<&str>,
        limit: u32,
        store_time: WallTime,
    ) -> StoreResult {
        let limit = limit.clamp(1, MAX_PAGE) as usize;
        let start = match after {
            Some(after) if after >= prefix => Bound::Excluded(after),
            _ => Bound::Included(prefix),
        };
        let range = self.objects.range::<str, _>((start, Bound::Unbounded));
        let mut lines = range
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter(|(_, object)| object.value.is_some())
            .map(|(_, object)| listed(object));
        let objects = lines.by_ref().take(limit).collect();
        Ok(StoreReply::Listing { objects, store_time, more: lines.next().is_some() })
    }

    /// Changes under `prefix` after `after`, and up to which version they are complete.
    pub(super) fn changes(&self, prefix: &str, after: u64) -> (Vec<StoredObject>, ObjectVersion) {
        let mut objects = Vec::new();
        let mut bytes = 0;
        let range = (Bound::Excluded(after), Bound::Unbounded);
        for (version, key) in self.keys.range(range) {
            if !key.starts_with(prefix) {
                continue;
            }
            let Some(object) = self.objects.get(key) else { continue };
            bytes += object.value.as_ref().map_or(0, |value| value.len());
            objects.push(object.clone());
            if objects.len() == MAX_CHANGES || bytes > MAX_CHANGE_BYTES {
                return (objects, ObjectVersion(*version));
            }
        }
        (objects, ObjectVersion(self.newest.max(after)))
    }

    fn live(&self, key: &str) -> Option<&StoredObject> {
        self.objects.get(key).filter(|object| object.value.is_some())
    }

    fn check(&self, key: &str, condition: WriteCondition) -> Result<(), StoreFailure> {
        let current = self.live(key).map(|object| object.version);
        let holds = match condition {
            WriteCondition::IfAbsent => current.is_none(),
            WriteCondition::IfVersion(version) => current == Some(version),
            WriteCondition::Always => true,
        };
        if holds { Ok(()) } else { Err(StoreFailure::Conflict(current)) }
    }

    fn replace(
        &mut self,
        key: &str,
        value: Option<Payload>,
        written_at: WallTime,
    ) -> ObjectVersion {
        self.newest += 1;
        let version = ObjectVersion(self.newest);
        if value.is_none() {
            self.deletions.insert(version.0);
        }
        let object = StoredObject { key: key.to_string(), version, value, written_at };
        self.keys.insert(version.0, key.to_string());
        if let Some(former) = self.objects.insert(key.to_string(), object) {
            self.keys.remove(&former.version.0);
            self.deletions.remove(&former.version.0);
        }
        version
    }

    fn forget_old_deletions(&mut self) {
        while self.deletions.len() > MAX_DELETIONS {
            let Some(version) = self.deletions.pop_first() else { return };
            if let Some(key) = self.keys.remove(&version) {
                self.objects.remove(&key);
            }
        }
    }
}

fn listed(object: &StoredObject) -> ListedObject {
    ListedObject { key: object.key.clone(), version: object.version, written_at: object.written_at }
}
