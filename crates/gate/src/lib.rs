//! The sidecar's decisions: admission, priority, preemption, the attempt table, lots, crash
//! suspects, drain and fencing of orders. No I/O, no clock.

mod concurrency_limit;
mod core;
pub mod effect;
pub mod event;
pub mod gate;
mod gateway_roster;
mod lot_memory;
mod online_reserve;
mod order_fence;
mod result_buffer;
mod run_record;
pub mod settings;
mod suspect_table;
mod target_state;
mod timer_set;
mod tombstone_set;

/// The gate's whole interface.
pub mod prelude {
    pub use crate::{
        effect::{GateEffect, RunRequest},
        event::{DownCause, EngineHoldings, GapSum, GateEvent, RunEnd, TimingSample},
        gate::AdmissionGate,
        settings::{AdmissionRule, GateSettings, PolicyWeights, TargetPolicy},
    };
}
