//! Store calls that one gateway makes on behalf of another that can't reach the store.

use std::{sync::Arc, time::Duration};

use async_channel::Receiver;
use async_std::task;
use notch_messages::prelude::{PeerMessage, StoreCallEnd};
use notch_types::prelude::*;

use crate::{
    constants::PEER_CALL_GRACE,
    node::EntryNode,
    peers::calls::CallEnd,
    store::{
        call_cause::StoreCallCause,
        forwarding::ForwardedCall,
        reply::{StoreFailure, StoreReply},
    },
};

/// Forwards this gateway's calls to gateways that follow the store, until the process ends.
pub async fn forward_calls(node: Arc<EntryNode>, calls: Receiver<ForwardedCall>) {
    while let Ok(call) = calls.recv().await {
        let node = Arc::clone(&node);
        task::spawn(async move { forward_call(&node, call).await });
    }
}

async fn forward_call(node: &EntryNode, call: ForwardedCall) {
    let ForwardedCall { method, path, body, wait, end } = call;
    let outcome = match node.peers.follower(EntryNode::draw()) {
        Some(vm) => ask(node, &vm, (method, path, body), wait).await,
        None => None,
    };
    // Fails only if the caller no longer waits.
    let _ = end.try_send(outcome);
}

async fn ask(
    node: &EntryNode,
    vm: &VmName,
    (method, path, body): (String, String, Option<Vec<u8>>),
    wait: Duration,
) -> Option<Result<StoreReply, StoreFailure>> {
    let began = node.clock.mono();
    let line = format!("{method} {path}");
    let wait_ms = wait.as_millis() as u64;
    let body = body.map(Payload::from);
    let send =
        |call| node.peers.send(vm, PeerMessage::StoreCall { call, method, path, body, wait_ms });
    let end = match node.peers.store_calls.ask(send, wait + PEER_CALL_GRACE).await {
        CallEnd::NotSent => return None,
        CallEnd::Answered(StoreCallEnd::Answered { status, body }) => {
            StoreReply::of(status, body.to_vec())
        }
        CallEnd::Answered(StoreCallEnd::NotDone) => Err(StoreFailure::NotDone),
        // The link may have failed after the call was made.
        CallEnd::Answered(StoreCallEnd::Unknown) | CallEnd::Unanswered => {
            Err(StoreFailure::Unknown)
        }
    };
    node.metrics.count(Counter::Event("store_calls_passed_on"));
    let outcome = match &end {
        Ok(reply) => reply.status.to_string(),
        Err(failure) => failure.code().to_owned(),
    };
    let took = node.clock.mono().since(began).as_millis();
    node.log.info(
        "store_call_passed_on",
        &[("call", &line), ("gateway", &vm), ("outcome", &outcome), ("ms", &took)],
    );
    Some(end)
}

/// Makes a store call on behalf of another gateway.
pub async fn serve_call(node: &EntryNode, vm: &VmName, message: PeerMessage) {
    let PeerMessage::StoreCall { call, method, path, body, wait_ms } = message else { return };
    let wait = Duration::from_millis(wait_ms);
    let _active = node.stop.enter();
    let result = if node.stop.can_end(wait, node.clock.mono()) {
        let (cause, body) = (StoreCallCause::ForAnother, body.as_deref());
        node.store.call_directly(cause, &method, &path, body, wait).await
    } else {
        Err(StoreFailure::NotDone)
    };
    let end = match result {
        Ok(reply) => {
            StoreCallEnd::Answered { status: reply.status, body: Payload::from(reply.body) }
        }
        Err(StoreFailure::Refused) => {
            let StoreReply { status, body } = StoreReply::refused();
            StoreCallEnd::Answered { status, body: Payload::from(body) }
        }
        Err(StoreFailure::NotDone) => StoreCallEnd::NotDone,
        Err(StoreFailure::Unknown) => StoreCallEnd::Unknown,
    };
    node.metrics.count(Counter::Event("store_calls_for_others"));
    node.peers.send(vm, PeerMessage::StoreAnswer { call, end });
}
