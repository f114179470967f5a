//! Forecast of whether one more job can be done before it is due.
//!
//! It is designed for bursts of many times the usual jobs, ten times what all slots can do before
//! the jobs are due. If all were accepted, nearly every item would end late or never, each job
//! would be done in part only, and readers would wait for thousands of jobs. If a job is refused at
//! once, its client knows that nothing runs and when to retry, and the jobs accepted before are
//! done in time.

use std::time::Duration;

use notch_types::prelude::*;

use crate::{
    job_admission::demand::{DueWork, WorkDemand},
    limits::drain::retry_delay,
};

/// Factor by which the waiting work may exceed the estimated capacity. The estimates of slots and
/// run times are off by about as much, and refusing a job that could have been done does more harm
/// to its client than a job that ends a little late.
const OVERCOMMIT_FACTOR: f64 = 1.25;
/// Minimum number of slots for a refusal. With fewer slots nothing is refused, since targets that
/// are gone may be back before the job is due.
const MIN_SLOTS: f64 = 1.0;

/// Input of the forecast for a new job.
#[derive(Debug, Clone, Copy)]
pub struct JobAdmissionForecast<'a> {
    /// Work waiting at all gateways.
    pub demand: &'a WorkDemand,
    /// Average number of slots available to items, limited to the part that this gateway may use.
    pub slots: f64,
}

impl JobAdmissionForecast<'_> {
    /// Returns the delay after which the client should retry if the job cannot be done in time
    /// together with the work accepted before, or `None` if it may be accepted.
    ///
    /// Items run in order of due times, so the job waits for all work due before it and delays all
    /// work due later. Nothing is refused while no work is waiting.
    pub fn refusal(&self, job: DueWork, now: MonoTime) -> Option<Duration> {
        if self.slots < MIN_SLOTS || self.demand.total().is_zero() {
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
        (missing > 0).then(|| retry_delay(missing, self.slots * MILLIS_PER_SECOND))
    }

    /// Work that can be done until `due`.
    fn within(&self, due: MonoTime, now: MonoTime) -> Duration {
        due.since(now).mul_f64(self.slots * OVERCOMMIT_FACTOR)
    }
}

/// Work that one slot does per second, in milliseconds.
const MILLIS_PER_SECOND: f64 = 1_000.0;
