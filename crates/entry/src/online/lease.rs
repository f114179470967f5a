//! The slot that a request occupies at a target.

use notch_messages::prelude::PeerMessage;
use notch_relay::prelude::*;
use notch_types::prelude::*;

use crate::node::EntryNode;

/// Holds a request's slot at a target. The slot is released when this is dropped, however the attempt ends, even
/// if its task is dropped because the client closed its connection.
#[derive(Debug)]
pub struct TargetLease<'a> {
    node: &'a EntryNode,
    id: String,
    work: WorkKind,
    /// The target's home gateway, which counts its slots; `None` when it is this one.
    home: Option<VmName>,
    outcome: Option<Result<(), AttemptFailure>>,
    /// What the attempt tells of the target's performance.
    report: AttemptReport,
}

impl<'a> TargetLease<'a> {
    /// Takes over the slot that was counted for `choice`. The home gateway is notified, unless it granted the slot.
    pub fn new(node: &'a EntryNode, choice: &TargetChoice, work: WorkKind) -> Self {
        let (id, home) = (choice.id.clone(), choice.home.clone());
        let report = AttemptReport { fingerprint: 0, outcome: None, is_probe: choice.is_probe };
        let lease = Self { node, id, work, home, outcome: None, report };
        if !choice.is_granted {
            lease.notify_home(UseChange::Begin, None);
        }
        lease
    }

    /// Notifies the home gateway of a change. If the message is lost, the next report makes up for it.
    fn notify_home(&self, change: UseChange, is_failure: Option<bool>) {
        let Some(home) = &self.home else { return };
        let (target, work) = (self.id.clone(), self.work);
        let use_change = PeerMessage::PlaceUse { target, work, change, is_failure };
        self.node.peers.send(home, use_change);
    }

    /// Records how the attempt ended.
    pub fn set_outcome(&mut self, outcome: Result<(), AttemptFailure>) {
        self.outcome = Some(outcome);
    }

    /// Records what the attempt tells of the target's performance. A complete answer that reports a failure is one of
    /// the target here, although [`set_outcome`](Self::set_outcome) takes it as an answered request.
    pub fn set_performance(&mut self, fingerprint: u64, outcome: Option<TargetOutcome>) {
        self.report = AttemptReport { fingerprint, outcome, ..self.report };
    }

    /// Counts the outcome of the attempt, and returns what to tell the target's home.
    fn note_performance(&self, targets: &mut TargetTable, now: MonoTime) -> Option<bool> {
        if !self.node.features.performance {
            return None;
        }
        let is_failure = targets.note_outcome(&self.id, self.report, now);
        let has_failed =
            self.report.outcome.is_some_and(|outcome| outcome != TargetOutcome::Answered);
        if has_failed {
            let event = match is_failure {
                Some(_) => "target_failures_counted",
                None => "target_failures_excused",
            };
            self.node.metrics.count(Counter::Event(event));
        }
        is_failure
    }
}

impl Drop for TargetLease<'_> {
    fn drop(&mut self) {
        let now = self.node.clock.mono();
        let mut targets = self.node.targets();
        targets.finish(&self.id, self.work, self.outcome, now);
        let is_failure = self.note_performance(&mut targets, now);
        drop(targets);
        self.notify_home(UseChange::End, is_failure);
        if self.home.is_none() {
            self.node.note_slot_freed();
        }
    }
}
