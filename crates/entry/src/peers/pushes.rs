//! Pushes changes of the configuration and targets to the other gateways as they come from the store.

use std::{sync::Arc, time::Duration};

use async_std::{future::timeout, task};
use notch_messages::prelude::*;
use notch_types::prelude::*;

use crate::{
    node::EntryNode,
    peers::catch_up::{KnownVersions, is_pusher},
};

/// Pause in which changes are collected into one push; short compared to the seconds within which a change must be in
/// force.
const PUSH_PAUSE: Duration = Duration::from_millis(20);
/// Interval at which versions are compared even without a change notification.
const PUSH_TICK: Duration = Duration::from_millis(200);

/// Pushes changes while this gateway follows the store. Runs until the process ends.
pub async fn push_changes(node: Arc<EntryNode>) {
    let mut previous = node.known_versions();
    let mut pushed_entries = node.peers.roster().change_count();
    loop {
        let listener = node.state_changed.listen();
        let known = node.known_versions();
        if known != previous {
            if node.watch.is_watching() {
                push(&node, previous);
            }
            previous = known;
        }
        pushed_entries = push_gateways(&node, pushed_entries);
        let _ = timeout(PUSH_TICK, listener).await;
        task::sleep(PUSH_PAUSE).await;
    }
}

/// Pushes the changes of the gateways' entries after the first `pushed`; returns their number by now.
fn push_gateways(node: &EntryNode, pushed: u64) -> u64 {
    let (changes, count) = {
        let roster = node.peers.roster();
        (roster.changes_since(pushed), roster.change_count())
    };
    if let Some(changes) = changes.filter(|_| node.watch.is_watching()) {
        let receivers = receivers(node);
        let receivers: Vec<&VmName> = receivers.iter().collect();
        node.peers.send_to_all(&receivers, &PeerMessage::Gateways(changes));
    }
    count
}

/// The gateways that this one is the pusher of.
fn receivers(node: &EntryNode) -> Vec<VmName> {
    let own = &node.config.node.vm;
    let followers = node.peers.follower_vms();
    let linked = node.peers.linked_vms().into_iter();
    linked.filter(|vm| is_pusher(own, &followers, vm)).collect()
}

/// Pushes the changes since `previous` to the gateways that this one is the pusher of.
fn push(node: &EntryNode, previous: KnownVersions) {
    let receivers = receivers(node);
    let receivers: Vec<&VmName> = receivers.iter().collect();
    let messages = newer_state(node, previous);
    // State that takes more than one message isn't pushed; gateways that need it request it.
    if let [message] = messages.as_slice() {
        node.peers.send_to_all(&receivers, message);
    }
}

/// The state that a gateway lacks which knows `versions`, as one message for each part.
pub fn newer_state(node: &EntryNode, versions: KnownVersions) -> Vec<PeerMessage> {
    let text = node.configuration_text();
    let text = text.filter(|(version, _)| *version > versions.configuration);
    let mut configuration = text.map(|(_, text)| Payload::from(&*text));
    let feed = node.target_feed();
    let is_newer = versions.targets == 0 || feed.revision() > versions.targets;
    let parts = if is_newer { feed.changes_since(versions.targets) } else { Vec::new() };
    drop(feed);
    if parts.is_empty() {
        let is_newer = configuration.is_some();
        let state = PeerMessage::State { configuration, targets: None };
        return is_newer.then_some(state).into_iter().collect();
    }
    let state =
        |part| PeerMessage::State { configuration: configuration.take(), targets: Some(part) };
    parts.into_iter().map(state).collect()
}

/// Number of target entries in a message with state.
pub fn entry_count(message: &PeerMessage) -> usize {
    match message {
        PeerMessage::State { targets: Some(changes), .. } => {
            changes.entries.len() + changes.gone.len()
        }
        _ => 0,
    }
}
