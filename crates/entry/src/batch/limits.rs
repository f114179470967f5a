//! Enforces limits on waiting tokens together with the other gateways.
//!
//! One store object per limit records the share of each gateway. A gateway admits jobs within its
//! share without a store call. When a limit is used up, the other gateways are asked to release
//! their unused shares, so a job is refused only if it really exceeds the limit. In a burst,
//! refusals are based on the last answers for a short time.

use std::{sync::Arc, time::Duration};

use async_std::{future::timeout, sync::MutexGuard as TurnGuard};
use notch_messages::prelude::PeerMessage;
use notch_platform_wire::{
    prelude::StoreObject,
    store::{decode, list_path, object_path, spec_body},
};
use notch_relay::{limits::drain::retry_delay, prelude::*};
use notch_types::prelude::*;

use crate::{
    batch::{
        job_registry::JobRegistry,
        share_reclaim::{ReclaimedShares, reclaim_in_turn},
    },
    constants::{
        CAPACITY_CHECK_INTERVAL, LIMIT_DECISION_TIMEOUT, LIMIT_SHARE_ATTEMPTS, LIMIT_STORE_TIMEOUT,
    },
    node::EntryNode,
    store::{
        call_cause::StoreCallCause,
        object_kinds::SHARE_KIND,
        reply::{StoreFailure, StoreReply},
    },
};

/// Outcome of counting a job against a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitOutcome {
    /// It is within the limit, and counted.
    Reserved,
    /// It exceeds the limit now.
    Full {
        /// When the client should retry.
        wait: Duration,
    },
    /// It could not be determined in time.
    Unknown,
}

/// Counts a job that is being accepted against its route's limit, if it is within it.
pub async fn reserve(
    node: &EntryNode,
    limit: &WaitingLimit,
    job: &str,
    tokens: u64,
) -> LimitOutcome {
    if limit.tokens == 0 {
        node.jobs().reserve(job, &limit.name, tokens);
        return LimitOutcome::Reserved;
    }
    let reserving = try_reserve(node, limit, job, tokens);
    let outcome = timeout(LIMIT_DECISION_TIMEOUT, reserving).await.unwrap_or(LimitOutcome::Unknown);
    node.limits.used.notify(usize::MAX);
    if outcome != LimitOutcome::Reserved {
        let used = node.jobs().limit_tokens(&limit.name);
        let table = with_holder(node, &limit.name, |holder, _| format!("{:?}", holder.table()));
        node.log.info(
            "job_over_limit",
            &[
                ("job", &job),
                ("route", &limit.name),
                ("tokens", &tokens),
                ("limit", &limit.tokens),
                ("used_here", &used),
                ("shares", &table),
                ("outcome", &format!("{outcome:?}")),
            ],
        );
    }
    outcome
}

/// Decides whether a job is within the limit. Only writes are serialized: using the share that this
/// gateway holds, and finding out that a job exceeds the limit, need not wait for another write.
async fn try_reserve(
    node: &EntryNode,
    limit: &WaitingLimit,
    job: &str,
    tokens: u64,
) -> LimitOutcome {
    let arrived = node.clock.mono();
    let mut asked: Option<ReclaimedShares> = None;
    for _ in 0..LIMIT_SHARE_ATTEMPTS {
        match use_held_share(node, limit, job, tokens) {
            ShareAvailability::Held => return LimitOutcome::Reserved,
            ShareAvailability::Free => match write_in_turn(node, limit, job, tokens).await {
                ShareWrite::Done => return LimitOutcome::Reserved,
                ShareWrite::Changed => {}
                ShareWrite::Unknown => return LimitOutcome::Unknown,
            },
            ShareAvailability::Missing(missing) => {
                if let Some(wait) = refusal(node, limit, tokens, arrived) {
                    return LimitOutcome::Full { wait };
                }
                // The released tokens are valid only for the revision of the table for which they
                // were requested.
                let revision = with_holder(node, &limit.name, |holder, _| holder.revision());
                if let Some(asked) = asked.as_ref().filter(|asked| asked.revision == revision) {
                    return LimitOutcome::Full { wait: retry_delay(missing, asked.per_second) };
                }
                let is_refused = || refusal(node, limit, tokens, arrived).is_some();
                match reclaim_in_turn(node, limit, is_refused).await {
                    Ok(answers) => asked = answers,
                    Err(_) => return LimitOutcome::Unknown,
                }
            }
        }
    }
    LimitOutcome::Unknown
}

