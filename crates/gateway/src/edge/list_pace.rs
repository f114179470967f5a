//! How often this gateway reads the VM list.

use std::{
    sync::atomic::{AtomicBool, Ordering},
    time::Duration,
};

/// A gateway that is no watcher reads the list this many times less often.
const SELDOM_FACTOR: u32 = 10;

/// Told by the control thread, read by the task that reads the list.
#[derive(Debug)]
pub struct ListPace {
    every: Duration,
    often: AtomicBool,
}

impl ListPace {
    /// Often at first: a starting gateway knows nobody who could tell it.
    pub fn new(every: Duration) -> Self {
        Self { every, often: AtomicBool::new(true) }
    }

    /// Whether this gateway watches the list for its domain.
    pub fn set_often(&self, often: bool) {
        self.often.store(often, Ordering::Relaxed);
    }

    /// The pause until the next reading.
    pub fn pause(&self) -> Duration {
        if self.often.load(Ordering::Relaxed) { self.every } else { self.every * SELDOM_FACTOR }
    }
}
