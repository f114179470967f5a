//! The slot that a request occupies at a target.

use notch_messages::prelude::PeerMessage;
use notch_relay::prelude::*;
use notch_types::prelude::*;

use crate::node::EntryNode;

/// How an attempt ended, as evidence of its target's performance.
#[derive(Debug, Clone, Copy, Default)]
pub struct AttemptEvidence {
    /// Identifies the request over all its attempts.
    pub fingerprint: u64,
    /// Its end; `None` if the client or a preemption ended it.
    pub result: Option<AttemptResult>,
    /// Whether the target sent a part of the answer.
    pub has_begun: bool,
}

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
    /// Whether the target had a free slot when it was chosen, as far as was known.
    had_free_slot: bool,
    /// How the attempt ended, for the target's performance.
    evidence: AttemptEvidence,
    /// Whether the attempt is a probe of an ejected target.
    is_probe: bool,
}

impl<'a> TargetLease<'a> {
    /// Takes over the slot that was counted for `choice`. The home gateway is notified, unless it granted the slot.
    pub fn new(node: &'a EntryNode, choice: &TargetChoice, work: WorkKind) -> Self {
        let (id, home) = (choice.id.clone(), choice.home.clone());
        let (had_free_slot, is_probe) = (choice.has_free_slot, choice.is_probe);
        let evidence = AttemptEvidence::default();
        let lease = Self { node, id, work, home, outcome: None, had_free_slot, evidence, is_probe };
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

    /// Records how the attempt ended, for the target's performance. A complete answer that reports a failure is one of
    /// the target here, although [`set_outcome`](Self::set_outcome) takes it as an answered request.
    pub fn set_evidence(&mut self, evidence: AttemptEvidence) {
        self.evidence = evidence;
    }

    /// What the attempt tells of its target. To be called before it is finished in `targets`.
    fn report(&self, targets: &TargetTable) -> AttemptReport {
        let AttemptEvidence { fingerprint, result, has_begun } = self.evidence;
        let stage = targets.attempt_stage(&self.id, self.had_free_slot, has_begun);
        let outcome = result.and_then(|result| TargetOutcome::of_attempt(result, stage));
        let begun = result.and_then(|end| TargetOutcome::of_attempt(end, AttemptStage::Begun));
        if self.node.features.performance && outcome != begun {
            self.node.metrics.count(Counter::Event("target_failures_while_queued"));
        }
        AttemptReport { fingerprint, outcome, is_probe: self.is_probe }
    }

    /// Counts the outcome of the attempt, and returns what to tell the target's home.
    fn note_performance(
        &self,
        targets: &mut TargetTable,
        report: AttemptReport,
        now: MonoTime,
    ) -> Option<bool> {
        if !self.node.features.performance {
            return None;
        }
        let is_failure = targets.note_outcome(&self.id, report, now);
        let has_failed = report.outcome.is_some_and(|outcome| outcome != TargetOutcome::Answered);
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
        let report = self.report(&targets);
        targets.finish(&self.id, self.work, self.outcome, now);
        let is_failure = self.note_performance(&mut targets, report, now);
        drop(targets);
        self.notify_home(UseChange::End, is_failure);
        if self.home.is_none() {
            self.node.note_slot_freed();
        }
    }
}
