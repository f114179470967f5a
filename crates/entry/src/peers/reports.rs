//! Reports between gateways: their use of targets, and the versions of the state that they know.

use std::{sync::Arc, time::Duration};

use async_std::task;
use notch_messages::prelude::*;
use notch_relay::{
    item_slots::waiting::has_changed,
    prelude::{TargetUse, WaitingItems, WaitingReport, report_interval},
};
use notch_types::prelude::*;

use crate::{
    batch::runner,
    constants::{REPORT_CHECK_INTERVAL, REPORT_IDLE},
    node::EntryNode,
    peers::catch_up::KnownVersions,
};

/// Maximum number of paces applied from one report, several times as many as a gateway sends.
const MAX_APPLIED_PACES: usize = 256;

/// The current report of this gateway.
pub fn report(node: &EntryNode) -> PeerMessage {
    let report = |(id, own): (&str, TargetUse)| TargetUseReport {
        target: id.to_owned(),
        online: own.online,
        batch: own.batch,
    };
    let mut uses: Vec<TargetUseReport> = node.targets().own_uses().map(report).collect();
    uses.sort_by(|a, b| a.target.cmp(&b.target));
    let KnownVersions { configuration, targets, digest } = node.known_versions();
    let is_watching = node.watch.is_watching();
    let gateways = is_watching.then(|| roster_report(node)).flatten();
    let (waiting, paces, shares) = (waiting_report(node), Vec::new(), Vec::new());
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
    }
}

/// The current report with the use by share key, for a gateway to which a link has come up.
pub fn first_report(node: &EntryNode) -> PeerMessage {
    let mut message = report(node);
    if let (PeerMessage::Report { shares, .. }, Some(edge)) = (&mut message, node.fair_shares()) {
        *shares = edge.first_report();
    }
    message
}

/// Items that wait here, if slots are offered for them.
fn waiting_report(node: &EntryNode) -> Vec<WaitingItemsReport> {
    if !node.features.item_slots {
        return Vec::new();
    }
    let report = |WaitingReport { service, items }| WaitingItemsReport {
        service,
        count: items.count,
        slack_ms: items.slack_ms,
        urgent: items.urgent,
    };
    node.item_slots().own_waiting().into_iter().map(report).collect()
}

fn decode_waiting(reports: &[WaitingItemsReport]) -> Vec<WaitingReport> {
    let decode = |report: &WaitingItemsReport| WaitingReport {
        service: report.service.clone(),
        items: WaitingItems {
            count: report.count,
            slack_ms: report.slack_ms,
            urgent: report.urgent,
        },
    };
    reports.iter().map(decode).collect()
}

/// The gateways' entries as the store confirmed them last.
fn roster_report(node: &EntryNode) -> Option<RosterReport> {
    let age = node.peers.entries.age(node.clock.mono())?;
    let digest = node.peers.roster().digest();
    Some(RosterReport { digest, age_ms: age.as_millis() as u64 + 1 })
}

/// How long after the last report, which was sent `age` ago, the next one is due. A change of versions alone doesn't
/// count: changes are pushed, and reporting each would take a message from every gateway to every other. The first list
/// of targets counts: gateways that start together learn from it whom to ask.
pub fn due_after(
    last: &PeerMessage,
    new: &PeerMessage,
    age: Duration,
    gateways: usize,
) -> Duration {
    let (
        PeerMessage::Report { uses, is_watching, waiting, targets, .. },
        PeerMessage::Report {
            uses: new_uses,
            is_watching: new_watching,
            waiting: new_waiting,
            targets: new_targets,
            ..
        },
    ) = (last, new)
    else {
        return Duration::ZERO;
    };
    let has_first_list = *targets == 0 && *new_targets > 0;
    if is_watching != new_watching || has_first_list {
        Duration::ZERO
    } else if uses != new_uses
        || has_changed(&decode_waiting(waiting), &decode_waiting(new_waiting), age)
    {
        report_interval(gateways)
    } else {
        REPORT_IDLE
    }
}

