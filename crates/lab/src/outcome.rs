//! What a play came to.

use serde::Serialize;

/// What a play came to.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct PlayOutcome {
    /// Online requests that came.
    pub online: u64,
    /// Their first event came within the objective.
    pub in_time: u64,
    /// Late: every place was taken, or queued for, when the target was chosen.
    pub late_all_taken: u64,
    /// Late: a place was free elsewhere then.
    pub late_place_free: u64,
    /// Late: a target failed it first.
    pub late_target_failed: u64,
    /// Told to come back, or given up.
    pub refused: u64,
    /// Places asked for at other gateways.
    pub asks: u64,
    /// Items whose time to be done came.
    pub items: u64,
    /// Done before they were due.
    pub items_in_time: u64,
    /// Runs of items that were broken off for online requests.
    pub cut_runs: u64,
}

impl PlayOutcome {
    /// Share of online requests in time.
    pub fn online_share(&self) -> f64 {
        self.in_time as f64 / self.online.max(1) as f64
    }

    /// Share of items in time.
    pub fn item_share(&self) -> f64 {
        self.items_in_time as f64 / self.items.max(1) as f64
    }

    /// Share of online requests that were late though a place was free elsewhere.
    pub fn place_free_share(&self) -> f64 {
        self.late_place_free as f64 / self.online.max(1) as f64
    }

    /// Asks for a place, for each online request.
    pub fn asks_per_request(&self) -> f64 {
        self.asks as f64 / self.online.max(1) as f64
    }
}
