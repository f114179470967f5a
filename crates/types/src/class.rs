//! Classes of work and kinds of targets.

use serde::{Deserialize, Serialize};

/// Class of work. Both classes share the same targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum WorkClass {
    /// An interactive request whose caller waits for the answer; due within seconds.
    Online,
    /// An item of a batch job; due within hours.
    Batch,
}

/// Kind of process that a target is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TargetKind {
    /// A model engine: streams its answers, keeps a prefix cache and takes placement orders.
    Engine,
    /// A plain service that answers each call as a whole.
    Service,
}
