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

    /// What a key names, when it's one of the shard's segments or snapshot parts.
    pub fn parse(self, key: &str) -> Option<ParsedKey> {
        let rest = key.strip_prefix(&self.prefix())?;
        if let Some(name) = rest.strip_prefix("seg/") {
            let (first, nonce) = parse_pair(name)?;
            return Some(ParsedKey::Segment { first: Seq(first), nonce });
        }
        let (name, part) = rest.strip_prefix("snap/")?.split_once('/')?;
        let (upto, nonce) = parse_pair(name)?;
        let part = u32::from_str_radix(part, 16).ok()?;
        Some(ParsedKey::SnapshotPart { upto: Seq(upto), nonce, part })
    }
}

/// A key taken apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ParsedKey {
    /// A segment.
    Segment {
        /// Place of its first record.
        first: Seq,
        /// Its writer's nonce.
        nonce: u64,
    },
    /// One part of a snapshot.
    SnapshotPart {
        /// The place up to which the snapshot reaches.
        upto: Seq,
        /// Its writer's nonce.
        nonce: u64,
        /// The part's number.
        part: u32,
    },
}

fn parse_pair(name: &str) -> Option<(u64, u64)> {
    let (first, second) = name.split_once('-')?;
    let number = |text: &str| u64::from_str_radix(text, 16).ok();
    Some((number(first)?, number(second)?))
}
