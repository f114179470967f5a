//! The object API as a map: versions rise over all objects and are never reused.

use std::collections::BTreeMap;

use notch_types::{object::*, prelude::*};

#[derive(Debug, Default)]
pub(crate) struct FakeStore {
    objects: BTreeMap<String, (ObjectVersion, Payload, WallTime)>,
    last: u64,
}

impl FakeStore {
    pub(crate) fn run(&mut self, wall: WallTime, op: StoreOp) -> StoreResult {
        match op {
            StoreOp::Get { key } => Ok(StoreReply::Object(self.get(&key))),
            StoreOp::Put { key, value, condition } => {
                let current = self.objects.get(&key).map(|(version, ..)| *version);
                check(condition, current)?;
                self.last += 1;
                let version = ObjectVersion(self.last);
                self.objects.insert(key, (version, value, wall));
                Ok(StoreReply::Written(version))
            }
            StoreOp::Delete { key, condition } => {
                if let Some((version, ..)) = self.objects.get(&key) {
                    check(condition, Some(*version))?;
                    self.objects.remove(&key);
                }
                Ok(StoreReply::Deleted)
            }
            StoreOp::List { prefix, after, limit } => Ok(self.list(wall, &prefix, after, limit)),
            StoreOp::Watch { .. } => Err(StoreFailure::Unavailable),
        }
    }

    pub(crate) fn get(&self, key: &str) -> Option<StoredObject> {
        let (version, value, written_at) = self.objects.get(key)?;
        let value = Some(value.clone());
        Some(StoredObject {
            key: key.to_owned(),
            version: *version,
            value,
            written_at: *written_at,
        })
    }

    fn list(&self, wall: WallTime, prefix: &str, after: Option<String>, limit: u32) -> StoreReply {
        let fits =
            |key: &&String| key.starts_with(prefix) && after.as_ref().is_none_or(|a| *key > a);
        let keys: Vec<&String> = self.objects.keys().filter(fits).collect();
        let more = keys.len() > limit as usize;
        let line = |key: &&String| {
            let (version, _, written_at) = &self.objects[*key];
            ListedObject { key: (*key).clone(), version: *version, written_at: *written_at }
        };
        let objects = keys.iter().take(limit as usize).map(line).collect();
        StoreReply::Listing { objects, store_time: wall, more }
    }
}

fn check(condition: WriteCondition, current: Option<ObjectVersion>) -> Result<(), StoreFailure> {
    let holds = match condition {
        WriteCondition::IfAbsent => current.is_none(),
        WriteCondition::IfVersion(version) => current == Some(version),
        WriteCondition::Always => true,
    };
    if holds { Ok(()) } else { Err(StoreFailure::Conflict(current)) }
}
