//! The handling of messages from other gateways.

use std::{sync::Arc, time::Duration};

use async_std::task;
use notch_link::prelude::LinkPeer;
use notch_messages::prelude::*;
use notch_relay::prelude::{AbsenceVote, CreditDemand, SuspectRefusal, UseChange};
use notch_types::prelude::*;
use serde_json::value::RawValue;

use crate::{
    accounts::{credit, freshness, proof_age::ProofAge},
    batch::{bodies, ends, failures, limits, ownership, reads, runner, takeover},
    node::EntryNode,
    online::{
        origin_reply::OriginReply,
        origins::{self, OriginQuery},
        slots::{self, SlotRequest},
    },
    peers::{
        catch_up::{KnownVersions, StateRequest},
        demands, links, pushes, reports, store_forwarding,
        table::{JobReadReply, KeptShare},
    },
};

/// Handles a message of another gateway.
pub fn handle_message(node: &Arc<EntryNode>, peer: &LinkPeer, message: PeerMessage) {
    match message {
        PeerMessage::Hello { owner, jobs, up_ms } => {
            let up = Duration::from_millis(up_ms);
            node.peers.set_uptime(&peer.vm, up, node.clock.mono());
            if node.peers.set_owner(&peer.vm, &owner, node.clock.mono()) {
                takeover::note_loss(node);
            }
            apply_ownership(node, &owner, &jobs);
        }
        PeerMessage::Report {
            uses,
            configuration,
            targets,
            digest,
            is_watching,
            gateways,
            waiting,
            paces,
            shares,
        } => {
            node.peers.set_watching(&peer.vm, is_watching);
            if let Some(report) = gateways {
                compare_roster(node, &peer.vm, report);
            }
            reports::apply_uses(node, &peer.vm, uses, node.clock.mono());
            reports::apply_waiting(node, &peer.vm, waiting, node.clock.mono());
            reports::apply_paces(node, paces, node.clock.mono());
            reports::apply_shares(node, &peer.vm, shares);
            catch_up_with(node, &peer.vm, KnownVersions { configuration, targets, digest });
        }
        PeerMessage::Demand { demands, pace } => {
            demands::apply_demand(node, &peer.vm, demands, pace);
        }
        PeerMessage::AskState { configuration, targets } => {
            let versions = KnownVersions { configuration, targets, digest: 0 };
            let parts = pushes::newer_state(node, versions);
            let entries = parts.iter().map(pushes::entry_count).sum();
            if !node.peers.answer_budget().take(entries, node.clock.mono()) {
                node.metrics.count(Counter::Event("states_deferred"));
                let empty = PeerMessage::State { configuration: None, targets: None };
                node.peers.send(&peer.vm, empty);
                return;
            }
            for state in parts {
                node.peers.send(&peer.vm, state);
            }
        }
        PeerMessage::State { configuration, targets } => {
            apply_state(node, peer, configuration, targets);
        }
        PeerMessage::Gateways(changes) => {
            let changes = node.peers.roster().apply_changes(changes);
            links::apply_roster_changes(node, changes);
        }
        PeerMessage::AskGateways => {
            let whole = node.peers.roster().whole();
            node.peers.send(&peer.vm, PeerMessage::Gateways(whole));
        }
        PeerMessage::JobsOwned(jobs) => {
            if let Some(owner) = node.peers.owner_of(&peer.vm) {
                apply_ownership(node, &owner, &jobs);
            }
        }
        PeerMessage::JobsListed(listed) => takeover::apply_listed(node, listed),
        PeerMessage::JobStoring(job) => {
            node.jobs().note_storing_elsewhere(&job, node.clock.mono());
        }
        PeerMessage::JobClosed(job) => {
            node.jobs().note_closed(&job, node.clock.mono());
        }
        PeerMessage::JobEnded(job) => ends::apply_job_end(node, &job, "gateway"),
        PeerMessage::JobAsk { call, job, account, after, wait_ms } => {
            let node = Arc::clone(node);
            let vm = peer.vm.clone();
            let read = reads::PeerRead { job, account, after, wait_ms };
            task::spawn(async move { reads::answer_peer(&node, &vm, call, &read).await });
        }
        PeerMessage::JobNews { call, account, is_sure, total, lines, is_all } => {
            let total = usize::try_from(total).unwrap_or(usize::MAX);
            let reply = JobReadReply { account, is_sure, total, lines, is_all };
            node.peers.job_calls.answer(call, reply);
        }
        PeerMessage::BodyAsk { call, job, item, account } => {
            bodies::answer_peer(node, &peer.vm, call, (&job, &item), &account);
        }
        PeerMessage::BodyTold { call, is_known, body } => {
            bodies::receive_body(node, call, is_known, body);
        }
        PeerMessage::ItemFailures { job, items } => {
            failures::receive(node, &job, &items);
        }
        PeerMessage::JobProgress { job, items } => node.jobs().keep_progress(&job, items),
        PeerMessage::SuspectCrashed(report) => node.suspects().count_crash(&report),
        PeerMessage::SuspectRefused { suspect, level, left_ms, age_ms, crashed_under } => {
            let left = Duration::from_millis(left_ms);
            let refusal = SuspectRefusal { suspect, level, left };
            let age = Duration::from_millis(age_ms);
            node.suspects().apply_refusal(refusal, age, &crashed_under);
        }
        PeerMessage::SuspectCleared(suspect) => node.suspects().note_cleared(suspect),
        PeerMessage::SuspectProbeAsk { suspect, level, request } => {
            node.suspects().answer_probe_ask(&peer.vm, (suspect, level), request);
        }
        PeerMessage::SuspectProbeGranted { suspect, request } => {
            node.suspects().note_granted(suspect, request);
        }
        PeerMessage::StreamBegan { attempt, origin, keep_ms } => {
            origins::keep(node, &attempt, origin, keep_ms);
        }
        PeerMessage::OriginAsk { call, attempt, service, known_ms } => {
            let known = Duration::from_millis(known_ms);
            let ask = OriginQuery { attempt: attempt.as_deref(), service: &service, known };
            origins::answer(node, &peer.vm, call, ask);
        }
        PeerMessage::OriginTold { call, origin, versions } => {
            node.peers.origin_calls.answer(call, OriginReply { origin, versions });
        }
        PeerMessage::StoreCall { .. } => {
            let node = Arc::clone(node);
            let vm = peer.vm.clone();
            task::spawn(async move { store_forwarding::serve_call(&node, &vm, message).await });
        }
        PeerMessage::ShareAsk { call, limit } => limits::answer_ask(node, &peer.vm, call, &limit),
        PeerMessage::ShareKept { call, holder, kept, ended_per_second } => {
            node.peers.share_calls.answer(call, KeptShare { holder, kept, ended_per_second });
        }
        PeerMessage::Shares { limit, revision, table } => {
            limits::apply_shares(node, &limit, revision, table);
        }
        PeerMessage::StoreAnswer { call, end } => node.peers.store_calls.answer(call, end),
        PeerMessage::PlaceAsk { call, service, avoid, may_displace, version } => {
            let (service, avoid, version) = (&*service, &*avoid, version.as_deref());
            let request = SlotRequest { service, avoid, may_displace, version };
            slots::answer(node, &peer.vm, call, request);
        }
        PeerMessage::PlaceRevoke { target } => runner::revoke_item_slot(node, &peer.vm, &target),
        PeerMessage::PlaceAnswer { call, answer } => {
            slots::handle_answer(node, &peer.vm, call, answer);
        }
        PeerMessage::PlaceUse { target, work, change, is_failure } => {
            let now = node.clock.mono();
            let mut targets = node.targets();
            targets.note_peer_use(&peer.vm, &target, work, change, now);
            if let Some(is_failure) = is_failure {
                targets.note_peer_outcome(&target, is_failure, now);
            }
            drop(targets);
            if change == UseChange::End {
                node.note_slot_freed();
            }
        }
        PeerMessage::AgeAsk { call } => freshness::answer(node, &peer.vm, call),
        PeerMessage::Age { call, version, age_ms } => {
            let age = age_ms.map(Duration::from_millis);
            node.peers.age_calls.answer(call, ProofAge { version, age });
        }
        PeerMessage::CreditAsk { call, account, wanted, is_deferred } => {
            let demand = CreditDemand { wanted, is_deferred };
            credit::answer(node, &peer.vm, call, &account, demand);
        }
        PeerMessage::CreditLeft { account, credit_milli } => {
            credit::take_over(node, &account, credit_milli);
        }
        PeerMessage::CreditAnswer { call, answer } => {
            node.peers.credit_calls.answer(call, answer);
        }
        PeerMessage::ItemSlotOffer { targets } => {
            runner::receive_slot_offer(node, &peer.vm, targets);
        }
        PeerMessage::TargetEjected { target, is_ejected, failure_permille } => {
            node.ejections().apply(&peer.vm, &target, is_ejected, failure_permille);
        }
        PeerMessage::EvictionAsk { call, vm, owner } => {
            if let Some(eviction) = node.eviction() {
                eviction.answer(&peer.vm, call, &vm, &owner);
            }
        }
        PeerMessage::EvictionAnswer { call, is_gone, is_new } => {
            let vote = match (is_gone, is_new) {
                (true, _) => AbsenceVote::Gone,
                (false, true) => AbsenceVote::NeverLinked,
                (false, false) => AbsenceVote::Objection,
            };
            node.peers.eviction_calls.answer(call, vote);
        }
        PeerMessage::Stopping => {
            node.log.info("gateway_stops", &[("gateway", &peer.vm)]);
            node.peers.set_stopping(&peer.vm);
        }
        PeerMessage::Leaving => {
            node.log.info("gateway_leaves", &[("gateway", &peer.vm)]);
            node.peers.set_leaving(&peer.vm);
        }
    }
}

