//! Keeps requests away from a sidecar whose target keeps failing.

use std::time::Duration;

use notch_types::prelude::*;
use rand::{Rng, RngExt};

use crate::settings::CircuitSettings;

/// Whether a request may go through a circuit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CircuitGate {
    /// Closed: as many as there are.
    Pass,
    /// Half open: one request, to probe.
    Probe,
    /// Open, or a probe is on its way.
    Stop,
}

#[derive(Debug, Clone, Copy)]
enum CircuitState {
    Closed,
    Open { until: MonoTime },
    Probing { attempt: AttemptId },
}

/// The circuit of one target behind one sidecar.
#[derive(Debug)]
pub struct CircuitBreaker {
    state: CircuitState,
    /// Failures in a row.
    failures: u32,
    /// Openings in a row; each doubles the time it stays open.
    openings: u32,
}

impl Default for CircuitBreaker {
    fn default() -> Self {
        Self { state: CircuitState::Closed, failures: 0, openings: 0 }
    }
}

impl CircuitBreaker {
    /// Whether a request may go through now.
    pub fn gate(&self, now: MonoTime) -> CircuitGate {
        match self.state {
            CircuitState::Closed => CircuitGate::Pass,
            CircuitState::Open { until } if until <= now => CircuitGate::Probe,
            CircuitState::Open { .. } | CircuitState::Probing { .. } => CircuitGate::Stop,
        }
    }

    /// When an open circuit lets a probe through.
    pub fn probe_at(&self) -> Option<MonoTime> {
        match self.state {
            CircuitState::Open { until } => Some(until),
            CircuitState::Closed | CircuitState::Probing { .. } => None,
        }
    }

    /// The attempt was dispatched; a half-open circuit takes it as its probe.
    pub fn dispatched(&mut self, now: MonoTime, attempt: AttemptId) {
        if self.gate(now) == CircuitGate::Probe {
            self.state = CircuitState::Probing { attempt };
        }
    }

    /// The target answered. Returns whether this closed the circuit.
    pub fn succeeded(&mut self) -> bool {
        let was_closed = matches!(self.state, CircuitState::Closed);
        *self = Self::default();
        !was_closed
    }

    /// The attempt failed by the target's fault. Returns whether this opened the circuit.
    pub fn failed(
        &mut self,
        now: MonoTime,
        attempt: AttemptId,
        settings: &CircuitSettings,
        rng: &mut impl Rng,
    ) -> bool {
        self.failures = self.failures.saturating_add(1);
        let opens = match self.state {
            CircuitState::Closed => self.failures >= settings.open_after.max(1),
            CircuitState::Probing { attempt: probe } => probe == attempt,
            CircuitState::Open { .. } => false,
        };
        if opens {
            self.state = CircuitState::Open { until: now + self.open_time(settings, rng) };
            self.openings = self.openings.saturating_add(1);
        }
        opens
    }

    /// The attempt ended without telling anything of the target. A probe that did so leaves the
    /// circuit half open, so that the next request can probe.
    pub fn neutral(&mut self, now: MonoTime, attempt: AttemptId) {
        if matches!(self.state, CircuitState::Probing { attempt: probe } if probe == attempt) {
            self.state = CircuitState::Open { until: now };
        }
    }

    /// Half to the whole of the doubled time: sidecars that failed together aren't probed together.
    fn open_time(&self, settings: &CircuitSettings, rng: &mut impl Rng) -> Duration {
        let factor = 1_u32 << self.openings.min(16);
        let bound = settings.open_base.saturating_mul(factor).min(settings.open_cap);
        bound.mul_f64(rng.random_range(0.5..=1.0))
    }
}
