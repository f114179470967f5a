//! Whether missing links show that other gateways are gone, or that this one was cut off.

use std::time::Duration;

use notch_types::prelude::*;

/// Time within which the store must confirm again that it is in reach while most gateways are silent.
const MAX_CONFIRMATION_GAP: Duration = Duration::from_millis(1_500);
/// Time after a confirmation from which on it is renewed.
const RENEW_AFTER: Duration = Duration::from_millis(500);
/// Time in which live gateways link again after this one is back in reach: longer than a handshake that times out, the
/// pause after it, and another handshake.
pub const RELINK_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Since when this gateway itself is in contact with the others or the store.
///
/// To a gateway that is cut off, all others look dead. When the cut ends, the store may answer before their links are up
/// again. So while most gateways are silent, they count as absent only if the store has been in reach for long enough.
#[derive(Debug, Clone, Copy)]
pub struct OwnContact {
    /// `None` from when most gateways were found silent until the store confirms that it is in reach.
    since: Option<MonoTime>,
    /// When contact was doubted last. An answer to an earlier request may have been on the way through the whole cut.
    doubted_at: MonoTime,
    /// When the last confirmation was requested.
    confirmed_at: Option<MonoTime>,
    /// Whether most gateways were silent when that was looked at last.
    is_isolated: bool,
}

impl Default for OwnContact {
    fn default() -> Self {
        Self {
            since: Some(MonoTime::default()),
            doubted_at: MonoTime::default(),
            confirmed_at: None,
            is_isolated: false,
        }
    }
}

impl OwnContact {
    /// Records how many of the `known` other gateways are silent at `now`: they have no link, and did not end it
    /// themselves.
    pub fn note_silence(&mut self, silent: usize, known: usize, now: MonoTime) {
        self.is_isolated = silent * 2 > known;
        if self.is_isolated && self.since.is_some() && self.is_outdated(MAX_CONFIRMATION_GAP, now) {
            self.since = None;
            self.doubted_at = now;
        }
    }

    /// Records that the store answered at `now` what was requested at `asked`.
    pub fn note_confirmed(&mut self, asked: MonoTime, now: MonoTime) {
        if asked >= self.doubted_at {
            self.confirmed_at = self.confirmed_at.max(Some(asked));
            self.since.get_or_insert(now);
        }
    }

    /// Whether the store should be asked to confirm that it is in reach.
    pub fn needs_confirmation(&self, now: MonoTime) -> bool {
        self.since.is_none() || (self.is_isolated && self.is_outdated(RENEW_AFTER, now))
    }

    /// Whether a gateway is absent that has had no link since `down_since`, of the time `usual` that this usually takes.
    pub fn shows_absence(&self, down_since: MonoTime, usual: Duration, now: MonoTime) -> bool {
        match self.since {
            None => false,
            Some(since) if since > down_since => now.since(since) >= usual.max(RELINK_TIMEOUT),
            Some(_) => now.since(down_since) >= usual,
        }
    }

    fn is_outdated(&self, age: Duration, now: MonoTime) -> bool {
        self.confirmed_at.is_none_or(|at| now.since(at) >= age)
    }
}
