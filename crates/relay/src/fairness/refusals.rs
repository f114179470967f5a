//! Count of refusals in the last second.

use std::time::Duration;

use notch_types::prelude::*;

/// Number of parts of a second that are counted separately.
const PARTS: usize = 4;
/// Length of a part, microseconds.
const PART_MICROS: u64 = Duration::from_millis(250).as_micros() as u64;

/// Counts refusals in the last second, in steps of 250 ms.
#[derive(Debug, Clone, Copy, Default)]
pub struct RefusalWindow {
    counts: [u32; PARTS],
    /// Number of the latest part with a refusal, from the start of the clock.
    latest: u64,
}

impl RefusalWindow {
    /// Counts a refusal.
    pub fn note(&mut self, now: MonoTime) {
        let part = (now.0 / PART_MICROS).max(self.latest);
        let passed = (part - self.latest).min(PARTS as u64);
        for number in 0..passed {
            self.counts[Self::index(part - number)] = 0;
        }
        self.latest = part;
        let count = &mut self.counts[Self::index(part)];
        *count = count.saturating_add(1);
    }

    /// Number of refusals in the last second.
    pub fn count(&self, now: MonoTime) -> u32 {
        let part = now.0 / PART_MICROS;
        let passed = part.saturating_sub(self.latest).min(PARTS as u64);
        let kept = (PARTS as u64 - passed).min(self.latest + 1);
        let counts = (0..kept).map(|number| self.counts[Self::index(self.latest - number)]);
        counts.fold(0, u32::saturating_add)
    }

    fn index(part: u64) -> usize {
        (part % PARTS as u64) as usize
    }
}
