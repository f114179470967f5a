//! Messages between gateways that relay requests directly to targets.

use std::net::SocketAddr;

use notch_relay::prelude::{
    CrashReport, CrashSuspect, CreditAnswer, HeldProgress, ItemFailures, ItemRunTimeStats,
    QueueOffer, ResultLine, ShareTable, StreamOrigin, TargetEntry, UseChange, VersionView,
    WorkKind,
};
use notch_types::prelude::*;
use serde::{Deserialize, Serialize};

/// Number of requests that one gateway runs at one target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetUseReport {
    /// The target's id.
    pub target: String,
    /// Online requests running there.
    pub online: u32,
    /// Batch items running there.
    pub batch: u32,
}

/// Items of one service that wait at a gateway and may start now.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaitingItemsReport {
    /// The service.
    pub service: String,
    /// Number of waiting items.
    pub count: u32,
    /// Least slack of them, milliseconds: time left until due, less the expected run time. Negative if late.
    pub slack_ms: i64,
    /// Number of them that cannot wait until the next peak of online requests has passed. `None` if it is not known, as
    /// without regular peaks; zero if all of them can.
    #[serde(default)]
    pub urgent: Option<u32>,
}

/// Use of a service by one share key: an account, or the route of requests without an account.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareUseReport {
    /// The service.
    pub service: String,
    /// Name of the account or route, at most 64 bytes; a hash in hexadecimal if the name is longer.
    pub key: String,
    /// Online requests in progress or queued.
    pub online: u32,
    /// Requests refused in the last second because the key was over its share.
    pub refused: u32,
}

/// Pace of one target as measured by one gateway.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetPaceReport {
    /// The target's id.
    pub target: String,
    /// Time between two events of a stream, microseconds.
    pub gap_micros: u32,
}

/// Waiting work with a due time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct DueWorkReport {
    /// Milliseconds left until it is due.
    pub due_in_ms: u64,
    /// Estimated time that it occupies one slot, milliseconds.
    pub work_ms: u64,
}

/// Work of one gateway that waits for slots of one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceDemandReport {
    /// The service.
    pub service: String,
    /// The waiting work, in order of due times.
    pub works: Vec<DueWorkReport>,
}

/// A target's entry with the store revision of its last change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionedTarget {
    /// The entry.
    pub entry: TargetEntry,
    /// Store revision of its last change.
    pub revision: u64,
}

/// A target whose entry was deleted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GoneTarget {
    /// Its name.
    pub name: String,
    /// Incarnation of its last known start.
    pub born: u64,
    /// Store revision by which it was deleted.
    pub revision: u64,
}

/// One part of the changes to target entries.
///
/// Invariant: the parts of one answer have the same `since` and `as_of` and are numbered from 0.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetChanges {
    /// The parts together contain all changes after this revision. 0 means that they contain every
    /// existing entry, so that an entry that is missing was deleted by `as_of`.
    pub since: u64,
    /// Revision up to which the receiver knows all changes after the last part.
    pub as_of: u64,
    /// Number of this part.
    pub part: u32,
    /// Whether this is the last part.
    pub is_last: bool,
    /// Entries that were created or changed.
    pub entries: Vec<VersionedTarget>,
    /// Entries that were deleted.
    pub gone: Vec<GoneTarget>,
}

/// What a search of all jobs in the store found.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedJobs {
    /// How long ago the list was requested, milliseconds.
    pub age_ms: u64,
    /// Open jobs whose owner has no link to the sender, each with its owner.
    pub orphans: Vec<(String, String)>,
    /// Every job that its client may still submit again; `None` if they are too many for a message.
    pub recent: Option<Vec<String>>,
}

/// A gateway's entry with the store revision of its last change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionedGateway {
    /// Its VM.
    pub vm: VmName,
    /// Address on which it listens for links.
    pub address: SocketAddr,
    /// VM name with the incarnation of the process.
    pub owner: String,
    /// Failure domain of its VM.
    pub domain: String,
    /// Store revision of its last change.
    pub revision: u64,
}

