//! Replays load patterns against the decisions that ship, in virtual time.
//!
//! Gateways, targets and clients are values; the only randomness is a seeded source, so the same pattern,
//! policy and seed give the same outcome.

pub mod comparison;
pub mod gateway;
pub mod outcome;
pub mod pattern;
pub mod policy;
pub mod schedule;
pub mod target;
pub mod world;

/// What users of the laboratory need.
pub mod prelude {
    pub use crate::{
        comparison::{PairedDifference, PatternComparison, PolicyOutcomes},
        outcome::PlayOutcome,
        pattern::{LoadPattern, LoadStep, TargetLoss},
        policy::SelectionPolicy,
        world::LabWorld,
    };
}
