//! Catalogue entries as they travel: opaque JSON under a kind, a name and a version.

use notch_types::prelude::*;
use serde::{Deserialize, Serialize};

/// The kinds of entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum EntryKind {
    /// A caller's account: key hash, limits.
    Account,
    /// A model or plain service: owner, class, limits, retention.
    Target,
    /// The deployment's policy: weights of latency and throughput.
    Policy,
    /// A VM that an operator wants drained.
    Leaving,
}

/// Which entry.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EntryKey {
    /// Its kind.
    pub kind: EntryKind,
    /// Its name, unique within the kind.
    pub name: String,
}

/// Which version of which entry.
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
    /// Its JSON text, validated again on arrival.
    pub body: EntryBody,
}

impl EntryRecord {
    /// The version without the text.
    pub fn stamp(&self) -> EntryStamp {
        EntryStamp { key: self.key.clone(), version: self.version }
    }
}
