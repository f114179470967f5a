//! Load reports of sidecars, piggybacked on answers and heartbeats.

use notch_types::prelude::*;
use serde::{Deserialize, Serialize};

/// Load of one target behind a sidecar.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetLoad {
    /// The target.
    pub target: TargetName,
    /// Online attempts running.
    pub online_running: u32,
    /// Online attempts waiting in the admission queue.
    pub online_waiting: u32,
    /// Batch items running.
    pub batch_running: u32,
    /// The concurrency limit in force: adaptive, within the catalogue's bound.
    pub limit: u32,
    /// Smoothed time to the first token, or to the whole answer of a service, microseconds.
    pub first_token_us: u64,
    /// Whether the target answers.
    pub up: bool,
}

/// Load of all targets of a sidecar.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The sidecar's incarnation.
    pub incarnation: Incarnation,
    /// Increases with each report; older reports are ignored.
    pub sequence: u64,
    /// One entry per target.
    pub targets: Vec<TargetLoad>,
    /// Digests of prompt prefixes that the prefix cache probably holds. Hints only: they may be
    /// outdated or incomplete.
    pub warm_prefixes: Vec<u64>,
    /// Whether the sidecar is leaving.
    pub leaving: bool,
}
