//! Placement orders to targets: load or unload a model, or change role.

use notch_types::prelude::*;
use serde::{Deserialize, Serialize};

/// Action that a placement order requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderAction {
    /// Loads a version of a model with adapters.
    Load {
        /// The model's catalogue name.
        model: TargetName,
        /// The model's version in the weight store.
        version: String,
        /// Adapters to load beside it.
        adapters: Vec<String>,
    },
    /// Unloads a model.
    Unload {
        /// The model's catalogue name.
        model: TargetName,
    },
    /// Changes the target's role, for example to `serve`, `prefill` or `standby`.
    Role {
        /// The role's name.
        role: String,
    },
}

/// A placement order with its fencing token.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetOrder {
    /// Number of the order, unique within the epoch. Repeating an order under the same number has no
    /// further effect.
    pub order: u64,
    /// The placement lease's epoch: the fencing token.
    pub epoch: Epoch,
    /// The VM of the sidecar whose target the order is for.
    pub vm: VmName,
    /// The action.
    pub action: OrderAction,
}

/// Outcome of an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderOutcome {
    /// The target carried out the order.
    Done,
    /// The order's epoch is older than `current`.
    Stale {
        /// The newest epoch that the sidecar knows.
        current: Epoch,
    },
    /// The sidecar has restarted and doesn't know the current epoch yet.
    EpochUnknown,
    /// The target refused the order or failed to carry it out.
    Failed {
        /// One sentence for people to read.
        detail: String,
    },
}

/// A model that an engine holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldModel {
    /// The model's catalogue name.
    pub model: TargetName,
    /// Its version.
    pub version: String,
    /// Adapters loaded beside it, sorted.
    pub adapters: Vec<String>,
}

/// The models that a sidecar's target holds, and which orders the sidecar has finished. Sent when
/// this changes, and periodically. The placement holder relies on a copy of a model to stay loaded
/// only if the report carries its own epoch: then no order of an earlier holder can unload the copy.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetHoldings {
    /// The sidecar's VM.
    pub vm: VmName,
    /// Its failure domain.
    pub domain: DomainName,
    /// The sidecar's incarnation.
    pub incarnation: Incarnation,
    /// Increases with each report of an incarnation; older reports are ignored.
    pub sequence: u64,
    /// Whether the target answers.
    pub up: bool,
    /// Whether the sidecar is leaving.
    pub leaving: bool,
    /// Number of models that fit into the target at once; 0 for a plain service.
    pub slots: u32,
    /// The target's role.
    pub role: String,
    /// The models that it holds.
    pub models: Vec<HeldModel>,
    /// Newest placement epoch that the sidecar knows; `None` after a restart until it learns one.
    pub epoch: Option<Epoch>,
    /// Highest number of the orders of that epoch that have ended here; 0 if none has.
    pub ended_order: u64,
    /// Whether the target is carrying out an order of any epoch, or `models` was read before the last
    /// order ended: such a list may still contain a copy that the order unloaded.
    pub busy: bool,
}

/// Gateway to the gateway that holds the placement lease. Its orders to targets of other gateways
/// are sent with `LinkMessage::Relay`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlacementMessage {
    /// The models held by the targets whose sidecars are linked to the sender.
    Holdings(Vec<TargetHoldings>),
    /// Outcome of a relayed order.
    Ended {
        /// The sidecar.
        vm: VmName,
        /// The order's epoch.
        epoch: Epoch,
        /// The order's number.
        order: u64,
        /// The outcome.
        outcome: OrderOutcome,
    },
}
