//! Event queue with a virtual clock.

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use notch_types::prelude::MonoTime;

#[derive(Debug)]
struct ScheduledEvent<T> {
    at: MonoTime,
    /// Sequence number: events due at the same time fire in the order in which they were scheduled.
    number: u64,
    event: T,
}

impl<T> ScheduledEvent<T> {
    fn key(&self) -> Reverse<(MonoTime, u64)> {
        Reverse((self.at, self.number))
    }
}

impl<T> PartialEq for ScheduledEvent<T> {
    fn eq(&self, other: &Self) -> bool {
        self.key() == other.key()
    }
}

impl<T> Eq for ScheduledEvent<T> {}

impl<T> PartialOrd for ScheduledEvent<T> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for ScheduledEvent<T> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.key().cmp(&other.key())
    }
}

/// Pending events, and the virtual clock that advances as they are taken.
#[derive(Debug)]
pub struct EventSchedule<T> {
    now: MonoTime,
    number: u64,
    events: BinaryHeap<ScheduledEvent<T>>,
}

impl<T> Default for EventSchedule<T> {
    fn default() -> Self {
        Self { now: MonoTime::default(), number: 0, events: BinaryHeap::new() }
    }
}

impl<T> EventSchedule<T> {
    /// Current virtual time: the time of the last event taken.
    pub fn now(&self) -> MonoTime {
        self.now
    }

    /// Schedules an event to fire `wait` from now.
    pub fn add(&mut self, wait: Duration, event: T) {
        self.number += 1;
        let at = self.now + wait;
        self.events.push(ScheduledEvent { at, number: self.number, event });
    }

    /// Removes the earliest event and advances the clock to its time.
    pub fn next_event(&mut self) -> Option<T> {
        let next = self.events.pop()?;
        self.now = next.at;
        Some(next.event)
    }
}
