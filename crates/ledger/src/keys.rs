//! Names of a shard's objects.

use notch_types::prelude::ShardId;

use crate::seq::Seq;

/// Builds and recognises the keys of one shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ObjectKey {
    /// The shard.
    pub shard: ShardId,
}

impl ObjectKey {
    /// What every key of the shard's own objects starts with.
    pub fn prefix(self) -> String {
        format!("ledger/{:04x}/", self.shard.0)
    }

    /// The head object.
    pub fn head(self) -> String {
        format!("ledger/{:04x}/head", self.shard.0)
    }

    /// A sealed segment. The nonce is its writer's alone, so no two writers share a key.
    pub fn segment(self, first: Seq, nonce: u64) -> String {
        format!("ledger/{:04x}/seg/{:016x}-{nonce:016x}", self.shard.0, first.0)
    }

    /// One part of a snapshot.
    pub fn snapshot_part(self, upto: Seq, nonce: u64, part: u32) -> String {
        format!("ledger/{:04x}/snap/{:016x}-{nonce:016x}/{part:04x}", self.shard.0, upto.0)
    }

    /// What every chunk of the shard's jobs starts with.
    pub fn chunk_prefix(self) -> String {
        format!("chunk/{:04x}/", self.shard.0)
    }
}
