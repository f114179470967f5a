//! Orders to targets: what to load, drop or become.

use notch_types::prelude::*;
use serde::{Deserialize, Serialize};

/// What the target is to do.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderAction {
    /// Load a model at a version, with adapters.
    Load {
        /// The model's catalogue name.
        model: TargetName,
        /// The model's version in the weight store.
        version: String,
        /// Adapters to load beside it.
        adapters: Vec<String>,
    },
    /// Unload a model.
    Unload {
        /// The model's catalogue name.
        model: TargetName,
    },
    /// Change role (for example `serve`, `prefill`, `standby`).
    Role {
        /// The role's name.
        role: String,
    },
}

/// An order under a fencing token.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetOrder {
    /// Unique within the epoch; the same number again is the same order (idempotent).
    pub order: u64,
    /// The placement lease's epoch: the fencing token.
    pub epoch: Epoch,
    /// The sidecar whose target is meant.
    pub vm: VmName,
    /// What to do.
    pub action: OrderAction,
}

/// How an order ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderOutcome {
    /// The target did it.
    Done,
    /// The token is older than `current`.
    Stale {
        /// The newest epoch the sidecar knows.
        current: Epoch,
    },
    /// The sidecar restarted and has not read the current epoch yet.
    EpochUnknown,
    /// The target refused or failed.
    Failed {
        /// One sentence for a person.
        detail: String,
    },
}
