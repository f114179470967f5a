//! What goes on inside a fleet while it is measured: how full it is, and why it isn't fuller.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use notch_standins::engine::protocol::EngineState;
use notch_telemetry::prelude::{Gauge, Metrics};
use notch_types::prelude::*;
use serde_json::{Value, json};

use crate::fleet::LocalFleet;

/// Between two looks.
pub const LOOK_EVERY: Duration = Duration::from_millis(20);

/// Counters of sidecars that tell why slots stay empty.
const COUNTERS: [(&str, Counter); 7] = [
    ("lots_pulled", Counter::Event("lots_pulled")),
    ("lots_taken", Counter::Event("lots_taken")),
    ("pulls_unanswered", Counter::Event("pulls_unanswered")),
    ("items_returned", Counter::Event("items_returned")),
    ("batch_trimmed", Counter::Event("batch_trimmed")),
    ("preempted", Counter::Retried(RetryReason::Preempted)),
    ("overloaded", Counter::Refused(RefusalReason::Overloaded)),
];

/// What was seen inside.
#[derive(Debug, Clone, Default)]
pub struct InsideFigures {
    looks: u64,
    /// Streams running in all engines, summed over the looks.
    running: u64,
    /// Requests waiting inside the engines.
    waiting: u64,
    /// Batch runs, as the sidecars tell.
    batch: u64,
    /// Online runs.
    online: u64,
    /// Learned limits of all sidecars.
    limit: u64,
    counters: BTreeMap<&'static str, u64>,
}

impl InsideFigures {
    /// Takes in another part's.
    pub fn merge(&mut self, other: &Self) {
        self.looks += other.looks;
        self.running += other.running;
        self.waiting += other.waiting;
        self.batch += other.batch;
        self.online += other.online;
        self.limit += other.limit;
        for (name, count) in &other.counters {
            *self.counters.entry(name).or_default() += count;
        }
    }

    /// One JSON object: means over the whole fleet, and counts.
    pub fn to_json(&self) -> Value {
        let mean = |sum: u64| sum as f64 / self.looks.max(1) as f64;
        json!({
            "engine_streams": mean(self.running),
            "engine_waiting": mean(self.waiting),
            "batch_runs": mean(self.batch),
            "online_runs": mean(self.online),
            "limits": mean(self.limit),
            "counters": self.counters,
        })
    }

    /// Looks once.
    pub fn look(&mut self, fleet: &LocalFleet) {
        self.looks += 1;
        for engine in &fleet.engines {
            let EngineState { load, .. } = engine.state();
            self.running += load.running;
            self.waiting += load.waiting;
        }
        for metrics in sidecars(fleet) {
            let value = |gauge| metrics.value(gauge).max(0) as u64;
            self.batch += value(Gauge::BatchRunning);
            self.online += value(Gauge::OnlineRunning);
            self.limit += value(Gauge::AdmissionLimit);
        }
    }

    /// Looks again and again until `until`.
    pub async fn watch(&mut self, fleet: &LocalFleet, until: Instant) {
        while Instant::now() < until {
            self.look(fleet);
            async_std::task::sleep(LOOK_EVERY).await;
        }
    }

    /// Counts from here on: what stands now is taken off.
    pub fn begin(fleet: &LocalFleet) -> BTreeMap<&'static str, u64> {
        counted(fleet)
    }

    /// Counts up to here.
    pub fn end(&mut self, fleet: &LocalFleet, before: &BTreeMap<&'static str, u64>) {
        for (name, count) in counted(fleet) {
            let before = before.get(name).copied().unwrap_or(0);
            self.counters.insert(name, count.saturating_sub(before));
        }
    }
}

fn sidecars(fleet: &LocalFleet) -> impl Iterator<Item = &Arc<Metrics>> {
    fleet.sidecars.iter().flatten().map(|sidecar| sidecar.metrics())
}

fn counted(fleet: &LocalFleet) -> BTreeMap<&'static str, u64> {
    let sum = |counter: Counter| sidecars(fleet).map(|metrics| metrics.counted(counter)).sum();
    COUNTERS.iter().map(|(name, counter)| (*name, sum(*counter))).collect()
}
