//! Which gateway runs the rate limiter of which account.
//!
//! The load that it answers: an account sends many times its limit while gateways are cut off, killed or
//! started. Two gateways that both ran its limiter would admit twice the limit.

use notch_types::prelude::*;

/// Of the known gateways, the least part that must be heard before a limiter is run here. Two gateways that
/// were cut apart can't both hear that many, unless the fleet is cut into halves whose connections are reset.
const LEAST_HEARD: f64 = 0.375;

/// What a gateway hears of the others.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PeerCounts {
    /// Other gateways that are known.
    pub known: usize,
    /// Those heard now.
    pub heard: usize,
    /// Those whose process ended, by the end of its connection.
    pub ended: usize,
}

impl PeerCounts {
    /// Whether so many are heard that no other group of gateways can run limiters at the same time.
    pub fn has_quorum(self) -> bool {
        let (heard, known) = (self.heard + 1, self.known + 1);
        let voting = known - self.ended.min(self.known);
        heard * 2 > voting && heard as f64 >= known as f64 * LEAST_HEARD
    }
}

/// The gateways among which limiters are divided, as one of them sees it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LimiterView {
    /// Invariant: sorted. Empty while this gateway hears too few others.
    candidates: Vec<VmName>,
}

impl LimiterView {
    /// The view of a gateway that takes part with `candidates`, itself among them.
    pub fn new(census: PeerCounts, mut candidates: Vec<VmName>) -> Self {
        if !census.has_quorum() {
            return Self::default();
        }
        candidates.sort_unstable();
        Self { candidates }
    }

    /// Whether there are limiters at all as far as is known here.
    pub fn has_quorum(&self) -> bool {
        !self.candidates.is_empty()
    }

    /// The gateway that runs an account's limiter, by rendezvous hashing: when one comes or goes, few
    /// accounts change their limiter.
    pub fn limiter(&self, account: &AccountName) -> Option<&VmName> {
        let weight =
            |vm: &&VmName| stable_hash64(&[account.as_str().as_bytes(), vm.as_str().as_bytes()]);
        self.candidates.iter().max_by_key(weight)
    }
}
