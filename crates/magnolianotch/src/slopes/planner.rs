//! The placement holder: processor time of a plan, and what a loss moves.

use std::time::Duration;

use notch_placement::probe::ModelFleet;
use notch_types::prelude::*;

use super::{
    report::{SIDECARS, SlopeReport},
    series::{RoleName::PlacementHolder, SeriesName},
};

const PLANS: usize = 300;

fn name(quantity: &'static str, unit: &'static str) -> SeriesName {
    SeriesName { role: PlacementHolder, quantity, unit, against: "targets" }
}

/// Measures plans against the number of targets, and losses at the size planned for.
pub(super) fn measure_planner(report: &mut SlopeReport) {
    let (mut plan, mut seen) = (Vec::new(), Vec::new());
    for targets in [64, 150, 300, 600] {
        let mut fleet = ModelFleet::new(targets);
        fleet.report_all();
        let at = targets as f64;
        fleet.settle();
        fleet.plan_times(PLANS);
        plan.push((at, micros(fleet.spent) / f64::from(fleet.plans.max(1))));
        fleet.spent = Duration::ZERO;
        fleet.report_all();
        seen.push((at, micros(fleet.spent) / at));
    }
    report.add(name("plan, nothing to do", "µs"), SIDECARS, &plan);
    report.add(name("holdings of one target taken in", "µs"), SIDECARS, &seen);
    for (words, lost) in [("one VM", 1), ("ten VMs", 10), ("one domain (120 VMs)", 120)] {
        measure_loss(report, words, lost);
    }
}

fn micros(time: Duration) -> f64 {
    time.as_secs_f64() * 1e6
}

/// Loses `lost` VMs of one domain of a fleet whose loads take 60 s, and gets them back.
fn measure_loss(report: &mut SlopeReport, words: &str, lost: usize) {
    let mut fleet = ModelFleet::new(SIDECARS as usize);
    fleet.settle();
    fleet.moves();
    let victims: Vec<VmName> = fleet
        .reports
        .values()
        .filter(|report| report.domain.as_str() == "domain-0")
        .map(|report| report.vm.clone())
        .take(lost)
        .collect();
    fleet.lose(|report| victims.contains(&report.vm));
    let repaired = fleet.settle();
    let (loads, unloads) = fleet.moves();
    let mut figure = |what: &str, unit, value| {
        report.figure(PlacementHolder, format!("{words} of 600 lost: {what}"), unit, value);
    };
    figure("last load done after", "s", repaired as f64);
    figure("loads", "", loads as f64);
    figure("unloads", "", unloads as f64);
    figure("longest plan", "µs", micros(fleet.slowest));
    fleet.bring_back();
    let back = fleet.settle();
    let (loads, unloads) = fleet.moves();
    figure("back: settled after", "s", back as f64);
    figure("back: loads and unloads", "", (loads + unloads) as f64);
}
