//! Calls to the owner of a ledger shard.

use notch_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::lot::{ItemOutcome, ItemResult, ItemReturn, LotGrant, LotPull};

/// A job whose chunks are already in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSubmission {
    /// Id derived by the gateway that received the job.
    pub job: JobId,
    /// The account.
    pub account: AccountName,
    /// The target to run the items on.
    pub target: TargetName,
    /// When it is due.
    pub due: WallTime,
    /// Number of items.
    pub item_count: u32,
    /// Whether items may run more than once.
    pub idempotent: bool,
    /// Maximum number of attempts for one item.
    pub max_attempts: u32,
    /// Retention of the results after the job's end, milliseconds.
    pub retention_ms: u64,
    /// Chunk objects of the input, in order.
    pub chunks: Vec<JobChunk>,
    /// Digest of the whole input; a different input under the same key is refused.
    pub content: u128,
    /// Random number of the client's submission. The gateway may send one submission several times, which is no resend of its
    /// client. 0 from gateways of earlier builds.
    #[serde(default)]
    pub attempt: u64,
}

/// A chunk object that holds a part of a job's input as NDJSON lines.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobChunk {
    /// The object's key.
    pub key: String,
    /// Index of its first item.
    pub first: ItemIndex,
    /// Age of the chunk when the submission was sent, milliseconds; the owner refuses chunks that are
    /// too old.
    pub age_ms: u64,
}

/// Request to the owner of a shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ShardRequest {
    /// Submits a job.
    SubmitJob(JobSubmission),
    /// Cancels a job.
    CancelJob {
        /// The job.
        job: JobId,
        /// The account that asks; a job of another account is "not found".
        account: AccountName,
    },
    /// Requests the progress of a job.
    JobStatus {
        /// The job.
        job: JobId,
        /// The account that asks.
        account: AccountName,
    },
    /// Requests a page of results in input order.
    JobResults {
        /// The job.
        job: JobId,
        /// The account that asks.
        account: AccountName,
        /// Index of the first item wanted.
        from: ItemIndex,
        /// Maximum number of lines.
        limit: u32,
    },
    /// A sidecar's pull for work.
    Pull(LotPull),
    /// Results of items.
    ItemsDone(Vec<ItemResult>),
    /// Items returned unfinished.
    ItemsReturned(Vec<ItemReturn>),
    /// Claims a non-idempotent request for one attempt before it is dispatched.
    Claim {
        /// The request.
        request: RequestId,
        /// The account.
        account: AccountName,
        /// The attempt that will run it.
        attempt: AttemptId,
        /// Fingerprint of the request; the same key with a different body is refused.
        fingerprint: Fingerprint,
        /// Retention of the result, milliseconds.
        retention_ms: u64,
    },
    /// Releases the claim of an attempt that certainly never started, so that another may take it.
    ReleaseClaim {
        /// The request.
        request: RequestId,
        /// The attempt that was sealed.
        attempt: AttemptId,
    },
    /// Stores the answer to an online request with an idempotency key; only the first answer is kept.
    StoreAnswer {
        /// The request.
        request: RequestId,
        /// The account.
        account: AccountName,
        /// Fingerprint of the request.
        fingerprint: Fingerprint,
        /// The answer.
        answer: StoredAnswer,
        /// Retention of the answer, milliseconds.
        retention_ms: u64,
    },
    /// Reads the stored answer to an online request with an idempotency key.
    FetchAnswer {
        /// The request.
        request: RequestId,
        /// The account that asks.
        account: AccountName,
    },
    /// Records that a fingerprint is quarantined fleet-wide.
    RecordQuarantine {
        /// The fingerprint that crashes targets.
        fingerprint: Fingerprint,
        /// The target's name.
        target: TargetName,
    },
}

/// Stored outcome of an online request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoredAnswer {
    /// The target's whole answer.
    Answered {
        /// HTTP status.
        status: u16,
        /// The body.
        body: Payload,
    },
    /// The request may have run; its outcome can't be determined.
    Unknown,
}

/// Result of a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimVerdict {
    /// The claim is committed: only this attempt may run the request.
    Granted,
    /// Another attempt holds the claim and may be running.
    HeldBy(AttemptId),
    /// The request has already ended.
    Ended(StoredAnswer),
    /// The key was used with a different body.
    OtherBody,
}

/// Phase of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobPhase {
    /// Accepted; some items have no result yet.
    Running,
    /// Cancelled; every item without a result ends as cancelled.
    Cancelled,
    /// Every item has its result.
    Done,
}

/// Progress of a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobProgress {
    /// The job.
    pub job: JobId,
    /// Its target.
    pub target: TargetName,
    /// Its phase.
    pub phase: JobPhase,
    /// When the job is due.
    pub due: WallTime,
    /// Number of items.
    pub total: u32,
    /// Number of items that were answered.
    pub answered: u32,
    /// Number of items that failed in their last attempt.
    pub failed: u32,
    /// Number of items that were cancelled.
    pub cancelled: u32,
    /// Number of items that are leased to sidecars at present.
    pub leased: u32,
}

/// State of an item in the ledger.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ItemStatus {
    /// Ended with a result.
    Ended(ItemOutcome),
    /// Cancelled together with the job.
    Cancelled,
    /// No result yet.
    Open,
}

/// One line of a job's results.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResultLine {
    /// The item.
    pub item: ItemIndex,
    /// The id that the caller gave the item.
    pub custom_id: String,
    /// The state of the item.
    pub status: ItemStatus,
}

/// Answer of the owner of a shard. A change is answered only after it is committed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ShardAnswer {
    /// The job is in the ledger.
    JobAccepted {
        /// The job's progress.
        progress: JobProgress,
        /// Whether the job was in the ledger already, so that the submission was a resend.
        resend: bool,
    },
    /// Answer to `JobStatus` and `CancelJob`.
    Job(JobProgress),
    /// A page of results.
    Results {
        /// The lines in input order; items without a result are left out.
        lines: Vec<ResultLine>,
        /// First item of the next page; `None` at the end of the job.
        next: Option<ItemIndex>,
        /// The job's progress.
        progress: JobProgress,
    },
    /// Work for the sidecar that pulled.
    Lot(LotGrant),
    /// No work is available at present.
    NoWork {
        /// When to pull again, milliseconds from now.
        retry_after_ms: u64,
    },
    /// Results are committed, or were dropped as duplicates: the sidecar may discard them.
    ItemsSettled(Vec<crate::lot::ItemKey>),
    /// Answer to `Claim`.
    Claim(ClaimVerdict),
    /// The change is committed.
    Done,
    /// Answer to `SubmitJob`: not accepted, because the chunks that begin with these items are too
    /// old to be referenced safely; write them again and resubmit.
    ChunksStale(Vec<ItemIndex>),
    /// Answer to `FetchAnswer`.
    Answer(Option<StoredAnswer>),
    /// The request was refused.
    Refused(Refusal),
    /// The receiver doesn't own the shard.
    NotOwner {
        /// The probable owner, if known.
        owner: Option<VmName>,
    },
}

/// A call to the owner of a shard, or its answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ShardCall {
    /// The call.
    Ask {
        /// Matches the answer to the call; unique at the asker.
        call: CallId,
        /// The shard.
        shard: ShardId,
        /// The request.
        request: Box<ShardRequest>,
    },
    /// The answer.
    Answer {
        /// Id of the call.
        call: CallId,
        /// The shard.
        shard: ShardId,
        /// The owner's epoch.
        epoch: Epoch,
        /// The answer.
        answer: Box<ShardAnswer>,
    },
}
