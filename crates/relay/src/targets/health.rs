//! Whether a target is avoided, by outcomes of real requests.

use std::time::Duration;

use notch_types::prelude::*;

/// First time a target is avoided after a failure: longer than an event's usual pace (30 ms), short
/// against a restart (seconds), so that one lost answer costs little.
const AVOID_FIRST: Duration = Duration::from_millis(300);
/// Longest time a target is avoided between two probes.
const AVOID_LONGEST: Duration = Duration::from_secs(2);
/// Doublings from the first time to the longest.
const AVOID_DOUBLINGS: u32 = 3;

/// Evidence for and against one target.
#[derive(Debug, Clone, Default)]
pub struct TargetHealth {
    /// Failures since the last success.
    failures: u32,
    /// New requests avoid the target until then.
    avoid_until: MonoTime,
    /// One request was let through to find out. Invariant: only while `failures` is above 0.
    probing: bool,
    /// The target went silent: no request is risked until it answers a call that runs nothing.
    is_silent: bool,
}

impl TargetHealth {
    /// Whether new requests should go elsewhere at `now`.
    pub fn is_avoided(&self, now: MonoTime) -> bool {
        self.failures > 0 && (now < self.avoid_until || self.probing || self.is_silent)
    }

    /// Whether a liveness probe should go to the target at `now`. Real requests sent to find
    /// out were lost at each try while a target was dark.
    pub fn needs_liveness_probe(&self, now: MonoTime) -> bool {
        self.is_silent && now >= self.avoid_until
    }

    /// The target answered a liveness probe: one request may go there and find out the rest.
    pub fn note_liveness(&mut self) {
        self.is_silent = false;
    }

    /// A request starts there.
    pub fn start(&mut self) {
        self.probing = self.failures > 0;
    }

    /// A request was answered.
    pub fn succeed(&mut self) {
        *self = Self::default();
    }

    /// A request failed in a way that blames the target; `is_silent` when nothing came from it.
    pub fn fail(&mut self, is_silent: bool, now: MonoTime) {
        let wait = AVOID_FIRST * 2_u32.pow(self.failures.min(AVOID_DOUBLINGS));
        self.failures = self.failures.saturating_add(1);
        self.avoid_until = now + wait.min(AVOID_LONGEST);
        self.probing = false;
        self.is_silent = is_silent;
    }

    /// A probe ended without saying anything about the target.
    pub fn forget_probe(&mut self) {
        self.probing = false;
    }
}
