//! `stand-in`: one outside system, until it is stopped.

use std::{fs, net::SocketAddr};

use async_std::stream::StreamExt;
use notch_platform::VmRecord;
use notch_standins::{
    EngineHandle, EngineSettings, LoadedModel, PlatformHandle, PlatformSettings, ServiceHandle,
    ServiceSettings,
};
use serde_json::json;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook_async_std::Signals;

use super::{
    args::{EngineArgs, PlatformArgs, ServiceArgs, StandInCommand},
    error::CliError,
    output::CommandOutput,
};

/// Runs a stand-in until SIGTERM or SIGINT.
pub(super) async fn run(
    command: &StandInCommand,
    output: &mut CommandOutput,
) -> Result<(), CliError> {
    // Before the address is told: whoever waits for it may stop the stand-in at once.
    let mut signals = Signals::new([SIGTERM, SIGINT]).map_err(|error| failed(&error))?;
    match command {
        StandInCommand::Platform(args) => {
            let vms = vm_list(args)?;
            let handle = PlatformHandle::start(platform(args)).await.map_err(|e| failed(&e))?;
            handle.vms().replace(vms);
            tell(output, handle.address(), None);
            signals.next().await;
            handle.stop().await;
        }
        StandInCommand::Engine(args) => {
            let handle = EngineHandle::start(engine(args)?).await.map_err(|e| failed(&e))?;
            tell(output, handle.address(), Some(handle.control_address()));
            signals.next().await;
            handle.stop().await;
        }
        StandInCommand::Service(args) => {
            let handle = ServiceHandle::start(service(args)?).await.map_err(|e| failed(&e))?;
            tell(output, handle.address(), Some(handle.control_address()));
            signals.next().await;
            handle.stop().await;
        }
    }
    Ok(())
}

fn failed(error: &std::io::Error) -> CliError {
    CliError::Failed(error.to_string())
}

fn tell(output: &mut CommandOutput, address: SocketAddr, control: Option<SocketAddr>) {
    if output.is_json() {
        output.json(&json!({ "address": address, "control": control }));
        return;
    }
    output.line(&format!("serving {address}"));
    if let Some(control) = control {
        output.line(&format!("control {control}"));
    }
}

fn platform(args: &PlatformArgs) -> PlatformSettings {
    PlatformSettings { address: args.address.clone(), ..PlatformSettings::default() }
}

fn vm_list(args: &PlatformArgs) -> Result<Vec<VmRecord>, CliError> {
    let Some(path) = &args.vms else { return Ok(Vec::new()) };
    let unreadable = |detail: String| CliError::Usage(format!("{path}: {detail}"));
    let text = fs::read(path).map_err(|error| unreadable(error.to_string()))?;
    serde_json::from_slice(&text).map_err(|error| unreadable(error.to_string()))
}

fn engine(args: &EngineArgs) -> Result<EngineSettings, CliError> {
    let models: Result<_, _> = args.model.iter().map(|text| loaded_model(text)).collect();
    let defaults = EngineSettings::default();
    Ok(EngineSettings {
        address: args.address.clone(),
        models: models?,
        slots: args.slots.unwrap_or(defaults.slots),
        checks_epoch: !args.ignore_fencing,
        ..defaults
    })
}

fn loaded_model(text: &str) -> Result<LoadedModel, CliError> {
    let wrong = || CliError::Usage(format!("{text} is not NAME:VERSION"));
    let (model, version) = text.split_once(':').ok_or_else(wrong)?;
    Ok(LoadedModel { model: model.to_owned(), version: version.to_owned(), adapters: Vec::new() })
}

fn service(args: &ServiceArgs) -> Result<ServiceSettings, CliError> {
    let defaults = ServiceSettings::default();
    let delay = match &args.delay {
        None => defaults.delay,
        Some(text) => humantime::parse_duration(text)
            .map_err(|_| CliError::Usage(format!("{text} is no duration such as 5ms")))?,
    };
    Ok(ServiceSettings { address: args.address.clone(), delay, ..defaults })
}
