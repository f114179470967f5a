//! The sidecar's decisions: admission, priority, preemption, the attempt table, lots, crash
//! suspects, drain and fencing of orders. No I/O, no clock.

pub mod effect;
pub mod event;
pub mod gate;
pub mod settings;

/// The gate's whole interface.
pub mod prelude {
    pub use crate::{
        effect::{GateEffect, RunRequest},
        event::{DownCause, GapSum, GateEvent, RunEnd, TimingSample},
        gate::AdmissionGate,
        settings::{GateSettings, PolicyWeights, TargetPolicy},
    };
}
