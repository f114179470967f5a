//! Summary of a day: online requests by cause of loss, items, and calls to the store.

use std::{collections::BTreeMap, fmt};

use crate::{
    calls::CallCounts,
    cause::{LossCause, classify_request},
    jobs::ItemStatistics,
    line::LogLine,
    occupancy::{OccupancyMap, TargetRun},
};

/// Outcomes of a day's requests, items and store calls.
#[derive(Debug, Default)]
pub struct LossSummary {
    causes: BTreeMap<LossCause, usize>,
    /// Item runs by how they ended.
    item_runs: BTreeMap<String, usize>,
    /// Job items, with the causes of lateness.
    items: ItemStatistics,
    /// Store calls by cause.
    calls: CallCounts,
    /// Failed store calls by method and kind of object.
    store_failures: BTreeMap<String, usize>,
}

impl LossSummary {
    /// Analyses the lines of all gateways. `objective` is the latency objective to the first event in
    /// milliseconds, `slots` the number of slots per target.
    pub fn of_lines(lines: &[LogLine], objective: f64, slots: usize) -> Self {
        let occupancy = occupancy(lines, slots);
        let mut summary = Self { items: ItemStatistics::of_lines(lines), ..Self::default() };
        for line in lines {
            summary.add_line(line, objective, &occupancy);
        }
        summary
    }

    /// Number of requests with this cause.
    pub fn count(&self, cause: LossCause) -> usize {
        self.causes.get(&cause).copied().unwrap_or_default()
    }

    fn add_line(&mut self, line: &LogLine, objective: f64, occupancy: &OccupancyMap) {
        self.calls.add_line(line);
        match line.event.as_str() {
            "request_ended" | "request_abandoned" if line.text("status") != "404" => {
                *self.causes.entry(classify_request(line, objective, occupancy)).or_default() += 1;
            }
            "item_run_ended" => {
                *self.item_runs.entry(line.text("outcome").to_owned()).or_default() += 1;
            }
            "store_call_failed" => {
                let kind = object_kind(line.text("path"));
                let call = format!("{} {kind}", line.text("call"));
                *self.store_failures.entry(call).or_default() += 1;
            }
            _ => {}
        }
    }
}

/// Kind of object named by the path of a store call.
fn object_kind(path: &str) -> &str {
    let name = path.split('/').nth(3).unwrap_or_default();
    name.split('?').next().unwrap_or_default()
}

fn occupancy(lines: &[LogLine], slots: usize) -> OccupancyMap {
    let mut map = OccupancyMap::new(slots);
    for line in lines {
        let target = line.text("target");
        let is_item = line.event == "item_run_ended";
        let revision = line.number("revision").map_or(0, |revision| revision as u64);
        match line.event.as_str() {
            "target_known" if line.text("state") == "ready" => {
                map.note_ready(target, line.at, revision);
            }
            "target_known" | "target_gone" => map.note_gone(target, line.at, revision),
            "request_ended" | "item_run_ended" if !target.is_empty() && target != "-" => {
                let took = line.number("ms").unwrap_or_default() / 1_000.0;
                let target = target.to_owned();
                map.add(TargetRun { target, from: line.at - took, to: line.at, is_item });
            }
            _ => {}
        }
    }
    map
}

impl fmt::Display for LossSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let all: usize = self.causes.values().sum();
        writeln!(f, "online requests: {all}")?;
        for (cause, count) in &self.causes {
            let share = *count as f64 / all.max(1) as f64;
            writeln!(f, "  {count:6} {share:7.3} {}", cause.code())?;
        }
        writeln!(f, "runs of items, by their end")?;
        for (end, count) in &self.item_runs {
            writeln!(f, "  {count:6} {end}")?;
        }
        write!(f, "{}{}", self.items, self.calls)?;
        writeln!(f, "calls to the store that failed")?;
        for (call, count) in &self.store_failures {
            writeln!(f, "  {count:6} {call}")?;
        }
        Ok(())
    }
}
