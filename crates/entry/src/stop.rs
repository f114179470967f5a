//! State of a graceful stop.

use std::{
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use event_listener::{Event, EventListener};
use futures_util::{
    future::{Either, select},
    pin_mut,
};
use notch_relay::prelude::StopSchedule;
use notch_types::prelude::*;

/// State of a graceful stop, and the number of requests that still run.
#[derive(Debug)]
pub struct StopState {
    /// When the steps of the stop are due.
    schedule: StopSchedule,
    since: Mutex<Option<MonoTime>>,
    /// Number of requests being served.
    active: AtomicUsize,
    /// Notified when idle connections are to be closed.
    idle_closing: Event,
    is_closing_idle: AtomicBool,
    /// Whether jobs are being handed over to other gateways; no new items are started then.
    is_handing_over: AtomicBool,
    /// Whether nothing is taken any more: the process ends as soon as nothing runs.
    is_refusing: AtomicBool,
    /// Notified when the process is about to end and what still runs must be given up.
    ending: Event,
    is_ending: AtomicBool,
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
    /// A process that runs, and once it stops does so by `schedule`.
    pub fn new(schedule: StopSchedule) -> Self {
        Self {
            schedule,
            since: Mutex::default(),
            active: AtomicUsize::new(0),
            idle_closing: Event::new(),
            is_closing_idle: AtomicBool::new(false),
            is_handing_over: AtomicBool::new(false),
            is_refusing: AtomicBool::new(false),
            ending: Event::new(),
            is_ending: AtomicBool::new(false),
        }
    }

    /// When the steps of the stop are due.
    pub fn schedule(&self) -> &StopSchedule {
        &self.schedule
    }

    /// Whether work that takes up to `needed` can end before the process does. The work must be counted before, see
    /// [`enter`](Self::enter).
    pub fn can_end(&self, needed: Duration, now: MonoTime) -> bool {
        let is_refusing = self.is_refusing.load(Ordering::SeqCst);
        !is_refusing && (!self.is_stopping() || self.schedule.can_end(self.elapsed(now), needed))
    }

    /// Takes nothing any more. What was taken before is counted by [`active`](Self::active) already.
    pub fn refuse_all(&self) {
        self.is_refusing.store(true, Ordering::SeqCst);
    }

    /// Time until the process ends; `None` while it isn't stopping.
    pub fn time_left(&self, now: MonoTime) -> Option<Duration> {
        self.is_stopping().then(|| self.schedule.exit.saturating_sub(self.elapsed(now)))
    }

    /// Has everything that still runs given up.
    pub fn end(&self) {
        self.is_ending.store(true, Ordering::Release);
        self.ending.notify(usize::MAX);
    }

    /// The outcome of `work`, or `None` if the process is about to end before.
    pub async fn before_end<T>(&self, work: impl Future<Output = T>) -> Option<T> {
        let ending = self.ending.listen();
        if self.is_ending.load(Ordering::Acquire) {
            return None;
        }
        pin_mut!(work);
        match select(work, ending).await {
            Either::Left((outcome, _)) => Some(outcome),
            Either::Right(_) => None,
        }
    }

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
        self.active.fetch_add(1, Ordering::SeqCst);
        ActiveGuard(&self.active)
    }

    /// Number of requests being served.
    pub fn active(&self) -> usize {
        self.active.load(Ordering::SeqCst)
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
