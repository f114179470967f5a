//! What a caller or a job may ask for.

use serde::{Deserialize, Serialize};

/// The two classes of work that share the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum WorkClass {
    /// A caller waits for the reply; due within seconds.
    Online,
    /// An item of a job; due within hours.
    Batch,
}

/// What kind of process a target is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TargetKind {
    /// A model engine with streams, a prefix cache and orders.
    Engine,
    /// A plain service answering whole calls.
    Service,
}
