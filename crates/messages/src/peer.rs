//! Between gateways that relay straight to targets.

use notch_relay::prelude::{
    CreditAnswer, HeldProgress, ItemRunTimeStats, QueueOffer, ResultLine, ShareTable, TargetEntry,
    UseChange, WorkKind,
};
use notch_types::prelude::*;
use serde::{Deserialize, Serialize};

/// Requests of one gateway at one target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetUseReport {
    /// The target's id.
    pub target: String,
    /// Online requests under way there.
    pub online: u32,
    /// Items under way there.
    pub batch: u32,
}

/// Work that is due by a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct DueWorkReport {
    /// Milliseconds left until it is due.
    pub due_in_ms: u64,
    /// How long it would take one place, milliseconds.
    pub work_ms: u64,
}

/// Work of one gateway that waits for the places of one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceDemandReport {
    /// The service.
    pub service: String,
    /// In order of due times.
    pub works: Vec<DueWorkReport>,
}

/// A target's entry with the store's revision of its last change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionedTarget {
    /// The entry.
    pub entry: TargetEntry,
    /// Of its last change.
    pub revision: u64,
}

/// A target whose entry is gone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GoneTarget {
    /// Its name.
    pub name: String,
    /// Incarnation of its last start known.
    pub born: u64,
    /// Revision at which it was gone.
    pub revision: u64,
}

/// A part of what changed among target entries.
///
/// Invariant: the parts of one answer have the same `since` and `as_of`, and count up from 0.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetChanges {
    /// What changed after this revision is named in the parts together; 0 for every entry there is, so
    /// that what isn't named was gone by `as_of`.
    pub since: u64,
    /// Revision that the receiver knows all of after the last part.
    pub as_of: u64,
    /// Number of this part.
    pub part: u32,
    /// Whether no further part follows.
    pub is_last: bool,
    /// Entries that were put.
    pub entries: Vec<VersionedTarget>,
    /// Entries that are gone.
    pub gone: Vec<GoneTarget>,
}

/// What a gateway has for a request that needs a place.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlaceAnswer {
    /// A place at the target with this id, which is counted until the request's end is told.
    Granted(String),
    /// No place; the shortest queue, if requests can wait at all.
    Denied(Option<QueueOffer>),
}

/// How a call to the store ended that one gateway made for another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreCallEnd {
    /// The store answered.
    Answered {
        /// Status of the answer.
        status: u16,
        /// Its body.
        body: Payload,
    },
    /// Surely not done.
    NotDone,
    /// It may have been done, or be done later.
    Unknown,
}

