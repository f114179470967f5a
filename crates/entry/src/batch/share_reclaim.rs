//! Reclaims unused shares of a limit from the other gateways.

use futures_util::future::join_all;
use notch_messages::prelude::PeerMessage;
use notch_relay::prelude::*;
use notch_types::prelude::*;

use crate::{
    batch::{
        limits::{refresh, with_holder},
        records::StoredJob,
        stored_jobs::visit_jobs,
    },
    constants::{LIMIT_PEER_TIMEOUT, SHARE_HOLDER_TIMEOUT},
    node::EntryNode,
    peers::{
        calls::CallEnd,
        table::{KeptShare, OwnerLiveness},
    },
    store::{call_cause::StoreCallCause, feed::StorePath, reply::StoreFailure},
};

/// What the other gateways released.
pub(crate) struct ReclaimedShares {
    /// Revision of the table of shares for which they were asked.
    pub(crate) revision: Option<u64>,
    /// Tokens that end each second, at the gateways that answered and here.
    pub(crate) per_second: f64,
}

/// Reads the shares and asks all other gateways to release theirs, one task at a time. Returns
/// `None` if the previous task's result already decides the case, as reported by `is_known`.
///
/// # Errors
/// The shares could not be read from the store.
pub(crate) async fn reclaim_in_turn(
    node: &EntryNode,
    limit: &WaitingLimit,
    is_known: impl Fn() -> bool,
) -> Result<Option<ReclaimedShares>, StoreFailure> {
    let _turn = node.limits.asking.lock().await;
    if is_known() {
        return Ok(None);
    }
    node.limits.note_asked(&limit.name, node.clock.mono());
    refresh(node, &limit.name).await?;
    let asked_at = node.clock.mono();
    let asked = request_all(node, &limit.name).await;
    release_silent_shares(node, &limit.name).await;
    note_count(node, limit, &asked, asked_at);
    Ok(Some(asked))
}

/// Records how much of the limit is free. If the table changed meanwhile, it may hold shares that
/// were not asked for, so nothing is recorded.
fn note_count(node: &EntryNode, limit: &WaitingLimit, asked: &ReclaimedShares, asked_at: MonoTime) {
    let used = with_holder(node, &limit.name, |holder, registry| {
        let used = registry.limit_tokens(&limit.name);
        (holder.revision() == asked.revision).then(|| holder.used_by_all(used))
    });
    let Some(used) = used else { return };
    let free = limit.tokens.saturating_sub(used);
    let ended_per_second = asked.per_second;
    let count = LimitCount { asked_at, limit: limit.tokens, free, ended_per_second };
    node.limits.note_count(&limit.name, count);
}

async fn request_all(node: &EntryNode, route: &str) -> ReclaimedShares {
    let revision = with_holder(node, route, |holder, _| holder.revision());
    let gateways = node.peers.linked_vms();
    let answers = join_all(gateways.iter().map(|vm| request_release(node, vm, route))).await;
    let mut per_second = node.limits.ended_per_second(route, node.clock.mono());
    for answer in answers.into_iter().flatten() {
        per_second += answer.ended_per_second as f64;
        with_holder(node, route, |holder, _| holder.lowered(&answer.holder, answer.kept, revision));
    }
    ReclaimedShares { revision, per_second }
}

async fn request_release(node: &EntryNode, vm: &VmName, route: &str) -> Option<KeptShare> {
    let send = |call| {
        node.metrics.count(Counter::Event("limit_shares_asked"));
        node.peers.send(vm, PeerMessage::ShareAsk { call, limit: route.to_owned() })
    };
    match node.peers.share_calls.ask(send, LIMIT_PEER_TIMEOUT).await {
        CallEnd::Answered(kept) => Some(kept),
        CallEnd::NotSent | CallEnd::Unanswered => None,
    }
}

/// Releases the shares of gateways that have been gone for long and own no open job any more.
async fn release_silent_shares(node: &EntryNode, route: &str) {
    let now = node.clock.mono();
    // One that is only suspected may be alive, while this gateway is the one that was cut off.
    let is_alive = |holder: &str| node.liveness(holder, now) != OwnerLiveness::Gone;
    let (silent, revision) = with_holder(node, route, |holder, _| {
        (holder.silent_holders(is_alive, SHARE_HOLDER_TIMEOUT, now), holder.revision())
    });
    if silent.is_empty() {
        return;
    }
    // The list of jobs is newer than the table. If other gateways took jobs over, either the table
    // already holds them in their shares or its revision is outdated by now.
    let mut owners: FastSet<String> = FastSet::default();
    let visit = |job: StoredJob| {
        if !job.status.closed {
            owners.insert(job.owner().to_owned());
        }
    };
    if visit_jobs(node, StorePath::Any, StoreCallCause::LimitShares, visit).await.is_err() {
        return;
    }
    for gone in silent {
        if !owners.contains(&gone) {
            node.log.info("share_lapsed", &[("route", &route), ("holder", &gone)]);
            with_holder(node, route, |holder, _| holder.lowered(&gone, 0, revision));
        }
    }
}
