//! Keeps track of whether this gateway and the others are still registered.

use std::{sync::Arc, time::Duration};

use async_std::task;
use notch_types::prelude::*;

use crate::{
    batch::ownership,
    constants::{FIRST_LINK_TIMEOUT, PEER_TICK, STORE_PAUSE},
    node::EntryNode,
    peers::{eviction::OwnEntryCheck, links, table::PeerSilence},
    store::retry::jittered,
};

/// Interval at which it is checked whether the own entry has to be read or written. Jobs submitted after a pause wait
/// for the read.
const OWN_ENTRY_TICK: Duration = Duration::from_millis(50);

/// Starts the tasks, if gateways are evicted. They run until the process ends.
pub fn start(node: &Arc<EntryNode>) {
    if node.features.eviction {
        task::spawn(observe_fleet(Arc::clone(node)));
        task::spawn(keep_own_entry(Arc::clone(node)));
        task::spawn(evict_gateways(Arc::clone(node)));
    }
}

/// Observes whether a majority is heard, and drops the others' records that count no more. Makes no calls to the store,
/// which would delay the observations.
async fn observe_fleet(node: Arc<EntryNode>) {
    while let Some(eviction) = node.eviction() {
        eviction.observe();
        if eviction.note_entries() {
            ownership::invalidate_all(&node, "entries_outdated", PeerSilence::Minority);
            eviction.note_invalidated();
        }
        drop_gone(&node);
        task::sleep(PEER_TICK).await;
    }
}

/// Drops gateways without a link whose entries are gone: they may take no jobs over until they have registered again.
fn drop_gone(node: &Arc<EntryNode>) {
    let removed: FastSet<VmName> = node.peers.roster().removed_vms();
    let gone = node.peers.gone_vms(|vm| removed.contains(vm));
    if gone.is_empty() {
        return;
    }
    // Before they no longer count as silent; see `links::remove_gateway`.
    ownership::invalidate_all(node, "entry_gone", PeerSilence::Minority);
    node.peers.drop_gone(&gone);
}

/// Reads the own entry while this gateway may have been evicted, and registers again once it was.
async fn keep_own_entry(node: Arc<EntryNode>) {
    while let Some(eviction) = node.eviction() {
        if eviction.needs_registration() && !node.stop.is_stopping() {
            links::register(&node).await;
            // Jobs of this gateway may be named in the store only, by takeovers that it gave up.
            let from = node.clock.mono() + FIRST_LINK_TIMEOUT;
            node.jobs().search.demand(from);
        } else if eviction.needs_read() {
            match eviction.check_own_entry("doubt").await {
                Ok(OwnEntryCheck::Lost) => ownership::suspend_all(&node),
                Ok(OwnEntryCheck::Found | OwnEntryCheck::Gone) => {}
                Err(_) => task::sleep(jittered(STORE_PAUSE)).await,
            }
        }
        task::sleep(OWN_ENTRY_TICK).await;
    }
}

async fn evict_gateways(node: Arc<EntryNode>) {
    while let Some(eviction) = node.eviction() {
        if !node.stop.is_stopping() {
            eviction.evict_if_due().await;
        }
        task::sleep(PEER_TICK).await;
    }
}
