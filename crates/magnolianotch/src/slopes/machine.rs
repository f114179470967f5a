//! What the kernel says of this process and machine.

use std::{
    fs,
    time::{Duration, Instant},
};

/// Bytes of a page of memory.
const PAGE_BYTES: usize = 4_096;

/// Resident memory of this process, bytes; 0 where the kernel doesn't tell.
pub fn resident_bytes() -> usize {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|pages| pages.parse::<usize>().ok());
    pages.unwrap_or_default() * PAGE_BYTES
}

/// Load average over the last minute; 0 where the kernel doesn't tell.
pub fn load_average() -> f64 {
    let text = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split_whitespace().next().and_then(|load| load.parse().ok()).unwrap_or(0.0)
}

/// Processors that this process may use.
pub fn processors() -> usize {
    std::thread::available_parallelism().map_or(1, usize::from)
}

/// Processor time of one thread from a moment on. By the kernel's count, which leaves out the
/// time that other processes on a busy machine take; by the clock where there is none. The count
/// moves on in steps of a few milliseconds: for spans of a tenth of a second and more.
#[derive(Debug)]
pub struct ProcessorClock {
    started: Instant,
    spent: Option<u64>,
}

impl ProcessorClock {
    /// Starts now.
    pub fn start() -> Self {
        Self { spent: spent_nanos(), started: Instant::now() }
    }

    /// Processor time since the start.
    pub fn spent(&self) -> Duration {
        match (self.spent, spent_nanos()) {
            (Some(from), Some(to)) => Duration::from_nanos(to.saturating_sub(from)),
            _ => self.started.elapsed(),
        }
    }
}

/// Processor time of this thread so far, nanoseconds.
fn spent_nanos() -> Option<u64> {
    let text = fs::read_to_string("/proc/thread-self/schedstat").ok()?;
    text.split_whitespace().next()?.parse().ok()
}

/// The least of `rounds` measurements: what other work on the machine adds is never negative.
pub fn least_of(rounds: usize, mut measure: impl FnMut() -> f64) -> f64 {
    (0..rounds).map(|_| measure()).fold(f64::INFINITY, f64::min)
}
