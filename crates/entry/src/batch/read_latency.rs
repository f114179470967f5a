//! Latency of job reads, by what was read and by the source of the answer.

use std::{
    fmt::{self, Display},
    sync::{Mutex, PoisonError},
    time::Duration,
};

use notch_telemetry::prelude::*;

/// What a client read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadKind {
    /// Results, without waiting.
    Results,
    /// Results, or a notice that there are some. Such a read is held for up to the requested time.
    HeldResults,
    /// An item's body.
    Body,
}

/// The source of the answer to a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadSource {
    /// This gateway, which owns the job.
    Owner,
    /// This gateway's cache.
    Copy,
    /// The owner, over a link.
    Peer,
    /// The store.
    Store,
    /// No source: there is no such job, or the answer cannot be determined now.
    Nobody,
}

impl ReadSource {
    /// Stable name for logs.
    pub fn code(self) -> &'static str {
        match self {
            Self::Owner => "owner",
            Self::Copy => "copy",
            Self::Peer => "told",
            Self::Store => "store",
            Self::Nobody => "nobody",
        }
    }
}

/// Latency of reads of one kind that were answered from one source.
#[derive(Debug, Clone, Copy, Default)]
struct ReadLatency {
    count: u32,
    took: Duration,
    longest: Duration,
}

impl Display for ReadLatency {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mean = self.took / self.count.max(1);
        let (mean, longest) = (mean.as_millis(), self.longest.as_millis());
        write!(f, "{} reads, {mean} ms, at most {longest} ms", self.count)
    }
}

/// Field names in the log event, by kind and source.
const NAMES: [[&str; 5]; 3] = [
    ["results_owner", "results_copy", "results_told", "results_store", "results_nobody"],
    ["held_owner", "held_copy", "held_told", "held_store", "held_nobody"],
    ["body_owner", "body_copy", "body_told", "body_store", "body_nobody"],
];

/// Latency of reads since the last log event.
#[derive(Debug, Default)]
pub struct ReadLatencies {
    latencies: Mutex<[[ReadLatency; 5]; 3]>,
}

impl ReadLatencies {
    /// Records the duration of a read.
    pub fn note(&self, kind: ReadKind, source: ReadSource, took: Duration) {
        let mut latencies = self.latencies.lock().unwrap_or_else(PoisonError::into_inner);
        let latency = &mut latencies[kind as usize][source as usize];
        latency.count += 1;
        latency.took += took;
        latency.longest = latency.longest.max(took);
    }

    /// Logs and resets the latencies, in one event. Logs nothing if there were no reads.
    pub fn log(&self, log: &NodeLog) {
        let latencies =
            std::mem::take(&mut *self.latencies.lock().unwrap_or_else(PoisonError::into_inner));
        let mut fields: Vec<(&'static str, &dyn Display)> = Vec::new();
        for (names, latencies) in NAMES.iter().zip(&latencies) {
            for (name, latency) in
                names.iter().zip(latencies).filter(|(_, latency)| latency.count > 0)
            {
                fields.push((*name, latency));
            }
        }
        if !fields.is_empty() {
            log.info("job_reads", &fields);
        }
    }
}
