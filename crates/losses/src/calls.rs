//! Store calls by cause, from the counts that gateways log.

use std::{collections::BTreeMap, fmt};

use notch_types::prelude::*;

use crate::line::LogLine;

/// Store calls of all gateways. Each gateway periodically logs its counts since its start, so calls between
/// the last such line and a kill are missing.
#[derive(Debug, Default)]
pub struct CallCounts {
    /// Total counts of the processes that have ended.
    ended: BTreeMap<String, u64>,
    /// Latest counts of the current process of each VM.
    current: FastMap<String, Vec<(String, u64)>>,
}

impl CallCounts {
    /// Adds a line. The lines of a VM have to be added in order.
    pub fn add_line(&mut self, line: &LogLine) {
        match line.event.as_str() {
            "started" => {
                for (cause, count) in self.current.remove(&line.vm).unwrap_or_default() {
                    *self.ended.entry(cause).or_default() += count;
                }
            }
            "store_calls" => {
                self.current.insert(line.vm.clone(), counts(line));
            }
            _ => {}
        }
    }

    /// Calls of all processes by cause.
    pub fn by_cause(&self) -> BTreeMap<String, u64> {
        let mut all = self.ended.clone();
        for (cause, count) in self.current.values().flatten() {
            *all.entry(cause.clone()).or_default() += count;
        }
        all
    }
}

/// All fields of the line that are counts, except for `all`, which is their sum.
fn counts(line: &LogLine) -> Vec<(String, u64)> {
    let counts = line.fields().filter(|(name, _)| *name != "all");
    counts.filter_map(|(name, text)| Some((name.to_owned(), text.parse().ok()?))).collect()
}

impl fmt::Display for CallCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let by_cause = self.by_cause();
        let all: u64 = by_cause.values().sum();
        writeln!(f, "calls to the store that gateways logged: {all}")?;
        let mut causes: Vec<_> = by_cause.into_iter().collect();
        causes.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
        for (cause, count) in causes {
            let share = count as f64 / all.max(1) as f64;
            writeln!(f, "  {count:6} {share:7.3} {cause}")?;
        }
        Ok(())
    }
}
