//! What travels on a link.

use notch_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::{
    attempt::{AttemptOffer, AttemptRefusal},
    entry::{EntryRecord, EntryStamp},
    gossip::GossipMessage,
    load::LoadReport,
    lot::{ItemKey, ItemResult, ItemReturn, LotGrant, LotPull},
    order::{OrderOutcome, PlacementMessage, TargetHoldings, TargetOrder},
    peer::PeerMessage,
    shard::ShardCall,
};

/// What a process is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum NodeRole {
    /// On an entry VM.
    Gateway,
    /// Beside a target.
    Sidecar,
    /// An operator's command line.
    Operator,
}

/// A sidecar's first message on a link.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SidecarWelcome {
    /// The sidecar's VM.
    pub vm: VmName,
    /// Its failure domain.
    pub domain: DomainName,
    /// Drawn at its start.
    pub incarnation: Incarnation,
    /// What it serves, and how loaded it is.
    pub load: LoadReport,
}

/// Gateway to sidecar.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum SidecarMessage {
    /// Run this online attempt.
    Offer(AttemptOffer),
    /// Send the attempt's output again from this offset.
    Resume {
        /// The attempt.
        attempt: AttemptId,
        /// Bytes the gateway already holds.
        offset: u64,
    },
    /// Stop the attempt.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
    },
    /// If it hasn't started, make sure it never does, and say so.
    Seal {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Work that was pulled.
    Lot(LotGrant),
    /// No work now.
    NoWork {
        /// For which target.
        target: TargetName,
        /// When to ask again, milliseconds.
        retry_after_ms: u64,
    },
    /// The job is cancelled: stop its items, start no more of them.
    CancelJob {
        /// The job.
        job: JobId,
        /// The owner's epoch.
        epoch: Epoch,
    },
    /// These results are in the ledger.
    ItemsSettled(Vec<ItemKey>),
    /// Catalogue entries in force.
    Entries(Vec<EntryRecord>),
    /// Fingerprints quarantined fleet-wide.
    Quarantined(Vec<Fingerprint>),
    /// Fingerprints in flight at a crash elsewhere: run each of them alone. Sent on the same link
    /// before the offer or lot that carries one.
    Suspected(Vec<Fingerprint>),
    /// Do this to the target.
    Order(TargetOrder),
    /// The newest epoch of the placement lease, read from the store.
    PlacementEpoch(Epoch),
    /// Stop taking work: the VM list or the catalogue says this VM is leaving.
    Drain,
    /// The VM list or the catalogue no longer says so: take work again. A sidecar that leaves by
    /// its own will, or by an entry in force, goes on leaving.
    Stay,
}

/// Sidecar to gateway.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum GatewayMessage {
    /// First on each link.
    Welcome(SidecarWelcome),
    /// The attempt started at the target.
    Started {
        /// The attempt.
        attempt: AttemptId,
    },
    /// A part of the answer.
    Chunk {
        /// The attempt.
        attempt: AttemptId,
        /// Bytes of the answer before this part.
        offset: u64,
        /// The part.
        bytes: Payload,
    },
    /// The answer's end mark.
    Ended {
        /// The attempt.
        attempt: AttemptId,
        /// Bytes of the whole answer; a gateway with fewer asks for the rest.
        total: u64,
        /// How it ended.
        outcome: AttemptOutcome,
    },
    /// Not taken.
    Refused(AttemptRefusal),
    /// Answer to `Seal`.
    Sealed {
        /// The attempt.
        attempt: AttemptId,
        /// What is known.
        verdict: SealVerdict,
    },
    /// Load now.
    Load(LoadReport),
    /// Asks for batch work.
    Pull(LotPull),
    /// Items that ended, for the shard's owner.
    ItemsDone {
        /// Which shard.
        shard: ShardId,
        /// The results.
        results: Vec<ItemResult>,
    },
    /// Items given back, for the shard's owner.
    ItemsReturned {
        /// Which shard.
        shard: ShardId,
        /// The items.
        returns: Vec<ItemReturn>,
    },
    /// Fingerprints that were in flight at a crash; `alone` when it was the only one.
    Suspects {
        /// The target that crashed.
        target: TargetName,
        /// What was in flight.
        fingerprints: Vec<Fingerprint>,
        /// Whether the crash names a single culprit.
        alone: bool,
    },
    /// An order's end.
    OrderEnded {
        /// The order's epoch.
        epoch: Epoch,
        /// The order's number.
        order: u64,
        /// How it ended.
        outcome: OrderOutcome,
    },
    /// What the target holds.
    Holdings(TargetHoldings),
    /// Entries this sidecar has in force.
    EntriesInForce(Vec<EntryStamp>),
    /// This VM is leaving: offer nothing more.
    Leaving,
}

/// Anything on a link after its handshake.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LinkMessage {
    /// Still here: sent on a link that has nothing else to carry. Not answered.
    Heartbeat {
        /// Rises with each on a link.
        sequence: u64,
    },
    /// Answer to a heartbeat; read, not sent any more.
    HeartbeatAck {
        /// Of the heartbeat.
        sequence: u64,
    },
    /// Gateway to sidecar.
    ToSidecar(SidecarMessage),
    /// Sidecar to gateway.
    ToGateway(GatewayMessage),
    /// Gateway to gateway: membership, rumours, catalogue.
    Gossip(GossipMessage),
    /// Gateway to gateway: ledger shards.
    Shard(ShardCall),
    /// Gateway to gateway: pass this on to a sidecar that the sender has no link to.
    Relay {
        /// The sidecar's VM.
        vm: VmName,
        /// What to pass on.
        message: SidecarMessage,
    },
    /// Gateway to gateway: what do you know of this?
    ExplainAsk {
        /// Matches the answer; unique at the asker.
        call: CallId,
        /// What is asked about.
        subject: NoteSubject,
    },
    /// Answer to `ExplainAsk`.
    ExplainAnswer {
        /// Of the question.
        call: CallId,
        /// JSON: the notes, oldest first; empty list when there are none.
        notes: Payload,
    },
    /// Gateway to gateway: what the placement holder needs to know.
    Placement(PlacementMessage),
    /// Between gateways that relay straight to targets.
    Peer(PeerMessage),
    /// Gateway to gateway: a target crashed with this in flight. Answered once it is known there.
    SuspectTell {
        /// Matches the answer; unique at the sender.
        call: CallId,
        /// The suspect.
        fingerprint: Fingerprint,
        /// The VM whose target crashed.
        vm: VmName,
        /// Whether it was the only one in flight.
        alone: bool,
    },
    /// Answer to `SuspectTell`: no send of it goes out beside others any more.
    SuspectHeard {
        /// Of the news.
        call: CallId,
    },
}
