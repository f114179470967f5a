//! What placement costs by fleet size, and how many moves a loss brings.
//!
//! `cargo run --release -p notch-placement --example planner_cost`

#![allow(clippy::print_stdout)]

use std::{fs, time::Duration};

use notch_messages::prelude::*;
use notch_placement::probe::ModelFleet;
use notch_types::prelude::*;

/// Resident memory of this process, bytes (pages of 4 KB).
fn resident() -> u64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: u64 = statm.split(' ').nth(1).and_then(|pages| pages.parse().ok()).unwrap_or(0);
    pages * 4_096
}

fn main() {
    println!("targets  orders  plan mean us  plan max us  report mean us  state KB");
    for targets in [60, 150, 300, 600, 1_200] {
        let before = resident();
        let mut fleets: Vec<ModelFleet> = (0..8).map(|_| ModelFleet::new(targets)).collect();
        fleets.iter_mut().for_each(ModelFleet::report_all);
        let state = resident().saturating_sub(before) / 8 / 1_024;
        let fleet = &mut fleets[0];
        fleet.settle();
        let (loads, unloads) = fleet.moves();
        fleet.plan_times(300);
        let mean = fleet.spent.as_micros() / u128::from(fleet.plans.max(1));
        let slowest = fleet.slowest.as_micros();
        fleet.spent = Duration::ZERO;
        fleet.report_all();
        let report = fleet.spent.as_nanos() as f64 / 1_000.0 / targets as f64;
        let orders = loads + unloads;
        println!("{targets:7}  {orders:6}  {mean:12}  {slowest:11}  {report:14.2}  {state:8}");
    }
    println!(
        "\nlost of 600      repaired s  loads  unloads  plan max us  back after s  loads  unloads"
    );
    for (name, vms) in [("one VM", 1), ("ten VMs", 10), ("one domain", 120)] {
        let mut fleet = ModelFleet::new(600);
        fleet.settle();
        fleet.moves();
        (fleet.slowest, fleet.spent, fleet.plans) = (Duration::ZERO, Duration::ZERO, 0);
        let domain = |report: &TargetHoldings| report.domain.as_str() == "domain-0";
        let victims: Vec<VmName> =
            fleet.reports.values().filter(|r| domain(r)).map(|r| r.vm.clone()).take(vms).collect();
        fleet.lose(|report| victims.contains(&report.vm));
        let repaired = fleet.settle();
        let (loads, unloads) = fleet.moves();
        let slowest = fleet.slowest.as_micros();
        fleet.bring_back();
        let back = fleet.settle();
        let (loads_back, unloads_back) = fleet.moves();
        println!(
            "{name:16} {repaired:10}  {loads:5}  {unloads:7}  {slowest:11}  {back:12}  {loads_back:5}  {unloads_back:7}"
        );
    }
}
