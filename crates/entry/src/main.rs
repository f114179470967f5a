//! The binary that runs on entry VMs and on VMs with a disk.

use std::{env, path::PathBuf, process::ExitCode};

use async_std::task;
use notch_entry::{disk, gateway, prelude::*};
use notch_platform_wire::settings::SETTINGS_VARIABLE;
use notch_settings::{DiskConfig, EntryConfig};
use notch_telemetry::prelude::*;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook_async_std::Signals;

fn main() -> ExitCode {
    let options: EntryOptions = argh::from_env();
    match run(options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn run(options: EntryOptions) -> Result<(), EntryError> {
    // Before anything that takes time: an uncaught reload ends the process.
    let signals = Signals::new([SIGTERM, SIGINT, SIGHUP]).map_err(EntryError::Signals)?;
    let settings_path =
        options.config.or_else(|| env::var_os(SETTINGS_VARIABLE).map(PathBuf::from));
    let path = settings_path.ok_or(EntryError::NoSettings)?;
    match options.role {
        RoleOption::Gateway(_) => {
            let config = EntryConfig::load(&path).map_err(EntryError::Settings)?;
            if options.check {
                return Ok(());
            }
            init_logs(log_settings(LogSettings::of(&config.node, &config.logging)));
            task::block_on(gateway::run(config, path, signals))
        }
        RoleOption::Disk(_) => {
            let config = DiskConfig::load(&path).map_err(EntryError::Settings)?;
            if options.check {
                return Ok(());
            }
            init_logs(log_settings(LogSettings::of(&config.node, &config.logging)));
            task::block_on(disk::run(&config, signals));
            Ok(())
        }
    }
}

fn log_settings(base: LogSettings) -> LogSettings {
    LogSettings { output: LogOutput::BoundedStandardOutput, ..base }
}
