//! State of a graceful stop.

use std::{
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use event_listener::{Event, EventListener};
use notch_types::prelude::*;

/// State of a graceful stop, and the number of requests that still run.
#[derive(Debug, Default)]
pub struct StopState {
    since: Mutex<Option<MonoTime>>,
    /// Number of requests being served.
    active: AtomicUsize,
    /// Notified when idle connections are to be closed.
    idle_closing: Event,
    is_closing_idle: AtomicBool,
    /// Whether jobs are being handed over to other gateways; no new items are started then.
    is_handing_over: AtomicBool,
}

/// Counts one active request until dropped.
#[derive(Debug)]
pub struct ActiveGuard<'a>(&'a AtomicUsize);

impl Drop for ActiveGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

impl StopState {
    /// Records the stop signal.
    pub fn begin(&self, now: MonoTime) {
        let mut since = self.since.lock().unwrap_or_else(PoisonError::into_inner);
        since.get_or_insert(now);
    }

    /// Whether the stop signal was received.
    pub fn is_stopping(&self) -> bool {
        self.since.lock().unwrap_or_else(PoisonError::into_inner).is_some()
    }

    /// Time since the stop signal; zero without one.
    pub fn elapsed(&self, now: MonoTime) -> Duration {
        let since = *self.since.lock().unwrap_or_else(PoisonError::into_inner);
        since.map_or(Duration::ZERO, |since| now.since(since))
    }

    /// Counts a request until the guard is dropped.
    pub fn enter(&self) -> ActiveGuard<'_> {
        self.active.fetch_add(1, Ordering::AcqRel);
        ActiveGuard(&self.active)
    }

    /// Number of requests being served.
    pub fn active(&self) -> usize {
        self.active.load(Ordering::Acquire)
    }

    /// Begins to hand jobs over to other gateways.
    pub fn begin_handover(&self) {
        self.is_handing_over.store(true, Ordering::Release);
    }

    /// Whether jobs are being handed over to other gateways.
    pub fn is_handing_over(&self) -> bool {
        self.is_handing_over.load(Ordering::Acquire)
    }

    /// Closes idle connections, now and from now on.
    pub fn close_idle(&self) {
        self.is_closing_idle.store(true, Ordering::Release);
        self.idle_closing.notify(usize::MAX);
    }

    /// A listener for the moment when idle connections are to be closed; `None` when that has come.
    pub fn idle_close(&self) -> Option<EventListener> {
        let listener = self.idle_closing.listen();
        (!self.is_closing_idle.load(Ordering::Acquire)).then_some(listener)
    }
}
