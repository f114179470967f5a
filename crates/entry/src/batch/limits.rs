//! Keeps the limits on waiting tokens together with the other gateways.
//!
//! What is lent of a limit, and to whom, is one object of the store; a gateway admits jobs within its
//! share without a call. When a limit is used up the others are asked to give back what they don't
//! use, so a job is refused only if it doesn't fit.

use std::{sync::Arc, time::Duration};

use async_std::future::timeout;
use futures_util::future::join_all;
use notch_messages::prelude::PeerMessage;
use notch_platform_wire::{
    prelude::StoreObject,
    store::{decode, list_path, object_path, spec_body},
};
use notch_relay::{limits::drain::wait_for, prelude::*};
use notch_types::prelude::*;

use crate::{
    batch::{desk::JobDesk, stored_jobs::list_jobs},
    constants::{LIMIT_ASK, LIMIT_CALL, LIMIT_PATIENCE, LIMIT_ROUNDS, ROOM_TICK, SHARE_SILENCE},
    node::EntryNode,
    peers::{
        calls::CallEnd,
        table::{KeptShare, OwnerLiveness},
    },
    store::{
        call_cause::StoreCallCause,
        feed::StorePath,
        reply::{StoreFailure, StoreReply},
    },
};

/// Kind of the shares of limits, each object named after its route.
pub const SHARE_KIND: &str = "notch-limit-shares";

/// What became of a job that counts against a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitOutcome {
    /// It fits, and is counted.
    Reserved,
    /// It doesn't fit now.
    Full {
        /// When it may.
        wait: Duration,
    },
    /// The store doesn't say.
    Unknown,
}

/// Counts a job that is being taken in against its route's limit, if it fits.
pub async fn reserve(node: &EntryNode, route: &Route, job: &str, tokens: u64) -> LimitOutcome {
    if route.waiting_limit == 0 {
        node.jobs().reserve(job, &route.name, tokens);
        return LimitOutcome::Reserved;
    }
    let reserving = async {
        let _turn = node.limits.turn.lock().await;
        with_holder(node, &route.name, |holder, _| holder.not_written());
        reserve_in_turn(node, route, job, tokens).await
    };
    let outcome = timeout(LIMIT_PATIENCE, reserving).await.unwrap_or(LimitOutcome::Unknown);
    node.limits.used.notify(usize::MAX);
    if outcome != LimitOutcome::Reserved {
        let used = node.jobs().limit_tokens(&route.name);
        let table = with_holder(node, &route.name, |holder, _| format!("{:?}", holder.table()));
        node.log.info(
            "job_over_limit",
            &[
                ("job", &job),
                ("route", &route.name),
                ("tokens", &tokens),
                ("limit", &route.waiting_limit),
                ("used_here", &used),
                ("shares", &table),
                ("outcome", &format!("{outcome:?}")),
            ],
        );
    }
    outcome
}

async fn reserve_in_turn(node: &EntryNode, route: &Route, job: &str, tokens: u64) -> LimitOutcome {
    let name = &route.name;
    let mut asked: Option<f64> = None;
    for _ in 0..LIMIT_ROUNDS {
        match next_step(node, route, job, tokens) {
            ShareStep::Granted => return LimitOutcome::Reserved,
            ShareStep::Write(proposal) => {
                let count_job = |desk: &mut JobDesk| desk.reserve(job, name, tokens);
                match write(node, name, proposal, count_job).await {
                    ShareWrite::Done => return LimitOutcome::Reserved,
                    ShareWrite::Changed => asked = None,
                    ShareWrite::Unknown => return LimitOutcome::Unknown,
                }
            }
            ShareStep::Full { missing } => {
                if let Some(per_second) = asked {
                    return LimitOutcome::Full { wait: wait_for(missing, per_second) };
                }
                if refresh(node, name).await.is_err() {
                    return LimitOutcome::Unknown;
                }
                asked = Some(ask_all(node, name).await);
                drop_silent(node, name).await;
            }
        }
    }
    LimitOutcome::Unknown
}

/// The next step, which is counted already if it's granted.
fn next_step(node: &EntryNode, route: &Route, job: &str, tokens: u64) -> ShareStep {
    let gateways = node.peers.known_count() as u64 + 1;
    let is_in_touch = node.peers.hears_all(node.clock.mono());
    with_holder(node, &route.name, |holder, desk| {
        let used = desk.limit_tokens(&route.name);
        let step = holder.step(used, tokens, route.waiting_limit, gateways, is_in_touch);
        if step == ShareStep::Granted {
            desk.reserve(job, &route.name, tokens);
        }
        step
    })
}

