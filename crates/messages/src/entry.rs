//! Catalogue entries as sent between processes: opaque JSON with a kind, a name and a version.

use notch_types::prelude::*;
use serde::{Deserialize, Serialize};

/// Kind of a catalogue entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum EntryKind {
    /// A caller's account: key hash, limits.
    Account,
    /// A model or plain service: owner, class, limits, retention.
    Target,
    /// The deployment's policy: weights of latency and throughput.
    Policy,
    /// A VM that an operator has requested to drain.
    Leaving,
}

/// Key of an entry.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EntryKey {
    /// Its kind.
    pub kind: EntryKind,
    /// Its name, unique within the kind.
    pub name: String,
}

/// Key and version of an entry.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EntryStamp {
    /// The entry.
    pub key: EntryKey,
    /// Its version in the object API.
    pub version: EntryVersion,
}

/// An entry's JSON text.
pub type EntryBody = Payload;

/// An entry at a version. A retired entry is an edit with `"retired": true`, never a deletion.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryRecord {
    /// The entry.
    pub key: EntryKey,
    /// Its version in the object API.
    pub version: EntryVersion,
    /// Its JSON text; the receiver validates it again.
    pub body: EntryBody,
}

impl EntryRecord {
    /// The entry's key and version, without its text.
    pub fn stamp(&self) -> EntryStamp {
        EntryStamp { key: self.key.clone(), version: self.version }
    }
}
