//! Places at other gateways' targets, asked for before a request is sent there.

use std::time::Duration;

use notch_messages::prelude::{PeerMessage, PlaceAnswer};
use notch_relay::prelude::*;
use notch_types::prelude::*;

use crate::{batch::runner, node::EntryNode, peers::calls::CallEnd};

/// Longest wait for a home's answer: several round trips between failure domains, a tenth of the usual
/// objective.
const ANSWER_WAIT: Duration = Duration::from_millis(30);
/// A home without a free place isn't asked again for so long: at a usual target a place becomes free about
/// as often.
const FULL_PAUSE: Duration = Duration::from_millis(50);
/// The same for a home that doesn't answer: it may be stopped, or cut off.
const SILENT_PAUSE: Duration = Duration::from_millis(500);

/// What came of an ask.
#[derive(Debug)]
pub enum PlaceEnd {
    /// A place is counted for the request.
    Granted(TargetChoice),
    /// There is none; the queue that the home offered.
    Denied(Option<QueueOffer>),
}

/// Asks the home of targets for a place; with `may_displace` also for one that an item has. A home that has
/// none, or doesn't answer, is passed over for a moment.
pub async fn ask(
    node: &EntryNode,
    home: &VmName,
    query: &TargetQuery<'_>,
    may_displace: bool,
) -> PlaceEnd {
    let (service, avoid) = (query.service.to_owned(), query.avoid.to_vec());
    let question = |call| PeerMessage::PlaceAsk { call, service, avoid, may_displace };
    let send = |call| node.peers.send(home, question(call));
    let end = node.peers.place_calls.ask(send, ANSWER_WAIT).await;
    let (code, pause, offer) = match end {
        CallEnd::Answered(PlaceAnswer::Granted(id)) => {
            if let Some(choice) = node.targets().take_granted(query, &id) {
                node.metrics.count(Counter::Event("places_granted"));
                return PlaceEnd::Granted(choice);
            }
            give_back(node, home, id);
            ("places_unusable", FULL_PAUSE, None)
        }
        CallEnd::Answered(PlaceAnswer::Denied(offer)) => ("places_denied", FULL_PAUSE, offer),
        CallEnd::Unanswered | CallEnd::NotSent => ("places_unanswered", SILENT_PAUSE, None),
    };
    node.metrics.count(Counter::Event(code));
    node.targets().note_denied(home, node.clock.mono() + pause);
    PlaceEnd::Denied(offer)
}

/// Answers another gateway that asks for a place.
pub fn answer(
    node: &EntryNode,
    peer: &VmName,
    call: u64,
    service: &str,
    avoid: &[String],
    may_displace: bool,
) {
    let prompt = PromptHeads::default();
    let (work, queue) = (WorkKind::Online, QueueLimit::Any);
    let query = TargetQuery { service, work, avoid, queue, prompt: &prompt };
    let now = node.clock.mono();
    let mut targets = node.targets();
    let grant = targets.grant(peer, &query, may_displace, now);
    let offer = targets.shortest_queue(&query, now);
    drop(targets);
    if let Some(PlaceGrant { id, yields: Some(yields) }) = &grant {
        revoke(node, id, yields);
    }
    let answer = match grant {
        Some(grant) => PlaceAnswer::Granted(grant.id),
        None => PlaceAnswer::Denied(offer),
    };
    node.peers.send(peer, PeerMessage::PlaceAnswer { call, answer });
}

/// Has an item yield its place at a target of this gateway.
pub fn revoke(node: &EntryNode, target: &str, yields: &ItemYield) {
    node.metrics.count(Counter::Event("item_places_revoked"));
    match yields {
        ItemYield::Own => runner::yield_place(node, target),
        ItemYield::Peer(vm) => {
            node.peers.send(vm, PeerMessage::PlaceRevoke { target: target.to_owned() });
        }
    }
}

/// Takes a home's answer. A place whose asker has given up is given back.
pub fn take_answer(node: &EntryNode, home: &VmName, call: u64, answer: PlaceAnswer) {
    if let Some(PlaceAnswer::Granted(target)) = node.peers.place_calls.try_answer(call, answer) {
        give_back(node, home, target);
    }
}

fn give_back(node: &EntryNode, home: &VmName, target: String) {
    let (work, change) = (WorkKind::Online, UseChange::End);
    node.peers.send(home, PeerMessage::PlaceUse { target, work, change });
}
