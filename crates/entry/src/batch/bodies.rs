//! Reads of items' bodies, at any gateway.
//!
//! A gateway that doesn't hold the job asks its owner over a link, for the body alone. The store would
//! give the whole job with all its items: some hundred kilobytes for each reader and gateway, which are
//! sent, decoded and then mostly not asked for again.

use std::sync::Arc;

use notch_messages::prelude::PeerMessage;
use notch_relay::prelude::*;
use notch_types::prelude::*;

use crate::{
    batch::{
        read_latency::{ReadKind, ReadSource},
        reads::{ReadAnswer, learn_job, note_read, unsure},
    },
    constants::BODY_PEER_TIMEOUT,
    front::answer::OwnAnswer,
    node::EntryNode,
    peers::{calls::CallEnd, table::ItemBodyReply},
};

/// Bytes of a body in an answer to another gateway, at most: well under a link's largest message.
const TOLD_BYTES: usize = 1 << 20;

/// Answers a read of an item's body.
pub async fn read_item(node: &Arc<EntryNode>, job: &str, account: &str, item: &str) -> OwnAnswer {
    let began = node.clock.mono();
    let read = find_item(node, job, account, item).await;
    note_read(node, ReadKind::Body, read, began)
}

/// What is accepted of a job never changes, so whoever holds it may tell it.
async fn find_item(node: &Arc<EntryNode>, job: &str, account: &str, item: &str) -> ReadAnswer {
    if let Some(read) = held_item(node, job, account, item) {
        return read;
    }
    if let Some(told) = ask_owner(node, job, account, item).await {
        return ReadAnswer { answer: body_answer(told.as_deref()), source: ReadSource::Told };
    }
    let mut copy = node.jobs().cache.get(job).cloned().unwrap_or_default();
    match learn_job(node, job, &mut copy).await {
        Ok(true) => {}
        Ok(false) => return ReadAnswer::no_such(),
        Err(_) => return unsure(node, job, "store_unavailable"),
    }
    let is_of_another = copy.is_of_another(account);
    let answer = body_answer(copy.spec.as_deref().and_then(|spec| body_of(spec, item)));
    node.jobs().cache.keep(job, copy);
    if is_of_another {
        return ReadAnswer::no_such();
    }
    ReadAnswer { answer, source: ReadSource::Store }
}

fn held_item(node: &EntryNode, job: &str, account: &str, item: &str) -> Option<ReadAnswer> {
    let registry = node.jobs();
    if let Some(owned) = registry.table.get(job) {
        if !may_access(&owned.spec().account, account) {
            return Some(ReadAnswer::no_such());
        }
        let answer = body_answer(body_of(owned.spec(), item));
        return Some(ReadAnswer { answer, source: ReadSource::Owner });
    }
    let copy = registry.cache.get(job)?;
    if copy.is_of_another(account) {
        return Some(ReadAnswer::no_such());
    }
    let spec = copy.spec.as_deref()?;
    Some(ReadAnswer { answer: body_answer(body_of(spec, item)), source: ReadSource::Copy })
}

/// Asks the job's owner: the body, or that the job has no such item. `None` when it doesn't say.
async fn ask_owner(
    node: &EntryNode,
    job: &str,
    account: &str,
    item: &str,
) -> Option<Option<Payload>> {
    let owner = {
        let registry = node.jobs();
        let read = || registry.cache.get(job).and_then(|copy| copy.owner.as_deref());
        registry.owner(job).or_else(read)?.to_owned()
    };
    let (job, item, account) = (job.to_owned(), item.to_owned(), account.to_owned());
    let question = |call| PeerMessage::BodyAsk { call, job, item, account };
    let send = |call| node.peers.send_to_owner(&owner, question(call));
    match node.peers.body_calls.ask(send, BODY_PEER_TIMEOUT).await {
        CallEnd::Answered(told) if told.is_known => Some(told.body),
        CallEnd::Answered(_) | CallEnd::NotSent | CallEnd::Unanswered => None,
    }
}

/// Answers another gateway's question for a body.
pub fn answer_peer(
    node: &EntryNode,
    peer: &VmName,
    call: u64,
    (job, item): (&str, &str),
    account: &str,
) {
    let told = {
        let registry = node.jobs();
        let spec = registry.table.get(job).map(OwnedJob::spec);
        spec.map(|spec| {
            let body = body_of(spec, item).filter(|_| may_access(&spec.account, account));
            body.map(|body| Payload::from(body.to_vec()))
        })
    };
    // One that is too large for a message is left to the store.
    let told = told.filter(|body| body.as_ref().is_none_or(|body| body.len() <= TOLD_BYTES));
    let is_known = told.is_some();
    node.peers.send(peer, PeerMessage::BodyTold { call, is_known, body: told.flatten() });
}

/// Takes another gateway's answer.
pub fn receive_body(node: &EntryNode, call: u64, is_known: bool, body: Option<Payload>) {
    node.peers.body_calls.answer(call, ItemBodyReply { is_known, body });
}

fn body_of<'a>(spec: &'a JobSpec, item: &str) -> Option<&'a [u8]> {
    let found = spec.items.iter().find(|candidate| candidate.id == item);
    found.map(|item| item.body.as_slice())
}

fn body_answer(body: Option<&[u8]>) -> OwnAnswer {
    body.map_or_else(
        || OwnAnswer::of(404),
        |body| OwnAnswer { status: 200, body: body.to_vec(), ..OwnAnswer::default() },
    )
}
