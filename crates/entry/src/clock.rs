//! The monotonic, boot and wall clocks of a process.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use notch_types::prelude::*;
use rustix::time::{ClockId, clock_gettime};

/// Reads the clocks. The monotonic and the boot clock count from the start of the process.
#[derive(Debug, Clone, Copy)]
pub struct NodeClock {
    start: Instant,
    /// Reading of the boot clock at the start, in microseconds.
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

    /// The boot clock, which also counts the time in which the VM was suspended. It has the same origin as the
    /// monotonic clock.
    pub fn boot(&self) -> MonoTime {
        MonoTime(boot_micros().saturating_sub(self.boot_start))
    }

    /// The wall clock. It may jump, and differs between VMs.
    pub fn wall(&self) -> WallTime {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        // A wall clock before 1970 reads as 0, so that nothing is due.
        WallTime(since.map_or(0, |d| d.as_millis() as u64))
    }

    /// The monotonic and the wall clock.
    pub fn now(&self) -> Now {
        Now { mono: self.mono(), wall: self.wall() }
    }
}

fn boot_micros() -> u64 {
    let now = clock_gettime(ClockId::Boottime);
    now.tv_sec as u64 * 1_000_000 + now.tv_nsec as u64 / 1_000
}
