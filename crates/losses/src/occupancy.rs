//! Number of requests that ran at each target at any time, reconstructed from the logged ends of runs.

use notch_types::prelude::*;

/// One run of a request or item at a target.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetRun {
    /// Id of the target.
    pub target: String,
    /// Start, in seconds since the day began.
    pub from: f64,
    /// End, in seconds since the day began.
    pub to: f64,
    /// Whether it was an item of a job.
    pub is_item: bool,
}

/// Times in which a target accepted new requests. Its entry may be removed and added again: entries expire
/// during an outage of the store.
#[derive(Debug, Default)]
struct TargetAvailability {
    /// Revision of the newest change. Gateways learn of changes at different times, so an older change may be
    /// logged after a newer one.
    revision: u64,
    /// Start of each period, and its end unless it is still open, in order.
    spans: Vec<(f64, Option<f64>)>,
}

impl TargetAvailability {
    fn is_open(&self) -> bool {
        self.spans.last().is_some_and(|(_, to)| to.is_none())
    }

    fn is_available(&self, at: f64) -> bool {
        self.spans.iter().any(|(from, to)| *from <= at && to.is_none_or(|to| at < to))
    }
}

/// All runs at all targets.
#[derive(Debug, Default)]
pub struct OccupancyMap {
    runs: FastMap<String, Vec<TargetRun>>,
    availability: FastMap<String, TargetAvailability>,
    /// Slots per target.
    slots: usize,
}

impl OccupancyMap {
    /// An empty map for targets with `slots` slots each.
    pub fn new(slots: usize) -> Self {
        Self { slots, ..Self::default() }
    }

    /// Records that a target accepts new requests from `at` on, according to `revision` of its entry.
    pub fn note_ready(&mut self, target: &str, at: f64, revision: u64) {
        let record = self.availability.entry(target.to_owned()).or_default();
        if !record.is_open() && (record.spans.is_empty() || revision > record.revision) {
            record.spans.push((at, None));
        }
        record.revision = record.revision.max(revision);
    }

    /// Records that a target accepts no new requests from `at` on, according to `revision` of its entry.
    pub fn note_gone(&mut self, target: &str, at: f64, revision: u64) {
        let Some(record) = self.availability.get_mut(target) else { return };
        if revision < record.revision {
            return;
        }
        record.revision = revision;
        if let Some((_, to)) = record.spans.last_mut() {
            to.get_or_insert(at);
        }
    }

    /// Adds a run.
    pub fn add(&mut self, run: TargetRun) {
        self.runs.entry(run.target.clone()).or_default().push(run);
    }

    /// Number of online requests and of items that ran at a target at one time.
    pub fn at(&self, target: &str, at: f64) -> (usize, usize) {
        let runs = self.runs.get(target).map(Vec::as_slice).unwrap_or_default();
        let running = runs.iter().filter(|run| run.from < at && at < run.to);
        running.fold(
            (0, 0),
            |(online, items), run| {
                if run.is_item { (online, items + 1) } else { (online + 1, items) }
            },
        )
    }

    /// Total number of free slots at all available targets at one time.
    pub fn free_slots(&self, at: f64) -> usize {
        let ready = self.availability.iter().filter(|(_, record)| record.is_available(at));
        ready
            .map(|(target, _)| {
                let (online, items) = self.at(target, at);
                self.slots.saturating_sub(online + items)
            })
            .sum()
    }

    /// Slots per target.
    pub fn slots(&self) -> usize {
        self.slots
    }
}
