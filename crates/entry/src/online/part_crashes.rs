//! Detects prompt parts that crash targets, across all gateways.
//!
//! As for whole requests, one gateway counts the crashes under a part for all. It also grants the probes that find out
//! whether a refused part is sound: one at a time among all gateways.

use std::time::Duration;

use notch_messages::prelude::PeerMessage;
use notch_relay::prelude::*;
use notch_types::prelude::*;

use crate::{node::EntryNode, online::crashes::counting_gateway};

/// Decides whether a request with these parts may run, and asks for a probe if one is due.
pub fn admit(node: &EntryNode, parts: &[u64]) -> PartAdmission {
    let admission = node.part_crashes().admit(parts, node.clock.mono());
    if let PartAdmission::Refused { part, asks_probe: true, .. } = admission {
        ask_probe(node, part);
    }
    admission
}

/// Records a complete answer to a request with these parts, which proves them sound.
pub fn note_answer(node: &EntryNode, parts: &[u64]) {
    let cleared = node.part_crashes().note_answer(parts, node.clock.mono());
    for part in cleared {
        announce_cleared(node, part);
    }
}

/// Reports that a target crashed under a request with these parts.
pub fn report_crash(node: &EntryNode, parts: &[u64], target: &str) {
    let suspects = node.part_crashes().suspects(parts, node.clock.mono());
    for part in suspects {
        match counting_gateway(node, part) {
            Some(vm) => {
                let message = PeerMessage::PartCrashed { part, target: target.to_owned() };
                node.peers.send(&vm, message);
            }
            None => count_crash(node, part, target),
        }
    }
}

/// Counts a crash on behalf of all gateways, and tells them when the part is to be refused.
pub fn count_crash(node: &EntryNode, part: u64, target: &str) {
    let refusal = node.part_crashes().note_crash(part, target, node.clock.mono());
    let Some(refusal) = refusal else { return };
    let PartRefusal { part, level, left } = refusal;
    node.log.warn(
        "prompt_part_refused",
        &[
            ("part", &format_args!("{part:016x}")),
            ("target", &target),
            ("level", &level),
            ("left_ms", &left.as_millis()),
        ],
    );
    node.metrics.count(Counter::Event("prompt_parts_refused"));
    if level == 0 {
        node.crashes().forgive(node.clock.mono());
    }
    node.peers.broadcast(&refused_message(refusal));
}

/// Applies another gateway's refusal, unless this one knows the part to be sound.
pub fn apply_refusal(node: &EntryNode, part: u64, level: u32, left_ms: u64) {
    let refusal = PartRefusal { part, level, left: Duration::from_millis(left_ms) };
    let now = node.clock.mono();
    let is_applied = node.part_crashes().apply_refusal(refusal, now);
    match is_applied {
        true if level == 0 => node.crashes().forgive(now),
        true => {}
        false => announce_cleared(node, part),
    }
}

/// Ends the refusal of a part that another gateway found sound.
pub fn apply_cleared(node: &EntryNode, part: u64) {
    node.part_crashes().clear(part);
}

/// Messages that tell a gateway, to which a link has come up, of all refused parts.
pub fn known_refusals(node: &EntryNode) -> Vec<PeerMessage> {
    node.part_crashes().refusals(node.clock.mono()).map(refused_message).collect()
}

fn refused_message(refusal: PartRefusal) -> PeerMessage {
    let PartRefusal { part, level, left } = refusal;
    PeerMessage::PartRefused { part, level, left_ms: left.as_millis() as u64 }
}

fn announce_cleared(node: &EntryNode, part: u64) {
    node.log.info("prompt_part_cleared", &[("part", &format_args!("{part:016x}"))]);
    node.metrics.count(Counter::Event("prompt_parts_cleared"));
    node.peers.broadcast(&PeerMessage::PartCleared { part });
}

fn ask_probe(node: &EntryNode, part: u64) {
    let now = node.clock.mono();
    let Some(refusal) = node.part_crashes().refusal(part, now) else { return };
    match counting_gateway(node, part) {
        Some(vm) => {
            let message = PeerMessage::PartProbeAsk { part, level: refusal.level };
            node.peers.send(&vm, message);
        }
        None => {
            let is_granted = node.part_crashes().grant_probe(refusal, now);
            if is_granted {
                note_granted(node, part);
            }
        }
    }
}

/// Answers a gateway that asks to probe a part. There is no answer if another probe is running or none is due.
pub fn answer_probe_ask(node: &EntryNode, peer: &VmName, part: u64, level: u32) {
    let refusal = PartRefusal { part, level, left: Duration::ZERO };
    let is_granted = node.part_crashes().grant_probe(refusal, node.clock.mono());
    if is_granted {
        node.peers.send(peer, PeerMessage::PartProbeGranted { part });
    }
}

/// Lets the next request with the part run.
pub fn note_granted(node: &EntryNode, part: u64) {
    node.log.info("prompt_part_probe_granted", &[("part", &format_args!("{part:016x}"))]);
    node.part_crashes().note_granted(part, node.clock.mono());
}