/// Adds the paces that are to be reported. They don't make a report due: while streams run, the use of targets changes as
/// often.
fn with_paces(node: &EntryNode, mut message: PeerMessage, now: MonoTime) -> PeerMessage {
    if let PeerMessage::Report { paces, .. } = &mut message {
        let measured = node.targets().take_paces(now).into_iter();
        let report = |(target, gap): (String, Duration)| {
            let gap_micros = u32::try_from(gap.as_micros()).unwrap_or(u32::MAX);
            TargetPaceReport { target, gap_micros }
        };
        paces.extend(measured.map(report));
    }
    message
}

/// Adds the use by share key. It changes when the use of targets does, or when requests are refused, so it doesn't make
/// a report due.
fn with_shares(node: &EntryNode, mut message: PeerMessage) -> PeerMessage {
    if let (PeerMessage::Report { shares, .. }, Some(edge)) = (&mut message, node.fair_shares()) {
        *shares = edge.own_report();
    }
    message
}

/// Broadcasts reports when they change, and at longer intervals when they don't. Runs until the process ends.
pub async fn broadcast_uses(node: Arc<EntryNode>) {
    let mut last: Option<PeerMessage> = None;
    let mut last_at = MonoTime::default();
    loop {
        task::sleep(REPORT_CHECK_INTERVAL).await;
        let now = node.clock.mono();
        runner::maintain_item_slots(&node, now);
        if let Some(shares) = node.fair_shares() {
            shares.expire();
        }
        let _order = node.report_order();
        let message = report(&node);
        let gateways = node.peers.known_count() + 1;
        let due = last.as_ref().map(|last| due_after(last, &message, now.since(last_at), gateways));
        // The checks themselves are late by a little, which would double the shortest interval.
        if due.is_some_and(|due| now.since(last_at) + REPORT_CHECK_INTERVAL / 2 < due) {
            continue;
        }
        let message = with_shares(&node, with_paces(&node, message, now));
        node.peers.broadcast(&message);
        last = Some(message);
        last_at = now;
    }
}

/// Applies the paces of targets that another gateway measured.
pub fn apply_paces(node: &EntryNode, paces: Vec<TargetPaceReport>, now: MonoTime) {
    if paces.is_empty() {
        return;
    }
    let mut targets = node.targets();
    for TargetPaceReport { target, gap_micros } in paces.into_iter().take(MAX_APPLIED_PACES) {
        targets.note_reported_pace(&target, Duration::from_micros(gap_micros.into()), now);
    }
}

/// Applies another gateway's use by share key, where slots are shared among accounts.
pub fn apply_shares(node: &EntryNode, peer: &VmName, shares: Vec<ShareUseReport>) {
    if let Some(edge) = node.fair_shares() {
        edge.apply_report(peer, shares, node.routes().as_deref());
    }
}

/// Applies another gateway's use of targets.
pub fn apply_uses(node: &EntryNode, peer: &VmName, uses: Vec<TargetUseReport>, now: MonoTime) {
    let uses = uses.into_iter().map(|report| {
        let TargetUseReport { target, online, batch } = report;
        (target, TargetUse { online, batch })
    });
    node.targets().take_report(peer, uses.collect(), now);
}

/// Applies another gateway's report of its waiting items. Wakes the runner if it may be asleep, as no items waited so
/// far.
pub fn apply_waiting(
    node: &EntryNode,
    peer: &VmName,
    waiting: Vec<WaitingItemsReport>,
    now: MonoTime,
) {
    if !node.features.item_slots {
        return;
    }
    let mut slots = node.item_slots();
    let needed_pass = slots.needs_pass();
    slots.take_report(peer, decode_waiting(&waiting), EntryNode::draw(), now);
    if !needed_pass && slots.needs_pass() {
        node.runner_wake.notify(usize::MAX);
    }
}
