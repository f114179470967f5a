//! Links to the other gateways, and the handling of their events.

use std::sync::Arc;

use async_std::task;
use notch_link::prelude::{LinkDialer, LinkDown, LinkEvent, LinkPeer, LinkSettings, LinkSink};
use notch_messages::prelude::*;
use notch_platform_wire::{
    prelude::StoreObject,
    store::{object_path, spec_body},
};
use notch_types::prelude::*;

use crate::{
    batch::{limits, ownership},
    constants::{GATEWAY_WATCH_PAUSE, STORE_PAUSE},
    node::EntryNode,
    peers::{
        demands,
        eviction::LATE_INTAKE_WINDOW,
        membership, messages,
        registration::{GATEWAY_KIND, GatewayEntry, RegisteredEntry, StoredEntry},
        reports,
        roster::RosterChange,
        table::PeerSilence,
    },
    store::{
        call_cause::StoreCallCause,
        feed::{FeedPlan, follow},
        feed_event::FeedEvent,
        reply::StoreFailure,
        retry::jittered,
    },
};

/// The handler of link events.
pub fn link_sink(node: &Arc<EntryNode>) -> LinkSink {
    let node = Arc::clone(node);
    Arc::new(move |event| handle_link_event(&node, event))
}

/// Registers this gateway, then follows the others' entries and maintains links to them.
pub async fn follow_gateways(node: Arc<EntryNode>, settings: LinkSettings) {
    register(&node).await;
    membership::start(&node);
    task::spawn(maintain_links(Arc::clone(&node), settings));
    // The first list is needed in any case: it names the gateways from which to hear the rest.
    let feed = FeedPlan {
        pause: GATEWAY_WATCH_PAUSE,
        watcher: Some(&node),
        answer_clock: Some(&node.peers.entries),
        ..FeedPlan::default()
    };
    follow(&node.store, GATEWAY_KIND, feed, |event| {
        let changes = match event {
            FeedEvent::Snapshot { objects, as_of, .. } => {
                let entries = objects.iter().filter_map(|object| decode_gateway(&node, object));
                node.peers.roster().apply_list(entries.collect(), as_of)
            }
            FeedEvent::Changed { object } => apply_changed(&node, object).into_iter().collect(),
            FeedEvent::Deleted { object, as_of } => {
                let vm = VmName::new(&object.metadata.name);
                node.peers.roster().remove(&vm, as_of).into_iter().collect()
            }
            FeedEvent::Complete { .. } => return,
        };
        apply_roster_changes(&node, changes);
    })
    .await;
}

/// The entry that this gateway writes next.
fn own_entry(node: &EntryNode) -> RegisteredEntry {
    let entry = GatewayEntry {
        address: node.config.listen.links,
        owner: node.owner.clone(),
        domain: node.config.node.domain.as_str().to_owned(),
    };
    match node.eviction() {
        Some(eviction) => eviction.next_registration(entry),
        None => RegisteredEntry { entry, registration: None },
    }
}

/// Applies a written entry, or the mark of an eviction in its place.
fn apply_changed(node: &EntryNode, object: &StoreObject) -> Option<RosterChange> {
    let (vm, revision) = (VmName::new(&object.metadata.name), object.metadata.revision);
    match decode_entry(node, object)? {
        StoredEntry::Present(entry) => node.peers.roster().put(&vm, entry, revision),
        StoredEntry::Evicted(_) => node.peers.roster().remove(&vm, revision),
    }
}

/// Queues changes of the gateways' entries, and has them passed on if this gateway follows the store.
pub(super) fn apply_roster_changes(node: &EntryNode, changes: Vec<RosterChange>) {
    if let Some(eviction) = node.eviction() {
        let own = &node.config.node.vm;
        let is_replaced = |change: &RosterChange| match change {
            RosterChange::Put(vm, entry) => vm == own && entry.owner != node.owner,
            RosterChange::Remove(vm) => vm == own,
        };
        if changes.iter().any(is_replaced) {
            eviction.doubt_own_entry();
        }
    }
    node.peers.queue_roster_changes(changes);
    node.state_changed.notify(usize::MAX);
}

/// Dials the gateways of the roster as it changes. Runs until the process ends.
async fn maintain_links(node: Arc<EntryNode>, settings: LinkSettings) {
    let sink = link_sink(&node);
    while let Some(change) = node.peers.next_roster_change().await {
        match change {
            RosterChange::Put(vm, entry) => add_gateway(&node, &vm, entry, &settings, &sink),
            RosterChange::Remove(vm) => remove_gateway(&node, &vm),
        }
    }
}

/// Removes a gateway's entry. Ownership is invalidated first: a confirmation counts only if it was requested after the
/// removal was known, or a gateway that had taken a job over before its removal would no longer count as silent.
fn remove_gateway(node: &Arc<EntryNode>, vm: &VmName) {
    ownership::invalidate_all(node, "entry_gone", PeerSilence::Minority);
    if node.features.eviction {
        // Jobs that it accepted without contact are neither known here nor announced.
        let until = node.clock.mono() + LATE_INTAKE_WINDOW;
        node.peers.note_jobs_missed(until);
        node.jobs().search.note_reason(until);
    }
    node.peers.remove_entry(vm);
}

