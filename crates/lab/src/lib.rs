//! Discrete-event simulator that runs load patterns against the production target selection code in
//! virtual time.
//!
//! Gateways, targets and clients are plain in-memory models, and all randomness comes from one seeded
//! generator, so the same pattern, policy and seed give the same outcome.

pub mod comparison;
pub mod gateway;
pub mod outcome;
pub mod pattern;
pub mod policy;
pub mod schedule;
pub mod simulation;
pub mod study;
pub mod target;

/// The types that most users of this crate need.
pub mod prelude {
    pub use crate::{
        comparison::{PairedDifference, PatternComparison, PolicyOutcomes},
        outcome::{AccountTraffic, FaultTraffic, SimOutcome},
        pattern::{
            AccountFlood, AccountLoad, LoadPattern, LoadStep, SlowSpells, TargetFault, TargetLoss,
        },
        policy::SelectionPolicy,
        simulation::Simulation,
        study::{
            crashing_part::{CrashingPartOutcome, CrashingPartStudy},
            crowded_gateway::{CrowdedGatewayOutcome, CrowdedGatewayStudy},
            taken_up::{TakenUpOutcome, TakenUpStudy},
        },
    };
}
