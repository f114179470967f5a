//! Entries of callers' accounts.

use notch_types::class::WorkClass;

use super::{fault::FaultKind, reader::FieldReader};

/// How much an account may ask for, over the whole fleet.
#[derive(Debug, Clone, PartialEq)]
pub struct AccountLimits {
    /// Requests a second in the long run.
    pub requests_per_s: f64,
    /// Requests at once above that rate.
    pub burst: u32,
    /// Requests in flight.
    pub concurrency: u32,
    /// Share of batch capacity against other accounts; 1 is the usual share.
    pub batch_weight: f64,
}

impl Default for AccountLimits {
    fn default() -> Self {
        Self { requests_per_s: 50.0, burst: 100, concurrency: 64, batch_weight: 1.0 }
    }
}

/// A caller's account.
#[derive(Debug, Clone, PartialEq)]
pub struct AccountEntry {
    /// Who answers for it.
    pub owner: String,
    /// The class its work has unless it says otherwise.
    pub class: WorkClass,
    /// SHA-256 of its key.
    pub key_sha256: [u8; 32],
    /// How much it may ask for.
    pub limits: AccountLimits,
    /// Whether it is closed.
    pub retired: bool,
}

impl AccountEntry {
    pub(super) fn read(reader: &mut FieldReader<'_>) -> Self {
        let classes = [WorkClass::Online, WorkClass::Batch];
        Self {
            owner: reader.required_text("owner"),
            class: classes[reader.word("class", &["online", "batch"], 0)],
            key_sha256: read_digest(reader),
            limits: reader.section("limits", read_limits).unwrap_or_default(),
            retired: reader.boolean("retired", false),
        }
    }
}

fn read_digest(reader: &mut FieldReader<'_>) -> [u8; 32] {
    let text = reader.required_text("key_sha256");
    let mut digest = [0; 32];
    if !text.is_empty() && hex::decode_to_slice(&text, &mut digest).is_err() {
        reader.fault("key_sha256", FaultKind::WrongType { expected: "64 hexadecimal digits" });
    }
    digest
}

fn read_limits(reader: &mut FieldReader<'_>) -> AccountLimits {
    let usual = AccountLimits::default();
    AccountLimits {
        requests_per_s: reader.fraction("requests_per_s", 0.001..=1e6, usual.requests_per_s),
        burst: reader.count("burst", 1..=1_000_000, usual.burst),
        concurrency: reader.count("concurrency", 1..=1_000_000, usual.concurrency),
        batch_weight: reader.fraction("batch_weight", 0.001..=1_000.0, usual.batch_weight),
    }
}
