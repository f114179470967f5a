//! Small stand-ins for the platform and for targets: for tests, the demo and measurements.
//!
//! Each one is a value that can be used inside the process, and is served over HTTP on a port of
//! the system's choice. None starts a thread or a process. Each takes faults on command, inside
//! the process or under `/control/` of its control address.

pub mod addresses;
pub mod control;
pub mod engine;
pub mod fault;
pub mod objects;
pub mod platform;
pub mod runs;
pub mod served;
pub mod service;
pub mod vms;
pub mod weights;

pub use addresses::lasting_address;
pub use engine::{EngineHandle, EngineSettings, LoadedModel, expected_text, prompt_text};
pub use fault::{FaultSettings, FaultSwitch};
pub use objects::{MemoryObjects, MemorySettings};
pub use platform::{PlatformHandle, PlatformSettings};
pub use runs::{RunCounts, RunLog};
pub use service::{ServiceHandle, ServiceSettings, expected_answer};
pub use vms::{LaggingVms, VmsSettings};
pub use weights::{PermitDesk, WeightsSettings};

/// A request body or prompt that holds this text crashes the target that runs it.
pub const CRASH_MARKER: &str = "CRASH-TARGET";