/// Changes to the gateways' entries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayChanges {
    /// Highest revision known to the sender.
    pub as_of: u64,
    /// Whether `entries` are all entries, so that one that is missing was deleted by `as_of`.
    pub is_whole: bool,
    /// Entries that were created or changed.
    pub entries: Vec<VersionedGateway>,
    /// Gateways whose entries were deleted, with the revision by which that was so.
    pub gone: Vec<(VmName, u64)>,
}

/// The gateways' entries as known to a gateway that follows the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterReport {
    /// Digest of the entries.
    pub digest: u64,
    /// How long ago the store last confirmed them, milliseconds.
    pub age_ms: u64,
}

/// Answer to a gateway that asks for a slot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlaceAnswer {
    /// A slot at the target with this id, which counts as used until the end of the request is
    /// reported.
    Granted(String),
    /// No slot is free; the shortest queue, if the request can wait.
    Denied(Option<QueueOffer>),
}

/// Outcome of a call to the store that one gateway made on behalf of another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreCallEnd {
    /// The store answered.
    Answered {
        /// Status of the answer.
        status: u16,
        /// Its body.
        body: Payload,
    },
    /// The call certainly had no effect.
    NotDone,
    /// The call may have taken effect, or may still do so.
    Unknown,
}

/// Message from one gateway to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// First message on each link.
    Hello {
        /// The sender's name with its incarnation, as recorded in jobs that it owns.
        owner: String,
        /// Open jobs that it owns.
        jobs: Vec<String>,
        /// How long ago its process started, milliseconds.
        up_ms: u64,
    },
    /// The sender's use of targets and the versions it knows; sent on change and at least every second.
    Report {
        /// Its complete use of targets.
        uses: Vec<TargetUseReport>,
        /// Version of its configuration in force; 0 for none.
        configuration: u64,
        /// Store revision of the last change to targets that it knows.
        targets: u64,
        /// Digest of the targets that it knows. A different digest at the same revision means that one of
        /// the two gateways has missed a change.
        digest: u64,
        /// Whether it watches the store now, so that other gateways need not.
        is_watching: bool,
        /// The gateways' entries that it knows, if it watches the store.
        #[serde(default)]
        gateways: Option<RosterReport>,
        /// Items that wait at the sender, by service.
        #[serde(default)]
        waiting: Vec<WaitingItemsReport>,
        /// Paces of targets that changed since the last report.
        #[serde(default)]
        paces: Vec<TargetPaceReport>,
        /// The share keys with the most use of each service: at most 8 per service and 64 in total. Empty where
        /// slots are not shared among accounts.
        #[serde(default)]
        shares: Vec<ShareUseReport>,
    },
    /// All work that waits at the sender; sent on large changes, and at least every second while any
    /// work waits.
    Demand {
        /// Waiting work by service.
        demands: Vec<ServiceDemandReport>,
        /// How long items run at the sender.
        pace: ItemRunTimeStats,
    },
    /// The sender's configuration or targets are outdated: requests the changes.
    AskState {
        /// Version of the sender's configuration.
        configuration: u64,
        /// The sender's revision of targets; 0 to request the whole list.
        targets: u64,
    },
    /// Newer state: the answer to `AskState`, or pushed by a gateway that watches the store.
    State {
        /// The configuration as it is stored.
        configuration: Option<Payload>,
        /// Changes to target entries.
        targets: Option<TargetChanges>,
    },
    /// Entries of gateways: the answer to `AskGateways`, or pushed by a gateway that watches the store.
    Gateways(GatewayChanges),
    /// The sender knows other gateways than the receiver: requests all entries.
    AskGateways,
    /// The sender now owns these jobs.
    JobsOwned(Vec<String>),
    /// The sender has listed all jobs in the store.
    JobsListed(ListedJobs),
    /// The sender is storing the job and doesn't know yet whether it will be accepted.
    JobStoring(String),
    /// Every result of the job is stored.
    JobClosed(String),
    /// The client ended the job, and the end is stored.
    JobEnded(String),
    /// Requests results of a job that the receiver owns, from a position on.
    JobAsk {
        /// Matches the answer to the call; unique at the asker.
        call: u64,
        /// The job.
        job: String,
        /// The account on whose behalf the asker reads; empty for none.
        account: String,
        /// Number of results that the asker already has.
        after: u64,
        /// Maximum time that the answer may wait for a result, milliseconds.
        wait_ms: u64,
    },
    /// Answer to `JobAsk`.
    JobNews {
        /// Id of the call.
        call: u64,
        /// Whether the sender is certain that it knows the complete list: either it owns the job and can
        /// reach the other gateways, or the list already has a result for every item.
        is_sure: bool,
        /// The account that sent the job; empty for none.
        account: String,
        /// Number of items in the job; 0 if the sender doesn't know the job or may not disclose it.
        total: u64,
        /// Stored results from the requested position on; possibly not all that the sender knows.
        lines: Vec<ResultLine>,
        /// Whether these are all results that the sender knows; the list then ends at the boundary of a
        /// stored object.
        is_all: bool,
    },
    /// Requests the body of an item of a job that the receiver owns.
    BodyAsk {
        /// Matches the answer to the call; unique at the asker.
        call: u64,
        /// The job.
        job: String,
        /// The item.
        item: String,
        /// The account on whose behalf the asker reads; empty for none.
        account: String,
    },
    /// Answer to `BodyAsk`.
    BodyTold {
        /// Id of the call.
        call: u64,
        /// Whether the sender can answer: it owns the job and the body fits into a message.
        is_known: bool,
        /// The body; `None` if the job has no such item.
        body: Option<Payload>,
    },
    /// Partial output of a job's items, sent before the sender hands the job over.
    JobProgress {
        /// The job.
        job: String,
        /// Items that have not ended.
        items: Vec<HeldProgress>,
    },
    /// Items of a job failed that the receiver may take over.
    ItemFailures {
        /// The job.
        job: String,
        /// All failures of these items so far.
        items: Vec<ItemFailures>,
    },
    /// A target crashed under a request with this suspect. The receiver counts these crashes for all gateways.
    SuspectCrashed(CrashReport),
    /// Requests with this suspect crash targets: refuse them.
    SuspectRefused {
        /// The suspect.
        suspect: CrashSuspect,
        /// Number of probes that crashed.
        level: u32,
        /// Time until the next probe, milliseconds.
        left_ms: u64,
        /// Time since the last crash that was counted, milliseconds; 0 from gateways of earlier builds.
        #[serde(default)]
        age_ms: u64,
        /// Requests with the suspect under which targets crashed; empty from gateways of earlier builds.
        #[serde(default)]
        crashed_under: Vec<u64>,
    },
    /// A request with this suspect was answered: refuse it no more, and discard what was counted against it.
    SuspectCleared(CrashSuspect),
    /// The sender has a request with a refused suspect whose next probe is due.
    SuspectProbeAsk {
        /// The suspect.
        suspect: CrashSuspect,
        /// Number of probes that crashed, as known to the sender.
        level: u32,
        /// Fingerprint of the request.
        request: u64,
    },
    /// The receiver may run a request with this suspect.
    SuspectProbeGranted {
        /// The suspect.
        suspect: CrashSuspect,
        /// Fingerprint of the request.
        request: u64,
    },
    /// A stream began at a service with targets of several software versions, or of versions that the
    /// sender does not know for long enough. The receiver remembers where.
    StreamBegan {
        /// The client attempt that got the first event.
        attempt: String,
        /// Where it began.
        origin: StreamOrigin,
        /// How long the client may still take the stream up, milliseconds.
        keep_ms: u64,
    },
    /// Asks where a stream began that a client takes up.
    OriginAsk {
        /// Matches the answer to the call; unique at the asker.
        call: u64,
        /// The client attempt that got the first event; `None` if the client does not name it.
        attempt: Option<String>,
        /// The service that would continue the stream.
        service: String,
        /// For how long the asker has known the targets, milliseconds. Views that were confirmed before that don't tell
        /// which versions there were since.
        #[serde(default)]
        known_ms: u64,
    },
    /// Answer to `OriginAsk`.
    OriginTold {
        /// Id of the call.
        call: u64,
        /// Where the stream began; `None` if the sender does not know it.
        origin: Option<StreamOrigin>,
        /// What the sender knows of the software versions of the service.
        versions: VersionView,
    },
    /// The store is unavailable to the sender: requests the receiver to make this call for it.
    StoreCall {
        /// Matches the answer to the call; unique at the asker.
        call: u64,
        /// Method of the call.
        method: String,
        /// Its path, with the query.
        path: String,
        /// Its body.
        body: Option<Payload>,
        /// Maximum wait for the store's answer, milliseconds.
        wait_ms: u64,
    },
    /// Answer to `StoreCall`.
    StoreAnswer {
        /// Id of the call.
        call: u64,
        /// Outcome of the call.
        end: StoreCallEnd,
    },
    /// A limit is exhausted: requests the receiver to release its unused share.
    ShareAsk {
        /// Matches the answer to the call; unique at the asker.
        call: u64,
        /// The limit, identified by the name of its route.
        limit: String,
    },
    /// Answer to `ShareAsk`.
    ShareKept {
        /// Id of the call.
        call: u64,
        /// The sender's name with its incarnation.
        holder: String,
        /// The share of the limit that the sender still holds.
        kept: u64,
        /// How much of the share is freed per second by work that ends.
        ended_per_second: u64,
    },
    /// The shares of a limit as stored by the sender's last write.
    Shares {
        /// The limit, identified by the name of its route.
        limit: String,
        /// Store revision of the write.
        revision: u64,
        /// The shares.
        table: ShareTable,
    },
    /// Requests a slot for an online request at one of the receiver's targets.
    PlaceAsk {
        /// Matches the answer to the call; unique at the asker.
        call: u64,
        /// The service that must run the request.
        service: String,
        /// Targets at which the request has failed.
        avoid: Vec<String>,
        /// Whether a batch item may be preempted for it.
        may_displace: bool,
        /// Software version that the target must have; `None` for any.
        #[serde(default)]
        version: Option<String>,
    },
    /// Answer to `PlaceAsk`.
    PlaceAnswer {
        /// Id of the call.
        call: u64,
        /// The sender's answer.
        answer: PlaceAnswer,
    },
    /// Requests the receiver to preempt the item that it started last at this target of the sender's,
    /// because its slot was granted to an online request.
    PlaceRevoke {
        /// The target's id.
        target: String,
    },
    /// The sender started or ended a request at a target of the receiver.
    PlaceUse {
        /// The target's id.
        target: String,
        /// The kind of work.
        work: WorkKind,
        /// Whether the request started or ended.
        change: UseChange,
        /// Whether it ended by a failure of the target; `None` if that is unknown.
        #[serde(default)]
        is_failure: Option<bool>,
    },
    /// Offers slots at the sender's targets for items. They count as used by the receiver until it reports an end.
    ItemSlotOffer {
        /// Ids of the targets, one for each slot.
        targets: Vec<String>,
    },
    /// A target of the sender failed too many requests, or has recovered.
    TargetEjected {
        /// The target's id.
        target: String,
        /// Whether it gets no requests from now on; false when it gets them again.
        is_ejected: bool,
        /// Failures per thousand outcomes when it was ejected.
        #[serde(default)]
        failure_permille: u16,
    },
    /// Asks whether a gateway that the sender has had no link to for long can be evicted.
    EvictionAsk {
        /// Matches the answer to the call; unique at the asker.
        call: u64,
        /// The VM of the gateway.
        vm: VmName,
        /// Its identity by its entry.
        owner: String,
    },
    /// Answer to `EvictionAsk`.
    EvictionAnswer {
        /// Id of the call.
        call: u64,
        /// Whether the sender has had no link to it for long either.
        is_gone: bool,
        /// Whether the sender has had no link to it since its own start or since it lost its own entry, and has not known
        /// it for long. It neither agrees nor objects.
        #[serde(default)]
        is_new: bool,
    },
    /// Requests the age of the receiver's knowledge of the configuration.
    AgeAsk {
        /// Matches the answer to the call; unique at the asker.
        call: u64,
    },
    /// Answer to `AgeAsk`.
    Age {
        /// Id of the call.
        call: u64,
        /// The newest version of the configuration as of `age_ms` ago.
        version: u64,
        /// Age of this knowledge at the time of the answer, milliseconds; `None` if the sender has never
        /// confirmed a version.
        age_ms: Option<u64>,
    },
    /// Requests credit under an account's limit.
    CreditAsk {
        /// Matches the answer to the call; unique at the asker.
        call: u64,
        /// The account.
        account: AccountName,
        /// Number of requests that are waiting or expected soon.
        wanted: u32,
        /// Whether new requests of the account go first.
        #[serde(default)]
        is_deferred: bool,
    },
    /// Answer to `CreditAsk`.
    CreditAnswer {
        /// Id of the call.
        call: u64,
        /// The sender's answer.
        answer: CreditAnswer,
    },
    /// The sender hands over the limiter of an account, with the remaining credit.
    CreditLeft {
        /// The account.
        account: AccountName,
        /// Remaining credit, thousandths of a request.
        credit_milli: u64,
    },
    /// The sender is about to stop: it still runs its jobs but takes over no more.
    Stopping,
    /// The sender stops: its jobs can be taken over now.
    Leaving,
}

