//! Thin entry point of the sidecar.

use std::{path::PathBuf, process::ExitCode};

use argh::FromArgs;
use async_std::{stream::StreamExt, task};
use log::{error, info};
use notch_settings::{check::ProgramKind, check::check_file, prelude::*};
use notch_sidecar::prelude::*;
use notch_telemetry::prelude::{LogSettings, init_logs};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook_async_std::Signals;

/// Runs beside a target and lets work through to it.
#[derive(Debug, FromArgs)]
struct SidecarArgs {
    /// settings file (INI)
    #[argh(option)]
    config: PathBuf,
    /// check the settings file and end
    #[argh(switch)]
    check: bool,
}

/// Exit code for settings that can't be used; the gateway's is the same.
const BAD_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    let args: SidecarArgs = argh::from_env();
    if args.check {
        return check(&args);
    }
    match load(&args) {
        Ok(config) => task::block_on(serve(config)),
        Err(errors) => {
            tell(&errors.to_string());
            ExitCode::from(BAD_SETTINGS)
        }
    }
}

#[expect(clippy::print_stdout, reason = "a check answers on standard output")]
fn check(args: &SidecarArgs) -> ExitCode {
    match check_file(ProgramKind::Sidecar, &args.config) {
        Ok(told) => {
            println!("{told}");
            ExitCode::SUCCESS
        }
        Err(errors) => {
            tell(&errors.to_string());
            ExitCode::from(BAD_SETTINGS)
        }
    }
}

fn tell(text: &str) {
    eprintln!("{text}");
}

fn load(args: &SidecarArgs) -> Result<SidecarConfig, SettingsErrors> {
    SidecarConfig::from_file(&SettingsFile::load(&args.config)?)
}

async fn serve(config: SidecarConfig) -> ExitCode {
    init_logs(LogSettings::of(&config.node, &config.logging));
    let signals = Signals::new([SIGTERM, SIGINT]);
    let settings = SidecarSettings { config, ..SidecarSettings::default() };
    let (mut signals, sidecar) = match (signals, SidecarHandle::start(settings).await) {
        (Ok(signals), Ok(sidecar)) => (signals, sidecar),
        (Err(fault), _) => return fail(&fault.to_string()),
        (_, Err(fault)) => return fail(&fault.to_string()),
    };
    info!("sidecar of {} runs", sidecar.vm());
    signals.next().await;
    info!("leaving");
    sidecar.stop().await;
    ExitCode::SUCCESS
}

fn fail(fault: &str) -> ExitCode {
    error!("{fault}");
    ExitCode::FAILURE
}
