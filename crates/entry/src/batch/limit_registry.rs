//! A gateway's state of every limit on waiting tokens.

use std::sync::{Mutex, MutexGuard, PoisonError};

use async_std::sync::Mutex as TurnMutex;
use event_listener::Event;
use notch_relay::prelude::*;
use notch_types::prelude::*;

/// A gateway's state of every limit.
#[derive(Debug, Default)]
pub struct LimitRegistry {
    holders: Mutex<FastMap<String, ShareHolder>>,
    drains: Mutex<FastMap<String, DrainRate>>,
    counts: Mutex<FastMap<String, LimitCountThrottle>>,
    /// Notified when a job used up some of a limit.
    pub used: Event,
    /// Serializes changes of shares: each change starts from the table that the previous one wrote.
    pub turn: TurnMutex<()>,
    /// Serializes requests to the other gateways to release their shares.
    pub asking: TurnMutex<()>,
}

impl LimitRegistry {
    /// Records that tokens of a route ended here at `now`.
    pub fn note_ended(&self, route: &str, tokens: u64, now: MonoTime) {
        let mut drains = self.drains.lock().unwrap_or_else(PoisonError::into_inner);
        drains.entry(route.to_owned()).or_default().note(tokens, now);
    }

    /// Tokens of a route that end here each second.
    pub fn ended_per_second(&self, route: &str, now: MonoTime) -> f64 {
        let drains = self.drains.lock().unwrap_or_else(PoisonError::into_inner);
        drains.get(route).map_or(0.0, |drain| drain.per_second(now))
    }

    /// Records that all gateways are about to be asked how much of a limit they use.
    pub fn note_asked(&self, route: &str, now: MonoTime) {
        self.counts().entry(route.to_owned()).or_default().note_asked(now);
    }

    /// Records the result of asking all gateways.
    pub fn note_count(&self, route: &str, count: LimitCount) {
        self.counts().entry(route.to_owned()).or_default().note_count(count);
    }

    /// The last count of each limit, by its route's name.
    pub fn counts(&self) -> MutexGuard<'_, FastMap<String, LimitCountThrottle>> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Routes for which any state is held.
    pub fn known_routes(&self) -> FastSet<String> {
        let drains = self.drains.lock().unwrap_or_else(PoisonError::into_inner);
        let mut known: FastSet<String> = drains.keys().cloned().collect();
        drop(drains);
        known.extend(self.counts().keys().cloned());
        known.extend(self.holders().keys().cloned());
        known
    }

    /// Drops the state of a route. Returns whether there was any.
    pub fn forget(&self, route: &str) -> bool {
        let had_part = self.holders().remove(route).is_some();
        self.counts().remove(route);
        let mut drains = self.drains.lock().unwrap_or_else(PoisonError::into_inner);
        drains.remove(route).is_some() || had_part
    }

    /// This gateway's share of each limit, by its route's name.
    pub fn holders(&self) -> MutexGuard<'_, FastMap<String, ShareHolder>> {
        self.holders.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
