//! Calls to the store through another gateway, while the store turns this one away.
//!
//! A store that refuses or doesn't reach a part of the VMs is of use to all as long as one gateway
//! reaches it. Without this, jobs sent to the others were refused or of unknown fate, and results of
//! the jobs they run weren't stored until it was over.

use std::{sync::Arc, time::Duration};

use async_channel::{Receiver, Sender};
use async_std::{future::timeout, task};
use notch_messages::prelude::{PeerMessage, StoreCallEnd};
use notch_types::prelude::*;

use crate::{
    constants::{ASK_GRACE, DETOUR_AFTER, DETOUR_LONGEST, DETOUR_PAUSE},
    node::EntryNode,
    store::client::{StoreFailure, StoreReply},
};

/// One call to be made by another gateway.
#[derive(Debug)]
pub struct DetourCall {
    /// Method of the call.
    pub method: String,
    /// Its path.
    pub path: String,
    /// Its body.
    pub body: Option<Vec<u8>>,
    /// Longest wait for the store's answer.
    pub wait: Duration,
    /// Where the end goes; `None` when no gateway could be asked.
    pub end: Sender<Option<Result<StoreReply, StoreFailure>>>,
}

/// Which way a call goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallWay {
    /// From this VM.
    Direct,
    /// From this VM, and through another gateway if it is turned away.
    DirectFirst,
    /// Through another gateway, and from this VM if none can be asked.
    Detour,
}

/// Whether calls go through another gateway.
#[derive(Debug, Clone, Copy, Default)]
pub struct DetourState {
    /// When a call is tried directly again.
    direct_at: MonoTime,
    /// No other gateway could help: not asked again before then.
    useless_until: MonoTime,
}

impl DetourState {
    /// Which way a call at `now` goes. `down_since` is when the store stopped answering directly.
    pub fn way(&mut self, down_since: Option<MonoTime>, now: MonoTime) -> CallWay {
        let Some(since) = down_since else { return CallWay::Direct };
        if now.since(since) < DETOUR_AFTER || now < self.useless_until {
            return CallWay::Direct;
        }
        // Nothing else tells that the store answers again: its watches may wait for half a minute.
        if now >= self.direct_at {
            self.direct_at = now + DETOUR_LONGEST;
            return CallWay::DirectFirst;
        }
        CallWay::Detour
    }

    /// Another gateway was asked at `now`, and whether that helped.
    pub fn note_end(&mut self, has_helped: bool, now: MonoTime) {
        if !has_helped {
            self.useless_until = now + DETOUR_PAUSE;
        }
    }
}

/// Passes calls on to gateways that follow the store, until the process ends.
pub async fn pass_calls(node: Arc<EntryNode>, calls: Receiver<DetourCall>) {
    while let Ok(call) = calls.recv().await {
        let node = Arc::clone(&node);
        task::spawn(async move { pass_call(&node, call).await });
    }
}

async fn pass_call(node: &EntryNode, call: DetourCall) {
    let DetourCall { method, path, body, wait, end } = call;
    let outcome = match node.peers.follower(EntryNode::draw()) {
        Some(vm) => ask(node, &vm, (method, path, body), wait).await,
        None => None,
    };
    // The caller may have been dropped meanwhile.
    let _ = end.try_send(outcome);
}

async fn ask(
    node: &EntryNode,
    vm: &VmName,
    (method, path, body): (String, String, Option<Vec<u8>>),
    wait: Duration,
) -> Option<Result<StoreReply, StoreFailure>> {
    let (call, answer) = node.peers.store_calls.open();
    let wait_ms = wait.as_millis() as u64;
    let body = body.map(Payload::from);
    let message = PeerMessage::StoreCall { call, method, path, body, wait_ms };
    if !node.peers.send(vm, message) {
        node.peers.store_calls.close(call);
        return None;
    }
    node.metrics.count(Counter::Event("store_calls_passed_on"));
    let end = timeout(wait + ASK_GRACE, answer.recv()).await;
    node.peers.store_calls.close(call);
    Some(match end {
        Ok(Ok(StoreCallEnd::Answered { status, body })) => {
            Ok(StoreReply { status, body: body.to_vec() })
        }
        Ok(Ok(StoreCallEnd::NotDone)) => Err(StoreFailure::NotDone),
        // The link may have broken after the call was made.
        Ok(Ok(StoreCallEnd::Unknown) | Err(_)) | Err(_) => Err(StoreFailure::Unknown),
    })
}

/// Makes a call for another gateway.
pub async fn call_for(node: &EntryNode, vm: &VmName, message: PeerMessage) {
    let PeerMessage::StoreCall { call, method, path, body, wait_ms } = message else { return };
    let wait = Duration::from_millis(wait_ms);
    let result = node.store.call_directly(&method, &path, body.as_deref(), wait).await;
    let end = match result {
        Ok(reply) => {
            StoreCallEnd::Answered { status: reply.status, body: Payload::from(reply.body) }
        }
        Err(StoreFailure::NotDone) => StoreCallEnd::NotDone,
        Err(StoreFailure::Unknown) => StoreCallEnd::Unknown,
    };
    node.metrics.count(Counter::Event("store_calls_for_others"));
    node.peers.send(vm, PeerMessage::StoreAnswer { call, end });
}
