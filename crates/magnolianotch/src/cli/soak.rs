//! `soak`: real gateways under faults.

use std::{env, path::PathBuf, time::Duration};

use notch_soak::prelude::*;

use super::{args::SoakArgs, error::CliError, output::CommandOutput};

/// File name of the gateways' program.
const GATEWAY_PROGRAM: &str = "notch-entry";
/// Seconds in a minute.
const MINUTE: f64 = 60.0;

/// Runs one soak for each seed; it fails when a promise was broken.
pub(super) async fn run(args: &SoakArgs, output: &mut CommandOutput) -> Result<(), CliError> {
    let mut is_right = true;
    for seed in args.seed..args.seed.saturating_add(args.seeds) {
        let settings = soak_settings(args, seed)?;
        let report = run_soak(&settings).await;
        let report = report.map_err(|error| CliError::File(settings.program.clone(), error))?;
        is_right &= report.broken.is_empty();
        show(&settings, &report, output);
    }
    if is_right { Ok(()) } else { Err(CliError::Told) }
}

fn soak_settings(args: &SoakArgs, seed: u64) -> Result<SoakSettings, CliError> {
    let program = match &args.program {
        Some(program) => program.clone(),
        None => beside_this_program()?,
    };
    let folder = args.folder.clone().unwrap_or_else(|| env::temp_dir().join("notch-soak"));
    Ok(SoakSettings {
        seed,
        duration: Duration::from_secs_f64(args.minutes.max(0.0) * MINUTE),
        program,
        folder: folder.join(format!("seed-{seed}")),
        gateways: args.gateways.max(1),
        targets: args.targets.max(1),
        clients: args.clients,
        evicts_gateways: args.evict,
        limits_accounts: args.limit_accounts,
        offers_items: args.offer_items,
        mixes_versions: args.mix_versions,
        fails_items: args.fail_items,
        kills_all: args.kill_all,
        releases_versions: args.release_versions,
        crashes_parts: args.crash_parts,
        crashes_requests: args.crash_requests,
        floods_gateways: args.flood_gateways,
        resends_crashing: args.resend_crashing,
        names_deadlines: args.name_deadlines,
        fault_gap: args.fault_gap.map(|seconds| Duration::from_secs_f64(seconds.max(0.0))),
    })
}

fn beside_this_program() -> Result<PathBuf, CliError> {
    let own = env::current_exe().map_err(|error| CliError::Failed(error.to_string()))?;
    let program = own.with_file_name(GATEWAY_PROGRAM);
    if program.exists() {
        return Ok(program);
    }
    let detail = format!("{} isn't there: cargo build -p {GATEWAY_PROGRAM}", program.display());
    Err(CliError::Usage(detail))
}

fn show(settings: &SoakSettings, report: &SoakReport, output: &mut CommandOutput) {
    let SoakReport { faults, requests, jobs, crashes, broken } = report;
    let counts = format!(
        "{} faults, {requests} requests, {jobs} jobs, {} broken",
        faults.len(),
        broken.len()
    );
    output.line(&format!("seed {}: {counts}", settings.seed));
    for count in crashes {
        output.line(&format!("  {count}"));
    }
    if broken.is_empty() {
        return;
    }
    for promise in broken {
        output.line(&format!("  {:?}: {}", promise.kind, promise.detail));
    }
    for (at, fault) in faults {
        output.line(&format!("  {:.2} s {fault:?}", at.as_secs_f64()));
    }
    output.line(&format!("  logs: {}", settings.folder.display()));
}
