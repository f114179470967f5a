//! Typed messages between the system's own processes. This crate contains only data types; the
//! link crate encodes and transports them.

pub mod attempt;
pub mod coalesce;
pub mod entry;
pub mod frame;
pub mod gossip;
pub mod load;
pub mod lot;
pub mod order;
pub mod peer;
pub mod shard;

/// Every message type.
pub mod prelude {
    pub use crate::{
        attempt::{AttemptOffer, AttemptRefusal},
        coalesce::CoalesceKey,
        entry::{EntryBody, EntryKey, EntryKind, EntryRecord, EntryStamp},
        frame::{GatewayMessage, LinkMessage, NodeRole, SidecarMessage, SidecarWelcome},
        gossip::{GossipMessage, MemberState, MemberUpdate, Rumor, RumorTopic},
        load::{LoadReport, TargetLoad},
        lot::{
            ItemKey, ItemOutcome, ItemResult, ItemReturn, LotGrant, LotItem, LotPull, ReturnReason,
        },
        order::{
            HeldModel, OrderAction, OrderOutcome, PlacementMessage, TargetHoldings, TargetOrder,
        },
        peer::{
            DueWorkReport, GatewayChanges, GoneTarget, ListedJobs, PeerMessage, PlaceAnswer,
            RosterReport, ServiceDemandReport, ShareUseReport, StoreCallEnd, TargetChanges,
            TargetPaceReport, TargetUseReport, VersionedGateway, VersionedTarget,
            WaitingItemsReport,
        },
        shard::{
            ClaimVerdict, ItemStatus, JobChunk, JobPhase, JobProgress, JobSubmission, ResultLine,
            ShardAnswer, ShardCall, ShardRequest, StoredAnswer,
        },
    };
}
