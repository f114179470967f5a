//! Calls to the owner of a ledger shard.

use notch_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::lot::{ItemOutcome, ItemResult, ItemReturn, LotGrant, LotPull};

/// A job whose chunks are already in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSubmission {
    /// Derived by the intake.
    pub job: JobId,
    /// Whose.
    pub account: AccountName,
    /// For which target.
    pub target: TargetName,
    /// When it is due.
    pub due: WallTime,
    /// Number of items.
    pub item_count: u32,
    /// Whether items may run more than once.
    pub idempotent: bool,
    /// Most attempts of one item.
    pub max_attempts: u32,
    /// How long results stay readable after the job's end, milliseconds.
    pub retention_ms: u64,
    /// Chunk objects in order, each with the index of its first item.
    pub chunks: Vec<JobChunk>,
    /// Digest of the whole input; another input under the same key is refused.
    pub content: u128,
}

/// A chunk object of a job's input: NDJSON lines.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobChunk {
    /// The object's key.
    pub key: String,
    /// Index of its first item.
    pub first: ItemIndex,
    /// Age of the chunk when the submission left, milliseconds; the owner refuses old ones.
    pub age_ms: u64,
}

/// What a shard owner can be asked.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ShardRequest {
    /// Accept a job.
    SubmitJob(JobSubmission),
    /// Cancel a job of the account.
    CancelJob {
        /// The job.
        job: JobId,
        /// Who asks; another's job is "not found".
        account: AccountName,
    },
    /// How far a job is.
    JobStatus {
        /// The job.
        job: JobId,
        /// Who asks.
        account: AccountName,
    },
    /// A page of results in input order.
    JobResults {
        /// The job.
        job: JobId,
        /// Who asks.
        account: AccountName,
        /// First item wanted.
        from: ItemIndex,
        /// Most lines.
        limit: u32,
    },
    /// Work for a sidecar.
    Pull(LotPull),
    /// Items that ended.
    ItemsDone(Vec<ItemResult>),
    /// Items given back.
    ItemsReturned(Vec<ItemReturn>),
    /// Claim a non-idempotent request for one attempt, before its dispatch.
    Claim {
        /// The request.
        request: RequestId,
        /// Whose.
        account: AccountName,
        /// The attempt that will run it.
        attempt: AttemptId,
        /// What it runs; the same key with another body is refused.
        fingerprint: Fingerprint,
        /// How long the result stays readable, milliseconds.
        retention_ms: u64,
    },
    /// The attempt surely never started: the claim may be taken by another attempt.
    ReleaseClaim {
        /// The request.
        request: RequestId,
        /// The attempt that was sealed.
        attempt: AttemptId,
    },
    /// The end of a keyed online request; the first one counts.
    StoreAnswer {
        /// The request.
        request: RequestId,
        /// Whose.
        account: AccountName,
        /// What it ran.
        fingerprint: Fingerprint,
        /// The answer.
        answer: StoredAnswer,
        /// How long it stays readable, milliseconds.
        retention_ms: u64,
    },
    /// The stored answer of a keyed online request.
    FetchAnswer {
        /// The request.
        request: RequestId,
        /// Who asks.
        account: AccountName,
    },
    /// A fingerprint is quarantined fleet-wide.
    RecordQuarantine {
        /// What crashes targets.
        fingerprint: Fingerprint,
        /// The target's name.
        target: TargetName,
    },
}

/// A stored end of an online request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoredAnswer {
    /// The target's whole answer.
    Answered {
        /// HTTP status.
        status: u16,
        /// The body.
        body: Payload,
    },
    /// It may have run and nobody can say how it ended.
    Unknown,
}

/// What a claim met.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimVerdict {
    /// Committed: this attempt alone may run it.
    Granted,
    /// Another attempt holds it and may be running.
    HeldBy(AttemptId),
    /// It has ended.
    Ended(StoredAnswer),
    /// The key was used with another body.
    OtherBody,
}

/// Where a job is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobPhase {
    /// Accepted; items are open.
    Running,
    /// Cancelled; every open item ends as cancelled.
    Cancelled,
    /// Every item has its result.
    Done,
}

/// How far a job is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobProgress {
    /// The job.
    pub job: JobId,
    /// Its target.
    pub target: TargetName,
    /// Its phase.
    pub phase: JobPhase,
    /// When due.
    pub due: WallTime,
    /// Items in all.
    pub total: u32,
    /// Items answered.
    pub answered: u32,
    /// Items failed after their last attempt.
    pub failed: u32,
    /// Items cancelled.
    pub cancelled: u32,
    /// Items leased to sidecars now.
    pub leased: u32,
}

/// How an item stands in the ledger.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ItemStatus {
    /// Ended with a result.
    Ended(ItemOutcome),
    /// Ended by the job's cancellation.
    Cancelled,
    /// No result yet.
    Open,
}

/// One result.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResultLine {
    /// The item.
    pub item: ItemIndex,
    /// The caller's own id of the line.
    pub custom_id: String,
    /// How it stands.
    pub status: ItemStatus,
}

/// A shard owner's answer. Every answer to a change comes only after the change is committed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ShardAnswer {
    /// The job is in the ledger; `resend` tells that it was there already.
    JobAccepted {
        /// How far it is.
        progress: JobProgress,
        /// Whether this was a resend.
        resend: bool,
    },
    /// For status and cancel.
    Job(JobProgress),
    /// A page of results; `next` is where the following page starts, `None` at the job's end.
    Results {
        /// The lines, in input order; open items are left out.
        lines: Vec<ResultLine>,
        /// Where to go on.
        next: Option<ItemIndex>,
        /// How far the job is.
        progress: JobProgress,
    },
    /// Work.
    Lot(LotGrant),
    /// No work now.
    NoWork {
        /// When to ask again, milliseconds.
        retry_after_ms: u64,
    },
    /// Results are committed (or were dropped as duplicates): the sidecar may forget them.
    ItemsSettled(Vec<crate::lot::ItemKey>),
    /// For a claim.
    Claim(ClaimVerdict),
    /// Committed, nothing to add.
    Done,
    /// For `SubmitJob`: not accepted, because these chunks (by first item) are too old to be
    /// named safely; write them anew and submit again.
    ChunksStale(Vec<ItemIndex>),
    /// For `FetchAnswer`.
    Answer(Option<StoredAnswer>),
    /// Not done.
    Refused(Refusal),
    /// Not the owner; perhaps this one is.
    NotOwner {
        /// Who may be.
        owner: Option<VmName>,
    },
}

/// A call to the owner of a shard and the way back.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ShardCall {
    /// The question.
    Ask {
        /// Matches the answer; unique at the asker.
        call: CallId,
        /// Which shard.
        shard: ShardId,
        /// What is asked.
        request: Box<ShardRequest>,
    },
    /// The answer.
    Answer {
        /// Of the question.
        call: CallId,
        /// Which shard.
        shard: ShardId,
        /// The owner's epoch.
        epoch: Epoch,
        /// The answer.
        answer: Box<ShardAnswer>,
    },
}