impl PeerMessage {
    /// Stable name of the message type, for metrics and logs.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Hello { .. } => "hello",
            Self::Report { .. } => "report",
            Self::Demand { .. } => "demand",
            Self::AskState { .. } => "ask_state",
            Self::State { .. } => "state",
            Self::Gateways(_) => "gateways",
            Self::AskGateways => "ask_gateways",
            Self::JobsOwned(_) => "jobs_owned",
            Self::JobsListed(_) => "jobs_listed",
            Self::JobStoring(_) => "job_storing",
            Self::JobClosed(_) => "job_closed",
            Self::JobEnded(_) => "job_ended",
            Self::JobAsk { .. } => "job_ask",
            Self::JobNews { .. } => "job_news",
            Self::BodyAsk { .. } => "body_ask",
            Self::BodyTold { .. } => "body_told",
            Self::JobProgress { .. } => "job_progress",
            Self::ItemFailures { .. } => "item_failures",
            Self::SuspectCrashed(_) => "suspect_crashed",
            Self::SuspectRefused { .. } => "suspect_refused",
            Self::SuspectCleared(_) => "suspect_cleared",
            Self::SuspectProbeAsk { .. } => "suspect_probe_ask",
            Self::SuspectProbeGranted { .. } => "suspect_probe_granted",
            Self::StreamBegan { .. } => "stream_began",
            Self::OriginAsk { .. } => "origin_ask",
            Self::OriginTold { .. } => "origin_told",
            Self::StoreCall { .. } => "store_call",
            Self::StoreAnswer { .. } => "store_answer",
            Self::ShareAsk { .. } => "share_ask",
            Self::ShareKept { .. } => "share_kept",
            Self::Shares { .. } => "shares",
            Self::PlaceAsk { .. } => "place_ask",
            Self::PlaceAnswer { .. } => "place_answer",
            Self::PlaceRevoke { .. } => "place_revoke",
            Self::PlaceUse { .. } => "place_use",
            Self::ItemSlotOffer { .. } => "item_slot_offer",
            Self::TargetEjected { .. } => "target_ejected",
            Self::EvictionAsk { .. } => "eviction_ask",
            Self::EvictionAnswer { .. } => "eviction_answer",
            Self::AgeAsk { .. } => "age_ask",
            Self::Age { .. } => "age",
            Self::CreditAsk { .. } => "credit_ask",
            Self::CreditAnswer { .. } => "credit_answer",
            Self::CreditLeft { .. } => "credit_left",
            Self::Stopping => "stopping",
            Self::Leaving => "leaving",
        }
    }
}
