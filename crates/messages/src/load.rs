//! Load as sidecars report it, piggybacked on answers and heartbeats.

use notch_types::prelude::*;
use serde::{Deserialize, Serialize};

/// One target's load behind one sidecar.
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
    /// The concurrency limit in force (learned, within the catalogue's bound).
    pub limit: u32,
    /// Smoothed time to first token, or whole answer of a service, microseconds.
    pub first_token_us: u64,
    /// Whether the target answers at all.
    pub up: bool,
}

/// All targets of a sidecar.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The sidecar's incarnation.
    pub incarnation: Incarnation,
    /// Rises with each report; an older one is ignored.
    pub sequence: u64,
    /// One line a target.
    pub targets: Vec<TargetLoad>,
    /// Digests of prompt heads that the prefix cache likely holds (hints; late, with gaps).
    pub warm_prefixes: Vec<u64>,
    /// Whether the sidecar is leaving.
    pub leaving: bool,
}
