//! How old the knowledge of the configuration is.
//!
//! The load that it answers: keys are taken away while a part of the gateways can't reach the store. Such a
//! gateway can't know which keys still hold, so it lets nobody in once its knowledge is too old.

use std::time::Duration;

use notch_types::prelude::*;

/// Evidence that no configuration newer than `version` was acknowledged before `as_of`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConfigurationProof {
    /// The newest version at that moment.
    pub version: u64,
    /// Invariant: before the question was sent whose answer told the version. By a clock that counts
    /// suspended time.
    pub as_of: MonoTime,
}

impl ConfigurationProof {
    /// The proof in an answer that is `age` old, to a question sent at `asked`. `None` where it's older than this
    /// process: no time of its clock is so early, and a later one would make the proof younger than it is.
    pub fn from_answer(version: u64, age: Duration, asked: MonoTime) -> Option<Self> {
        let has_time = age <= asked.since(MonoTime::default());
        has_time.then(|| Self { version, as_of: asked - age })
    }
}

/// How old the knowledge of the configuration is, and how old it may be.
#[derive(Debug, Clone, Copy, Default)]
pub struct ConfigurationAge {
    /// The longest age at which requests with keys are let in; `None` for any.
    bound: Option<Duration>,
    proof: Option<ConfigurationProof>,
}

impl ConfigurationAge {
    /// Nothing is known yet.
    pub fn new(bound: Option<Duration>) -> Self {
        Self { bound, proof: None }
    }

    /// The longest age at which requests with keys are let in.
    pub fn bound(&self) -> Option<Duration> {
        self.bound
    }

    /// Takes a proof; whether it could be used. One of a version that isn't in force here yet proves
    /// nothing of what is.
    pub fn note_proof(&mut self, proof: ConfigurationProof, in_force: u64) -> bool {
        if proof.version > in_force {
            return false;
        }
        if self.proof.is_none_or(|known| known.as_of < proof.as_of) {
            self.proof = Some(proof);
        }
        true
    }

    /// The newest proof.
    pub fn proof(&self) -> Option<ConfigurationProof> {
        self.proof
    }

    /// Age of the knowledge at `now`; `None` before the first proof.
    pub fn age(&self, now: MonoTime) -> Option<Duration> {
        self.proof.map(|proof| now.since(proof.as_of))
    }

    /// Whether requests with keys may be let in that were sent before `now`.
    pub fn is_fresh(&self, now: MonoTime) -> bool {
        let Some(bound) = self.bound else { return true };
        self.age(now).is_some_and(|age| age < bound)
    }
}
