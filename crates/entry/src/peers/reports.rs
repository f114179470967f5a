//! Reports between gateways: their use of targets, and the versions of the state that they know.

use std::{sync::Arc, time::Duration};

use async_std::task;
use notch_messages::prelude::*;
use notch_relay::prelude::{TargetUse, report_interval};
use notch_types::prelude::*;

use crate::{
    constants::{REPORT_CHECK_INTERVAL, REPORT_IDLE},
    node::EntryNode,
    peers::catch_up::KnownVersions,
};

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
    let (waiting, paces) = (Vec::new(), Vec::new());
    PeerMessage::Report {
        uses,
        configuration,
        targets,
        digest,
        is_watching,
        gateways,
        waiting,
        paces,
    }
}

/// The gateways' entries as the store confirmed them last.
fn roster_report(node: &EntryNode) -> Option<RosterReport> {
    let age = node.peers.entries.age(node.clock.mono())?;
    let digest = node.peers.roster().digest();
    Some(RosterReport { digest, age_ms: age.as_millis() as u64 + 1 })
}

/// How long after the last report the next one is due. A change of versions alone doesn't count: changes are pushed, and
/// reporting each would take a message from every gateway to every other.
fn due_after(last: &PeerMessage, new: &PeerMessage, gateways: usize) -> Duration {
    let (
        PeerMessage::Report { uses, is_watching, .. },
        PeerMessage::Report { uses: new_uses, is_watching: new_watching, .. },
    ) = (last, new)
    else {
        return Duration::ZERO;
    };
    if is_watching != new_watching {
        Duration::ZERO
    } else if uses != new_uses {
        report_interval(gateways)
    } else {
        REPORT_IDLE
    }
}

/// Broadcasts reports when they change, and at longer intervals when they don't. Runs until the process ends.
pub async fn broadcast_uses(node: Arc<EntryNode>) {
    let mut last: Option<PeerMessage> = None;
    let mut last_at = MonoTime::default();
    loop {
        task::sleep(REPORT_CHECK_INTERVAL).await;
        let now = node.clock.mono();
        let message = report(&node);
        let gateways = node.peers.known_count() + 1;
        let due = last.as_ref().map(|last| due_after(last, &message, gateways));
        // The checks themselves are late by a little, which would double the shortest interval.
        if due.is_some_and(|due| now.since(last_at) + REPORT_CHECK_INTERVAL / 2 < due) {
            continue;
        }
        node.peers.broadcast(&message);
        last = Some(message);
        last_at = now;
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
