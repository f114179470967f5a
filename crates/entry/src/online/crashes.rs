//! Finds requests that crash targets, together with the other gateways.
//!
//! One gateway counts for all, a different one for each request: such a request comes again at any
//! of them, and to tell every break to everyone would cost as many messages as there are gateways.

use notch_messages::prelude::PeerMessage;
use notch_types::prelude::*;

use crate::node::EntryNode;

/// A target broke a request off before its first event.
pub fn tell_break(node: &EntryNode, fingerprint: u64, target: &str) {
    match counting_gateway(node, fingerprint) {
        Some(vm) => {
            let message = PeerMessage::RequestBroke { fingerprint, target: target.to_owned() };
            node.peers.send(&vm, message);
        }
        None => count_break(node, fingerprint, target),
    }
}

/// Counts a break for all gateways, and tells them when the request is to be refused.
pub fn count_break(node: &EntryNode, fingerprint: u64, target: &str) {
    if !node.crashes().note_interruption(fingerprint, target, node.clock.mono()) {
        return;
    }
    node.log.warn("request_crashes_targets", &[("fingerprint", &fingerprint), ("target", &target)]);
    node.metrics.count(Counter::Event("requests_quarantined"));
    node.peers.broadcast(&PeerMessage::RequestRefused { fingerprint });
}

/// The other gateway that counts for this request; `None` when this one does.
fn counting_gateway(node: &EntryNode, fingerprint: u64) -> Option<VmName> {
    let weight = |vm: &VmName| stable_hash64(&[&fingerprint.to_be_bytes(), vm.as_str().as_bytes()]);
    let other = node.peers.live_vms().into_iter().max_by_key(weight)?;
    (weight(&other) > weight(&node.config.node.vm)).then_some(other)
}
