//! The slot that a request occupies at a target.

use notch_messages::prelude::PeerMessage;
use notch_relay::prelude::*;
use notch_types::prelude::VmName;

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
}

impl<'a> TargetLease<'a> {
    /// Takes over the slot that was counted for `choice`. The home gateway is notified, unless it granted the slot.
    pub fn new(node: &'a EntryNode, choice: &TargetChoice, work: WorkKind) -> Self {
        let (id, home) = (choice.id.clone(), choice.home.clone());
        let lease = Self { node, id, work, home, outcome: None };
        if !choice.is_granted {
            lease.notify_home(UseChange::Begin);
        }
        lease
    }

    /// Notifies the home gateway of a change. If the message is lost, the next report makes up for it.
    fn notify_home(&self, change: UseChange) {
        let Some(home) = &self.home else { return };
        let (target, work) = (self.id.clone(), self.work);
        let use_change = PeerMessage::PlaceUse { target, work, change, is_failure: None };
        self.node.peers.send(home, use_change);
    }

    /// Records how the attempt ended.
    pub fn set_outcome(&mut self, outcome: Result<(), AttemptFailure>) {
        self.outcome = Some(outcome);
    }
}

impl Drop for TargetLease<'_> {
    fn drop(&mut self) {
        let now = self.node.clock.mono();
        self.node.targets().finish(&self.id, self.work, self.outcome, now);
        self.notify_home(UseChange::End);
        if self.home.is_none() {
            self.node.note_slot_freed();
        }
    }
}