/// When the client should retry, if the last count of the limit shows that the job exceeds it.
fn refusal(
    node: &EntryNode,
    limit: &WaitingLimit,
    tokens: u64,
    arrived: MonoTime,
) -> Option<Duration> {
    let counts = node.limits.counts();
    let throttle = counts.get(&limit.name)?;
    throttle.refusal(tokens, limit.tokens, arrived, node.clock.mono())
}

/// Counts the job if it fits in this gateway's share. Returns whether it does, and how much is
/// missing.
fn use_held_share(
    node: &EntryNode,
    limit: &WaitingLimit,
    job: &str,
    tokens: u64,
) -> ShareAvailability {
    let is_in_touch = node.peers.hears_all_peers(node.clock.mono());
    with_holder(node, &limit.name, |holder, registry| {
        let used = registry.limit_tokens(&limit.name);
        let availability = holder.availability(used, tokens, limit.tokens, is_in_touch);
        if availability == ShareAvailability::Held {
            registry.reserve(job, &limit.name, tokens);
        }
        availability
    })
}

/// Writes a share that covers the job, and counts the job.
async fn write_in_turn(
    node: &EntryNode,
    limit: &WaitingLimit,
    job: &str,
    tokens: u64,
) -> ShareWrite {
    let _turn = lock_shares(node, &limit.name).await;
    match next_share_step(node, limit, job, tokens) {
        ShareStep::Granted => ShareWrite::Done,
        ShareStep::Write(proposal) => {
            let count_job = |registry: &mut JobRegistry| registry.reserve(job, &limit.name, tokens);
            write(node, &limit.name, proposal, count_job).await
        }
        ShareStep::Full { .. } => ShareWrite::Changed,
    }
}

/// Waits for exclusive access to change shares. A write abandoned by the previous task no longer
/// counts as in progress: if it takes effect after all, it changes the table's revision.
async fn lock_shares<'a>(node: &'a EntryNode, route: &str) -> TurnGuard<'a, ()> {
    let turn = node.limits.turn.lock().await;
    with_holder(node, route, |holder, _| holder.not_written());
    turn
}

/// The next step for the job, which is counted already if the step is `Granted`.
fn next_share_step(node: &EntryNode, limit: &WaitingLimit, job: &str, tokens: u64) -> ShareStep {
    let gateways = node.peers.known_count() as u64 + 1;
    let is_in_touch = node.peers.hears_all_peers(node.clock.mono());
    with_holder(node, &limit.name, |holder, registry| {
        let used = registry.limit_tokens(&limit.name);
        let step = holder.step(used, tokens, limit.tokens, gateways, is_in_touch);
        if step == ShareStep::Granted {
            registry.reserve(job, &limit.name, tokens);
        }
        step
    })
}

/// Writes a share that covers all tokens counted here, including jobs about to be taken over. These
/// may exceed the limit, as they are waiting already.
///
/// # Errors
/// The store did not answer: nothing may be taken over yet.
pub async fn cover(node: &EntryNode, route: &str) -> Result<(), StoreFailure> {
    change(node, route, |holder, registry| {
        holder.propose_for_takeover(registry.limit_tokens(route))
    })
    .await
}

/// Reduces the shares of gateways whose work was taken over. If that fails the tokens count twice
/// until those shares lapse.
pub async fn release_taken_over(node: &EntryNode, route: &str, taken: &[(String, u64)]) {
    if change(node, route, |holder, _| holder.propose_after_takeover(taken)).await.is_err() {
        node.log.warn("share_not_released", &[("route", &route)]);
    }
}

async fn change(
    node: &EntryNode,
    route: &str,
    propose: impl Fn(&mut ShareHolder, &JobRegistry) -> ShareProposal,
) -> Result<(), StoreFailure> {
    let _turn = lock_shares(node, route).await;
    for _ in 0..LIMIT_SHARE_ATTEMPTS {
        let proposal = with_holder(node, route, |holder, registry| propose(holder, registry));
        match write(node, route, proposal, |_| {}).await {
            ShareWrite::Done => return Ok(()),
            ShareWrite::Changed => {}
            ShareWrite::Unknown => return Err(StoreFailure::Unknown),
        }
    }
    Err(StoreFailure::NotDone)
}

