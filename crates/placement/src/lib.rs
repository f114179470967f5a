//! Which target holds which model, adapter and version, and in which role: decisions only.
//!
//! The planner acts while it holds the placement lease, an object changed by conditional update.
//! Its orders carry the lease's epoch as fencing token. It has no I/O, clock or randomness.

pub mod effect;
pub mod event;
pub mod lease;
pub mod model;
pub mod planner;
pub mod probe;
pub mod settings;
pub mod share;

mod census;
mod demand;
mod fleet;
mod guard;
mod orders;
mod plan;

pub use crate::{
    effect::PlacementEffect,
    event::PlacementEvent,
    lease::{LeaseEffect, LeaseEvent, LeaseHolder, LeaseRecord},
    model::ModelWanted,
    planner::PlacementPlanner,
    settings::{LeaseSettings, PlannerSettings},
    share::{CopyNeed, share_out},
};

/// The types nearly every user of this crate needs.
pub mod prelude {
    pub use crate::{
        LeaseSettings, ModelWanted, PlacementEffect, PlacementEvent, PlacementPlanner,
        PlannerSettings,
    };
}
