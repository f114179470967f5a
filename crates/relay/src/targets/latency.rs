//! Learned latency of a service's online answers.

use std::time::Duration;

use crate::ewma::Ewma;

/// Weight of the newest answer in the moving average: the last dozen or two answers dominate.
const NEWEST_WEIGHT: f64 = 0.05;
/// Fraction of an objective that the expected time to the first event may take. The known queue
/// lengths are slightly out of date.
const OBJECTIVE_SHARE: f64 = 0.9;

/// Learned latency of a service's online answers.
#[derive(Debug, Clone, Copy, Default)]
pub struct ServiceLatency {
    /// Duration of a whole answer, in seconds.
    run: Ewma,
    /// Time to the first event of an answer that found a free slot, in seconds.
    first: Ewma,
}

impl ServiceLatency {
    /// Records an answer that took `run` in total and, if a slot was free, `first` to its first
    /// event.
    pub fn note(&mut self, run: Duration, first: Option<Duration>) {
        self.run.note(run.as_secs_f64(), NEWEST_WEIGHT);
        if let Some(first) = first {
            self.first.note(first.as_secs_f64(), NEWEST_WEIGHT);
        }
    }

    /// Whether an answer is likely to begin within `objective` at a target with `slots` slots and
    /// `ahead` requests to be served first. Always true before the first answer, while nothing is
    /// known.
    pub fn is_in_time(&self, ahead: u32, slots: u32, objective: Duration) -> bool {
        let ends_needed = (ahead + 1).saturating_sub(slots);
        let wait = f64::from(ends_needed) * self.run.value() / f64::from(slots.max(1));
        ends_needed == 0 || wait + self.first.value() <= objective.as_secs_f64() * OBJECTIVE_SHARE
    }

    /// Average duration of a whole answer; `None` before the first one. Requests that run now have
    /// usually ended by then.
    pub fn run(&self) -> Option<Duration> {
        self.run.is_known().then(|| Duration::from_secs_f64(self.run.value()))
    }
}
