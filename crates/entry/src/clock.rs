//! Both clocks of a process.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use notch_types::prelude::*;
use rustix::time::{ClockId, clock_gettime};

/// Reads both clocks; the monotonic one starts with the process.
#[derive(Debug, Clone, Copy)]
pub struct NodeClock {
    start: Instant,
    /// Microseconds of the boot clock at the start.
    boot_start: u64,
}

impl NodeClock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self { start: Instant::now(), boot_start: boot_micros() }
    }

    /// The monotonic clock.
    pub fn mono(&self) -> MonoTime {
        MonoTime(self.start.elapsed().as_micros() as u64)
    }

    /// The clock that counts the time in which the VM was suspended, too. From the same zero.
    pub fn boot(&self) -> MonoTime {
        MonoTime(boot_micros().saturating_sub(self.boot_start))
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

fn boot_micros() -> u64 {
    let now = clock_gettime(ClockId::Boottime);
    now.tv_sec as u64 * 1_000_000 + now.tv_nsec as u64 / 1_000
}