/// Gateway to gateway.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// First on each link.
    Hello {
        /// The sender's name with its incarnation, as it stands in jobs that it owns.
        owner: String,
        /// Jobs that it owns and that aren't closed.
        jobs: Vec<String>,
        /// How long ago its process started, milliseconds.
        up_ms: u64,
    },
    /// What the sender uses and knows; sent when it changes and at least every second.
    Report {
        /// Its use of targets, whole.
        uses: Vec<TargetUseReport>,
        /// Version of its configuration in force; 0 for none.
        configuration: u64,
        /// Store revision of the last change of targets that it knows.
        targets: u64,
        /// Digest over the targets that it knows: one that differs at the same revision means that one
        /// of the two has missed a change.
        digest: u64,
        /// Whether it follows the store now, so that others needn't.
        is_watching: bool,
    },
    /// What work waits at the sender, whole; sent when it changed by much, and at least every second while
    /// there is any.
    Demand {
        /// By service.
        demands: Vec<ServiceDemandReport>,
        /// How long items take there.
        pace: ItemRunTimeStats,
    },
    /// The sender's configuration or targets are older: send what changed.
    AskState {
        /// Version of the sender's configuration.
        configuration: u64,
        /// The sender's revision of targets; 0 for a whole list.
        targets: u64,
    },
    /// What is newer: answer to `AskState`, or pushed by a gateway that follows the store.
    State {
        /// The configuration as the store holds it.
        configuration: Option<Payload>,
        /// Target entries.
        targets: Option<TargetChanges>,
    },
    /// The sender owns these jobs now.
    JobsOwned(Vec<String>),
    /// The sender is storing the job, and doesn't know yet what becomes of it.
    JobStoring(String),
    /// Every result of the job is stored.
    JobClosed(String),
    /// The client ended the job; the store has it.
    JobEnded(String),
    /// Results of a job that the receiver owns, from a position on.
    JobAsk {
        /// Matches the answer; unique at the asker.
        call: u64,
        /// The job.
        job: String,
        /// The account for which the asker reads; empty for none.
        account: String,
        /// Results that the asker holds already.
        after: u64,
        /// How long the answer may wait for a result, milliseconds.
        wait_ms: u64,
    },
    /// Answer to `JobAsk`.
    JobNews {
        /// Of the question.
        call: u64,
        /// Whether the sender is sure that the list has nothing beyond what it knows: it owns the job
        /// and is in touch, or the list is whole.
        is_sure: bool,
        /// The account that sent the job; empty for none.
        account: String,
        /// Items of the job; 0 when the sender knows nothing of it, or may not tell.
        total: u64,
        /// Stored results from the position asked for on; the first ones at least.
        lines: Vec<ResultLine>,
        /// Whether these are all that the sender knows: the list then ends where an object of the
        /// store ends.
        is_all: bool,
    },
    /// The body of an item of a job that the receiver owns.
    BodyAsk {
        /// Matches the answer; unique at the asker.
        call: u64,
        /// The job.
        job: String,
        /// The item.
        item: String,
        /// The account for which the asker reads; empty for none.
        account: String,
    },
    /// Answer to `BodyAsk`.
    BodyTold {
        /// Of the question.
        call: u64,
        /// Whether the sender can tell: it owns the job, and the body isn't too large.
        is_known: bool,
        /// The body; `None` when the job has no such item.
        body: Option<Payload>,
    },
    /// What the sender holds of a job's items, before it leaves the job to others.
    JobProgress {
        /// The job.
        job: String,
        /// Items that haven't ended.
        items: Vec<HeldProgress>,
    },
    /// A target broke a request off before its first event; the receiver counts such breaks of this
    /// request for all gateways.
    RequestBroke {
        /// Of the request's path and body.
        fingerprint: u64,
        /// The target's id.
        target: String,
    },
    /// Several targets broke a request off: refuse it.
    RequestRefused {
        /// Of the request's path and body.
        fingerprint: u64,
    },
    /// The store turns the sender away: make this call for it.
    StoreCall {
        /// Matches the answer; unique at the asker.
        call: u64,
        /// Method of the call.
        method: String,
        /// Its path, with the query.
        path: String,
        /// Its body.
        body: Option<Payload>,
        /// Longest wait for the store's answer, milliseconds.
        wait_ms: u64,
    },
    /// Answer to `StoreCall`.
    StoreAnswer {
        /// Of the question.
        call: u64,
        /// How the call ended.
        end: StoreCallEnd,
    },
    /// A limit is used up: give back what you hold of it and don't use.
    ShareAsk {
        /// Matches the answer; unique at the asker.
        call: u64,
        /// The limit: its route's name.
        limit: String,
    },
    /// Answer to `ShareAsk`.
    ShareKept {
        /// Of the question.
        call: u64,
        /// The sender with its incarnation.
        holder: String,
        /// What the sender still holds of the limit.
        kept: u64,
        /// How much of it ends there each second.
        ended_per_second: u64,
    },
    /// The shares of a limit as the store holds them since the sender's write.
    Shares {
        /// The limit: its route's name.
        limit: String,
        /// Revision of the write.
        revision: u64,
        /// The shares.
        table: ShareTable,
    },
    /// Grant an online request a place at one of your targets.
    PlaceAsk {
        /// Matches the answer; unique at the asker.
        call: u64,
        /// The service that has to run it.
        service: String,
        /// Targets that have failed it.
        avoid: Vec<String>,
        /// Whether an item may be broken off for it.
        may_displace: bool,
    },
    /// Answer to `PlaceAsk`.
    PlaceAnswer {
        /// Of the question.
        call: u64,
        /// What the sender has.
        answer: PlaceAnswer,
    },
    /// Break off the item that began last at this target of the sender's: an online request was granted its
    /// place.
    PlaceRevoke {
        /// The target's id.
        target: String,
    },
    /// The sender began or ended a request at a target of the receiver.
    PlaceUse {
        /// The target's id.
        target: String,
        /// The kind of work.
        work: WorkKind,
        /// What became of it.
        change: UseChange,
    },
    /// How old is your knowledge of the configuration?
    AgeAsk {
        /// Matches the answer; unique at the asker.
        call: u64,
    },
    /// Answer to `AgeAsk`.
    Age {
        /// Of the question.
        call: u64,
        /// The newest version of the configuration that long ago.
        version: u64,
        /// Milliseconds from then to this answer; `None` when the sender has no proof.
        age_ms: Option<u64>,
    },
    /// Grant credit of an account's limit.
    CreditAsk {
        /// Matches the answer; unique at the asker.
        call: u64,
        /// The account.
        account: AccountName,
        /// Requests that are due, and those expected soon.
        wanted: u32,
    },
    /// Answer to `CreditAsk`.
    CreditAnswer {
        /// Of the question.
        call: u64,
        /// What the sender has.
        answer: CreditAnswer,
    },
    /// The sender kept an account's limit until now; this is what was left.
    CreditLeft {
        /// The account.
        account: AccountName,
        /// Thousandths of requests that may be admitted.
        credit_milli: u64,
    },
    /// The sender was told to stop: it still runs its jobs, but takes none over any more.
    Stopping,
    /// The sender stops: take its jobs over now.
    Leaving,
}

impl PeerMessage {
    /// Stable name of the kind, for metrics and logs.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Hello { .. } => "hello",
            Self::Report { .. } => "report",
            Self::Demand { .. } => "demand",
            Self::AskState { .. } => "ask_state",
            Self::State { .. } => "state",
            Self::JobsOwned(_) => "jobs_owned",
            Self::JobStoring(_) => "job_storing",
            Self::JobClosed(_) => "job_closed",
            Self::JobEnded(_) => "job_ended",
            Self::JobAsk { .. } => "job_ask",
            Self::JobNews { .. } => "job_news",
            Self::BodyAsk { .. } => "body_ask",
            Self::BodyTold { .. } => "body_told",
            Self::JobProgress { .. } => "job_progress",
            Self::RequestBroke { .. } => "request_broke",
            Self::RequestRefused { .. } => "request_refused",
            Self::StoreCall { .. } => "store_call",
            Self::StoreAnswer { .. } => "store_answer",
            Self::ShareAsk { .. } => "share_ask",
            Self::ShareKept { .. } => "share_kept",
            Self::Shares { .. } => "shares",
            Self::PlaceAsk { .. } => "place_ask",
            Self::PlaceAnswer { .. } => "place_answer",
            Self::PlaceRevoke { .. } => "place_revoke",
            Self::PlaceUse { .. } => "place_use",
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
