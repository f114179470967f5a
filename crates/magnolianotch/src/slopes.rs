//! Slopes: what each role costs against the size of the fleet, and the value at the size planned
//! for. Decision values are driven in virtual time by plain loops: no sockets, no threads.

mod facts;
pub mod fit;
mod gate;
mod intake;
mod losses;
pub mod machine;
mod membership;
mod memory;
mod planner;
pub mod report;
mod router;
pub mod series;
mod shard;
mod wire;

use self::report::SlopeReport;

/// A part of the measurement, with its name on the command line.
type SlopePart = (&'static str, fn(&mut SlopeReport));

/// All parts, in order; memory first, before anything was freed.
const PARTS: [SlopePart; 16] = [
    ("memory", memory::measure_memory),
    ("membership", membership::measure_membership),
    ("assignments", losses::measure_assignments),
    ("losses", losses::measure_losses),
    ("facts", facts::measure_rumors),
    ("catalogue", membership::measure_catalogue),
    ("router", router::measure_router),
    ("gate", gate::measure_gate),
    ("ledger", shard::measure_load),
    ("ledger-settings", shard::measure_settings),
    ("keyed", shard::measure_keyed),
    ("recovery", shard::measure_recovery),
    ("jobs", shard::measure_jobs),
    ("intake", intake::measure_intake),
    ("placement", planner::measure_planner),
    ("wire", measure_wire),
];

/// The parts behind `measure state`.
const STATE_PARTS: [&str; 5] = ["ledger", "ledger-settings", "keyed", "recovery", "jobs"];

/// Measures the named parts, or all when none is named.
pub fn run_slopes(parts: &[String]) -> SlopeReport {
    let is_wanted = |name: &str| parts.is_empty() || parts.iter().any(|part| part == name);
    let mut report = SlopeReport::begin();
    for (_, measure) in PARTS.iter().filter(|(name, _)| is_wanted(name)) {
        measure(&mut report);
    }
    report.finish();
    report
}

/// Measures what lasts: ledger, recovery, jobs.
pub fn run_state() -> SlopeReport {
    run_slopes(&STATE_PARTS.map(str::to_owned))
}

/// The first of `parts` that names none.
pub fn unknown_part(parts: &[String]) -> Option<&str> {
    let is_known = |part: &&String| PARTS.iter().any(|(name, _)| name == part);
    parts.iter().find(|part| !is_known(part)).map(String::as_str)
}

/// The parts' names.
pub fn part_names() -> Vec<&'static str> {
    PARTS.iter().map(|(name, _)| *name).collect()
}

fn measure_wire(report: &mut SlopeReport) {
    wire::measure_messages(report);
    wire::measure_vm_list(report);
}