/// Compares the gateways' entries known here with those of a follower of the store. Equal ones are as fresh as that
/// gateway's; if they stay different, the whole list is requested.
fn compare_roster(node: &EntryNode, peer: &VmName, report: RosterReport) {
    let now = node.clock.mono();
    let mut roster = node.peers.roster();
    if roster.digest() == report.digest {
        let age = Duration::from_millis(report.age_ms);
        node.peers.reported_entries.note_answer(now - age);
    }
    let is_urgent = !node.peers.has_entries();
    let is_due = roster.note_digest(report.digest, is_urgent, now) && !node.watch.is_watching();
    drop(roster);
    if is_due {
        node.log.info("gateways_asked", &[("gateway", peer)]);
        node.metrics.count(Counter::Event("gateways_asked"));
        node.peers.send(peer, PeerMessage::AskGateways);
    }
}

/// Requests newer state from a gateway that has it, once that is due.
pub fn catch_up_with(node: &EntryNode, peer: &VmName, theirs: KnownVersions) {
    let own = node.known_versions();
    let request = node.peers.catch_up().note_report(peer, own, theirs, node.clock.mono());
    let Some(request) = request else { return };
    request_state(node, peer, request);
}

/// Requests state from a gateway.
fn request_state(node: &EntryNode, peer: &VmName, request: StateRequest) {
    let own = node.known_versions();
    let targets = match request {
        StateRequest::Changes => own.targets,
        StateRequest::WholeList => 0,
    };
    node.log.info(
        "state_asked",
        &[("gateway", peer), ("configuration", &own.configuration), ("targets", &targets)],
    );
    node.metrics.count(Counter::Event("states_asked"));
    let configuration = own.configuration;
    node.peers.send(peer, PeerMessage::AskState { configuration, targets });
}

