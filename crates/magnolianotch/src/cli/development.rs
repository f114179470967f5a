//! `demo` and `measure`: wired to the modules that run them.

use crate::{
    demo::{DemoSettings, run_demo},
    fleet::FleetProfile,
    measure::{OnlineSettings, plot::write_plot, run_online},
    slopes::{part_names, report::SlopeReport, run_slopes, run_state, unknown_part},
};

use super::{
    args::{DemoArgs, MeasureCommand, MeasureOnlineArgs},
    error::CliError,
    output::CommandOutput,
};

/// Runs the demo; it fails unless every accepted item has exactly one result.
pub(super) async fn run_demo_command(
    _args: &DemoArgs,
    output: &mut CommandOutput,
) -> Result<(), CliError> {
    let summary = run_demo(&DemoSettings::default()).await;
    let summary = summary.map_err(|error| CliError::Failed(error.to_string()))?;
    if output.is_json() {
        output.json(&summary.to_json());
    } else {
        output.line(&summary.to_string());
    }
    if summary.holds() { Ok(()) } else { Err(CliError::Told) }
}

/// Measures; it fails when any answer was wrong or missing, for then the figures mean nothing.
pub(super) async fn measure(
    command: &MeasureCommand,
    output: &mut CommandOutput,
) -> Result<(), CliError> {
    match command {
        MeasureCommand::Online(args) => measure_online(args, output).await,
        MeasureCommand::Slopes(args) => measure_slopes(&args.parts, output),
        MeasureCommand::State(_) => {
            print_slopes(&run_state(), output);
            Ok(())
        }
    }
}

/// Measures in this thread: nothing else runs meanwhile, and its processor time is counted.
fn measure_slopes(parts: &[String], output: &mut CommandOutput) -> Result<(), CliError> {
    if let Some(part) = unknown_part(parts) {
        let known = part_names().join(", ");
        return Err(CliError::Failed(format!("no part is named {part}; there are {known}")));
    }
    print_slopes(&run_slopes(parts), output);
    Ok(())
}

fn print_slopes(report: &SlopeReport, output: &mut CommandOutput) {
    if output.is_json() {
        output.json(report);
    } else {
        output.line(report.tables().trim_end());
    }
}

async fn measure_online(
    args: &MeasureOnlineArgs,
    output: &mut CommandOutput,
) -> Result<(), CliError> {
    let settings = OnlineSettings {
        profiles: profiles(&args.profile)?,
        seconds: args.seconds.max(1),
        seed: args.seed,
        burst: args.burst.max(1.0),
        brief: args.brief,
        ..OnlineSettings::default()
    };
    let report = run_online(&settings, &mut |text| output.note(text)).await;
    let report = report.map_err(|error| CliError::Failed(error.to_string()))?;
    if let Some(path) = &args.plot {
        let plot = write_plot(&report, path);
        plot.map_err(|error| CliError::Failed(error.to_string()))?;
    }
    if output.is_json() {
        output.json(&report.to_json());
    } else {
        output.line(&report.to_string());
    }
    if report.holds() { Ok(()) } else { Err(CliError::Told) }
}

fn profiles(name: &str) -> Result<Vec<FleetProfile>, CliError> {
    match name {
        "rahbar" => Ok(vec![FleetProfile::rahbar()]),
        "raiffalm" => Ok(vec![FleetProfile::raiffalm()]),
        "both" => Ok(vec![FleetProfile::rahbar(), FleetProfile::raiffalm()]),
        other => Err(CliError::Usage(format!("no profile {other}: rahbar, raiffalm or both"))),
    }
}
