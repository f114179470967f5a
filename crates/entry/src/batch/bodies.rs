//! Reads of item bodies at any gateway.
//!
//! A gateway that does not hold the job asks its owner for the one body over a link. The store only
//! has the whole job with all its items: some hundred kilobytes for each reader and gateway to
//! transfer and decode, mostly for a single read.

use std::sync::Arc;

use notch_messages::prelude::PeerMessage;
use notch_relay::prelude::*;
use notch_types::prelude::*;

use crate::{
    batch::{
        read_latency::{ReadKind, ReadSource},
        reads::{ReadAnswer, held_answer, hold_store_read, load_job, note_read, unsure},
    },
    constants::BODY_PEER_TIMEOUT,
    front::answer::OwnAnswer,
    node::EntryNode,
    peers::{calls::CallEnd, table::ItemBodyReply},
};

/// Maximum bytes of a body in an answer to another gateway, well below a link's largest message.
const MAX_PEER_BODY_BYTES: usize = 1 << 20;

/// Answers a read of an item's body.
pub async fn read_item(node: &Arc<EntryNode>, job: &str, account: &str, item: &str) -> OwnAnswer {
    let began = node.clock.mono();
    let read = locate_item(node, job, account, item).await;
    note_read(node, ReadKind::Body, read, began)
}

/// Finds an item's body. An accepted job never changes, so any copy of it is valid.
async fn locate_item(node: &Arc<EntryNode>, job: &str, account: &str, item: &str) -> ReadAnswer {
    if let Some(read) = local_item(node, job, account, item) {
        return read;
    }
    if let Some(reply) = ask_owner(node, job, account, item).await {
        return body_read(node, job, reply.as_deref(), ReadSource::Peer);
    }
    let mut copy = node.jobs().cache.get(job).cloned().unwrap_or_default();
    let Some(_held) = hold_store_read(node).await else {
        return unsure(node, job, "no_memory");
    };
    match load_job(node, job, &mut copy).await {
        Ok(true) => {}
        Ok(false) => return ReadAnswer::no_such_job(),
        Err(_) => return unsure(node, job, "store_unavailable"),
    }
    let belongs_to_other_account = copy.belongs_to_other_account(account);
    let body = copy.spec.as_deref().and_then(|spec| body_of(spec, item));
    let read = body_read(node, job, body, ReadSource::Store);
    node.jobs().cache.keep(job, copy);
    if belongs_to_other_account {
        return ReadAnswer::no_such_job();
    }
    read
}

fn local_item(node: &EntryNode, job: &str, account: &str, item: &str) -> Option<ReadAnswer> {
    let registry = node.jobs();
    if let Some(owned) = registry.table.get(job) {
        if !may_access(&owned.spec().account, account) {
            return Some(ReadAnswer::no_such_job());
        }
        return Some(body_read(node, job, body_of(owned.spec(), item), ReadSource::Owner));
    }
    let copy = registry.cache.get(job)?;
    if copy.belongs_to_other_account(account) {
        return Some(ReadAnswer::no_such_job());
    }
    let spec = copy.spec.as_deref()?;
    Some(body_read(node, job, body_of(spec, item), ReadSource::Copy))
}

/// Asks the job's owner. Returns the body, `Some(None)` if the job has no such item, or `None` if
/// the owner gave no answer.
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
        CallEnd::Answered(reply) if reply.is_known => Some(reply.body),
        CallEnd::Answered(_) | CallEnd::NotSent | CallEnd::Unanswered => None,
    }
}

/// Answers another gateway's request for a body.
pub fn answer_peer(
    node: &EntryNode,
    peer: &VmName,
    call: u64,
    (job, item): (&str, &str),
    account: &str,
) {
    let reply = {
        let registry = node.jobs();
        let spec = registry.table.get(job).map(OwnedJob::spec);
        spec.map(|spec| {
            let body = body_of(spec, item).filter(|_| may_access(&spec.account, account));
            body.map(|body| Payload::from(body.to_vec()))
        })
    };
    // A body that is too large for a message has to be read from the store.
    let reply =
        reply.filter(|body| body.as_ref().is_none_or(|body| body.len() <= MAX_PEER_BODY_BYTES));
    let is_known = reply.is_some();
    node.peers.send(peer, PeerMessage::BodyTold { call, is_known, body: reply.flatten() });
}

/// Delivers another gateway's answer to the waiting read.
pub fn receive_body(node: &EntryNode, call: u64, is_known: bool, body: Option<Payload>) {
    node.peers.body_calls.answer(call, ItemBodyReply { is_known, body });
}

fn body_of<'a>(spec: &'a JobSpec, item: &str) -> Option<&'a [u8]> {
    let found = spec.items.iter().find(|candidate| candidate.id == item);
    found.map(|item| item.body.as_slice())
}

fn body_read(node: &EntryNode, job: &str, body: Option<&[u8]>, source: ReadSource) -> ReadAnswer {
    let Some(body) = body else { return ReadAnswer { answer: OwnAnswer::of(404), source } };
    match held_answer(node, body.to_vec()) {
        Some(answer) => ReadAnswer { answer, source },
        None => unsure(node, job, "no_memory"),
    }
}
