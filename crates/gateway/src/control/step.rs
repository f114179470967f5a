//! What the parts of the control state want of each other and of the edges.

use std::time::Duration;

use async_channel::Sender;
use notch_catalogue::CatalogueEvent;
use notch_jobs::prelude::ServiceEvent;
use notch_membership::MembershipEvent;
use notch_messages::prelude::*;
use notch_placement::PlacementEvent;
use notch_routing::{AccountUse, RouterEvent};
use notch_telemetry::prelude::Timing;
use notch_types::{object::StoreCall, prelude::*};

use crate::control::event::StoreUser;

/// Where the answer of a call to a shard goes.
#[derive(Debug, Clone)]
pub enum ShardReply {
    /// To the traffic side.
    Traffic(Sender<ShardAnswer>),
    /// To the router: of a claim.
    Claim {
        /// The request.
        request: RequestId,
        /// The attempt named by the claim.
        attempt: AttemptId,
    },
    /// To the router: of a look-up.
    Fetch {
        /// The request.
        request: RequestId,
    },
    /// To the router: of a stored answer.
    Record {
        /// The request.
        request: RequestId,
    },
    /// To the sidecar that pulled.
    Pull {
        /// Its VM.
        vm: VmName,
        /// For which target.
        target: TargetName,
    },
    /// To the sidecar whose results they are.
    Items {
        /// Its VM.
        vm: VmName,
    },
    /// Nobody waits.
    Nobody,
}

/// One thing to do next.
#[derive(Debug)]
pub enum ControlStep {
    /// Send to a gateway; a link is dialled when there is none.
    ToGateway {
        /// Which.
        to: VmName,
        /// What.
        message: LinkMessage,
    },
    /// Send to a sidecar, through another gateway when there is no link.
    ToSidecar {
        /// Which.
        to: VmName,
        /// What.
        message: SidecarMessage,
    },
    /// Send to every sidecar of the VM list.
    ToAllSidecars(SidecarMessage),
    /// Call the object API.
    Store {
        /// For whom.
        user: StoreUser,
        /// The call.
        call: StoreCall,
    },
    /// Ask a shard's owner.
    AskShard {
        /// Which shard.
        shard: ShardId,
        /// What.
        request: Box<ShardRequest>,
        /// Where the answer goes.
        reply: ShardReply,
    },
    /// Tell the router.
    Route(RouterEvent),
    /// Tell the member table.
    Member(MembershipEvent),
    /// Tell the catalogue.
    Catalogue(CatalogueEvent),
    /// Tell every shard's service.
    EveryService(ServiceEvent),
    /// Tell the placement planner.
    Placement(PlacementEvent),
    /// Tell the other gateways how near an account is to its limit here.
    AccountUse {
        /// When; orders the rumours.
        at: Now,
        /// The use.
        usage: AccountUse,
    },
    /// The gateways changed: standings, subsets and links follow.
    RosterChanged,
    /// The gateways to keep links to changed.
    Partners(Vec<VmName>),
    /// A fact that is newer than the one held.
    RumorNew(Rumor),
    /// The catalogue in force changed.
    EntriesChanged,
    /// Take a duration into its histogram.
    Time(Timing, Duration),
    /// Tell the linked gateways of a crash, and the router when they know it.
    TellSuspect {
        /// The suspect.
        fingerprint: Fingerprint,
        /// The VM whose target crashed.
        vm: VmName,
        /// Whether it was the only one in flight.
        alone: bool,
    },
    /// Count.
    Count(Counter),
    /// For `explain`.
    Note(DecisionNote),
}
