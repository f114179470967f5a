//! Whether the process is stopping.

use std::{
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use event_listener::{Event, EventListener};
use notch_types::prelude::*;

/// Whether the process is stopping, and what still runs.
#[derive(Debug, Default)]
pub struct StopState {
    since: Mutex<Option<MonoTime>>,
    /// Requests being served.
    active: AtomicUsize,
    /// Tells idle connections to end.
    idle_over: Event,
    is_idle_over: AtomicBool,
    /// Jobs are being left to other gateways: no item starts any more.
    is_handing_over: AtomicBool,
}

/// Counts one request for as long as it lives.
#[derive(Debug)]
pub struct ActiveGuard<'a>(&'a AtomicUsize);

impl Drop for ActiveGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

impl StopState {
    /// The signal to stop came.
    pub fn begin(&self, now: MonoTime) {
        let mut since = self.since.lock().unwrap_or_else(PoisonError::into_inner);
        since.get_or_insert(now);
    }

    /// Whether the signal to stop came.
    pub fn is_stopping(&self) -> bool {
        self.since.lock().unwrap_or_else(PoisonError::into_inner).is_some()
    }

    /// How long ago the signal came; zero without one.
    pub fn age(&self, now: MonoTime) -> Duration {
        let since = *self.since.lock().unwrap_or_else(PoisonError::into_inner);
        since.map_or(Duration::ZERO, |since| now.since(since))
    }

    /// Counts a request until the guard is dropped.
    pub fn enter(&self) -> ActiveGuard<'_> {
        self.active.fetch_add(1, Ordering::AcqRel);
        ActiveGuard(&self.active)
    }

    /// Requests being served.
    pub fn active(&self) -> usize {
        self.active.load(Ordering::Acquire)
    }

    /// Begins to leave the jobs to other gateways.
    pub fn hand_over(&self) {
        self.is_handing_over.store(true, Ordering::Release);
    }

    /// Whether the jobs are being left to other gateways.
    pub fn is_handing_over(&self) -> bool {
        self.is_handing_over.load(Ordering::Acquire)
    }

    /// Ends idle connections, now and from now on.
    pub fn end_idle(&self) {
        self.is_idle_over.store(true, Ordering::Release);
        self.idle_over.notify(usize::MAX);
    }

    /// Waits until idle connections are to end; `None` when they are already.
    pub fn idle_end(&self) -> Option<EventListener> {
        let listener = self.idle_over.listen();
        (!self.is_idle_over.load(Ordering::Acquire)).then_some(listener)
    }
}
