//! Entries of the deployment's policy.

use super::reader::FieldReader;

/// How online and batch work are weighed. The entry named `default` counts.
#[derive(Debug, Clone, PartialEq)]
pub struct PolicyEntry {
    /// What online latency weighs against batch throughput, 0 to 1.
    pub latency_weight: f64,
    /// Share of each target's concurrency that batch work leaves free, 0 to 1.
    pub online_reserve: f64,
    /// Wanted time to the first token for 95 in 100, milliseconds.
    pub first_token_target_ms: u64,
    /// Wanted time between tokens for 95 in 100, milliseconds.
    pub between_token_target_ms: u64,
    /// Retries as a share of requests, 0 to 1.
    pub retry_budget: f64,
    /// Whether the defaults count instead.
    pub retired: bool,
}

impl Default for PolicyEntry {
    fn default() -> Self {
        Self {
            latency_weight: 0.7,
            online_reserve: 0.2,
            first_token_target_ms: 720,
            between_token_target_ms: 74,
            retry_budget: 0.1,
            retired: false,
        }
    }
}

impl PolicyEntry {
    /// The name of the entry that counts.
    pub const NAME: &'static str = "default";

    pub(super) fn read(reader: &mut FieldReader<'_>) -> Self {
        let usual = Self::default();
        let first_token = usual.first_token_target_ms;
        let between_token = usual.between_token_target_ms;
        Self {
            latency_weight: reader.fraction("latency_weight", 0.0..=1.0, usual.latency_weight),
            online_reserve: reader.fraction("online_reserve", 0.0..=1.0, usual.online_reserve),
            first_token_target_ms: reader.whole("first_token_target_ms", 1..=600_000, first_token),
            between_token_target_ms: reader.whole(
                "between_token_target_ms",
                1..=600_000,
                between_token,
            ),
            retry_budget: reader.fraction("retry_budget", 0.0..=1.0, usual.retry_budget),
            retired: reader.boolean("retired", usual.retired),
        }
    }
}
