//! Gossip between gateways: membership updates, rumours and catalogue synchronization.

use notch_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::entry::{EntryRecord, EntryStamp};

/// State that is assumed of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberState {
    /// It answers probes.
    Alive,
    /// It did not answer in time; it has a limited time to refute the suspicion.
    Suspect,
    /// It announced that it is leaving.
    Leaving,
    /// It is considered dead.
    Dead,
}

/// Update about one member. Of two updates for the same incarnation the one with the later state
/// in [`MemberState`]'s order wins; a higher incarnation always wins.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// The gateway's VM.
    pub vm: VmName,
    /// Address where it listens for links, `ip:port`.
    pub address: String,
    /// Its failure domain.
    pub domain: DomainName,
    /// Incarnation of the member; only the member itself raises it.
    pub incarnation: Incarnation,
    /// Assumed state.
    pub state: MemberState,
}

/// A versioned fact spread by gossip. For one topic the highest version wins.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rumor {
    /// Topic of the fact.
    pub topic: RumorTopic,
    /// Version by which rumours of one topic are ordered.
    pub version: u64,
    /// The fact, encoded in the topic's own format; under 256 bytes.
    pub value: Payload,
}

/// Topic of a rumour.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum RumorTopic {
    /// The owner of a shard; the version is the epoch.
    ShardOwner(ShardId),
    /// Pending work of a shard by target; the version increases within the epoch.
    ShardBacklog(ShardId),
    /// A fingerprint that crashes targets.
    Quarantine(Fingerprint),
    /// The VM list marks a target VM as leaving.
    VmLeaving(VmName),
    /// A fingerprint that was in flight when the target of a VM crashed. The value tells whether it
    /// was the only one; the version is higher if it was.
    Suspect(Fingerprint, VmName),
    /// How much of its limits an account uses at a gateway.
    AccountUse(AccountName, VmName),
    /// The holder of the placement lease; the version is the epoch.
    PlacementHolder,
    /// Number of catalogue entries that a gateway has in force, and their digest.
    EntriesInForce(VmName),
    /// A running attempt of a suspected fingerprint, during which no other gateway may send the
    /// fingerprint. The value tells how many milliseconds it may still run, or that it has ended;
    /// the version is higher once it has ended.
    SuspectRun(Fingerprint, AttemptId),
}

/// Summary of one node's catalogue.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntrySummary {
    /// Digest of the versions of all entries, in force and refused.
    pub digest: u64,
    /// Number of entries in force.
    pub in_force: u32,
    /// Number of entries whose newest version was refused as invalid.
    pub refused: u32,
    /// Whether the catalogue is complete.
    pub complete: bool,
    /// Number of sidecars whose primary gateway is the sender.
    pub sidecars: u32,
    /// Number of those sidecars that have all their entries in force.
    pub sidecars_current: u32,
}

/// Gossip message between gateways.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum GossipMessage {
    /// Membership probe.
    Ping {
        /// Matches the answer to the probe.
        sequence: u64,
        /// Piggybacked membership updates.
        members: Vec<MemberUpdate>,
        /// Piggybacked rumours.
        rumors: Vec<Rumor>,
    },
    /// Answer to a ping.
    Ack {
        /// Sequence number of the ping.
        sequence: u64,
        /// Piggybacked membership updates.
        members: Vec<MemberUpdate>,
        /// Piggybacked rumours.
        rumors: Vec<Rumor>,
    },
    /// Indirect probe: requests the receiver to ping `target` on the sender's behalf.
    PingRequest {
        /// Matches the answer to the probe.
        sequence: u64,
        /// The member to ping.
        target: VmName,
    },
    /// Sent at start-up: requests all members.
    Join {
        /// The joining member.
        member: MemberUpdate,
    },
    /// The whole membership, in answer to `Join` or to a differing `MembersDigest`.
    Members {
        /// All members that the sender knows.
        members: Vec<MemberUpdate>,
    },
    /// Anti-entropy: digest of the members that the sender considers alive or leaving. A receiver
    /// with a different digest answers with `Members`.
    MembersDigest {
        /// The digest.
        digest: u64,
    },
    /// Updates and rumours that are too urgent to wait for a ping. Not answered.
    News {
        /// Membership updates.
        members: Vec<MemberUpdate>,
        /// Rumours.
        rumors: Vec<Rumor>,
    },
    /// Anti-entropy: digest of the sender's whole catalogue. A receiver with a different digest
    /// answers with `EntryDigests`.
    EntryRoot(EntrySummary),
    /// Requests an `EntryRoot`, to survey which entries are in force.
    EntryRootWanted,
    /// Requests `EntryDigests`, to survey which entries are in force.
    EntryDigestsWanted,
    /// Anti-entropy: digests of the sender's catalogue by bucket.
    EntryDigests {
        /// One digest per bucket; entries are assigned to buckets by the hash of their keys.
        buckets: Vec<u64>,
        /// Whether the sender's catalogue is complete; it is not while the node starts.
        complete: bool,
    },
    /// Anti-entropy: the sender's versions in the buckets that differed.
    EntryStamps {
        /// The buckets.
        buckets: Vec<u16>,
        /// The sender's versions in force in these buckets.
        stamps: Vec<EntryStamp>,
        /// Newer versions in these buckets that the sender refused as invalid.
        refused: Vec<EntryStamp>,
    },
    /// Requests `EntryStamps`, to survey which entries are in force.
    EntryStampsWanted {
        /// The buckets.
        buckets: Vec<u16>,
    },
    /// Entries that are new, or of which the receiver's `EntryStamps` showed older versions.
    Entries {
        /// The entries.
        entries: Vec<EntryRecord>,
        /// Buckets of the receiver's `EntryStamps` that this message answers completely; none if the
        /// entries were pushed.
        covers: Vec<u16>,
    },
    /// Requests entries.
    EntryWants {
        /// The wanted entries, each with the version that the asker has.
        stamps: Vec<EntryStamp>,
    },
}
