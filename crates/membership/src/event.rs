//! What the member table is told.

use notch_messages::gossip::{GossipMessage, Rumor};
use notch_types::prelude::*;

/// One line of the platform's VM list, gateways only. The list lags.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedVm {
    /// The VM.
    pub vm: VmName,
    /// Where its gateway listens for links, `ip:port`.
    pub address: String,
    /// Its failure domain.
    pub domain: DomainName,
    /// Whether the platform is about to take the VM away.
    pub leaving: bool,
}

/// What the member table is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MembershipEvent {
    /// Time went on. Deliver at [`crate::MemberTable::next_wake`], or more often.
    Tick,
    /// A message of another gateway. Messages for the catalogue are ignored here.
    Received {
        /// The sender.
        from: VmName,
        /// What it says.
        message: GossipMessage,
    },
    /// The VM list as just read: a seed, never proof of life or death.
    VmListed(Vec<ListedVm>),
    /// A link to a gateway stands.
    LinkUp {
        /// The other end.
        vm: VmName,
    },
    /// A link to a gateway broke; a cause to probe at once, no proof of death.
    LinkDown {
        /// The other end.
        vm: VmName,
    },
    /// This gateway is leaving.
    Leave,
    /// All VMs that operators' catalogue entries mark as leaving. Known everywhere through the
    /// catalogue, so not spread by membership; may be taken back.
    LeavingMarked(Vec<VmName>),
    /// A fact of this gateway's own, to spread.
    RumorLocal {
        /// The fact.
        rumor: Rumor,
        /// Whether to push it at once instead of letting it ride on pings.
        urgent: bool,
    },
}
