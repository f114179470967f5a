//! The platform's object API as decisions see it: operations, replies and failures.
//! The platform crate alone knows how they travel.

use serde::{Deserialize, Serialize};

use crate::{ids::CallId, payload::Payload, time::WallTime};

/// Largest value the object API holds, bytes.
pub const MAX_OBJECT_BYTES: usize = 1 << 20;

/// A version the object API gives at each change: rises across all objects, never reused.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct ObjectVersion(pub u64);

/// When a write may take effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteCondition {
    /// Only if there is no object of this key.
    IfAbsent,
    /// Only if the object has this very version.
    IfVersion(ObjectVersion),
    /// Always.
    Always,
}

/// One call to the object API. Every call counts against the platform's rates, a waiting watch too.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreOp {
    /// Reads one object.
    Get {
        /// The object's key.
        key: String,
    },
    /// Writes one object.
    Put {
        /// The object's key.
        key: String,
        /// Its new value, at most [`MAX_OBJECT_BYTES`].
        value: Payload,
        /// When the write may take effect.
        condition: WriteCondition,
    },
    /// Deletes one object; a missing one counts as deleted.
    Delete {
        /// The object's key.
        key: String,
        /// When the deletion may take effect; `IfAbsent` makes no sense here.
        condition: WriteCondition,
    },
    /// Lists keys with `prefix`, in key order, after key `after`.
    List {
        /// What the keys start with.
        prefix: String,
        /// The last key of the page before.
        after: Option<String>,
        /// Most keys to return.
        limit: u32,
    },
    /// Waits until an object under `prefix` has a version above `after`, or `wait_ms` is over.
    Watch {
        /// What the keys start with.
        prefix: String,
        /// Only changes above this version.
        after: ObjectVersion,
        /// Longest wait, milliseconds.
        wait_ms: u64,
    },
}

/// One object with its value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredObject {
    /// The object's key.
    pub key: String,
    /// Its version.
    pub version: ObjectVersion,
    /// Its value; `None` for a deletion seen by a watch.
    pub value: Option<Payload>,
    /// The store's own clock at the write.
    pub written_at: WallTime,
}

/// One line of a listing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedObject {
    /// The object's key.
    pub key: String,
    /// Its version.
    pub version: ObjectVersion,
    /// The store's own clock at the write.
    pub written_at: WallTime,
}

/// A call's answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreReply {
    /// For `Get`; `None` when there is no such object.
    Object(Option<StoredObject>),
    /// For `Put`: the version now in force.
    Written(ObjectVersion),
    /// For `Delete`.
    Deleted,
    /// For `List`: the lines, the store's clock, and whether more follow.
    Listing {
        /// The page.
        objects: Vec<ListedObject>,
        /// The store's clock when it answered.
        store_time: WallTime,
        /// Whether another page follows.
        more: bool,
    },
    /// For `Watch`: changed objects in version order (empty after a quiet wait), and the version
    /// up to which the watcher is now complete.
    Changes {
        /// Changed objects, each at its newest version.
        objects: Vec<StoredObject>,
        /// Where the next watch starts.
        upto: ObjectVersion,
    },
}

/// Why a call gave no answer of its kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreFailure {
    /// The condition didn't hold; nothing was written. Carries the version in force, if known.
    Conflict(Option<ObjectVersion>),
    /// The value is over the platform's size.
    TooLarge,
    /// The platform asks for patience; nothing was written.
    Throttled {
        /// How long to wait, milliseconds.
        retry_after_ms: u64,
    },
    /// The call surely had no effect: never sent, or refused outright.
    Unavailable,
    /// Sent, and no answer came: it may have taken effect.
    Unknown,
    /// The answer can't be understood.
    Malformed,
}

/// A call that a decision wants made.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreCall {
    /// Matches the answer to the call.
    pub call: CallId,
    /// What to do.
    pub op: StoreOp,
}

/// How a call ended.
pub type StoreResult = Result<StoreReply, StoreFailure>;
