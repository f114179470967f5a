//! Membership and rumours between gateways.

use notch_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::entry::{EntryRecord, EntryStamp};

/// What a member is held to be.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberState {
    /// Answers.
    Alive,
    /// Did not answer in time; has a while to refute.
    Suspect,
    /// Said that it is leaving.
    Leaving,
    /// Held dead.
    Dead,
}

/// News of one member. For one incarnation the later state in [`MemberState`]'s order wins;
/// a higher incarnation wins always.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// The gateway's VM.
    pub vm: VmName,
    /// Where it listens for links, `ip:port`.
    pub address: String,
    /// Its failure domain.
    pub domain: DomainName,
    /// Number only the member itself raises.
    pub incarnation: Incarnation,
    /// Held state.
    pub state: MemberState,
}

/// A versioned fact spread by gossip: for one topic the highest version wins.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rumor {
    /// What it is about.
    pub topic: RumorTopic,
    /// Orders rumours of one topic.
    pub version: u64,
    /// The fact, encoded by the topic's own type (small: under 256 bytes).
    pub value: Payload,
}

/// What rumours are about.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum RumorTopic {
    /// Who owns a shard; version = epoch.
    ShardOwner(ShardId),
    /// Work a shard holds, by target; version rises within the epoch.
    ShardBacklog(ShardId),
    /// A fingerprint that crashes targets.
    Quarantine(Fingerprint),
    /// The VM list has a target VM as leaving.
    VmLeaving(VmName),
    /// A fingerprint that was in flight when the target of a VM crashed; the value tells whether
    /// it was alone, and the version is higher when it was.
    Suspect(Fingerprint, VmName),
    /// How near a limit an account is at a gateway.
    AccountUse(AccountName, VmName),
    /// Who holds the placement lease; version = epoch.
    PlacementHolder,
    /// How many entries a gateway has in force, and their digest.
    EntriesInForce(VmName),
    /// An attempt of a suspect, which no other gateway may send meanwhile; the value tells how many
    /// milliseconds it may still run, or that it is over, and the version is higher then.
    SuspectRun(Fingerprint, AttemptId),
}

/// One node's catalogue in a few figures.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntrySummary {
    /// Digest of all entries' versions, in force and refused.
    pub digest: u64,
    /// Entries in force.
    pub in_force: u32,
    /// Entries whose newest version was refused as invalid.
    pub refused: u32,
    /// Whether the catalogue is complete.
    pub complete: bool,
    /// Sidecars whose first gateway the sender is.
    pub sidecars: u32,
    /// Those of them that have all their entries in force.
    pub sidecars_current: u32,
}

/// Messages between gateways' memberships and catalogues.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum GossipMessage {
    /// Are you there?
    Ping {
        /// Matches the answer.
        sequence: u64,
        /// News on the way.
        members: Vec<MemberUpdate>,
        /// Facts on the way.
        rumors: Vec<Rumor>,
    },
    /// Here I am.
    Ack {
        /// Of the ping.
        sequence: u64,
        /// News on the way.
        members: Vec<MemberUpdate>,
        /// Facts on the way.
        rumors: Vec<Rumor>,
    },
    /// Please ping `target` for me.
    PingRequest {
        /// Matches the answer.
        sequence: u64,
        /// Whom to ping.
        target: VmName,
    },
    /// Tell me all members (at start).
    Join {
        /// Who joins.
        member: MemberUpdate,
    },
    /// All members.
    Members {
        /// All that the sender knows.
        members: Vec<MemberUpdate>,
    },
    /// Anti-entropy: digest of the members that the sender holds alive or leaving. A receiver with
    /// another digest answers with `Members`.
    MembersDigest {
        /// The digest.
        digest: u64,
    },
    /// News and facts that can't wait for a ping; no answer.
    News {
        /// Of members.
        members: Vec<MemberUpdate>,
        /// Facts.
        rumors: Vec<Rumor>,
    },
    /// Anti-entropy: the sender's whole catalogue in one digest. A receiver with another digest
    /// answers with `EntryDigests`.
    EntryRoot(EntrySummary),
    /// Answer with `EntryRoot`, for the survey of what is in force.
    EntryRootWanted,
    /// Answer with `EntryDigests`, for the survey of what is in force.
    EntryDigestsWanted,
    /// Anti-entropy: digests of the sender's catalogue by bucket.
    EntryDigests {
        /// One digest a bucket, by hash of the entry's key.
        buckets: Vec<u64>,
        /// Whether the sender's catalogue is complete; a starting node's is not.
        complete: bool,
    },
    /// Anti-entropy: the sender's versions in buckets that differed.
    EntryStamps {
        /// Buckets meant.
        buckets: Vec<u16>,
        /// The sender's versions in force in them.
        stamps: Vec<EntryStamp>,
        /// Newer versions in them that the sender refused as invalid.
        refused: Vec<EntryStamp>,
    },
    /// Answer with `EntryStamps`, for the survey of what is in force.
    EntryStampsWanted {
        /// Buckets meant.
        buckets: Vec<u16>,
    },
    /// Entries: pushed when new, or sent because the other's stamps were older.
    Entries {
        /// The entries.
        entries: Vec<EntryRecord>,
        /// Buckets asked for by `EntryStamps` that are hereby answered in full; none in a push.
        covers: Vec<u16>,
    },
    /// Send me these.
    EntryWants {
        /// Wanted entries, with the version known to the asker.
        stamps: Vec<EntryStamp>,
    },
}
