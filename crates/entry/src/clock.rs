//! Both clocks of a process.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use notch_types::prelude::*;

/// Reads both clocks; the monotonic one starts with the process.
#[derive(Debug, Clone, Copy)]
pub struct NodeClock {
    start: Instant,
}

impl NodeClock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self { start: Instant::now() }
    }

    /// The monotonic clock.
    pub fn mono(&self) -> MonoTime {
        MonoTime(self.start.elapsed().as_micros() as u64)
    }

    /// The wall clock. It may jump, and differs between VMs.
    pub fn wall(&self) -> WallTime {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        // A clock before 1970 is taken for its beginning; nothing is due then.
        WallTime(since.map_or(0, |d| d.as_millis() as u64))
    }

    /// Both.
    pub fn now(&self) -> Now {
        Now { mono: self.mono(), wall: self.wall() }
    }
}
