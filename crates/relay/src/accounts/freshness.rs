//! Age of the known configuration.
//!
//! It is designed for keys being revoked while part of the gateways cannot reach the store. Such a
//! gateway cannot know which keys are still valid, so it rejects all requests that need a key once
//! its configuration is too old.

use std::time::Duration;

use notch_types::prelude::*;

/// Proof that no configuration newer than `version` was acknowledged before `as_of`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConfigurationProof {
    /// Newest version at that time.
    pub version: u64,
    /// Invariant: before the request was sent whose answer reported the version. Taken from a clock
    /// that includes suspended time.
    pub as_of: MonoTime,
}

impl ConfigurationProof {
    /// Creates a proof from an answer that is `age` old to a request sent at `asked`. Returns
    /// `None` if the proof is older than this process: its clock cannot represent such a time, and
    /// a later time would make the proof look newer than it is.
    pub fn from_answer(version: u64, age: Duration, asked: MonoTime) -> Option<Self> {
        let has_time = age <= asked.since(MonoTime::default());
        has_time.then(|| Self { version, as_of: asked - age })
    }
}

/// Age of the known configuration and its maximum.
#[derive(Debug, Clone, Copy, Default)]
pub struct ConfigurationAge {
    /// Maximum age at which requests that need a key are admitted; `None` for no maximum.
    bound: Option<Duration>,
    proof: Option<ConfigurationProof>,
}

impl ConfigurationAge {
    /// Creates the state before the first proof.
    pub fn new(bound: Option<Duration>) -> Self {
        Self { bound, proof: None }
    }

    /// Maximum age at which requests that need a key are admitted.
    pub fn bound(&self) -> Option<Duration> {
        self.bound
    }

    /// Records a proof. Returns whether it could be used: a proof of a version newer than the one
    /// in force does not apply to the latter.
    pub fn note_proof(&mut self, proof: ConfigurationProof, in_force: u64) -> bool {
        if proof.version > in_force {
            return false;
        }
        if self.proof.is_none_or(|known| known.as_of < proof.as_of) {
            self.proof = Some(proof);
        }
        true
    }

    /// Newest proof.
    pub fn proof(&self) -> Option<ConfigurationProof> {
        self.proof
    }

    /// Age of the known configuration at `now`; `None` before the first proof.
    pub fn age(&self, now: MonoTime) -> Option<Duration> {
        self.proof.map(|proof| now.since(proof.as_of))
    }

    /// Whether requests that need a key and were sent before `now` may be admitted.
    pub fn is_fresh(&self, now: MonoTime) -> bool {
        let Some(bound) = self.bound else { return true };
        self.age(now).is_some_and(|age| age < bound)
    }
}
