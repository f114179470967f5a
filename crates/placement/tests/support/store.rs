//! The lease's object, with the failures of the real store.

use notch_types::{
    object::{
        ObjectVersion, StoreFailure, StoreOp, StoreReply, StoreResult, StoredObject, WriteCondition,
    },
    prelude::*,
};

use super::Dice;

/// How the store answers from now on.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct StoreMood {
    /// In a hundred calls, those refused outright.
    pub(crate) unavailable: u64,
    /// In a hundred calls, those that take effect and whose answer is lost.
    pub(crate) answer_lost: u64,
    /// In a hundred calls, those lost before they take effect, as the caller can't know.
    pub(crate) request_lost: u64,
}

#[derive(Debug, Default)]
pub(crate) struct FakeStore {
    pub(crate) object: Option<(ObjectVersion, Payload)>,
    pub(crate) mood: StoreMood,
    pub(crate) calls: u64,
    newest: u64,
}

impl FakeStore {
    pub(crate) fn answer(&mut self, op: &StoreOp, dice: &mut Dice) -> StoreResult {
        self.calls += 1;
        let (roll, mood) = (dice.roll(100), self.mood);
        if roll < mood.unavailable {
            return Err(StoreFailure::Unavailable);
        }
        if roll < mood.unavailable + mood.request_lost {
            return Err(StoreFailure::Unknown);
        }
        let result = self.apply(op);
        if roll < mood.unavailable + mood.request_lost + mood.answer_lost {
            return Err(StoreFailure::Unknown);
        }
        result
    }

    fn apply(&mut self, op: &StoreOp) -> StoreResult {
        match op {
            StoreOp::Get { key } => {
                let object = self.object.clone().map(|(version, value)| StoredObject {
                    key: key.clone(),
                    version,
                    value: Some(value),
                    written_at: WallTime(0),
                });
                Ok(StoreReply::Object(object))
            }
            StoreOp::Put { value, condition, .. } => {
                let version = self.object.as_ref().map(|(version, _)| *version);
                let allowed = match condition {
                    WriteCondition::IfAbsent => version.is_none(),
                    WriteCondition::IfVersion(wanted) => version == Some(*wanted),
                    WriteCondition::Always => true,
                };
                if !allowed {
                    return Err(StoreFailure::Conflict(version));
                }
                self.newest += 1;
                let version = ObjectVersion(self.newest);
                self.object = Some((version, value.clone()));
                Ok(StoreReply::Written(version))
            }
            other => panic!("placement never calls {other:?}"),
        }
    }
}
