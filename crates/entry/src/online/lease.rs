//! A request's place at a target.

use notch_messages::prelude::PeerMessage;
use notch_relay::prelude::*;
use notch_types::prelude::VmName;

use crate::node::EntryNode;

/// Holds a request's place at a target. However the attempt ends, also when its task is dropped
/// because the client left, the place is given back.
#[derive(Debug)]
pub struct TargetLease<'a> {
    node: &'a EntryNode,
    id: String,
    work: WorkKind,
    /// The gateway that counts the places there, where it's another one.
    home: Option<VmName>,
    outcome: Option<Result<(), AttemptFailure>>,
}

impl<'a> TargetLease<'a> {
    /// The place that a choice counted. The target's home is told, unless it granted the place.
    pub fn new(node: &'a EntryNode, choice: &TargetChoice, work: WorkKind) -> Self {
        let (id, home) = (choice.id.clone(), choice.home.clone());
        let lease = Self { node, id, work, home, outcome: None };
        if !choice.is_granted {
            lease.tell_home(UseChange::Begin);
        }
        lease
    }

    /// Whatever is lost on the way, the next report tells.
    fn tell_home(&self, change: UseChange) {
        let Some(home) = &self.home else { return };
        let (target, work) = (self.id.clone(), self.work);
        self.node.peers.send(home, PeerMessage::PlaceUse { target, work, change });
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
        self.tell_home(UseChange::End);
    }
}
