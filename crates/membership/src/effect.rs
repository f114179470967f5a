//! What the member table wants done.

use notch_messages::gossip::{GossipMessage, MemberUpdate, Rumor};
use notch_types::prelude::*;

/// What the member table wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MembershipEffect {
    /// Send a message; open a link to [`crate::MemberTable::address_of`] when there is none.
    Send {
        /// To which gateway.
        to: VmName,
        /// The message.
        message: GossipMessage,
    },
    /// Held states changed, this gateway's own included. Read the roster anew: it may be the same.
    Changed(Vec<MemberUpdate>),
    /// The gateways to keep a link to changed.
    Partners(Vec<VmName>),
    /// Most members of a domain were lost within a short while: one event for all of them.
    DomainDown(DomainName),
    /// Most members of a lost domain answer again.
    DomainUp(DomainName),
    /// A fact that is newer than the one held.
    RumorNew(Rumor),
    /// Count this.
    Count(Counter),
    /// Keep this for `explain`.
    Note(DecisionNote),
}
