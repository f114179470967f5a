//! Keeps the proof fresh that the configuration in force is the newest one.
//!
//! One gateway among those that follow the store reads the configuration; the others ask it or one that has
//! asked it. An age is told, never a clock's time: the asker counts it from before its question, so that a
//! message that is late on its way makes knowledge older, not younger.

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
    peers::{calls::CallEnd, catch_up::KnownVersions, hub},
    store::{call_cause::StoreCallCause, retry::jittered},
};

/// Divisor of the bound for the age at which a newer proof is asked for. A proof passes two gateways at most, so
/// the oldest is three times as old: enough of the bound is left for an outage.
const RENEW_DIVISOR: u32 = 8;
/// How often the age is looked at.
const TICK: Duration = Duration::from_millis(100);
/// Longest wait for another gateway's answer.
const ANSWER_WAIT: Duration = Duration::from_millis(150);
/// Longest wait for the store's answer.
const STORE_WAIT: Duration = Duration::from_millis(400);
/// Pause after the store didn't answer.
const STORE_PAUSE: Duration = Duration::from_millis(500);

/// Another gateway's answer about its knowledge.
#[derive(Debug, Clone, Copy)]
pub struct ToldAge {
    /// The newest version of the configuration that long ago.
    pub version: u64,
    /// `None` when it has no proof.
    pub age: Option<Duration>,
}

/// What another gateway's answer was worth.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ProofAnswer {
    /// A proof.
    Proved,
    /// It knows a newer configuration.
    Behind,
    /// None came, or one that was too old.
    None,
}

/// Keeps the proof fresh until the process ends, where keys are honoured only by a proof.
pub async fn keep_fresh(node: Arc<EntryNode>) {
    let Some(bound) = node.accounts.age().bound() else { return };
    let renew_at = bound / RENEW_DIVISOR;
    loop {
        task::sleep(TICK).await;
        let has_accounts = node.routes().is_some_and(|routes| routes.accounts().is_some());
        let is_due = node.accounts.age().age(node.clock.boot()).is_none_or(|age| age >= renew_at);
        if has_accounts && is_due && !renew(&node, renew_at).await {
            task::sleep(jittered(STORE_PAUSE)).await;
        }
    }
}

/// Gets a newer proof, from another gateway if one has it; whether there is one.
async fn renew(node: &EntryNode, renew_at: Duration) -> bool {
    let Some(vm) = node.proving_gateway() else { return read(node).await };
    match ask(node, &vm, renew_at * 2).await {
        ProofAnswer::Proved | ProofAnswer::Behind => true,
        ProofAnswer::None => read(node).await,
    }
}

/// Asks a gateway for a proof that is at most `oldest` old.
async fn ask(node: &EntryNode, vm: &VmName, oldest: Duration) -> ProofAnswer {
    let asked = node.clock.boot();
    let send = |call| node.peers.send(vm, PeerMessage::AgeAsk { call });
    let CallEnd::Answered(told) = node.peers.age_calls.ask(send, ANSWER_WAIT).await else {
        return ProofAnswer::None;
    };
    let Some(age) = told.age.filter(|age| *age <= oldest) else { return ProofAnswer::None };
    let Some(proof) = ConfigurationProof::from_answer(told.version, age, asked) else {
        return ProofAnswer::None;
    };
    if node.note_proof(proof) {
        return ProofAnswer::Proved;
    }
    // A push of what is newer is on its way; it's asked for when that got lost.
    let theirs = KnownVersions { configuration: told.version, ..node.known_versions() };
    hub::catch_up_with(node, vm, theirs);
    ProofAnswer::Behind
}

/// Reads the configuration from the store.
async fn read(node: &EntryNode) -> bool {
    let asked = node.clock.boot();
    let path = object_path(CONFIGURATION_KIND, CONFIGURATION_NAME);
    let cause = StoreCallCause::ConfigurationConfirmed;
    let reading = node.store.call_directly(cause, "GET", &path, None, STORE_WAIT);
    let Ok(reply) = reading.await else { return false };
    let Ok(object) = decode::<StoreObject>(&reply.body) else { return false };
    let Some(spec) = object.spec.as_ref().filter(|_| reply.is_success()) else { return false };
    let Some(version) = node.take_configuration(spec, "store") else { return false };
    node.note_proof(ConfigurationProof { version, as_of: asked })
}

/// Answers another gateway's question.
pub fn answer(node: &EntryNode, peer: &VmName, call: u64) {
    let now = node.clock.boot();
    let proof = node.accounts.age().proof();
    let version = proof.map_or(0, |proof| proof.version);
    // Rounded up, so that it doesn't become younger on its way.
    let age_ms = proof.map(|proof| now.since(proof.as_of).as_millis() as u64 + 1);
    node.peers.send(peer, PeerMessage::Age { call, version, age_ms });
}
