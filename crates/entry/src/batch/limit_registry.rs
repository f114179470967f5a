//! This gateway's part in every limit on waiting jobs.

use std::sync::{Mutex, MutexGuard, PoisonError};

use async_std::sync::Mutex as TurnMutex;
use event_listener::Event;
use notch_relay::prelude::*;
use notch_types::prelude::*;

/// This gateway's part in every limit.
#[derive(Debug, Default)]
pub struct LimitRegistry {
    holders: Mutex<FastMap<String, ShareHolder>>,
    drains: Mutex<FastMap<String, DrainRate>>,
    counts: Mutex<FastMap<String, LimitCountThrottle>>,
    /// Told when room under a limit was used up by a job.
    pub used: Event,
    /// One share is changed at a time: each change begins with what the one before wrote.
    pub turn: TurnMutex<()>,
    /// One task at a time asks the other gateways what they hold.
    pub asking: TurnMutex<()>,
}

impl LimitRegistry {
    /// Tokens of a route ended here at `now`.
    pub fn note_ended(&self, route: &str, tokens: u64, now: MonoTime) {
        let mut drains = self.drains.lock().unwrap_or_else(PoisonError::into_inner);
        drains.entry(route.to_owned()).or_default().note(tokens, now);
    }

    /// Tokens of a route that end here each second.
    pub fn ended_per_second(&self, route: &str, now: MonoTime) -> f64 {
        let drains = self.drains.lock().unwrap_or_else(PoisonError::into_inner);
        drains.get(route).map_or(0.0, |drain| drain.per_second(now))
    }

    /// All gateways are about to be asked what they use of a limit.
    pub fn note_asked(&self, route: &str, now: MonoTime) {
        self.counts().entry(route.to_owned()).or_default().note_asked(now);
    }

    /// They were asked.
    pub fn note_count(&self, route: &str, count: LimitCount) {
        self.counts().entry(route.to_owned()).or_default().note_count(count);
    }

    /// The last count of each limit, by its route's name.
    pub fn counts(&self) -> MutexGuard<'_, FastMap<String, LimitCountThrottle>> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Routes of whose limits or ends something is known.
    pub fn known_routes(&self) -> FastSet<String> {
        let drains = self.drains.lock().unwrap_or_else(PoisonError::into_inner);
        let mut known: FastSet<String> = drains.keys().cloned().collect();
        drop(drains);
        known.extend(self.counts().keys().cloned());
        known.extend(self.holders().keys().cloned());
        known
    }

    /// Forgets a route; whether anything was known of it.
    pub fn forget(&self, route: &str) -> bool {
        let had_part = self.holders().remove(route).is_some();
        self.counts().remove(route);
        let mut drains = self.drains.lock().unwrap_or_else(PoisonError::into_inner);
        drains.remove(route).is_some() || had_part
    }

    /// This gateway's part in each limit, by its route's name.
    pub fn holders(&self) -> MutexGuard<'_, FastMap<String, ShareHolder>> {
        self.holders.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
