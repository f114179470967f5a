//! How long reads of jobs take, by what was read and by whose word it was answered.

use std::{
    fmt::{self, Display},
    sync::{Mutex, PoisonError},
    time::Duration,
};

use notch_telemetry::prelude::*;

/// What a client read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadKind {
    /// Results, at once.
    Results,
    /// Results, or the news that there are some: such a read may be held for as long as it says.
    HeldResults,
    /// An item's body.
    Body,
}

/// By whose word a read was answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadSource {
    /// This gateway's own: it owns the job.
    Owner,
    /// This gateway's copy, read before.
    Copy,
    /// The owner's, over a link.
    Told,
    /// The store's.
    Store,
    /// Nobody's: no such job, or nobody can say.
    Nobody,
}

impl ReadSource {
    /// The stable name in logs.
    pub fn code(self) -> &'static str {
        match self {
            Self::Owner => "owner",
            Self::Copy => "copy",
            Self::Told => "told",
            Self::Store => "store",
            Self::Nobody => "nobody",
        }
    }
}

/// Reads of one kind, answered by one word.
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

/// Names of the tallies in a line of the log, by kind and source.
const NAMES: [[&str; 5]; 3] = [
    ["results_owner", "results_copy", "results_told", "results_store", "results_nobody"],
    ["held_owner", "held_copy", "held_told", "held_store", "held_nobody"],
    ["body_owner", "body_copy", "body_told", "body_store", "body_nobody"],
];

/// Reads since they were logged last.
#[derive(Debug, Default)]
pub struct ReadLatencies {
    tallies: Mutex<[[ReadLatency; 5]; 3]>,
}

impl ReadLatencies {
    /// A read took so long.
    pub fn note(&self, kind: ReadKind, source: ReadSource, took: Duration) {
        let mut tallies = self.tallies.lock().unwrap_or_else(PoisonError::into_inner);
        let tally = &mut tallies[kind as usize][source as usize];
        tally.count += 1;
        tally.took += took;
        tally.longest = tally.longest.max(took);
    }

    /// Logs the reads since the last time, if there were any: one line whatever their number.
    pub fn log(&self, log: &NodeLog) {
        let tallies =
            std::mem::take(&mut *self.tallies.lock().unwrap_or_else(PoisonError::into_inner));
        let mut fields: Vec<(&'static str, &dyn Display)> = Vec::new();
        for (names, tallies) in NAMES.iter().zip(&tallies) {
            for (name, tally) in names.iter().zip(tallies).filter(|(_, tally)| tally.count > 0) {
                fields.push((*name, tally));
            }
        }
        if !fields.is_empty() {
            log.info("job_reads", &fields);
        }
    }
}
