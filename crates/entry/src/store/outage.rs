//! Whether the store answers.

use notch_types::prelude::*;

use crate::constants::{LAPSE_GRACE, LAPSE_OUTAGE};

/// Whether the store answers, and when it last came back.
#[derive(Debug, Clone, Copy, Default)]
pub struct StoreOutage {
    /// Since when no call was answered; `None` while it answers.
    down_since: Option<MonoTime>,
    /// When it came back from an outage in which entries may have lapsed.
    lapsed_until: MonoTime,
}

/// A change worth a log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutageChange {
    /// The store stopped answering.
    Lost,
    /// It answers again.
    Regained,
}

impl StoreOutage {
    /// A call was answered.
    pub fn note_answer(&mut self, now: MonoTime) -> Option<OutageChange> {
        let since = self.down_since.take()?;
        if now.since(since) >= LAPSE_OUTAGE {
            self.lapsed_until = now + LAPSE_GRACE;
        }
        Some(OutageChange::Regained)
    }

    /// A call was not answered, or refused as done by nobody.
    pub fn note_failure(&mut self, now: MonoTime) -> Option<OutageChange> {
        if self.down_since.is_some() {
            return None;
        }
        self.down_since = Some(now);
        Some(OutageChange::Lost)
    }

    /// Whether the store answers as far as is known.
    pub fn is_up(&self) -> bool {
        self.down_since.is_none()
    }

    /// Since when no call was answered; `None` while the store answers.
    pub fn down_since(&self) -> Option<MonoTime> {
        self.down_since
    }

    /// Until when an entry that is gone may only have lapsed in an outage.
    pub fn lapsed_until(&self) -> MonoTime {
        self.lapsed_until
    }
}
