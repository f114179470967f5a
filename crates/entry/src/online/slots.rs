//! Slots at targets whose home is another gateway. They are requested from it before a request is sent there.

use std::time::Duration;

use notch_messages::prelude::{PeerMessage, PlaceAnswer};
use notch_relay::prelude::*;
use notch_types::prelude::*;

use crate::{batch::runner, node::EntryNode, peers::calls::CallEnd};

/// Timeout of a home gateway's answer: several round trips between failure domains, a tenth of the usual objective.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(30);

/// Finds a slot for a request and counts the request there; `None` when no target can serve it in time.
pub async fn find(
    node: &EntryNode,
    search: &mut SlotSearch,
    query: &TargetQuery<'_>,
) -> Option<TargetChoice> {
    loop {
        let now = node.clock.mono();
        let step = search.next_step(&mut node.targets(), query, now, EntryNode::draw)?;
        match step {
            SearchStep::Take(choice, preempted) => {
                if let Some(preempted) = preempted {
                    revoke(node, &choice.id, &preempted);
                }
                return Some(choice);
            }
            SearchStep::Ask { home, may_displace } => {
                let granted = request_slot(node, search, &home, query, may_displace).await;
                if granted.is_some() {
                    return granted;
                }
            }
        }
    }
}

async fn request_slot(
    node: &EntryNode,
    search: &mut SlotSearch,
    home: &VmName,
    query: &TargetQuery<'_>,
    may_displace: bool,
) -> Option<TargetChoice> {
    let (service, avoid) = (query.service.to_owned(), query.avoid.to_vec());
    let version = query.version.map(str::to_owned);
    let request = |call| PeerMessage::PlaceAsk { call, service, avoid, may_displace, version };
    let send = |call| node.peers.send(home, request(call));
    let end = node.peers.slot_calls.ask(send, ANSWER_TIMEOUT).await;
    let now = node.clock.mono();
    let code = match end {
        CallEnd::Answered(PlaceAnswer::Granted(id)) => {
            let granted = node.targets().take_granted(query, &id);
            if granted.is_some() {
                node.metrics.count(Counter::Event("places_granted"));
                return granted;
            }
            release(node, home, id);
            search.note_denied(&mut node.targets(), home, None, now);
            "places_unusable"
        }
        CallEnd::Answered(PlaceAnswer::Denied(offer)) => {
            search.note_denied(&mut node.targets(), home, offer, now);
            "places_denied"
        }
        CallEnd::Unanswered | CallEnd::NotSent => {
            search.note_silent(&mut node.targets(), home, now);
            "places_unanswered"
        }
    };
    node.metrics.count(Counter::Event(code));
    None
}

/// A slot that another gateway asks for.
#[derive(Debug, Clone, Copy)]
pub struct SlotRequest<'a> {
    /// Service that must run the request.
    pub service: &'a str,
    /// Targets at which the request has failed.
    pub avoid: &'a [String],
    /// Whether a batch item may be preempted for it.
    pub may_displace: bool,
    /// Software version that the target must have; `None` for any.
    pub version: Option<&'a str>,
}

/// Answers another gateway's request for a slot.
pub fn answer(node: &EntryNode, peer: &VmName, call: u64, request: SlotRequest<'_>) {
    let SlotRequest { service, avoid, may_displace, version } = request;
    let prompt = PromptPrefixes::default();
    let (work, queue) = (WorkKind::Online, QueueLimit::Any);
    let query = TargetQuery { service, work, avoid, queue, version, prompt: &prompt };
    let now = node.clock.mono();
    let mut targets = node.targets();
    let grant = targets.grant(peer, &query, may_displace, now);
    let answer = match &grant {
        Some(grant) => PlaceAnswer::Granted(grant.id.clone()),
        None => PlaceAnswer::Denied(targets.shortest_queue(&query, now)),
    };
    drop(targets);
    if let Some(SlotGrant { id, preempted: Some(preempted) }) = &grant {
        revoke(node, id, preempted);
    }
    node.peers.send(peer, PeerMessage::PlaceAnswer { call, answer });
}

/// Has a batch item give up its slot at a target whose home is this gateway.
pub fn revoke(node: &EntryNode, target: &str, preempted: &PreemptedItem) {
    node.metrics.count(Counter::Event("item_places_revoked"));
    match preempted {
        PreemptedItem::Own => runner::preempt_item(node, target),
        PreemptedItem::Peer(vm) => {
            node.peers.send(vm, PeerMessage::PlaceRevoke { target: target.to_owned() });
        }
    }
}

/// Handles a home gateway's answer. A granted slot is released if its request no longer waits for it.
pub fn handle_answer(node: &EntryNode, home: &VmName, call: u64, answer: PlaceAnswer) {
    if let Some(PlaceAnswer::Granted(target)) = node.peers.slot_calls.try_answer(call, answer) {
        release(node, home, target);
    }
}

fn release(node: &EntryNode, home: &VmName, target: String) {
    let (work, change) = (WorkKind::Online, UseChange::End);
    let use_change = PeerMessage::PlaceUse { target, work, change, is_failure: None };
    node.peers.send(home, use_change);
}
