//! Permits to load model weights, as an edge that tests can replace.

use std::{fmt, sync::Arc};

use futures_util::future::BoxFuture;
use notch_types::prelude::*;
use serde::{Deserialize, Serialize};

/// What a target wants to load.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// The VM that will load.
    pub vm: VmName,
    /// The model's catalogue name.
    pub model: TargetName,
    /// The model's version in the weight store.
    pub version: String,
}

/// Leave to load once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadPermit {
    /// Number of the permit; never given twice.
    pub permit: u64,
    /// How long it may be used, milliseconds from the answer.
    pub valid_ms: u64,
}

/// Why there is no permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PermitFailure {
    /// The store's rate is used up.
    Throttled {
        /// How long to wait, milliseconds.
        retry_after_ms: u64,
    },
    /// The store holds no such model at this version.
    NoSuchVersion,
    /// No answer, or the store said that it can't answer. A permit may have been used up.
    Unavailable,
    /// The answer can't be understood.
    Malformed,
}

impl fmt::Display for PermitFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Throttled { retry_after_ms } => {
                write!(f, "the weight store asks to wait {retry_after_ms} ms")
            }
            Self::NoSuchVersion => f.write_str("the weight store has no such version"),
            Self::Unavailable => f.write_str("the weight store gives no answer"),
            Self::Malformed => f.write_str("the weight store's answer can't be understood"),
        }
    }
}

impl std::error::Error for PermitFailure {}

/// Asks the weight store for leave to load.
pub trait WeightPermits: Send + Sync {
    /// Asks for one load. The store is rate-limited; a refusal says how long to wait.
    fn ask(&self, request: PermitRequest) -> BoxFuture<'_, Result<LoadPermit, PermitFailure>>;
}

impl<T: WeightPermits + ?Sized> WeightPermits for Arc<T> {
    fn ask(&self, request: PermitRequest) -> BoxFuture<'_, Result<LoadPermit, PermitFailure>> {
        (**self).ask(request)
    }
}
