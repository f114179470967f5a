//! Request outcomes of a target in a sliding window.

use std::time::Duration;

use notch_types::prelude::*;

/// Length of the window. A target with an equal share of 145 requests per second among 39 targets
/// ends eleven of them in this time.
pub const FAILURE_WINDOW: Duration = Duration::from_secs(3);
/// Number of slices of the window.
const SLICES: usize = 12;
/// Length of one slice, in microseconds.
const SLICE_MICROS: u64 = 250_000;
/// Number of failures in the window from which a target is ejected: one may be the fault of the
/// request or of the network.
const MIN_FAILURES: u32 = 2;
/// A target is ejected if at least one in this many of its outcomes is a failure.
const OUTCOMES_PER_FAILURE: u32 = 5;

/// Outcomes in one window.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OutcomeCounts {
    /// All outcomes.
    pub outcomes: u32,
    /// Failures among them.
    pub failures: u32,
}

impl OutcomeCounts {
    /// Whether a target with these outcomes is to be ejected.
    pub fn is_failing(self) -> bool {
        self.failures >= MIN_FAILURES && self.failures * OUTCOMES_PER_FAILURE >= self.outcomes
    }

    /// Share of failures among the outcomes.
    pub fn failure_rate(self) -> f64 {
        f64::from(self.failures) / f64::from(self.outcomes.max(1))
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct WindowSlice {
    /// Number of the slice since the clock's zero.
    number: u32,
    outcomes: u16,
    failures: u16,
}

/// Sliding window over the outcomes of requests at one target.
///
/// It is designed for targets that fail a part of their requests while their health check passes: a
/// success does not reset it.
#[derive(Debug, Clone, Copy, Default)]
pub struct FailureWindow {
    slices: [WindowSlice; SLICES],
}

impl FailureWindow {
    /// Records an outcome.
    pub fn note(&mut self, is_failure: bool, now: MonoTime) {
        let number = slice_number(now);
        let slice = &mut self.slices[number as usize % SLICES];
        if slice.number != number {
            *slice = WindowSlice { number, ..WindowSlice::default() };
        }
        slice.outcomes = slice.outcomes.saturating_add(1);
        slice.failures = slice.failures.saturating_add(u16::from(is_failure));
    }

    /// Outcomes within the window before `now`.
    pub fn counts(&self, now: MonoTime) -> OutcomeCounts {
        let newest = slice_number(now);
        let is_recent = |slice: &&WindowSlice| slice.number + SLICES as u32 > newest;
        let mut counts = OutcomeCounts::default();
        for slice in self.slices.iter().filter(is_recent) {
            counts.outcomes += u32::from(slice.outcomes);
            counts.failures += u32::from(slice.failures);
        }
        counts
    }
}

fn slice_number(now: MonoTime) -> u32 {
    (now.0 / SLICE_MICROS) as u32
}
