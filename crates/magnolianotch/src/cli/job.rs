//! `job`: status and cancel; submit and results have files of their own.

use notch_http::prelude::*;

use super::{
    args::JobCommand,
    error::CliError,
    gateway::GatewayClient,
    job_look::{job_id, show, wait},
    output::CommandOutput,
    results, submit,
};

/// Runs a command about jobs.
pub(super) async fn run(
    client: &GatewayClient,
    command: &JobCommand,
    output: &mut CommandOutput,
) -> Result<(), CliError> {
    match command {
        JobCommand::Submit(args) => submit::run(client, args, output).await,
        JobCommand::Results(args) => results::run(client, args, output).await,
        JobCommand::Cancel(args) => {
            let job = job_id(&args.job)?;
            let request = client.request(Method::Delete, &["jobs", &job]);
            let view = client.ask(request).await?;
            show(&view, output);
            Ok(())
        }
        JobCommand::Status(args) => {
            let view = client.get(&["jobs", &job_id(&args.job)?]).await?;
            let view = if args.wait { wait(client, view, output).await? } else { view };
            show(&view, output);
            Ok(())
        }
    }
}