/// Writes this gateway's entry to the store; retries until that succeeds.
pub(super) async fn register(node: &EntryNode) {
    let name = node.config.node.vm.as_str();
    let list = notch_platform_wire::store::list_path(GATEWAY_KIND, None);
    let path = object_path(GATEWAY_KIND, name);
    loop {
        let entry = own_entry(node);
        let body = spec_body(name, None, &entry);
        let wait = node.store.settings().call_timeout;
        let created =
            node.store.call(StoreCallCause::Registration, "POST", &list, Some(&body), wait).await;
        let written = match created {
            Ok(reply) if reply.is_success() => {
                if node.config.fleet.first_start {
                    node.targets().versions_mut().note_first_start();
                }
                true
            }
            Ok(_) => {
                let replaced = node
                    .store
                    .call(StoreCallCause::Registration, "PUT", &path, Some(&body), wait)
                    .await;
                replaced.is_ok_and(|reply| reply.is_success())
            }
            Err(StoreFailure::Refused) => return,
            Err(StoreFailure::NotDone | StoreFailure::Unknown) => false,
        };
        if written {
            if let (Some(eviction), Some(number)) = (node.eviction(), entry.registration) {
                eviction.note_registered(number);
            }
            node.log.info("registered", &[("owner", &node.owner)]);
            return;
        }
        task::sleep(jittered(STORE_PAUSE)).await;
    }
}

fn decode_gateway(node: &EntryNode, object: &StoreObject) -> Option<(VmName, GatewayEntry, u64)> {
    match decode_entry(node, object)? {
        StoredEntry::Present(entry) => {
            Some((VmName::new(&object.metadata.name), entry, object.metadata.revision))
        }
        StoredEntry::Evicted(_) => None,
    }
}

fn decode_entry(node: &EntryNode, object: &StoreObject) -> Option<StoredEntry> {
    let vm = VmName::new(&object.metadata.name);
    let spec = object.spec.as_ref()?;
    match StoredEntry::decode(spec.get()) {
        Ok(entry) => Some(entry),
        Err(error) => {
            node.log.error("gateway_entry_refused", &[("gateway", &vm), ("reason", &error)]);
            None
        }
    }
}

fn add_gateway(
    node: &EntryNode,
    vm: &VmName,
    entry: GatewayEntry,
    settings: &LinkSettings,
    sink: &LinkSink,
) {
    if *vm == node.config.node.vm {
        return;
    }
    // Only the gateway with the smaller name dials, so that there is one link between two gateways.
    let dials = node.config.node.vm < *vm;
    let name = vm.clone();
    let dial =
        dials.then_some(|at| LinkDialer::start(at, &name, settings.clone(), Arc::clone(sink)));
    node.peers.put_entry(vm, entry, node.clock.mono(), dial);
}

fn handle_link_event(node: &Arc<EntryNode>, event: LinkEvent) {
    match event {
        LinkEvent::Up { peer, link } => {
            node.log.info("gateway_link_up", &[("gateway", &peer.vm)]);
            // Before it counts as heard, from when on shares are used without a write.
            limits::doubt_shares(node);
            let silence = node.peers.link_up(&peer.vm, link, node.clock.mono());
            ownership::invalidate_all(node, "link_up", silence);
            let jobs = node.jobs().open_owned();
            let up_ms = node.clock.mono().since(MonoTime::default()).as_millis() as u64;
            let hello = PeerMessage::Hello { owner: node.owner.clone(), jobs, up_ms };
            node.peers.send(&peer.vm, hello);
            if node.stop.is_stopping() {
                node.peers.send(&peer.vm, PeerMessage::Stopping);
            }
            if node.stop.is_handing_over() {
                node.peers.send(&peer.vm, PeerMessage::Leaving);
            }
            node.peers.send(&peer.vm, reports::first_report(node));
            node.peers.send(&peer.vm, demands::demand(node));
            let refusals = node.suspects().known_refusals();
            for message in limits::known_shares(node).into_iter().chain(refusals) {
                node.peers.send(&peer.vm, message);
            }
        }
        LinkEvent::Down { peer, link, reason } => {
            let is_closed = !matches!(reason, LinkDown::Silent);
            let reason = format!("{reason:?}");
            let now = node.clock.mono();
            if node.peers.link_down(&peer.vm, link, is_closed, now) {
                if let Some(shares) = node.fair_shares() {
                    shares.forget(&peer.vm);
                }
                node.log.warn("gateway_link_down", &[("gateway", &peer.vm), ("reason", &reason)]);
            }
        }
        LinkEvent::Heartbeat { peer } => note_heard(node, &peer),
        LinkEvent::Message { peer, message: LinkMessage::Peer(message), bytes, .. } => {
            node.peers.traffic.note_received(message.kind(), bytes);
            note_heard(node, &peer);
            messages::handle_message(node, &peer, message);
        }
        LinkEvent::Message { peer, .. } => {
            node.log.warn("message_of_another_kind", &[("gateway", &peer.vm)]);
        }
    }
}

/// Records that something came from a gateway. After a pause of this process or a slow link, older messages are read
/// before those that announce that jobs were taken over. So after any silence, ownership of the jobs has to be checked
/// in the store.
fn note_heard(node: &Arc<EntryNode>, peer: &LinkPeer) {
    if let Some(silence) = node.peers.note_heard(&peer.vm, node.clock.mono()) {
        ownership::invalidate_all(node, "silence", silence);
    }
}
