//! `[jobs]`: intake of jobs and lots of their items.

use std::time::Duration;

use crate::file::FieldVisitor;

/// Most items of one job that the ledger's indexes allow.
const ITEMS_BOUND: u64 = 4_000_000;
/// Largest chunk object, bytes; a line must fit into one.
const CHUNK_BYTES: u64 = 1 << 20;

/// Intake of jobs and lots of their items.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobSettings {
    /// A lot that is neither renewed nor ended this long is handed out again.
    pub lot_lease: Duration,
    /// Most items of one lot.
    pub lot_items: u32,
    /// Longest line of a job's input, bytes.
    pub max_line: u64,
    /// Most items of one job.
    pub max_items: u32,
    /// Uncommitted results held while the store is down, bytes; when full, pulling stops.
    pub result_buffer: u64,
}

impl Default for JobSettings {
    fn default() -> Self {
        Self {
            lot_lease: Duration::from_secs(30),
            lot_items: 16,
            max_line: 256 << 10,
            max_items: 1_000_000,
            result_buffer: 32 << 20,
        }
    }
}

impl JobSettings {
    pub(crate) fn visit(&mut self, fields: &mut FieldVisitor<'_>) {
        fields.section("jobs");
        fields.duration("lot_lease", &mut self.lot_lease);
        fields.count("lot_items", &mut self.lot_items, 1..=1_024);
        fields.bytes("max_line", &mut self.max_line, 1_024..=CHUNK_BYTES);
        fields.count("max_items", &mut self.max_items, 1..=ITEMS_BOUND);
        fields.bytes("result_buffer", &mut self.result_buffer, 64 << 10..=1 << 30);
    }

    pub(crate) fn check(&self, fields: &mut FieldVisitor<'_>) {
        fields.section("jobs");
        if self.result_buffer < self.max_line {
            fields.clash("result_buffer", "result_buffer is smaller than max_line");
        }
    }
}
