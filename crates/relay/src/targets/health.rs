//! Target health, derived from the outcomes of requests.

use std::time::Duration;

use notch_types::prelude::*;

/// Avoidance time after a first failure: longer than the usual interval between events (30 ms) and
/// short compared with a restart (seconds), so that one lost answer costs little.
const AVOID_INITIAL: Duration = Duration::from_millis(300);
/// Maximum avoidance time between two probes.
const AVOID_MAX: Duration = Duration::from_secs(2);
/// Number of doublings from the initial to the maximum avoidance time.
const AVOID_DOUBLINGS: u32 = 3;

/// Health of one target.
#[derive(Debug, Clone, Default)]
pub struct TargetHealth {
    /// Failures since the last success.
    failures: u32,
    /// Until when new requests avoid the target.
    avoid_until: MonoTime,
    /// Whether a single request is probing the target. Invariant: only while `failures` is above 0.
    probing: bool,
    /// Whether the target is unresponsive: no request is sent there until it answers a liveness
    /// probe.
    is_silent: bool,
}

impl TargetHealth {
    /// Whether new requests should avoid the target at `now`.
    pub fn is_avoided(&self, now: MonoTime) -> bool {
        self.failures > 0 && (now < self.avoid_until || self.probing || self.is_silent)
    }

    /// Whether the target sent nothing and has not answered a liveness probe since.
    pub fn is_silent(&self) -> bool {
        self.is_silent
    }

    /// Whether a liveness probe should be sent to the target at `now`. Probing with real requests
    /// lost one of them at each try while the target was unreachable.
    pub fn needs_liveness_probe(&self, now: MonoTime) -> bool {
        self.is_silent && now >= self.avoid_until
    }

    /// Records an answered liveness probe: the next request may probe the target further.
    pub fn note_liveness(&mut self) {
        self.is_silent = false;
    }

    /// Records that a request was sent to the target.
    pub fn start(&mut self) {
        self.probing = self.failures > 0;
    }

    /// Records an answered request.
    pub fn succeed(&mut self) {
        *self = Self::default();
    }

    /// Records a failure that is the target's fault; `is_silent` means that the target sent
    /// nothing.
    pub fn fail(&mut self, is_silent: bool, now: MonoTime) {
        let wait = AVOID_INITIAL * 2_u32.pow(self.failures.min(AVOID_DOUBLINGS));
        self.failures = self.failures.saturating_add(1);
        self.avoid_until = now + wait.min(AVOID_MAX);
        self.probing = false;
        self.is_silent = is_silent;
    }

    /// Records that a probing request ended without an indication of the target's health.
    pub fn forget_probe(&mut self) {
        self.probing = false;
    }
}
