//! Tracks whether the store answers.

use notch_types::prelude::*;

use crate::constants::{EXPIRED_ENTRY_GRACE, MIN_EXPIRY_OUTAGE};

/// Whether the store answers, and when it last recovered.
#[derive(Debug, Clone, Copy, Default)]
pub struct StoreOutage {
    /// When calls began to fail; `None` while the store answers.
    down_since: Option<MonoTime>,
    /// Until when a missing entry may have expired only because of an outage.
    expiry_grace_until: MonoTime,
}

/// A change of the store's state, to be logged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutageChange {
    /// The store stopped answering.
    Lost,
    /// The store answers again.
    Regained,
}

impl StoreOutage {
    /// Records that a call was answered.
    pub fn note_answer(&mut self, now: MonoTime) -> Option<OutageChange> {
        let since = self.down_since.take()?;
        if now.since(since) >= MIN_EXPIRY_OUTAGE {
            self.expiry_grace_until = now + EXPIRED_ENTRY_GRACE;
        }
        Some(OutageChange::Regained)
    }

    /// Records that a call was not answered, or that the store refused it.
    pub fn note_failure(&mut self, now: MonoTime) -> Option<OutageChange> {
        if self.down_since.is_some() {
            return None;
        }
        self.down_since = Some(now);
        Some(OutageChange::Lost)
    }

    /// Whether the store answers, as far as is known.
    pub fn is_up(&self) -> bool {
        self.down_since.is_none()
    }

    /// When calls began to fail; `None` while the store answers.
    pub fn down_since(&self) -> Option<MonoTime> {
        self.down_since
    }

    /// Until when a missing entry may have expired only because of an outage.
    pub fn expiry_grace_until(&self) -> MonoTime {
        self.expiry_grace_until
    }
}
