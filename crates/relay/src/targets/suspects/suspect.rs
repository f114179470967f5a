//! What may have crashed a target.

use std::fmt;

use notch_types::prelude::*;
use serde::{Deserialize, Serialize};

/// What may have crashed a target, by its fingerprint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum CrashSuspect {
    /// A request as a whole, by path and body. It is the same when its client sends it again.
    Request(u64),
    /// A part of prompts.
    Part(u64),
}

impl CrashSuspect {
    /// Fingerprint of a request.
    pub fn request_id(path: &str, body: &[u8]) -> u64 {
        stable_hash64(&[path.as_bytes(), body])
    }

    /// The fingerprint.
    pub fn id(self) -> u64 {
        match self {
            Self::Request(id) | Self::Part(id) => id,
        }
    }

    /// Whether both are requests, or both are parts.
    pub fn is_same_kind(self, other: Self) -> bool {
        std::mem::discriminant(&self) == std::mem::discriminant(&other)
    }
}

impl fmt::Display for CrashSuspect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Request(id) => write!(f, "request:{id:016x}"),
            Self::Part(id) => write!(f, "part:{id:016x}"),
        }
    }
}

/// The suspects that one request contains.
#[derive(Debug, Clone, Copy)]
pub struct RequestSuspects<'a> {
    /// Fingerprint of the request.
    pub request: u64,
    /// The parts of its prompt that other prompts may share.
    pub parts: &'a [u64],
}

impl RequestSuspects<'_> {
    /// All of them: the request itself, then its parts in their order.
    pub fn iter(&self) -> impl Iterator<Item = CrashSuspect> {
        let parts = self.parts.iter().copied().map(CrashSuspect::Part);
        std::iter::once(CrashSuspect::Request(self.request)).chain(parts)
    }
}

/// Evidence against one suspect: a target crashed while it ran a request that contains it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The suspect.
    pub suspect: CrashSuspect,
    /// The incarnation of the target that crashed.
    pub target: String,
    /// Fingerprint of the request.
    pub request: u64,
    /// Id of the last event that the run had passed on, or that the request went on after.
    pub reached: Option<u64>,
}

/// Crashes under a request that is not refused yet, as recorded for other processes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestCrashes {
    /// Fingerprint of the request.
    pub request: u64,
    /// Fingerprints of the incarnations that crashed, for each crash. Invariant: few.
    pub targets: Vec<u64>,
    /// The last event that any of the runs reached.
    pub reached: Option<u64>,
}
