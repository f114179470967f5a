//! Slots kept free of batch, learned from recent rises of online demand.

use std::{collections::VecDeque, time::Duration};

use crate::settings::PolicyWeights;

/// Windows remembered; at half a second each, two seconds: a burst keeps its reserve while it
/// lasts, and batch gets the slots back soon after.
const WINDOWS: usize = 4;

/// Stops that take this long, or longer, are worth the whole reserve; quicker ones in proportion.
const SLOW_STOP: Duration = Duration::from_millis(50);
/// Weight of the newest stop in the smoothed time.
const STOP_GAIN: f64 = 0.1;

/// Remembers how fast online demand rose lately, and how long it takes to stop a batch run.
///
/// A stopped run frees its slot only when the target confirms; a free slot costs the first request
/// of a burst nothing. Where stops are quick, a reserve would only keep slots empty.
#[derive(Debug, Default)]
pub(crate) struct OnlineReserve {
    /// Highest minus lowest demand of each window, newest last; at most [`WINDOWS`].
    rises: VecDeque<u32>,
    low: u32,
    high: u32,
    /// Smoothed time from a stop to its confirmation, microseconds; `None` before the first.
    stop_us: Option<f64>,
}

impl OnlineReserve {
    /// Notes online demand: running and waiting.
    pub(crate) fn note_demand(&mut self, demand: u32) {
        self.low = self.low.min(demand);
        self.high = self.high.max(demand);
    }

    /// Notes how long it took until a run that was told to stop freed its slot.
    pub(crate) fn note_stop(&mut self, took: Duration) {
        let took = took.as_micros() as f64;
        let smoothed = self.stop_us.get_or_insert(took);
        *smoothed += (took - *smoothed) * STOP_GAIN;
    }

    pub(crate) fn close_window(&mut self, demand: u32) {
        if self.rises.len() == WINDOWS {
            self.rises.pop_front();
        }
        self.rises.push_back(self.high - self.low);
        self.low = demand;
        self.high = demand;
    }

    /// Slots to keep free of batch under `limit`.
    pub(crate) fn slots(&self, limit: u32, weights: &PolicyWeights) -> u32 {
        let rise = self.rises.iter().copied().max().unwrap_or(0).max(self.high - self.low);
        let wanted = f64::from(rise) * weights.latency_weight.clamp(0.0, 1.0);
        let most = f64::from(limit) * weights.reserve_share.clamp(0.0, 1.0);
        let slots = wanted.ceil().min(most.floor());
        (slots * self.stop_worth()).round() as u32
    }

    /// Part of the reserve that the time of a stop is worth.
    fn stop_worth(&self) -> f64 {
        let slow = SLOW_STOP.as_micros() as f64;
        self.stop_us.map_or(1.0, |took| (took / slow).min(1.0))
    }
}
