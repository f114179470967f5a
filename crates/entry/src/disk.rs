//! The process of a VM with a disk. Nothing of ours lies on its disk, so a request to empty it is
//! answered at once.

use std::path::PathBuf;

use async_std::{stream::StreamExt, task};
use notch_platform_wire::{
    prelude::StoreObject,
    store::{RETIREMENT_KIND, RetirementStatus, status_body, status_path},
};
use notch_settings::DiskConfig;
use notch_telemetry::prelude::*;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook_async_std::Signals;

use std::sync::Arc;

use crate::{
    clock::NodeClock,
    constants::STORE_PAUSE,
    error::EntryError,
    store::{
        call_cause::StoreCallCause,
        call_counts::StoreCallCounts,
        client::StoreClient,
        feed::{FeedPlan, follow},
        feed_event::FeedEvent,
        retry::jittered,
    },
};

/// Runs until told to stop.
///
/// # Errors
/// Signals can't be caught.
pub async fn run(config: DiskConfig, path: PathBuf) -> Result<(), EntryError> {
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP]).map_err(EntryError::Signals)?;
    let log = NodeLog::new(&config.node.vm, &config.node.domain);
    // Disk VMs have no links to gateways: nobody else can call the store for them.
    let (store, _) = StoreClient::new(
        config.store.clone(),
        NodeClock::start(),
        log.clone(),
        StoreCallCounts::default(),
    );
    let store = Arc::new(store);
    task::spawn(answer_retirements(Arc::clone(&store), log.clone()));
    log.info("started", &[("store", &config.store.address)]);
    while let Some(signal) = signals.next().await {
        if signal != SIGHUP {
            break;
        }
        match DiskConfig::load(&path) {
            Ok(config) => {
                store.reload(config.store);
                log.info("reloaded", &[]);
            }
            Err(errors) => log.error("reload_refused", &[("reason", &errors)]),
        }
    }
    store.calls().log(&log);
    log.info("stopped", &[]);
    Ok(())
}

/// Answers every request to empty a VM, also another one's: that VM may be down, and nothing of
/// ours lies there either.
async fn answer_retirements(store: Arc<StoreClient>, log: NodeLog) {
    let answer = |object: &StoreObject| {
        if object.status.as_ref().is_some_and(|status| status.get().contains("completed")) {
            return;
        }
        task::spawn(answer_one(Arc::clone(&store), log.clone(), object.metadata.name.clone()));
    };
    follow(&store, RETIREMENT_KIND, FeedPlan::default(), |event| match event {
        FeedEvent::Snapshot { objects, .. } => objects.iter().for_each(answer),
        FeedEvent::Changed { object } => answer(object),
        FeedEvent::Deleted { .. } => {}
    })
    .await;
}

async fn answer_one(store: Arc<StoreClient>, log: NodeLog, vm: String) {
    let body = status_body(&vm, None, &RetirementStatus::completed());
    let path = status_path(RETIREMENT_KIND, &vm);
    loop {
        let wait = store.settings().call_timeout;
        if store.call(StoreCallCause::Retirement, "PUT", &path, Some(&body), wait).await.is_ok() {
            log.info("vm_emptied", &[("vm_named", &vm)]);
            return;
        }
        task::sleep(jittered(STORE_PAUSE)).await;
    }
}
