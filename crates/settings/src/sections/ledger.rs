//! `[ledger]`: the ledger's shards on the object API.

use std::time::Duration;

use crate::file::FieldVisitor;

/// Most shards: the two-year size needs 64.
const SHARDS_BOUND: u64 = 1_024;
/// Largest object the platform holds, bytes.
const OBJECT_BYTES: u64 = 1 << 20;

/// The ledger's shards on the object API.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LedgerSettings {
    /// Number of shards; the same on every gateway, and never changed while jobs are open.
    pub shards: u16,
    /// An owner whose head stands still this long is taken over. At least twice `renew`.
    pub lease: Duration,
    /// An idle owner renews its lease this often.
    pub renew: Duration,
    /// Longest wait of a record for others to share its commit. Shorter than `renew`.
    pub commit_delay_max: Duration,
    /// Records held in the head itself before they are sealed into a segment, bytes.
    pub inline_limit: u64,
    /// Age at which unreferenced chunks and segments are deleted. At least twice the lease.
    pub grace: Duration,
}

impl Default for LedgerSettings {
    fn default() -> Self {
        Self {
            shards: 8,
            lease: Duration::from_secs(4),
            renew: Duration::from_secs(1),
            commit_delay_max: Duration::from_millis(250),
            inline_limit: 64 << 10,
            grace: Duration::from_secs(600),
        }
    }
}

impl LedgerSettings {
    pub(crate) fn visit(&mut self, fields: &mut FieldVisitor<'_>) {
        fields.section("ledger");
        fields.small_count("shards", &mut self.shards, 1..=SHARDS_BOUND);
        fields.duration("lease", &mut self.lease);
        fields.duration("renew", &mut self.renew);
        fields.duration("commit_delay_max", &mut self.commit_delay_max);
        fields.bytes("inline_limit", &mut self.inline_limit, 1_024..=OBJECT_BYTES / 2);
        fields.duration("grace", &mut self.grace);
    }

    pub(crate) fn check(&self, fields: &mut FieldVisitor<'_>) {
        fields.section("ledger");
        if self.lease < self.renew * 2 {
            fields.clash("lease", "lease is shorter than twice its renewal");
        }
        if self.commit_delay_max >= self.renew {
            fields.clash("commit_delay_max", "commit_delay_max is not shorter than renew");
        }
        if self.commit_delay_max >= self.lease {
            fields.clash("commit_delay_max", "commit_delay_max is not shorter than lease");
        }
        if self.grace < self.lease * 2 {
            fields.clash("grace", "grace is shorter than twice the lease");
        }
    }
}
