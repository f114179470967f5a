//! What the planner is told.

use std::time::Duration;

use notch_messages::prelude::*;
use notch_types::{object::StoreResult, prelude::*};

use crate::model::ModelWanted;

/// One event at the planner. Every node is told all of it, so that a standby that takes over
/// knows the fleet already.
#[derive(Debug, Clone, PartialEq)]
pub enum PlacementEvent {
    /// The end of a [`PlacementEffect::Call`](crate::effect::PlacementEffect::Call).
    StoreAnswer {
        /// Which call.
        call: CallId,
        /// How it ended.
        result: StoreResult,
    },
    /// Every model in force in the catalogue, retired ones with zero replicas.
    CatalogueModels(Vec<ModelWanted>),
    /// A sidecar reports what its target holds.
    TargetSeen(TargetHoldings),
    /// No gateway has a link to the VM any more.
    TargetGone {
        /// The VM.
        vm: VmName,
    },
    /// The VM list or an operator's entry says that the VM is leaving, or that it stays after
    /// all. What the VM says of itself is in its report.
    TargetLeaving {
        /// The VM.
        vm: VmName,
        /// Whether it is leaving.
        leaving: bool,
    },
    /// A sidecar reports its load.
    LoadSeen {
        /// The VM.
        vm: VmName,
        /// Its load.
        load: LoadReport,
    },
    /// How an order ended.
    OrderEnded {
        /// The VM that was ordered.
        vm: VmName,
        /// The order's epoch.
        epoch: Epoch,
        /// The order's number.
        order: u64,
        /// How it ended.
        outcome: OrderOutcome,
    },
    /// The weight store allows the load.
    PermitGranted {
        /// The epoch of the order that it was wanted for.
        epoch: Epoch,
        /// The order's number.
        order: u64,
    },
    /// The weight store doesn't allow the load now.
    PermitDenied {
        /// The epoch of the order that it was wanted for.
        epoch: Epoch,
        /// The order's number.
        order: u64,
        /// When to ask again.
        retry_after: Duration,
    },
    /// This node's rank among the gateways that may hold the lease, 0 first; `None` when it may
    /// not.
    Prefer(Option<u32>),
    /// The process is leaving: give the lease up.
    Leave,
    /// The time asked for by `next_wake` came.
    Tick,
}
