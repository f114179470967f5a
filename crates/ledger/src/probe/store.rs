//! A map with versions: the whole object API as a shard sees it, without faults.

use std::collections::BTreeMap;

use notch_types::{
    object::{
        ListedObject, MAX_OBJECT_BYTES, ObjectVersion, StoreFailure, StoreOp, StoreReply,
        StoreResult, StoredObject, WriteCondition,
    },
    prelude::*,
};

/// The store of probes and tests. Grows with what is written: for short runs only.
#[derive(Debug, Default)]
pub struct MapStore {
    /// Every object.
    pub objects: BTreeMap<String, StoredObject>,
    /// The store's own clock; set by whoever drives it.
    pub clock: WallTime,
    /// Objects deleted so far.
    pub deleted: u64,
    last: u64,
}

impl MapStore {
    /// The value of an object.
    pub fn value(&self, key: &str) -> Option<&Payload> {
        self.objects.get(key).and_then(|object| object.value.as_ref())
    }

    fn holds(&self, key: &str, condition: WriteCondition) -> Result<(), StoreFailure> {
        let version = self.objects.get(key).map(|object| object.version);
        let holds = match condition {
            WriteCondition::Always => true,
            WriteCondition::IfAbsent => version.is_none(),
            WriteCondition::IfVersion(wanted) => version == Some(wanted),
        };
        if holds { Ok(()) } else { Err(StoreFailure::Conflict(version)) }
    }

    /// Does what an operation asks for, at once.
    ///
    /// # Errors
    /// A condition that doesn't hold, a value too large, or a watch, which it doesn't know.
    pub fn apply(&mut self, op: StoreOp) -> StoreResult {
        match op {
            StoreOp::Get { key } => Ok(StoreReply::Object(self.objects.get(&key).cloned())),
            StoreOp::Put { key, value, condition } => {
                self.holds(&key, condition)?;
                if value.len() > MAX_OBJECT_BYTES {
                    return Err(StoreFailure::TooLarge);
                }
                self.last += 1;
                let version = ObjectVersion(self.last);
                let written_at = self.clock;
                let object =
                    StoredObject { key: key.clone(), version, value: Some(value), written_at };
                self.objects.insert(key, object);
                Ok(StoreReply::Written(version))
            }
            StoreOp::Delete { key, condition } => {
                self.holds(&key, condition)?;
                self.deleted += u64::from(self.objects.remove(&key).is_some());
                Ok(StoreReply::Deleted)
            }
            StoreOp::List { prefix, after, limit } => {
                let mut keys = self
                    .objects
                    .values()
                    .filter(|object| object.key.starts_with(&prefix))
                    .filter(|object| after.as_ref().is_none_or(|after| object.key > *after));
                let objects = keys.by_ref().take(limit as usize).map(|object| ListedObject {
                    key: object.key.clone(),
                    version: object.version,
                    written_at: object.written_at,
                });
                let objects = objects.collect();
                let more = keys.next().is_some();
                Ok(StoreReply::Listing { objects, store_time: self.clock, more })
            }
            StoreOp::Watch { .. } => Err(StoreFailure::Malformed),
        }
    }
}
