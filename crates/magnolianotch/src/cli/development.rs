//! `demo`: wired to the module that runs it.

use crate::demo::{DemoSettings, run_demo};

use super::{args::DemoArgs, error::CliError, output::CommandOutput};

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
