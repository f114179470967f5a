//! A set of like calls, made a few at a time and repeated until each has succeeded.

use notch_types::{object::StoreFailure, prelude::MonoTime};
use rand::rngs::SmallRng;

use crate::{settings::ShardSettings, shard::backoff::RetryBackoff};

/// State of one call of the set.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SlotState {
    Open,
    InFlight,
    Done,
}

/// Calls 0 to n - 1. Halves what it keeps in flight at each failure and raises it by one at each
/// success, so that a throttling platform is met with fewer calls and not with more.
#[derive(Debug)]
pub(crate) struct CallWindow {
    slots: Vec<SlotState>,
    in_flight: usize,
    done: usize,
    limit: usize,
    max: usize,
    backoff: RetryBackoff,
    resume_at: Option<MonoTime>,
}

impl CallWindow {
    pub(crate) fn new(count: usize, settings: &ShardSettings) -> Self {
        Self {
            slots: vec![SlotState::Open; count],
            in_flight: 0,
            done: 0,
            limit: settings.max_parallel_calls,
            max: settings.max_parallel_calls,
            backoff: RetryBackoff::new(settings.backoff_min, settings.backoff_max),
            resume_at: None,
        }
    }

    /// The next call to make now; it counts as in flight from here on.
    pub(crate) fn start_next(&mut self, now: MonoTime) -> Option<usize> {
        if self.in_flight >= self.limit || self.resume_at.is_some_and(|resume| now < resume) {
            return None;
        }
        self.resume_at = None;
        let slot = self.first_open()?;
        self.slots[slot] = SlotState::InFlight;
        self.in_flight += 1;
        Some(slot)
    }

    /// The first call neither done nor in flight.
    pub(crate) fn first_open(&self) -> Option<usize> {
        self.slots.iter().position(|state| *state == SlotState::Open)
    }

    /// Makes no call before `until`.
    pub(crate) fn pause(&mut self, until: MonoTime) {
        self.resume_at = Some(until);
    }

    pub(crate) fn succeeded(&mut self, slot: usize) {
        self.slots[slot] = SlotState::Done;
        self.in_flight -= 1;
        self.done += 1;
        self.limit = (self.limit + 1).min(self.max);
        self.backoff.reset();
        self.resume_at = None;
    }

    pub(crate) fn failed(
        &mut self,
        slot: usize,
        now: MonoTime,
        failure: Option<StoreFailure>,
        rng: &mut SmallRng,
    ) {
        self.slots[slot] = SlotState::Open;
        self.in_flight -= 1;
        self.limit = (self.limit / 2).max(1);
        self.resume_at = Some(now + self.backoff.next(failure, rng));
    }

    pub(crate) fn is_done(&self) -> bool {
        self.done == self.slots.len()
    }

    /// When it wants to go on, if it's only waiting for time.
    pub(crate) fn wake(&self) -> Option<MonoTime> {
        if self.is_done() || self.in_flight >= self.limit { None } else { self.resume_at }
    }
}
