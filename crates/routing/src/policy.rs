//! What the catalogue says of targets and accounts.

use std::time::Duration;

use notch_types::{class::TargetKind, prelude::*};

/// A target's entry, as far as routing goes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetPolicy {
    /// The target.
    pub target: TargetName,
    /// Engine or service.
    pub kind: TargetKind,
    /// Whether calls may be repeated when neither caller nor path says otherwise.
    pub idempotent: bool,
    /// Path prefixes whose calls must never be repeated.
    pub non_idempotent_paths: Vec<String>,
    /// Most work at one sidecar; the reported limit counts when it is lower.
    pub concurrency: u32,
    /// Deadline of a request that names none.
    pub default_deadline: Option<Duration>,
    /// Most attempts that may wait in one sidecar's admission queue; `None` leaves it to
    /// [`ChoiceSettings::full_ratio`](crate::settings::ChoiceSettings::full_ratio).
    pub queue: Option<u32>,
}

impl TargetPolicy {
    /// A repeatable engine target with a concurrency bound of `concurrency`.
    pub fn engine(target: TargetName, concurrency: u32) -> Self {
        Self {
            target,
            kind: TargetKind::Engine,
            idempotent: true,
            non_idempotent_paths: Vec::new(),
            concurrency,
            default_deadline: None,
            queue: None,
        }
    }

    /// Whether a call of `path` with the caller's mark may be repeated.
    pub fn allows_repeat(&self, path: &str, mark: Option<bool>) -> bool {
        let listed = self.non_idempotent_paths.iter().any(|prefix| path.starts_with(prefix));
        !listed && mark.unwrap_or(self.idempotent)
    }
}

/// An account's limits over all gateways. Zero means no limit.
#[derive(Debug, Clone, PartialEq)]
pub struct AccountLimit {
    /// The account.
    pub account: AccountName,
    /// Requests a second.
    pub requests_per_s: f64,
    /// Requests at once after a quiet time.
    pub burst: f64,
    /// Requests in flight.
    pub concurrency: u32,
}
