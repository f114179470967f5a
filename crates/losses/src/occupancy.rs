//! How many requests ran at each target at any moment, from the ends that gateways logged.

use notch_types::prelude::*;

/// One run at a target.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetRun {
    /// The target.
    pub target: String,
    /// Seconds since the day began.
    pub from: f64,
    /// Seconds since the day began.
    pub to: f64,
    /// Whether it was an item of a job.
    pub is_item: bool,
}

/// When a target took new requests. Its entry may go and come back: it lapses in an outage of the store.
#[derive(Debug, Default)]
struct TargetLife {
    /// Of the newest change. Gateways hear of changes one after the other, so an older word may come
    /// after a newer one.
    revision: u64,
    /// From when on, and until when if it's over, in their order.
    spans: Vec<(f64, Option<f64>)>,
}

impl TargetLife {
    fn is_open(&self) -> bool {
        self.spans.last().is_some_and(|(_, to)| to.is_none())
    }

    fn holds(&self, at: f64) -> bool {
        self.spans.iter().any(|(from, to)| *from <= at && to.is_none_or(|to| at < to))
    }
}

/// Every run at every target.
#[derive(Debug, Default)]
pub struct OccupancyMap {
    runs: FastMap<String, Vec<TargetRun>>,
    lives: FastMap<String, TargetLife>,
    /// Places of each target.
    slots: usize,
}

impl OccupancyMap {
    /// A map of targets with `slots` places each.
    pub fn new(slots: usize) -> Self {
        Self { slots, ..Self::default() }
    }

    /// A target took new requests from `at` on, by its entry's `revision`.
    pub fn note_ready(&mut self, target: &str, at: f64, revision: u64) {
        let life = self.lives.entry(target.to_owned()).or_default();
        if !life.is_open() && (life.spans.is_empty() || revision > life.revision) {
            life.spans.push((at, None));
        }
        life.revision = life.revision.max(revision);
    }

    /// A target took no new requests from `at` on, by its entry's `revision`.
    pub fn note_gone(&mut self, target: &str, at: f64, revision: u64) {
        let Some(life) = self.lives.get_mut(target) else { return };
        if revision < life.revision {
            return;
        }
        life.revision = revision;
        if let Some((_, to)) = life.spans.last_mut() {
            to.get_or_insert(at);
        }
    }

    /// Counts a run.
    pub fn add(&mut self, run: TargetRun) {
        self.runs.entry(run.target.clone()).or_default().push(run);
    }

    /// Online requests and items at a target at one moment.
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

    /// Places that were free at one moment at all targets together, as one who knows all would see it.
    pub fn free_places(&self, at: f64) -> usize {
        let ready = self.lives.iter().filter(|(_, life)| life.holds(at));
        ready
            .map(|(target, _)| {
                let (online, items) = self.at(target, at);
                self.slots.saturating_sub(online + items)
            })
            .sum()
    }

    /// Places of each target.
    pub fn slots(&self) -> usize {
        self.slots
    }
}
