//! Messages sent on a link.

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

/// Role of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum NodeRole {
    /// Gateway on an entry VM.
    Gateway,
    /// Sidecar beside a target.
    Sidecar,
    /// Command line of an operator.
    Operator,
}

/// A sidecar's first message on a link.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SidecarWelcome {
    /// The sidecar's VM.
    pub vm: VmName,
    /// Its failure domain.
    pub domain: DomainName,
    /// The sidecar's incarnation.
    pub incarnation: Incarnation,
    /// The targets that it serves and their load.
    pub load: LoadReport,
}

/// Message from a gateway to a sidecar.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum SidecarMessage {
    /// Offers an online attempt to run.
    Offer(AttemptOffer),
    /// Requests the attempt's output from this offset on.
    Resume {
        /// The attempt.
        attempt: AttemptId,
        /// Bytes that the gateway has already received.
        offset: u64,
    },
    /// Requests to stop the attempt.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Requests that the attempt never starts if it hasn't started yet, and to report its state.
    Seal {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Grants a lot of items in answer to a pull.
    Lot(LotGrant),
    /// No work is available at present.
    NoWork {
        /// The target that the pull was for.
        target: TargetName,
        /// When to pull again, milliseconds from now.
        retry_after_ms: u64,
    },
    /// The job is cancelled: stop its items and start no more of them.
    CancelJob {
        /// The job.
        job: JobId,
        /// The owner's epoch.
        epoch: Epoch,
    },
    /// The results of these items are committed to the ledger.
    ItemsSettled(Vec<ItemKey>),
    /// Catalogue entries in force.
    Entries(Vec<EntryRecord>),
    /// Fingerprints that are quarantined fleet-wide.
    Quarantined(Vec<Fingerprint>),
    /// Fingerprints that were in flight when another target crashed: run each of them alone. Sent
    /// on the same link before an offer or lot that contains one of them.
    Suspected(Vec<Fingerprint>),
    /// A placement order for the target.
    Order(TargetOrder),
    /// The current epoch of the placement lease, as read from the store.
    PlacementEpoch(Epoch),
    /// Stop accepting work: the VM list or the catalogue marks this VM as leaving.
    Drain,
    /// The VM list or the catalogue no longer marks this VM as leaving: accept work again. A sidecar
    /// that is shutting down by itself, or that an entry in force marks as leaving, keeps draining.
    Stay,
}

/// Message from a sidecar to a gateway.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum GatewayMessage {
    /// First message on each link.
    Welcome(SidecarWelcome),
    /// The attempt started at the target.
    Started {
        /// The attempt.
        attempt: AttemptId,
    },
    /// A chunk of the answer.
    Chunk {
        /// The attempt.
        attempt: AttemptId,
        /// Position of the chunk in the answer, bytes.
        offset: u64,
        /// The content of the chunk.
        bytes: Payload,
    },
    /// The end of the answer.
    Ended {
        /// The attempt.
        attempt: AttemptId,
        /// Length of the whole answer, bytes. A gateway that has received fewer requests the rest.
        total: u64,
        /// The outcome.
        outcome: AttemptOutcome,
    },
    /// The attempt was refused.
    Refused(AttemptRefusal),
    /// Answer to `Seal`.
    Sealed {
        /// The attempt.
        attempt: AttemptId,
        /// What the sidecar knows of the attempt.
        verdict: SealVerdict,
    },
    /// Current load.
    Load(LoadReport),
    /// Requests batch work.
    Pull(LotPull),
    /// Results of items, for the owner of the shard.
    ItemsDone {
        /// The shard.
        shard: ShardId,
        /// The results.
        results: Vec<ItemResult>,
    },
    /// Items returned unfinished, for the owner of the shard.
    ItemsReturned {
        /// The shard.
        shard: ShardId,
        /// The items.
        returns: Vec<ItemReturn>,
    },
    /// Fingerprints that were in flight when a target crashed.
    Suspects {
        /// The target that crashed.
        target: TargetName,
        /// Fingerprints of the attempts in flight.
        fingerprints: Vec<Fingerprint>,
        /// Whether only one attempt was in flight, which makes it the cause of the crash.
        alone: bool,
    },
    /// The outcome of a placement order.
    OrderEnded {
        /// The order's epoch.
        epoch: Epoch,
        /// The order's number.
        order: u64,
        /// The outcome.
        outcome: OrderOutcome,
    },
    /// The models that the target holds.
    Holdings(TargetHoldings),
    /// Catalogue entries that this sidecar has in force.
    EntriesInForce(Vec<EntryStamp>),
    /// This VM is leaving: send no more offers.
    Leaving,
}

/// Any message on a link after its handshake.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LinkMessage {
    /// Keep-alive, sent on a link that has nothing else to send. Not answered.
    Heartbeat {
        /// Increases with each heartbeat on a link.
        sequence: u64,
    },
    /// Answer to a heartbeat. No longer sent, but still accepted.
    HeartbeatAck {
        /// Sequence number of the heartbeat.
        sequence: u64,
    },
    /// Message from a gateway to a sidecar.
    ToSidecar(SidecarMessage),
    /// Message from a sidecar to a gateway.
    ToGateway(GatewayMessage),
    /// Gateway to gateway: membership, rumours and catalogue.
    Gossip(GossipMessage),
    /// Gateway to gateway: calls to the owner of a ledger shard.
    Shard(ShardCall),
    /// Gateway to gateway: forward this to a sidecar that the sender has no link to.
    Relay {
        /// The sidecar's VM.
        vm: VmName,
        /// The message to forward.
        message: SidecarMessage,
    },
    /// Gateway to gateway: requests the receiver's notes about a subject.
    ExplainAsk {
        /// Matches the answer to the question; unique at the asker.
        call: CallId,
        /// The subject of the notes.
        subject: NoteSubject,
    },
    /// Answer to `ExplainAsk`.
    ExplainAnswer {
        /// Call id of the question.
        call: CallId,
        /// The notes as a JSON list, oldest first; an empty list if there are none.
        notes: Payload,
    },
    /// Gateway to gateway: reports to the holder of the placement lease.
    Placement(PlacementMessage),
    /// Between gateways that relay requests directly to targets.
    Peer(PeerMessage),
    /// Gateway to gateway: a target crashed with this fingerprint in flight. Answered once the
    /// receiver has recorded the suspicion.
    SuspectTell {
        /// Matches the answer; unique at the sender.
        call: CallId,
        /// The suspected fingerprint.
        fingerprint: Fingerprint,
        /// The VM whose target crashed.
        vm: VmName,
        /// Whether it was the only attempt in flight.
        alone: bool,
    },
    /// Answer to `SuspectTell`: from now on the sender sends the fingerprint only to run alone.
    SuspectHeard {
        /// Call id of the `SuspectTell`.
        call: CallId,
    },
}
