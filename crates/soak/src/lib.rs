//! A randomized soak of the real programs: gateways as processes of their own on loopback, between
//! stand-ins of the store, of targets and of clients. Faults come from outside of them: connections
//! that a proxy delays, resets, silences or cuts one way, and signals that stop, kill, pause and
//! restart. What clients and targets saw is held against the promises.

pub mod checker;
pub mod clients;
pub mod config;
pub mod fault;
pub mod observation;
pub mod process;
pub mod proxy;
pub mod run;
pub mod settings;
pub mod world;

/// What users of this crate nearly always need.
pub mod prelude {
    pub use crate::{
        checker::{BrokenPromise, PromiseKind, check},
        observation::{Observation, SeenResult},
        run::{SoakReport, run_soak},
        settings::SoakSettings,
    };
}
