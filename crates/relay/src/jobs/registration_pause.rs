//! The pause before a gateway that was evicted registers again.

use std::time::Duration;

use notch_types::prelude::*;

use crate::jobs::eviction::EVICTION_SILENCE;

/// Longest pause before a registration. Bounds how long a gateway stays out after its links are back.
pub const MAX_REGISTRATION_PAUSE: Duration = Duration::from_secs(60);

/// Decides when a gateway whose entry was found gone registers again.
///
/// Designed for a gateway that reaches the store but not most of the others: they evict it 8 s after each registration,
/// and each eviction invalidates the ownership of all jobs at all gateways.
#[derive(Debug, Default)]
pub struct RegistrationPause {
    /// Pause after the next loss of the entry; zero after a majority was heard for [`EVICTION_SILENCE`].
    next: Duration,
    /// When the current pause ends; `None` without one.
    until: Option<MonoTime>,
    /// Since when a majority has been heard without a break.
    heard_since: Option<MonoTime>,
}

impl RegistrationPause {
    /// Records when a majority was last heard; `None` if that is too long ago. After [`EVICTION_SILENCE`] with one, the
    /// others no longer agree to an eviction, so the pause ends and the next one is zero.
    pub fn observe(&mut self, heard_at: Option<MonoTime>) {
        let Some(heard_at) = heard_at else {
            self.heard_since = None;
            return;
        };
        let heard_since = *self.heard_since.get_or_insert(heard_at);
        if heard_at.since(heard_since) >= EVICTION_SILENCE {
            *self = Self { heard_since: Some(heard_since), ..Self::default() };
        }
    }

    /// Starts the pause, as the entry was found gone. The first one is zero; each further one is twice as long.
    pub fn begin(&mut self, now: MonoTime) {
        self.until = Some(now + self.next);
        self.next = (self.next * 2).clamp(EVICTION_SILENCE, MAX_REGISTRATION_PAUSE);
    }

    /// Time left; zero without a pause.
    pub fn left(&self, now: MonoTime) -> Duration {
        self.until.map_or(Duration::ZERO, |until| until.since(now))
    }
}
