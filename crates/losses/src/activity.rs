//! When the process of each VM was last active, from the times of its log lines.

use notch_types::prelude::*;

use crate::line::LogLine;

/// Log lines of one VM.
#[derive(Debug, Default)]
struct VmLines {
    /// Times of all lines, in order.
    all: Vec<f64>,
    /// Times at which a process started or handed over its jobs: it no longer owns what it owned before.
    ends: Vec<f64>,
}

/// Activity of all VMs.
#[derive(Debug, Default)]
pub struct VmActivity {
    vms: FastMap<String, VmLines>,
}

impl VmActivity {
    /// Collects the lines of all gateways, which are in the order of their times.
    pub fn of_lines(lines: &[LogLine]) -> Self {
        let mut activity = Self::default();
        for line in lines {
            let vm = activity.vms.entry(line.vm.clone()).or_default();
            if matches!(line.event.as_str(), "started" | "jobs_left") {
                vm.ends.push(line.at);
            }
            vm.all.push(line.at);
        }
        activity
    }

    /// Time of the last line before `until` of the process that ran on `vm` at `from`.
    pub fn last_seen(&self, vm: &str, from: f64, until: f64) -> f64 {
        let Some(lines) = self.vms.get(vm) else { return from };
        let end = lines.ends.iter().copied().find(|end| *end > from).unwrap_or(until).min(until);
        let before = lines.all.partition_point(|at| *at < end);
        lines.all[..before].last().copied().unwrap_or(from).max(from)
    }
}
