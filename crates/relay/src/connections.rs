//! Which new client connections a gateway takes.
//!
//! When most new connections come to one gateway, it runs out of processor time or descriptors while
//! the others have both to spare. A connection that is closed before anything was read from it costs
//! little, and its client tries another gateway at once.

use std::time::Duration;

/// Settings of the connection gate.
#[derive(Debug, Clone, PartialEq)]
pub struct ConnectionGateSettings {
    /// Maximum number of open client connections.
    pub max_open: usize,
    /// Delay of a task beyond which the process is overloaded: a third of the usual objective of a
    /// first event, so that a request that is read can still be answered in time.
    pub lag_limit: Duration,
    /// Number of consecutive samples beyond the limit after which connections are turned away. A
    /// process that was paused once is not overloaded.
    pub patience: u32,
}

impl Default for ConnectionGateSettings {
    fn default() -> Self {
        Self { max_open: usize::MAX, lag_limit: Duration::from_millis(100), patience: 3 }
    }
}

/// Increase of the share turned away with each further sample beyond the limit.
const SHARE_INCREASE: f64 = 0.15;
/// Decrease of the share with each sample below half the limit. Slower than the increase, so that the
/// share settles near what the process can't serve.
const SHARE_DECREASE: f64 = 0.015;
/// Maximum share turned away: the rest shows whether the overload has ended.
const MAX_SHARE: f64 = 0.95;

/// Decides which new client connections are taken.
#[derive(Debug, Clone, Default)]
pub struct ConnectionGate {
    settings: ConnectionGateSettings,
    /// Consecutive samples beyond the limit.
    slow_samples: u32,
    /// Share of new connections that are turned away, from 0 to [`MAX_SHARE`].
    share: f64,
}

impl ConnectionGate {
    /// A gate that takes everything until it is overloaded.
    pub fn new(settings: ConnectionGateSettings) -> Self {
        Self { settings, slow_samples: 0, share: 0.0 }
    }

    /// Records by how much a task was delayed. Returns whether connections begin, or cease, to be turned
    /// away.
    pub fn note_lag(&mut self, lag: Duration) -> bool {
        let before = self.share > 0.0;
        if lag > self.settings.lag_limit {
            self.slow_samples = self.slow_samples.saturating_add(1);
            if self.slow_samples >= self.settings.patience {
                self.share = (self.share + SHARE_INCREASE).min(MAX_SHARE);
            }
        } else {
            self.slow_samples = 0;
            if lag < self.settings.lag_limit / 2 {
                self.share = (self.share - SHARE_DECREASE).max(0.0);
            }
        }
        before != (self.share > 0.0)
    }

    /// Whether a new connection is taken while `open` are open. `draw` is a random number in [0, 1).
    pub fn admits(&self, open: usize, draw: f64) -> bool {
        open < self.settings.max_open && draw >= self.share
    }

    /// Share of new connections that are turned away.
    pub fn share(&self) -> f64 {
        self.share
    }
}
