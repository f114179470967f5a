//! The command line of operators, callers and developers.

mod args;
mod catalogue;
mod development;
mod error;
mod explain;
mod gateway;
mod job;
mod job_look;
mod lab;
mod output;
mod progress;
mod results;
mod soak;
mod stand_in;
mod status;
mod submit;
mod table;

use std::process::ExitCode;

use argh::FromArgs;
use async_std::task;

use self::{args::CatalogueCommand, gateway::GatewayClient};
pub use self::{
    args::{CommandLine, JobCommand, ProgramCommand},
    error::{CliError, ExitKind},
    output::CommandOutput,
};

/// Environment variable with the gateway's URL, where the option is not given.
const GATEWAY_VARIABLE: &str = "MAGNOLIANOTCH_GATEWAY";
/// Environment variable with the key, where the option is not given.
const KEY_VARIABLE: &str = "MAGNOLIANOTCH_KEY";
/// The gateway asked where nothing says otherwise.
const DEFAULT_GATEWAY: &str = "http://127.0.0.1:7100";

/// Runs the program with the arguments it was started with.
pub fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let mut output = CommandOutput::standard();
    run(&arguments, &mut output).into()
}

/// Runs the program with `arguments`, the program's name first.
pub fn run(arguments: &[&str], output: &mut CommandOutput) -> ExitKind {
    let (name, rest) = arguments.split_first().unwrap_or((&"magnolianotch", &[]));
    let rest = args::globals_first(rest);
    let line = match CommandLine::from_args(&[name], &rest) {
        Ok(line) => line,
        Err(exit) if exit.status.is_ok() => {
            output.line(&exit.output);
            return ExitKind::Done;
        }
        Err(exit) => {
            output.note(&exit.output);
            return ExitKind::Usage;
        }
    };
    output.set_json(line.json);
    match task::block_on(execute(line, output)) {
        Ok(()) => ExitKind::Done,
        Err(error) => {
            output.error(&error);
            error.exit_kind()
        }
    }
}

async fn execute(line: CommandLine, output: &mut CommandOutput) -> Result<(), CliError> {
    let CommandLine { gateway, key, command, .. } = line;
    let client = || GatewayClient::new(gateway_url(gateway), given(key, KEY_VARIABLE));
    match command {
        ProgramCommand::Catalogue(args) => match args.command {
            CatalogueCommand::Check(check) => catalogue::check_files(&check, output),
            remote => catalogue::run(&client()?, &remote, output).await,
        },
        ProgramCommand::Job(args) => job::run(&client()?, &args.command, output).await,
        ProgramCommand::Status(_) => status::run(&client()?, output).await,
        ProgramCommand::Explain(args) => explain::run(&client()?, &args, output).await,
        ProgramCommand::StandIn(args) => stand_in::run(&args.command, output).await,
        ProgramCommand::Demo(args) => development::run_demo_command(&args, output).await,
        ProgramCommand::Measure(args) => development::measure(&args.command, output).await,
        ProgramCommand::Soak(args) => soak::run(&args, output).await,
        ProgramCommand::Lab(args) => lab::run(&args, output),
    }
}

fn gateway_url(option: Option<String>) -> String {
    given(option, GATEWAY_VARIABLE).unwrap_or_else(|| DEFAULT_GATEWAY.to_owned())
}

/// An option, or else the environment's variable.
fn given(option: Option<String>, variable: &str) -> Option<String> {
    option.or_else(|| std::env::var(variable).ok()).filter(|text| !text.is_empty())
}
