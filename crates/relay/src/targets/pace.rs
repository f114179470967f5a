//! How long a service's online answers take, and whether one more would be in time.

use std::time::Duration;

use crate::learned::LearnedMean;

/// Weight of the newest answer in what is learned: the last dozen or two count.
const PACE_WEIGHT: f64 = 0.05;
/// Share of an objective that an answer's expected beginning may take: what is known of the queues is
/// a little old.
const OBJECTIVE_SHARE: f64 = 0.9;

/// What is learned of a service's online answers.
#[derive(Debug, Clone, Copy, Default)]
pub struct ServiceLatency {
    /// Seconds that a whole answer takes.
    run: LearnedMean,
    /// Seconds to the beginning of an answer that found a place free.
    first: LearnedMean,
}

impl ServiceLatency {
    /// A whole answer took `run`; it began after `first` where a place was free.
    pub fn note(&mut self, run: Duration, first: Option<Duration>) {
        self.run.note(run.as_secs_f64(), PACE_WEIGHT);
        if let Some(first) = first {
            self.first.note(first.as_secs_f64(), PACE_WEIGHT);
        }
    }

    /// Whether an answer likely begins within `objective` at a target with `slots` places and `ahead`
    /// requests that will be served first. Nothing is known before the first answer: all are let in.
    pub fn is_in_time(&self, ahead: u32, slots: u32, objective: Duration) -> bool {
        let ends_needed = (ahead + 1).saturating_sub(slots);
        let wait = f64::from(ends_needed) * self.run.value() / f64::from(slots.max(1));
        ends_needed == 0 || wait + self.first.value() <= objective.as_secs_f64() * OBJECTIVE_SHARE
    }

    /// How long a whole answer takes; `None` until one has ended. All that runs now has ended by then.
    pub fn run(&self) -> Option<Duration> {
        self.run.is_known().then(|| Duration::from_secs_f64(self.run.value()))
    }
}