/// Keeps some unused share under every limit for the jobs that come next, until the process ends.
pub async fn maintain_headroom(node: Arc<EntryNode>) {
    loop {
        let listener = node.limits.used.listen();
        // Either an event or the timeout leads to another pass.
        let _ = timeout(CAPACITY_CHECK_INTERVAL, listener).await;
        let now = node.clock.mono();
        let is_able = node.store.outage().is_up() && node.peers.hears_all_peers(now);
        if !is_able || node.stop.is_stopping() {
            continue;
        }
        let Some(routes) = node.routes() else { continue };
        for limit in limits_in_use(&node, &routes) {
            top_up(&node, &limit).await;
        }
    }
}

/// The limits for which unused share is kept: those of routes or, with client accounts, those of
/// the accounts that have submitted jobs on a route here.
fn limits_in_use(node: &EntryNode, routes: &RouteTable) -> Vec<WaitingLimit> {
    let limited = routes.routes().filter(|route| route.waiting_limit > 0);
    if routes.accounts().is_none() {
        return limited.map(|route| WaitingLimit::of(route, "")).collect();
    }
    let known: Vec<String> = node.limits.holders().keys().cloned().collect();
    let of_route = |route: &Route| {
        let tokens = route.waiting_limit;
        let names = known.iter().filter(|name| WaitingLimit::is_of_route(name, &route.name));
        names.map(|name| WaitingLimit { name: name.clone(), tokens }).collect::<Vec<_>>()
    };
    limited.flat_map(|route| of_route(route)).collect()
}

async fn top_up(node: &EntryNode, limit: &WaitingLimit) {
    let _turn = lock_shares(node, &limit.name).await;
    let gateways = node.peers.known_count() as u64 + 1;
    let proposal = with_holder(node, &limit.name, |holder, registry| {
        holder.top_up(registry.limit_tokens(&limit.name), limit.tokens, gateways)
    });
    let Some(proposal) = proposal else { return };
    // If another gateway's write came first, the next pass tries again.
    write(node, &limit.name, proposal, |_| {}).await;
}

/// The shares of every limit known here, for a gateway that has just connected.
pub fn known_shares(node: &EntryNode) -> Vec<PeerMessage> {
    let holders = node.limits.holders();
    let known = holders.iter().filter_map(|(route, holder)| {
        let (limit, table) = (route.clone(), holder.table().clone());
        Some(PeerMessage::Shares { limit, revision: holder.revision()?, table })
    });
    known.collect()
}

/// Answers another gateway's request to release unused tokens with how many are still used.
pub fn answer_ask(node: &EntryNode, vm: &VmName, call: u64, route: &str) {
    let kept = release_unused(node, route);
    let ended_per_second = node.limits.ended_per_second(route, node.clock.mono()) as u64;
    let holder = node.owner.clone();
    node.peers.send(vm, PeerMessage::ShareKept { call, holder, kept, ended_per_second });
}

/// Releases the unused part of this gateway's share. Also called when a job was lost to another
/// gateway, which counts its tokens from then on: they must not be used for other jobs here.
pub fn release_unused(node: &EntryNode, route: &str) -> u64 {
    with_holder(node, route, |holder, registry| holder.release_unused(registry.limit_tokens(route)))
}

/// Applies shares that another gateway has written.
pub fn apply_shares(node: &EntryNode, route: &str, revision: u64, table: ShareTable) {
    with_holder(node, route, |holder, _| holder.adopt(table, revision));
}

/// Uses nothing of the shares held until the store has confirmed them: contact with another gateway was interrupted, which
/// may have given them away.
pub fn doubt_shares(node: &EntryNode) {
    node.limits.holders().values_mut().for_each(ShareHolder::doubt);
}

/// Drops the state of routes for which no job is counted here. Returns how many were dropped. The
/// store still records this gateway's share of such a route; it is released when another gateway
/// asks, as it is unused. Nothing is dropped while a share is being written; the next cleanup does
/// it.
pub fn forget(node: &EntryNode, routes: &[String]) -> usize {
    let Some(_turn) = node.limits.turn.try_lock() else { return 0 };
    let registry = node.jobs();
    let unused = routes.iter().filter(|route| registry.limit_tokens(route) == 0);
    unused.filter(|route| node.limits.forget(route)).count()
}

