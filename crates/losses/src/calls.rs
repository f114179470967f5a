//! Calls to the store by cause, from what gateways logged of them.

use std::{collections::BTreeMap, fmt};

use notch_types::prelude::*;

use crate::line::LogLine;

/// Calls of all gateways. Each logs its counts since its start now and then; what one called between
/// its last such line and a kill isn't here.
#[derive(Debug, Default)]
pub struct CallAccount {
    /// Counts of processes that have ended.
    ended: BTreeMap<String, u64>,
    /// The newest counts of each VM's process.
    current: FastMap<String, Vec<(String, u64)>>,
}

impl CallAccount {
    /// Takes a line in; lines of one VM come in their order.
    pub fn take(&mut self, line: &LogLine) {
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

    /// Calls by cause, of all processes.
    pub fn by_cause(&self) -> BTreeMap<String, u64> {
        let mut all = self.ended.clone();
        for (cause, count) in self.current.values().flatten() {
            *all.entry(cause.clone()).or_default() += count;
        }
        all
    }
}

/// Every field of the line that is a count; the sum of all isn't one of them.
fn counts(line: &LogLine) -> Vec<(String, u64)> {
    let counts = line.fields().filter(|(name, _)| *name != "all");
    counts.filter_map(|(name, text)| Some((name.to_owned(), text.parse().ok()?))).collect()
}

impl fmt::Display for CallAccount {
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