/// Writes a share that covers what counts here, jobs that are about to be taken over among it, whether
/// or not they fit: they wait already.
///
/// # Errors
/// The store didn't answer: nothing may be taken over yet.
pub async fn cover(node: &EntryNode, route: &str) -> Result<(), StoreFailure> {
    change(node, route, |holder, desk| holder.cover(desk.limit_tokens(route))).await
}

/// Work was taken over from these gateways: they hold that much less. Undone it only counts twice,
/// until their shares lapse.
pub async fn release(node: &EntryNode, route: &str, taken: &[(String, u64)]) {
    if change(node, route, |holder, _| holder.release(taken)).await.is_err() {
        node.log.warn("share_not_released", &[("route", &route)]);
    }
}

async fn change(
    node: &EntryNode,
    route: &str,
    propose: impl Fn(&mut ShareHolder, &JobDesk) -> ShareProposal,
) -> Result<(), StoreFailure> {
    let _turn = node.limits.turn.lock().await;
    for _ in 0..LIMIT_ROUNDS {
        let proposal = with_holder(node, route, |holder, desk| propose(holder, desk));
        match write(node, route, proposal, |_| {}).await {
            ShareWrite::Done => return Ok(()),
            ShareWrite::Changed => {}
            ShareWrite::Unknown => return Err(StoreFailure::Unknown),
        }
    }
    Err(StoreFailure::NotDone)
}

/// Keeps room under every limit for the jobs that come next, until the process ends.
pub async fn keep_room(node: Arc<EntryNode>) {
    loop {
        let listener = node.limits.used.listen();
        // News, or the end of the pause: both lead to another look.
        let _ = timeout(ROOM_TICK, listener).await;
        let now = node.clock.mono();
        let is_able = node.store.outage().is_up() && node.peers.hears_all(now);
        if !is_able || node.stop.is_stopping() {
            continue;
        }
        let Some(routes) = node.routes() else { continue };
        for route in routes.routes().filter(|route| route.waiting_limit > 0) {
            top_up(&node, route).await;
        }
    }
}

async fn top_up(node: &EntryNode, route: &Route) {
    let _turn = node.limits.turn.lock().await;
    let gateways = node.peers.known_count() as u64 + 1;
    let proposal = with_holder(node, &route.name, |holder, desk| {
        holder.top_up(desk.limit_tokens(&route.name), route.waiting_limit, gateways)
    });
    let Some(proposal) = proposal else { return };
    // One that another gateway was faster than is tried again in the next turn.
    write(node, &route.name, proposal, |_| {}).await;
}

/// The shares of every limit known here, for a gateway that has just come.
pub fn known_shares(node: &EntryNode) -> Vec<PeerMessage> {
    let holders = node.limits.holders();
    let known = holders.iter().filter_map(|(route, holder)| {
        let (limit, table) = (route.clone(), holder.table().clone());
        Some(PeerMessage::Shares { limit, revision: holder.revision()?, table })
    });
    known.collect()
}

/// Another gateway asks for what isn't used here; answers what is.
pub fn answer_ask(node: &EntryNode, vm: &VmName, call: u64, route: &str) {
    let kept = cede(node, route);
    let ended_per_second = node.limits.ended_per_second(route, node.clock.mono()) as u64;
    let holder = node.owner.clone();
    node.peers.send(vm, PeerMessage::ShareKept { call, holder, kept, ended_per_second });
}

/// Gives back what isn't used here. Also due when a job was lost to another gateway, which counts
/// it from then on: its tokens are no room for others here.
pub fn cede(node: &EntryNode, route: &str) -> u64 {
    with_holder(node, route, |holder, desk| holder.cede(desk.limit_tokens(route)))
}

/// Another gateway has written shares.
pub fn take_shares(node: &EntryNode, route: &str, revision: u64, table: ShareTable) {
    with_holder(node, route, |holder, _| holder.adopt(table, revision));
}

/// Works on this gateway's part in a limit; no task sees it between what is done here.
fn with_holder<T>(
    node: &EntryNode,
    route: &str,
    work: impl FnOnce(&mut ShareHolder, &mut JobDesk) -> T,
) -> T {
    let mut desk = node.jobs();
    let mut holders = node.limits.holders();
    let holder = holders.entry(route.to_owned()).or_insert_with(|| ShareHolder::new(&node.owner));
    work(holder, &mut desk)
}

fn tell_shares(node: &EntryNode, route: &str, revision: u64, table: ShareTable) {
    node.metrics.count(Counter::Event("limit_shares_written"));
    node.peers.broadcast(&PeerMessage::Shares { limit: route.to_owned(), revision, table });
}

