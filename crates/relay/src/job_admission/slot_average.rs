//! Average number of slots available to items.

use std::time::Duration;

use notch_types::prelude::*;

/// Averaging time for the slots. Online requests come in bursts of some seconds: a job that is due
/// later sees several of them, so neither a burst nor the pause after it tells what items will find.
const AVERAGING_WINDOW: Duration = Duration::from_secs(6);

/// Average number of slots of one service that are available to items.
#[derive(Debug, Clone, Copy)]
pub struct SlotAverage {
    value: f64,
    at: MonoTime,
}

impl SlotAverage {
    /// Creates an average from its first value, `slots` at `now`.
    pub fn new(slots: u32, now: MonoTime) -> Self {
        Self { value: f64::from(slots), at: now }
    }

    /// Adds a value, `slots` at `now`.
    pub fn note(&mut self, slots: u32, now: MonoTime) {
        let age = now.since(self.at).as_secs_f64() / AVERAGING_WINDOW.as_secs_f64();
        self.value += (f64::from(slots) - self.value) * (1.0 - (-age).exp());
        self.at = now;
    }

    /// The mean.
    pub fn value(&self) -> f64 {
        self.value
    }
}
