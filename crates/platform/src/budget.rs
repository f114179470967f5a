//! A local bound on calls to the platform, and the rate actually used.
//!
//! What goes wrong without it: the platform's rates grow more slowly than the fleet, so one node
//! in a tight loop takes the calls that the others need to renew their leases. One would notice
//! throttled calls everywhere. The budget stops the loop at its own node, before the wire.

use std::{collections::VecDeque, time::Duration};

use notch_types::time::MonoTime;

/// How many calls a node may make.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetSettings {
    /// Calls a second over a long time; a waiting watch is one call.
    pub calls_per_second: f64,
    /// Most calls at once after a quiet time.
    pub burst: f64,
}

impl Default for BudgetSettings {
    fn default() -> Self {
        Self { calls_per_second: 100.0, burst: 200.0 }
    }
}

/// Span over which [`CallBudget::rate`] is taken.
const RATE_SPAN: Duration = Duration::from_secs(10);
/// Width of one cell of that span.
const RATE_CELL: Duration = Duration::from_millis(500);

/// A token bucket with a record of the rate. No clock of its own.
#[derive(Debug)]
pub struct CallBudget {
    settings: BudgetSettings,
    /// `0..=burst`.
    tokens: f64,
    filled_at: MonoTime,
    /// Calls by start of their cell, oldest first; at most `RATE_SPAN / RATE_CELL + 1` cells.
    cells: VecDeque<(MonoTime, u32)>,
}

impl CallBudget {
    /// A full bucket.
    pub fn new(settings: BudgetSettings, now: MonoTime) -> Self {
        Self { tokens: settings.burst, settings, filled_at: now, cells: VecDeque::new() }
    }

    /// Takes one call, or says how long until there is one.
    pub fn take(&mut self, now: MonoTime) -> Result<(), Duration> {
        self.refill(now);
        if self.tokens < 1.0 {
            return Err(self.wait_for_one());
        }
        self.tokens -= 1.0;
        self.record(now);
        Ok(())
    }

    /// Calls a second taken over the last ten seconds.
    pub fn rate(&mut self, now: MonoTime) -> f64 {
        self.forget_old(now);
        let calls: u32 = self.cells.iter().map(|(_, count)| count).sum();
        f64::from(calls) / RATE_SPAN.as_secs_f64()
    }

    fn refill(&mut self, now: MonoTime) {
        let elapsed = now.since(self.filled_at).as_secs_f64();
        let tokens = self.tokens + elapsed * self.settings.calls_per_second;
        self.tokens = tokens.min(self.settings.burst);
        self.filled_at = self.filled_at.max(now);
    }

    fn wait_for_one(&self) -> Duration {
        let rate = self.settings.calls_per_second.max(f64::EPSILON);
        let seconds = (1.0 - self.tokens) / rate;
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }

    fn record(&mut self, now: MonoTime) {
        self.forget_old(now);
        match self.cells.back_mut() {
            Some((start, count)) if now.since(*start) < RATE_CELL => *count += 1,
            _ => self.cells.push_back((now, 1)),
        }
    }

    fn forget_old(&mut self, now: MonoTime) {
        while self.cells.front().is_some_and(|(start, _)| now.since(*start) >= RATE_SPAN) {
            self.cells.pop_front();
        }
    }
}
