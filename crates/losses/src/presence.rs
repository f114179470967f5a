//! When gateways were there, from the times of their lines.

use notch_types::prelude::*;

use crate::line::LogLine;

/// Lines of one VM.
#[derive(Debug, Default)]
struct VmLines {
    /// Times of all lines, in their order.
    all: Vec<f64>,
    /// Times at which a process started, or left its jobs to others: what it owned before, it owns no more.
    ends: Vec<f64>,
}

/// When gateways were there.
#[derive(Debug, Default)]
pub struct VmPresence {
    vms: FastMap<String, VmLines>,
}

impl VmPresence {
    /// From the lines of all gateways, in the order of their times.
    pub fn of_lines(lines: &[LogLine]) -> Self {
        let mut presence = Self::default();
        for line in lines {
            let vm = presence.vms.entry(line.vm.clone()).or_default();
            if matches!(line.event.as_str(), "started" | "jobs_left") {
                vm.ends.push(line.at);
            }
            vm.all.push(line.at);
        }
        presence
    }

    /// When the process that `vm` had at `from` was last seen, before `until`.
    pub fn last_seen(&self, vm: &str, from: f64, until: f64) -> f64 {
        let Some(lines) = self.vms.get(vm) else { return from };
        let end = lines.ends.iter().copied().find(|end| *end > from).unwrap_or(until).min(until);
        let before = lines.all.partition_point(|at| *at < end);
        lines.all[..before].last().copied().unwrap_or(from).max(from)
    }
}
