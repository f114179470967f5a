//! Renews the proof that the configuration in force is the newest one.
//!
//! One of the gateways that follow the store reads the configuration from it; the other followers ask that one,
//! and the remaining gateways ask a follower. Answers hold an age, never a clock reading: the requester counts it
//! back from the time before it sent the request, so that a delayed message makes the proof older, not newer.

use std::{sync::Arc, time::Duration};

use async_std::task;
use notch_messages::prelude::PeerMessage;
use notch_platform_wire::{
    prelude::StoreObject,
    store::{CONFIGURATION_KIND, CONFIGURATION_NAME, decode, object_path},
};
use notch_relay::prelude::ConfigurationProof;
use notch_types::prelude::*;

use crate::{
    node::EntryNode,
    peers::{calls::CallEnd, catch_up::KnownVersions, messages},
    store::{call_cause::StoreCallCause, feed::StorePath, retry::jittered},
};

/// Divisor of the maximum age: a proof is renewed at an eighth of it. A proof passes through at most two gateways, so
/// that the oldest one is three times as old, which leaves enough of the maximum for an outage.
const RENEW_DIVISOR: u32 = 8;
/// Interval at which the proof's age is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout of another gateway's answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(150);
/// Timeout of the store's answer.
const STORE_TIMEOUT: Duration = Duration::from_millis(400);
/// Pause after no proof could be obtained, neither from a gateway nor from the store.
const RENEW_RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Result of asking another gateway for a proof.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ProofAnswer {
    /// The proof was usable.
    Proved,
    /// The gateway has a proof of a newer configuration than the one in force here.
    Newer,
    /// There was no answer, or its proof was too old.
    None,
}

/// Renews the proof until the process ends. Returns at once where keys are honoured without a proof.
pub async fn keep_fresh(node: Arc<EntryNode>) {
    let Some(bound) = node.accounts.age().bound() else { return };
    let renew_at = bound / RENEW_DIVISOR;
    loop {
        task::sleep(CHECK_INTERVAL).await;
        let has_accounts = node.routes().is_some_and(|routes| routes.accounts().is_some());
        let is_due = node.accounts.age().age(node.clock.boot()).is_none_or(|age| age >= renew_at);
        if has_accounts && is_due && !renew(&node, renew_at).await {
            task::sleep(jittered(RENEW_RETRY_PAUSE)).await;
        }
    }
}

/// Has the store confirm the configuration whenever a decision waits for that, until the process ends.
pub async fn confirm_on_demand(node: Arc<EntryNode>) {
    loop {
        node.confirmation_wanted.listen().await;
        let is_confirmed = read_from_store(&node, StorePath::Any).await;
        // What still waits asks again.
        let pause = if is_confirmed { CHECK_INTERVAL } else { jittered(RENEW_RETRY_PAUSE) };
        task::sleep(pause).await;
    }
}

/// Gets a newer proof, from another gateway if possible, otherwise from the store. False when there is none.
async fn renew(node: &EntryNode, renew_at: Duration) -> bool {
    let Some(vm) = node.proof_source() else {
        return read_from_store(node, StorePath::Direct).await;
    };
    match ask_gateway(node, &vm, renew_at * 2).await {
        ProofAnswer::Proved | ProofAnswer::Newer => true,
        ProofAnswer::None => read_from_store(node, StorePath::Direct).await,
    }
}

/// Asks a gateway for a proof that is at most `max_age` old.
async fn ask_gateway(node: &EntryNode, vm: &VmName, max_age: Duration) -> ProofAnswer {
    let asked = node.clock.boot();
    let send = |call| node.peers.send(vm, PeerMessage::AgeAsk { call });
    let CallEnd::Answered(reply) = node.peers.age_calls.ask(send, ANSWER_TIMEOUT).await else {
        return ProofAnswer::None;
    };
    let Some(age) = reply.age.filter(|age| *age <= max_age) else { return ProofAnswer::None };
    let Some(proof) = ConfigurationProof::from_answer(reply.version, age, asked) else {
        return ProofAnswer::None;
    };
    if node.note_proof(proof) {
        return ProofAnswer::Proved;
    }
    // The newer configuration should arrive as a push; it is requested if that was lost.
    let theirs = KnownVersions { configuration: reply.version, ..node.known_versions() };
    messages::catch_up_with(node, vm, theirs);
    ProofAnswer::Newer
}

/// Reads the configuration from the store. False when that failed.
async fn read_from_store(node: &EntryNode, way: StorePath) -> bool {
    let (asked, asked_mono) = (node.clock.boot(), node.clock.mono());
    let path = object_path(CONFIGURATION_KIND, CONFIGURATION_NAME);
    let cause = StoreCallCause::ConfigurationConfirmed;
    let reply = match way {
        StorePath::Direct => {
            node.store.call_directly(cause, "GET", &path, None, STORE_TIMEOUT).await
        }
        StorePath::Any => node.store.call(cause, "GET", &path, None, STORE_TIMEOUT).await,
    };
    let Ok(reply) = reply else { return false };
    let Ok(object) = decode::<StoreObject>(&reply.body) else { return false };
    let Some(spec) = object.spec.as_ref().filter(|_| reply.is_success()) else { return false };
    let Some(version) = node.take_configuration(spec, "store") else { return false };
    node.peers.note_contact(asked_mono, node.clock.mono());
    node.note_proof(ConfigurationProof { version, as_of: asked })
}

/// Answers another gateway's request for the age of its proof.
pub fn answer(node: &EntryNode, peer: &VmName, call: u64) {
    let now = node.clock.boot();
    let proof = node.accounts.age().proof();
    let version = proof.map_or(0, |proof| proof.version);
    // Rounded up, so that the proof doesn't get newer by rounding.
    let age_ms = proof.map(|proof| now.since(proof.as_of).as_millis() as u64 + 1);
    node.peers.send(peer, PeerMessage::Age { call, version, age_ms });
}
