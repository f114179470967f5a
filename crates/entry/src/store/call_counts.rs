//! Counts this process's calls to the store by cause.

use std::{
    fmt::Display,
    sync::atomic::{AtomicU64, Ordering},
};

use notch_telemetry::prelude::*;

use crate::store::call_cause::{ObjectKind, StoreCallCause};

/// Calls to the store since the process started.
#[derive(Debug, Default)]
pub struct StoreCallCounts {
    by_cause: [AtomicU64; StoreCallCause::ALL.len()],
    /// Total number of calls when they were last logged.
    logged: AtomicU64,
    /// Metric by kind of object and cause; `None` in a process without metrics.
    metric: Option<PairCounter>,
}

impl StoreCallCounts {
    /// Counts that are exported by `metric` too.
    pub fn new(metric: Option<PairCounter>) -> Self {
        Self { metric, ..Self::default() }
    }

    /// Counts a call.
    pub fn note(&self, cause: StoreCallCause, path: &str) {
        self.by_cause[cause as usize].fetch_add(1, Ordering::Relaxed);
        if let Some(metric) = &self.metric {
            metric.count(ObjectKind::of_path(path).code(), cause.code());
        }
    }

    /// Number of calls made for a cause.
    pub fn count(&self, cause: StoreCallCause) -> u64 {
        self.by_cause[cause as usize].load(Ordering::Relaxed)
    }

    /// Logs the number of calls since the start by cause, unless it has not changed since the last
    /// log.
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
