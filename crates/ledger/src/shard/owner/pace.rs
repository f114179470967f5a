//! When the next commit is due.

use std::time::Duration;

use notch_types::prelude::*;

use crate::{event::AppendUrgency, settings::ShardSettings};

/// Adapts the delay of group commit to the load.
///
/// Each commit raises the pressure by 1/burst, and time lets it leak at the rate at which one
/// commit in the longest delay would hold it level. A quiet shard has pressure 0 and commits a
/// prompt append after the shortest delay; a busy one reaches pressure 1 and commits once in the
/// longest delay. So the writes of a shard depend on time and never on the number of records.
///
/// A commit that only relaxed appends have called for counts half. Else steady batch work, which
/// commits once in the longest delay by itself, would keep the pressure from ever leaking, and the
/// few prompt appends in between would wait as long as it does.
#[derive(Debug)]
pub(crate) struct CommitPace {
    min: Duration,
    max: Duration,
    burst: f64,
    /// From 0 to 1, as of `measured`.
    pressure: f64,
    measured: MonoTime,
    /// When the gathering batch is due by its age.
    due: Option<MonoTime>,
    /// Whether a prompt append is in it.
    prompt: bool,
}

/// What a commit of relaxed appends only adds to the pressure, in commits.
const RELAXED_WEIGHT: f64 = 0.5;

impl CommitPace {
    pub(crate) fn new(settings: &ShardSettings, now: MonoTime) -> Self {
        Self {
            min: settings.commit_delay_min,
            max: settings.commit_delay_max,
            burst: f64::from(settings.commit_burst),
            pressure: 0.0,
            measured: now,
            due: None,
            prompt: false,
        }
    }

    fn leak(&mut self, now: MonoTime) {
        let elapsed = now.since(self.measured).as_secs_f64();
        let leaked = elapsed / (self.max.as_secs_f64() * self.burst);
        self.pressure = (self.pressure - leaked).max(0.0);
        self.measured = now;
    }

    /// Notes an append that joins the gathering batch.
    pub(crate) fn queued(&mut self, urgency: AppendUrgency, now: MonoTime) {
        self.leak(now);
        let delay = match urgency {
            AppendUrgency::Relaxed => self.max,
            AppendUrgency::Prompt => self.min + (self.max - self.min).mul_f64(self.pressure),
        };
        self.prompt |= urgency == AppendUrgency::Prompt;
        let due = now + delay;
        self.due = Some(self.due.map_or(due, |earlier| earlier.min(due)));
    }

    /// Notes that the gathered batch has been taken.
    pub(crate) fn taken(&mut self, now: MonoTime) {
        self.leak(now);
        let weight = if self.prompt { 1.0 } else { RELAXED_WEIGHT };
        self.pressure = (self.pressure + weight / self.burst).min(1.0);
        self.due = None;
        self.prompt = false;
    }

    /// When the gathering batch is due; `None` when there is none.
    pub(crate) fn due(&self) -> Option<MonoTime> {
        self.due
    }
}
