//! Resident memory of what each role holds.
//!
//! Freed memory is used again and would hide growth, so everything measured is kept until the
//! end, the largest holders come first, and this part runs before all others.

use std::{any::Any, hint::black_box};

use notch_callers::prelude::*;
use notch_catalogue::probe::settled_fleet as settled_catalogue;
use notch_membership::probe::settled_fleet;
use notch_placement::probe::ModelFleet;
use notch_routing::probe::RouterProbe;
use notch_settings::prelude::GatewayConfig;

use super::{
    gate::{gate, run_attempts},
    machine::resident_bytes,
    report::{ACCOUNTS, DOMAINS, GATEWAYS, SIDECARS, SlopeReport},
    router::LINKED,
    series::{
        RoleName::{self, Gateway, PlacementHolder, Sidecar},
        SeriesName,
    },
};

/// Copies of each thing, so that one page more or less doesn't matter.
const COPIES: usize = 8;
/// Entries at the size planned for: accounts, models and policy.
const ALL_ENTRIES: usize = 11_010;
/// Attempts in the ten minutes that an ended one is remembered: 2,100 a second at 600 sidecars.
const REMEMBERED: f64 = 2_100.0;

/// All that was measured, kept alive.
type KeptValues = Vec<Box<dyn Any>>;

/// Megabytes that one of `COPIES` values takes.
fn megabytes_each<T: 'static>(kept: &mut KeptValues, mut make: impl FnMut(u64) -> T) -> f64 {
    let before = resident_bytes();
    for copy in 0..COPIES {
        kept.push(Box::new(make(copy as u64)));
    }
    resident_bytes().saturating_sub(before) as f64 / COPIES as f64 / 1e6
}

/// Measures memory.
pub(super) fn measure_memory(report: &mut SlopeReport) {
    let mut kept = KeptValues::new();
    measure_catalogue(report, &mut kept);
    measure_accounts(report, &mut kept);
    measure_attempts(report, &mut kept);
    measure_targets(report, &mut kept);
    measure_intake(report, &mut kept);
    measure_members(report, &mut kept);
    black_box(&kept);
}

fn name(
    role: RoleName,
    quantity: &'static str,
    unit: &'static str,
    against: &'static str,
) -> SeriesName {
    SeriesName { role, quantity, unit, against }
}

/// A fleet of as many nodes as copies are usual; the store's own copy is in it.
fn measure_catalogue(report: &mut SlopeReport, kept: &mut KeptValues) {
    let settings = notch_gateway::wiring::catalogue_settings(&GatewayConfig::default());
    let points = [ALL_ENTRIES, 8_000, 4_000, 1_000].map(|entries| {
        let before = resident_bytes();
        kept.push(Box::new(settled_catalogue(COPIES, DOMAINS, entries, &settings, |_| 0)));
        let grown = resident_bytes().saturating_sub(before);
        (entries as f64, grown as f64 / COPIES as f64 / 1e6)
    });
    report.add(name(Gateway, "catalogue: memory", "MB", "entries"), ALL_ENTRIES as f64, &points);
}

fn measure_accounts(report: &mut SlopeReport, kept: &mut KeptValues) {
    let points = [11_000, 8_000, 4_000, 1_000].map(|accounts| {
        let each = megabytes_each(kept, |copy| {
            let mut probe = RouterProbe::new(LINKED, accounts, copy);
            (0..2 * accounts as u64).for_each(|number| probe.request(number));
            probe
        });
        (accounts as f64, each)
    });
    let name = name(Gateway, "router: memory, 35 sidecars, all accounts active", "MB", "accounts");
    report.add(name, ACCOUNTS, &points);
}

fn measure_attempts(report: &mut SlopeReport, kept: &mut KeptValues) {
    let points = [50_000_u64, 20_000, 10_000, 2_100].map(|count| {
        let each = megabytes_each(kept, |_| {
            let mut gate = gate();
            run_attempts(&mut gate, count, 8);
            gate
        });
        (count as f64, each)
    });
    let name = name(Sidecar, "gate: memory", "MB", "attempts of the last ten minutes");
    report.add(name, REMEMBERED, &points);
}

fn measure_targets(report: &mut SlopeReport, kept: &mut KeptValues) {
    let points = [1_200, 600, 300, 150].map(|targets| {
        let each = megabytes_each(kept, |_| {
            let mut fleet = ModelFleet::new(targets);
            fleet.report_all();
            fleet
        });
        (targets as f64, each)
    });
    report.add(name(PlacementHolder, "planner: memory", "MB", "targets"), SIDECARS, &points);
}

/// An intake as it is when its last line has come.
fn measure_intake(report: &mut SlopeReport, kept: &mut KeptValues) {
    const TEXT_BYTES: usize = 300;
    let text = "x".repeat(TEXT_BYTES);
    let points = [860_000_u32, 400_000, 200_000, 50_000].map(|items| {
        let each = megabytes_each(kept, |_| {
            let mut intake = LineIntake::new(IntakeSettings::default());
            let mut chunks = Vec::new();
            for item in 0..items {
                let line =
                    format!("{{\"custom_id\":\"item {item}\",\"body\":{{\"text\":\"{text}\"}}}}\n");
                let taken = intake.push(line.as_bytes(), &mut chunks);
                debug_assert!(taken.is_ok());
                chunks.clear();
            }
            intake
        });
        (f64::from(items), each)
    });
    report.add(name(Gateway, "intake: memory", "MB", "items of one job"), 860_000.0, &points);
}

fn measure_members(report: &mut SlopeReport, kept: &mut KeptValues) {
    let settings = notch_gateway::wiring::membership_settings(&GatewayConfig::default());
    let points = [370, 256, 128].map(|nodes| {
        let before = resident_bytes();
        kept.push(Box::new(settled_fleet(nodes, DOMAINS, &settings, |_| 0)));
        let grown = resident_bytes().saturating_sub(before);
        (nodes as f64, grown as f64 / nodes as f64 / 1e6)
    });
    report.add(name(Gateway, "membership: memory", "MB", "gateways"), GATEWAYS, &points);
}
