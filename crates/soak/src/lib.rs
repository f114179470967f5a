//! Randomized soak test of the real gateway program. Gateways run as separate processes on loopback, with
//! stand-ins for the store, the targets and the clients. Faults are injected from outside of the processes:
//! proxies delay, reset or stall connections or drop their answers, and signals stop, kill, pause and restart
//! gateways.
//! Afterwards the observations of clients and targets are checked against the guarantees of the system.

pub mod account_window;
pub mod checker;
pub mod clients;
pub mod cluster;
pub mod config;
pub mod crash_check;
mod crash_clients;
pub mod culprit;
mod deadline_check;
pub mod failing_items;
pub mod fault;
pub mod limited_accounts;
pub mod observation;
pub mod process;
pub mod proxy;
pub mod run;
pub mod settings;

/// The types that most users of this crate need.
pub mod prelude {
    pub use crate::{
        account_window::{AccountQuota, WindowExcess},
        checker::{BrokenPromise, PromiseKind, check, count_crashes},
        crash_check::CrashCount,
        culprit::{CrashCulprit, ResendInterval},
        observation::{Observation, SeenResult},
        run::{SoakReport, run_soak},
        settings::SoakSettings,
    };
}
