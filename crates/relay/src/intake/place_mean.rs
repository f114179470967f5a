//! How many places items find, in the mean.

use std::time::Duration;

use notch_types::prelude::*;

/// Time over which places count. Online requests come in crests of some seconds: a job that is due
/// later sees several of them, so neither a crest nor the pause after it tells what items will find.
const PLACE_WINDOW: Duration = Duration::from_secs(6);

/// The places of one service that are left to items, in the mean.
#[derive(Debug, Clone, Copy)]
pub struct PlaceMean {
    value: f64,
    at: MonoTime,
}

impl PlaceMean {
    /// So many places are left to items at `now`; nothing was known before.
    pub fn new(places: u32, now: MonoTime) -> Self {
        Self { value: f64::from(places), at: now }
    }

    /// So many are left at `now`.
    pub fn note(&mut self, places: u32, now: MonoTime) {
        let age = now.since(self.at).as_secs_f64() / PLACE_WINDOW.as_secs_f64();
        self.value += (f64::from(places) - self.value) * (1.0 - (-age).exp());
        self.at = now;
    }

    /// The mean.
    pub fn value(&self) -> f64 {
        self.value
    }
}
