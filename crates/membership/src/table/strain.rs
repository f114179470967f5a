//! Whether this process itself runs late.

use std::time::Duration;

use notch_types::prelude::*;

/// Greatest strain; time-outs grow by as many times.
const MAX_STRAIN: u32 = 4;
/// Time without lateness after which the strain falls by one.
const STRAIN_RELIEF: Duration = Duration::from_secs(10);

/// Whether this process itself runs late.
///
/// A process that was paused, or is starved, finds all its deadlines past when it runs again,
/// though the others answered in time. Without this it would hold the whole fleet suspect at its
/// wake, and tell everybody.
#[derive(Debug, Default)]
pub(crate) struct PauseWatch {
    strain: u32,
    relief_at: MonoTime,
    /// When the last event asked to be woken; `None` before the first.
    due: Option<MonoTime>,
}

impl PauseWatch {
    /// How often it was late of late, 0 to [`MAX_STRAIN`].
    pub(crate) fn strain(&self) -> u32 {
        self.strain
    }

    /// Remembers when the next event is due at the latest.
    pub(crate) fn expect(&mut self, due: Option<MonoTime>) {
        self.due = due;
    }

    /// At each event: how late it comes, when that is `tolerance` or more.
    pub(crate) fn notice(&mut self, now: MonoTime, tolerance: Duration) -> Option<Duration> {
        let late = self.due.map_or(Duration::ZERO, |due| now.since(due));
        if late >= tolerance {
            self.strain = (self.strain + 1).min(MAX_STRAIN);
            self.relief_at = now + STRAIN_RELIEF;
            return Some(late);
        }
        if self.strain > 0 && now >= self.relief_at {
            self.strain -= 1;
            self.relief_at = now + STRAIN_RELIEF;
        }
        None
    }
}
