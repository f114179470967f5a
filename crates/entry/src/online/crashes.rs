//! Detects requests that crash targets, across all gateways.
//!
//! For each request one gateway, chosen by its fingerprint, counts the interruptions for all, as the client may retry
//! at any gateway. To broadcast every interruption would cost as many messages as there are gateways.

use std::time::Duration;

use notch_messages::prelude::PeerMessage;
use notch_types::prelude::*;

use crate::node::EntryNode;

/// Maximum number of refused requests that a gateway is told of when its link comes up.
const MAX_TOLD_REFUSALS: usize = 256;

/// Reports to the counting gateway that a target interrupted a request before any event of this attempt was passed on.
pub fn report_interruption(node: &EntryNode, fingerprint: u64, target: &str) {
    let now = node.clock.mono();
    if node.crashes().is_proven(fingerprint, now) || node.part_crashes().is_aftermath(now) {
        return;
    }
    match counting_gateway(node, fingerprint) {
        Some(vm) => {
            let message = PeerMessage::RequestBroke { fingerprint, target: target.to_owned() };
            node.peers.send(&vm, message);
        }
        None => count_interruption(node, fingerprint, target),
    }
}

/// Counts an interruption on behalf of all gateways, and tells them when the request is to be refused.
pub fn count_interruption(node: &EntryNode, fingerprint: u64, target: &str) {
    if !node.crashes().note_interruption(fingerprint, target, node.clock.mono()) {
        return;
    }
    node.log.warn("request_crashes_targets", &[("fingerprint", &fingerprint), ("target", &target)]);
    node.metrics.count(Counter::Event("requests_quarantined"));
    node.peers.broadcast(&PeerMessage::RequestRefused { fingerprint, left_ms: None });
}

/// Messages that tell a gateway, to which a link has come up, of refused requests.
pub fn known_refusals(node: &EntryNode) -> Vec<PeerMessage> {
    let crashes = node.crashes();
    let refusals = crashes.refusals(MAX_TOLD_REFUSALS, node.clock.mono());
    let message = |(fingerprint, left): (u64, Duration)| {
        let left_ms = Some(left.as_millis() as u64);
        PeerMessage::RequestRefused { fingerprint, left_ms }
    };
    refusals.map(message).collect()
}

/// Applies another gateway's refusal, unless this one has answered the request a short time ago.
pub fn apply_refusal(node: &EntryNode, fingerprint: u64, left_ms: Option<u64>) {
    let now = node.clock.mono();
    let mut crashes = node.crashes();
    if !crashes.is_proven(fingerprint, now) {
        let left = left_ms.map_or(Duration::MAX, Duration::from_millis);
        return crashes.refuse_for(fingerprint, left, now);
    }
    drop(crashes);
    node.log.info("request_cleared", &[("fingerprint", &fingerprint)]);
    node.peers.broadcast(&PeerMessage::RequestCleared { fingerprint });
}

/// The gateway that counts for the request or prompt part with this fingerprint; `None` when it is this one.
pub(super) fn counting_gateway(node: &EntryNode, fingerprint: u64) -> Option<VmName> {
    let weight = |vm: &VmName| stable_hash64(&[&fingerprint.to_be_bytes(), vm.as_str().as_bytes()]);
    let other = node.peers.live_vms().into_iter().max_by_key(weight)?;
    (weight(&other) > weight(&node.config.node.vm)).then_some(other)
}
