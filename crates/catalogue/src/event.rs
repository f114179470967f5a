//! What the catalogue node is told.

use notch_membership::MemberRoster;
use notch_messages::{entry::EntryStamp, gossip::GossipMessage};
use notch_types::{
    object::{StoreResult, StoredObject},
    prelude::*,
};

/// What the catalogue node is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CatalogueEvent {
    /// Time went on. Deliver at [`crate::CatalogueNode::next_wake`], or more often.
    Tick,
    /// The gateways that take work, this one included, and those that links are kept to.
    Members {
        /// From the member table.
        roster: MemberRoster,
        /// From the member table.
        partners: Vec<VmName>,
    },
    /// A call of this node's ended.
    StoreAnswered {
        /// Which call.
        call: CallId,
        /// How it ended.
        result: StoreResult,
    },
    /// A message of another gateway. Messages for membership are ignored here.
    Received {
        /// The sender.
        from: VmName,
        /// What it says.
        message: GossipMessage,
    },
    /// An object that this gateway itself read or wrote for an operator: in force at once.
    Stored(StoredObject),
    /// A sidecar's link stands, or it reported all that it has in force. Before the first one on
    /// a new link, `SidecarGone`.
    SidecarInForce {
        /// The sidecar's VM.
        vm: VmName,
        /// What it has in force; empty right after its start.
        stamps: Vec<EntryStamp>,
        /// Whether this gateway is the sidecar's first, which counts it for the survey.
        first: bool,
    },
    /// A sidecar's link is gone.
    SidecarGone {
        /// The sidecar's VM.
        vm: VmName,
    },
    /// An operator asks how many nodes have each entry in force.
    SurveyWanted {
        /// Comes back with the report.
        survey: u64,
    },
}
