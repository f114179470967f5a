//! How many calls to the store this process made, by cause.

use std::{
    fmt::Display,
    sync::atomic::{AtomicU64, Ordering},
};

use notch_telemetry::prelude::*;

use crate::store::call_cause::{ObjectKind, StoreCallCause};

/// Counts calls to the store since the process started.
#[derive(Debug, Default)]
pub struct StoreCallCounts {
    by_cause: [AtomicU64; StoreCallCause::ALL.len()],
    /// All calls when they were logged last.
    logged: AtomicU64,
    /// By kind of object and cause; none in a process without metrics.
    metric: Option<PairCounter>,
}

impl StoreCallCounts {
    /// Counts that are shown by `metric` too.
    pub fn new(metric: Option<PairCounter>) -> Self {
        Self { metric, ..Self::default() }
    }

    /// A call is made.
    pub fn note(&self, cause: StoreCallCause, path: &str) {
        self.by_cause[cause as usize].fetch_add(1, Ordering::Relaxed);
        if let Some(metric) = &self.metric {
            metric.count(ObjectKind::of_path(path).code(), cause.code());
        }
    }

    /// Calls made for a cause.
    pub fn count(&self, cause: StoreCallCause) -> u64 {
        self.by_cause[cause as usize].load(Ordering::Relaxed)
    }

    /// Logs the calls made since the start, by cause, unless none was made since they were logged last.
    pub fn log(&self, log: &NodeLog) {
        let counts = StoreCallCause::ALL.map(|cause| (cause.code(), self.count(cause)));
        let all: u64 = counts.iter().map(|(_, count)| count).sum();
        if self.logged.swap(all, Ordering::Relaxed) == all {
            return;
        }
        let mut fields: Vec<(&'static str, &dyn Display)> = vec![("all", &all)];
        let made = counts.iter().filter(|(_, count)| *count > 0);
        fields.extend(made.map(|(code, count)| (*code, count as &dyn Display)));
        log.info("store_calls", &fields);
    }
}
