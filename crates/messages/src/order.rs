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

/// A model that an engine holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldModel {
    /// The model's catalogue name.
    pub model: TargetName,
    /// The version held.
    pub version: String,
    /// Adapters loaded beside it, sorted.
    pub adapters: Vec<String>,
}

/// What the target beside a sidecar holds, and which orders the sidecar has ended: sent when it
/// changes, and now and then. The placement holder trusts a copy to stay only when the report
/// carries its own epoch: then no order of an earlier holder can take the copy down any more.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetHoldings {
    /// The sidecar's VM.
    pub vm: VmName,
    /// Its failure domain.
    pub domain: DomainName,
    /// The sidecar's incarnation.
    pub incarnation: Incarnation,
    /// Rises with each report of an incarnation; an older one is ignored.
    pub sequence: u64,
    /// Whether the target answers.
    pub up: bool,
    /// Whether the sidecar is leaving.
    pub leaving: bool,
    /// Models that fit into the target at once; 0 for a plain service.
    pub slots: u32,
    /// The target's role.
    pub role: String,
    /// What it holds.
    pub models: Vec<HeldModel>,
    /// Newest placement epoch that the sidecar knows; `None` after a restart.
    pub epoch: Option<Epoch>,
    /// Highest number of the orders of that epoch that have ended here; 0 when none has.
    pub ended_order: u64,
    /// Whether an order, of whatever epoch, is at the target now, or `models` was read before the
    /// last one ended: such a list may still show a copy that the order took down.
    pub busy: bool,
}

/// Gateway to the gateway that holds the placement lease. Its orders come by relay.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlacementMessage {
    /// What targets linked to the sender hold.
    Holdings(Vec<TargetHoldings>),
    /// How a relayed order ended.
    Ended {
        /// The sidecar.
        vm: VmName,
        /// The order's epoch.
        epoch: Epoch,
        /// The order's number.
        order: u64,
        /// How it ended.
        outcome: OrderOutcome,
    },
}