fn apply_state(
    node: &EntryNode,
    peer: &LinkPeer,
    configuration: Option<Payload>,
    targets: Option<TargetChanges>,
) {
    let is_empty = configuration.is_none();
    if let Some(text) = configuration {
        match serde_json::from_slice::<Box<RawValue>>(&text) {
            // `take_configuration` logs an invalid configuration itself.
            Ok(spec) => drop(node.take_configuration(&spec, peer.vm.as_str())),
            Err(error) => {
                let source = peer.vm.as_str();
                node.log.error("configuration_refused", &[("reason", &error), ("source", &source)]);
            }
        }
    }
    let now = node.clock.mono();
    match &targets {
        None if is_empty => node.peers.catch_up().note_deferred(now),
        _ => {
            let is_last = targets.as_ref().is_none_or(|changes| changes.is_last);
            node.peers.catch_up().note_part(is_last, now);
        }
    }
    if let Some(changes) = targets {
        let mut feed = node.target_feed();
        let changes = feed.apply_changes(changes, now);
        let revision = feed.revision();
        drop(feed);
        node.apply_target_changes(changes, peer.vm.as_str(), revision);
    }
}

/// Handles another gateway's claim that it owns these jobs. If this gateway owns one as well, the store decides. Two
/// gateways that simply believed each other after a network partition could both give the job up.
fn apply_ownership(node: &Arc<EntryNode>, owner: &str, jobs: &[String]) {
    for job in jobs {
        let is_owned = node.jobs().is_owned(job);
        if is_owned {
            ownership::invalidate(node, job, "claimed");
        } else {
            let mut registry = node.jobs();
            if registry.is_busy(job) {
                // This gateway is taking the job over; the store decides which of the two came first.
                registry.table.invalidate_all_ownership();
            }
            registry.note_owner(std::slice::from_ref(job), owner);
        }
    }
    // Readers that wait for an owner to be known can ask it now.
    node.job_updates.notify(usize::MAX);
}
