//! Assignment of accounts to the gateways that run their rate limiters.
//!
//! It is designed for an account that sends many times its limit while gateways are partitioned,
//! killed or started. If two gateways both ran its limiter, they would admit twice the limit.

use notch_types::prelude::*;

/// Minimum fraction of the known gateways that must be heard from before a limiter is run here. Two
/// groups of gateways that are partitioned from each other cannot both reach it, unless the fleet
/// is split into halves and the connections between them are reset.
const MIN_HEARD_FRACTION: f64 = 0.375;

/// Numbers of other gateways by their state.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PeerCounts {
    /// Known gateways.
    pub known: usize,
    /// Gateways that are currently heard from.
    pub heard: usize,
    /// Gateways whose connection ended, which is taken as the end of their process.
    pub ended: usize,
}

impl PeerCounts {
    /// Whether enough gateways are heard from that no other group of gateways can run limiters at
    /// the same time.
    pub fn has_quorum(self) -> bool {
        let (heard, known) = (self.heard + 1, self.known + 1);
        let voting = known - self.ended.min(self.known);
        heard * 2 > voting && heard as f64 >= known as f64 * MIN_HEARD_FRACTION
    }
}

/// Gateways among which limiters are divided, as seen by one of them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LimiterView {
    /// Invariant: sorted. Empty while too few other gateways are heard from.
    candidates: Vec<VmName>,
}

impl LimiterView {
    /// Creates the view of a gateway that takes part together with `candidates`, which include it.
    pub fn new(census: PeerCounts, mut candidates: Vec<VmName>) -> Self {
        if !census.has_quorum() {
            return Self::default();
        }
        candidates.sort_unstable();
        Self { candidates }
    }

    /// Whether enough gateways are heard from for limiters to exist.
    pub fn has_quorum(&self) -> bool {
        !self.candidates.is_empty()
    }

    /// The gateway that runs an account's limiter. Rendezvous hashing keeps most assignments when a
    /// gateway joins or leaves.
    pub fn limiter(&self, account: &AccountName) -> Option<&VmName> {
        let weight =
            |vm: &&VmName| stable_hash64(&[account.as_str().as_bytes(), vm.as_str().as_bytes()]);
        self.candidates.iter().max_by_key(weight)
    }
}
