//! The process's clocks, read at the edge only.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use notch_types::prelude::*;

/// Reads both clocks; its own start is the monotonic clock's zero.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ProcessClock {
    start: Instant,
}

impl ProcessClock {
    pub(crate) fn new() -> Self {
        Self { start: Instant::now() }
    }

    pub(crate) fn now(&self) -> Now {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Now {
            mono: MonoTime(self.start.elapsed().as_micros() as u64),
            wall: WallTime(wall.as_millis() as u64),
        }
    }
}
