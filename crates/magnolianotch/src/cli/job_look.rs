//! Looks at a job: its id, its end, what is shown of it.

use std::time::Duration;

use async_std::task;
use notch_callers::view::JobView;
use notch_messages::shard::JobPhase;
use notch_types::prelude::*;

use super::{
    error::CliError, gateway::GatewayClient, output::CommandOutput, progress::ItemProgress,
};

/// Wait between two looks at a job that is waited for.
const LOOK_PAUSE: Duration = Duration::from_millis(500);
/// Looks that may fail in a row before waiting is given up.
const FAILED_LOOKS: u32 = 20;

/// Checks a job's id before anything is sent.
pub(super) fn job_id(text: &str) -> Result<String, CliError> {
    let id: Result<JobId, _> = text.parse();
    id.map(|id| id.to_string()).map_err(|_| CliError::Usage(format!("{text} is no job's id")))
}

/// Looks at a job until it has ended. A gateway that is away for a moment is asked again.
pub(super) async fn wait(
    client: &GatewayClient,
    mut view: JobView,
    output: &CommandOutput,
) -> Result<JobView, CliError> {
    let progress = ItemProgress::new(output, view.items.total);
    let mut failed = 0;
    while view.phase == JobPhase::Running {
        progress.set(&view.items);
        task::sleep(LOOK_PAUSE).await;
        match client.get(&["jobs", &view.id]).await {
            Ok(next) => {
                view = next;
                failed = 0;
            }
            Err(CliError::Http(_) | CliError::CutAnswer(_)) if failed < FAILED_LOOKS => failed += 1,
            Err(CliError::Refused(error))
                if error.retry_after_ms.is_some() && failed < FAILED_LOOKS =>
            {
                failed += 1;
            }
            Err(error) => return Err(error),
        }
    }
    progress.end();
    Ok(view)
}

/// Shows how far a job is.
pub(super) fn show(view: &JobView, output: &mut CommandOutput) {
    if output.is_json() {
        output.json(view);
        return;
    }
    let phase = match view.phase {
        JobPhase::Running => "running",
        JobPhase::Cancelled => "cancelled",
        JobPhase::Done => "done",
    };
    let resend = if view.resend == Some(true) { " (was submitted before)" } else { "" };
    output.line(&format!("{} {phase}{resend}", view.id));
    output.line(&format!("target {}, due {}", view.target, view.due));
    let items = &view.items;
    output.line(&format!(
        "items {}: {} answered, {} failed, {} cancelled, {} running",
        items.total, items.answered, items.failed, items.cancelled, items.leased
    ));
}
