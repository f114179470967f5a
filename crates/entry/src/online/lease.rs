//! A request's place at a target.

use notch_relay::prelude::*;

use crate::node::EntryNode;

/// Holds a request's place at a target. However the attempt ends, also when its task is dropped
/// because the client left, the place is given back.
#[derive(Debug)]
pub struct TargetLease<'a> {
    node: &'a EntryNode,
    id: String,
    work: WorkKind,
    outcome: Option<Result<(), AttemptFailure>>,
}

impl<'a> TargetLease<'a> {
    /// The place that a choice counted.
    pub fn new(node: &'a EntryNode, choice: &TargetChoice, work: WorkKind) -> Self {
        Self { node, id: choice.id.clone(), work, outcome: None }
    }

    /// How the attempt ended.
    pub fn set_outcome(&mut self, outcome: Result<(), AttemptFailure>) {
        self.outcome = Some(outcome);
    }
}

impl Drop for TargetLease<'_> {
    fn drop(&mut self) {
        let now = self.node.clock.mono();
        self.node.targets().finish(&self.id, self.work, self.outcome, now);
    }
}
