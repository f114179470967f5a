//! Whether one more job can be done before it is due.
//!
//! The load that it answers: many times the usual jobs at once, ten times what all places can do before the
//! jobs are due. Were all accepted, nearly every item would end late or never, each job would be in part done,
//! and readers would wait for thousands of jobs. Refused at once, a client knows that nothing runs and
//! when to come back, and the jobs accepted before keep their time.

use std::time::Duration;

use notch_types::prelude::*;

use crate::{
    intake::demand::{DueWork, WorkDemand},
    limits::drain::retry_delay,
};

/// Times what the places are thought to do that may wait. What is known of places and of items' times is off
/// by about as much, and a job refused though it could have been done harms its client more than one that
/// ends a little late.
const SLACK: f64 = 1.25;
/// Fewer places than this tell nothing: targets that are gone may be back before the job is due.
const PLACES_LEAST: f64 = 1.0;

/// What is known when a job comes.
#[derive(Debug, Clone, Copy)]
pub struct JobAdmissionForecast<'a> {
    /// What waits before it, at all gateways.
    pub demand: &'a WorkDemand,
    /// Places that items find, in the mean; of those, what this gateway may fill.
    pub places: f64,
}

impl JobAdmissionForecast<'_> {
    /// When the job should come back, if it can't be done in time beside what was accepted before; `None`
    /// when it may be.
    ///
    /// Items run in the order of their due times, so it stands behind all work that is due before it, and
    /// pushes back all that is due later. Nothing is refused while nothing waits.
    pub fn refusal(&self, job: DueWork, now: MonoTime) -> Option<Duration> {
        if self.places < PLACES_LEAST || self.demand.total().is_zero() {
            return None;
        }
        let works = self.demand.works();
        let (before, after) = works.split_at(works.partition_point(|work| work.due <= job.due));
        let mut ahead = job.work + before.iter().map(|work| work.work).sum::<Duration>();
        let mut missing = ahead.saturating_sub(self.within(job.due, now));
        for waiting in after {
            ahead += waiting.work;
            missing = missing.max(ahead.saturating_sub(self.within(waiting.due, now)));
        }
        let missing = u64::try_from(missing.as_millis()).unwrap_or(u64::MAX);
        (missing > 0).then(|| retry_delay(missing, self.places * MILLIS_PER_SECOND))
    }

    /// What may be done until `due`.
    fn within(&self, due: MonoTime, now: MonoTime) -> Duration {
        due.since(now).mul_f64(self.places * SLACK)
    }
}

/// What one place does in a second, in milliseconds.
const MILLIS_PER_SECOND: f64 = 1_000.0;
