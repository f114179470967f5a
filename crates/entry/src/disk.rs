//! The process of a VM with a disk, which the platform requires. Nothing is stored on the disk, and the gateways
//! answer requests to empty the VM, so that this process only waits for the signal to stop.

use async_std::stream::StreamExt;
use notch_settings::DiskConfig;
use notch_telemetry::prelude::*;
use signal_hook::consts::SIGHUP;
use signal_hook_async_std::Signals;

/// Runs until a signal to stop.
pub async fn run(config: &DiskConfig, mut signals: Signals) {
    let log = NodeLog::new(&config.node.vm, &config.node.domain);
    log.info("started", &[]);
    while let Some(signal) = signals.next().await {
        if signal != SIGHUP {
            break;
        }
    }
    log.info("stopped", &[]);
}