/// Asks every gateway with a link to give back what it doesn't use. How much ends each second, at
/// those that answered and here.
async fn ask_all(node: &EntryNode, route: &str) -> f64 {
    let revision = with_holder(node, route, |holder, _| holder.revision());
    let gateways = node.peers.linked_vms();
    let answers = join_all(gateways.iter().map(|vm| ask(node, vm, route))).await;
    let mut per_second = node.limits.ended_per_second(route, node.clock.mono());
    for answer in answers.into_iter().flatten() {
        per_second += answer.ended_per_second as f64;
        with_holder(node, route, |holder, _| holder.ceded(&answer.holder, answer.kept, revision));
    }
    per_second
}

async fn ask(node: &EntryNode, vm: &VmName, route: &str) -> Option<KeptShare> {
    let send = |call| node.peers.send(vm, PeerMessage::ShareAsk { call, limit: route.to_owned() });
    match node.peers.share_calls.ask(send, LIMIT_ASK).await {
        CallEnd::Answered(kept) => Some(kept),
        CallEnd::NotSent | CallEnd::Unanswered => None,
    }
}

/// Drops shares of gateways that are gone for long and own no open job any more.
async fn drop_silent(node: &EntryNode, route: &str) {
    let now = node.clock.mono();
    let is_alive = |holder: &str| node.liveness(holder, now) == OwnerLiveness::Alive;
    let (silent, revision) = with_holder(node, route, |holder, _| {
        (holder.silent_holders(is_alive, SHARE_SILENCE, now), holder.revision())
    });
    if silent.is_empty() {
        return;
    }
    // The list is newer than the table: jobs that others took over are in their shares there, or the
    // table's revision is an old one by now.
    let Ok(jobs) = list_jobs(node, StorePath::Any, StoreCallCause::LimitShares).await else {
        return;
    };
    for gone in silent {
        let owns = jobs.iter().any(|job| !job.status.closed && job.owner() == gone);
        if !owns {
            node.log.info("share_lapsed", &[("route", &route), ("holder", &gone)]);
            with_holder(node, route, |holder, _| holder.ceded(&gone, 0, revision));
        }
    }
}

/// What became of a write of shares.
enum ShareWrite {
    /// It was done, and the other gateways are told.
    Done,
    /// Another gateway wrote before, or nobody knows whether ours was done: the table as it stands now
    /// is known.
    Changed,
    /// The store doesn't answer.
    Unknown,
}

/// Writes shares. `on_done` sees what counts here in the same moment in which the share is in force.
async fn write(
    node: &EntryNode,
    route: &str,
    proposal: ShareProposal,
    on_done: impl FnOnce(&mut JobDesk),
) -> ShareWrite {
    let name = object_name(route);
    let body = spec_body(&name, proposal.revision, &proposal.table);
    let (method, path) = match proposal.revision {
        None => ("POST", list_path(SHARE_KIND, None)),
        Some(_) => ("PUT", object_path(SHARE_KIND, &name)),
    };
    let wait = node.store.settings().call_timeout.min(LIMIT_CALL);
    let sent = node.store.call(StoreCallCause::LimitShares, method, &path, Some(&body), wait).await;
    if let Ok(reply) = &sent
        && reply.is_success()
        && let Ok(object) = decode::<StoreObject>(&reply.body)
    {
        let (revision, table) = (object.metadata.revision, proposal.table.clone());
        with_holder(node, route, |holder, desk| {
            holder.written(proposal, revision);
            on_done(desk);
        });
        tell_shares(node, route, revision, table);
        return ShareWrite::Done;
    }
    with_holder(node, route, |holder, _| holder.not_written());
    let adopted = match sent {
        Ok(reply) => adopt_reply(node, route, &reply),
        Err(_) => refresh(node, route).await.is_ok(),
    };
    if adopted { ShareWrite::Changed } else { ShareWrite::Unknown }
}

/// Reads the shares as the store holds them.
async fn refresh(node: &EntryNode, route: &str) -> Result<(), StoreFailure> {
    let reply = node
        .store
        .get(StoreCallCause::LimitShares, &object_path(SHARE_KIND, &object_name(route)))
        .await?;
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
            with_holder(node, route, |holder, _| holder.adopt(table, object.metadata.revision));
            true
        }
        Some(Err(error)) => {
            node.log.error("shares_refused", &[("route", &route), ("reason", &error)]);
            false
        }
        None => false,
    }
}

/// The object's name: routes may have names that can't stand in a path.
fn object_name(route: &str) -> String {
    format!("{:016x}", stable_hash64(&[route.as_bytes()]))
}
