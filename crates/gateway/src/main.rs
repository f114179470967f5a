//! The gateway daemon.

use std::process::ExitCode;

use async_std::{stream::StreamExt, task};
use notch_gateway::{
    options::GatewayOptions,
    prelude::{GatewayEdges, GatewayError, GatewayHandle},
};
use notch_settings::GatewayConfig;
use notch_telemetry::prelude::*;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook_async_std::Signals;

fn main() -> ExitCode {
    let options: GatewayOptions = argh::from_env();
    let config = match GatewayConfig::load(&options.config) {
        Ok(config) => config,
        Err(errors) => {
            eprintln!("{errors}");
            return ExitCode::from(2);
        }
    };
    if options.check {
        return tell_valid(&options, &config);
    }
    init_logs(LogSettings::of(&config.node, &config.logging));
    match task::block_on(run(config)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

#[expect(clippy::print_stdout, reason = "a check answers on standard output")]
fn tell_valid(options: &GatewayOptions, config: &GatewayConfig) -> ExitCode {
    let GatewayConfig { node, .. } = config;
    let path = options.config.display();
    println!("{path}: valid, for VM {} in failure domain {}", node.vm, node.domain);
    ExitCode::SUCCESS
}

async fn run(config: GatewayConfig) -> Result<(), GatewayError> {
    let log = NodeLog::new(&config.node.vm, &config.node.domain);
    let edges = GatewayEdges::over_http(&config);
    let mut signals = Signals::new([SIGTERM, SIGINT]).map_err(GatewayError::Thread)?;
    let gateway = GatewayHandle::start(config, edges).await?;
    log.info("started", &[("callers", &gateway.callers()), ("links", &gateway.links())]);
    signals.next().await;
    let graceful = gateway.stop().await;
    log.info("stopped", &[("graceful", &graceful)]);
    Ok(())
}
