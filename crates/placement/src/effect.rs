//! What the planner wants done.

use notch_messages::prelude::*;
use notch_types::{object::StoreCall, prelude::*};

/// One effect; carried out in the order given.
#[derive(Debug, Clone, PartialEq)]
pub enum PlacementEffect {
    /// Make this call to the object API. Ids are unique within the planner.
    Call(StoreCall),
    /// Send this order to its VM's sidecar. The same order may be sent again.
    Order(TargetOrder),
    /// Ask the weight store for a permit to load.
    WantPermit {
        /// The epoch of the order.
        epoch: Epoch,
        /// The order that waits for it.
        order: u64,
        /// The VM that would load.
        vm: VmName,
        /// The model.
        model: TargetName,
        /// Its version.
        version: String,
    },
    /// This epoch is in force, says the object API: tell the sidecars.
    EpochKnown(Epoch),
    /// This sidecar doesn't know the epoch in force: tell it.
    TellEpoch {
        /// The sidecar's VM.
        vm: VmName,
        /// The epoch in force.
        epoch: Epoch,
    },
    /// Count.
    Count(Counter),
    /// Leave a note for `explain`.
    Note(DecisionNote),
}
