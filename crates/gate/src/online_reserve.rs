//! Slots kept free of batch, learned from recent rises of online demand.

use std::collections::VecDeque;

use crate::settings::PolicyWeights;

/// Windows remembered; at half a second each, fifteen seconds.
const WINDOWS: usize = 30;

/// Remembers how fast online demand rose lately.
///
/// A stopped batch run frees its slot only at the target's next step; a free slot costs the first
/// request of a burst nothing.
#[derive(Debug, Default)]
pub(crate) struct OnlineReserve {
    /// Highest minus lowest demand of each window, newest last; at most [`WINDOWS`].
    rises: VecDeque<u32>,
    low: u32,
    high: u32,
}

impl OnlineReserve {
    /// Notes online demand: running and waiting.
    pub(crate) fn note_demand(&mut self, demand: u32) {
        self.low = self.low.min(demand);
        self.high = self.high.max(demand);
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
        wanted.ceil().min(most.floor()) as u32
    }
}