/// Accesses this gateway's state of a limit together with the job registry, as one atomic step.
pub(crate) fn with_holder<T>(
    node: &EntryNode,
    route: &str,
    work: impl FnOnce(&mut ShareHolder, &mut JobRegistry) -> T,
) -> T {
    let mut registry = node.jobs();
    let mut holders = node.limits.holders();
    let holder = holders.entry(route.to_owned()).or_insert_with(|| ShareHolder::new(&node.owner));
    work(holder, &mut registry)
}

fn broadcast_shares(node: &EntryNode, route: &str, revision: u64, table: ShareTable) {
    node.metrics.count(Counter::Event("limit_shares_written"));
    node.peers.broadcast(&PeerMessage::Shares { limit: route.to_owned(), revision, table });
}

/// Outcome of a write of shares.
enum ShareWrite {
    /// It was done, and the other gateways were told.
    Done,
    /// Another gateway wrote first, or the write's outcome is unknown. The current table was read.
    Changed,
    /// The store did not answer.
    Unknown,
}

/// Writes shares. `on_done` runs under the same lock that puts the share in force.
async fn write(
    node: &EntryNode,
    route: &str,
    proposal: ShareProposal,
    on_done: impl FnOnce(&mut JobRegistry),
) -> ShareWrite {
    let name = object_name(route);
    let body = spec_body(&name, proposal.revision, &proposal.table);
    let (method, path) = match proposal.revision {
        None => ("POST", list_path(SHARE_KIND, None)),
        Some(_) => ("PUT", object_path(SHARE_KIND, &name)),
    };
    let wait = node.store.settings().call_timeout.min(LIMIT_STORE_TIMEOUT);
    let sent = node.store.call(StoreCallCause::LimitShares, method, &path, Some(&body), wait).await;
    if let Ok(reply) = &sent
        && reply.is_success()
        && let Ok(object) = decode::<StoreObject>(&reply.body)
    {
        let (revision, table) = (object.metadata.revision, proposal.table.clone());
        with_holder(node, route, |holder, registry| {
            holder.written(proposal, revision);
            on_done(registry);
        });
        broadcast_shares(node, route, revision, table);
        return ShareWrite::Done;
    }
    with_holder(node, route, |holder, _| holder.not_written());
    let adopted = match sent {
        Ok(reply) => adopt_reply(node, route, &reply),
        Err(_) => refresh(node, route).await.is_ok(),
    };
    if adopted { ShareWrite::Changed } else { ShareWrite::Unknown }
}

/// Reads the shares from the store.
///
/// # Errors
/// The store did not answer, or not with a table of shares.
pub(crate) async fn refresh(node: &EntryNode, route: &str) -> Result<(), StoreFailure> {
    let path = object_path(SHARE_KIND, &object_name(route));
    let wait = node.store.settings().call_timeout.min(LIMIT_STORE_TIMEOUT);
    let reply = node.store.call(StoreCallCause::LimitShares, "GET", &path, None, wait).await?;
    if adopt_reply(node, route, &reply) { Ok(()) } else { Err(StoreFailure::Unknown) }
}

fn adopt_reply(node: &EntryNode, route: &str, reply: &StoreReply) -> bool {
    if reply.status == 404 {
        with_holder(node, route, |holder, _| holder.forget_table());
        return true;
    }
    let Ok(object) = decode::<StoreObject>(&reply.body) else { return false };
    let spec = object.spec.as_ref().map(|spec| serde_json::from_str::<ShareTable>(spec.get()));
    match spec {
        Some(Ok(table)) => {
            with_holder(node, route, |holder, _| {
                holder.adopt(table, object.metadata.revision);
                holder.confirm();
            });
            true
        }
        Some(Err(error)) => {
            node.log.error("shares_refused", &[("route", &route), ("reason", &error)]);
            false
        }
        None => false,
    }
}

/// The object's name. A hash, as route names may contain characters that are not valid in a path.
fn object_name(route: &str) -> String {
    format!("{:016x}", stable_hash64(&[route.as_bytes()]))
}
