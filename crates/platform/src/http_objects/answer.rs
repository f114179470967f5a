//! Answers of the object API, and what they prove.

use std::time::Duration;

use notch_types::{
    object::{
        ListedObject, ObjectVersion, StoreFailure, StoreOp, StoreReply, StoreResult, StoredObject,
    },
    payload::Payload,
    time::WallTime,
};
use serde::de::DeserializeOwned;

use crate::{
    exchange::WholeAnswer,
    meter::CallKind,
    wire::{
        ChangeBody, ChangesBody, EFFECT_HEADER, ListedBody, ListingBody, NO_EFFECT,
        STORE_TIME_HEADER, WRITTEN_AT_HEADER, version_of,
    },
};

/// What of a call is needed to read its answer.
pub(super) struct CallSubject {
    kind: CallKind,
    /// The key of a `Get`, else empty.
    key: String,
    /// How long the platform may wait before it answers.
    pub(super) wait: Duration,
}

impl CallSubject {
    pub(super) fn of(op: &StoreOp) -> Self {
        let key = match op {
            StoreOp::Get { key } => key.clone(),
            _ => String::new(),
        };
        let wait = match op {
            StoreOp::Watch { wait_ms, .. } => Duration::from_millis(*wait_ms),
            _ => Duration::ZERO,
        };
        Self { kind: CallKind::of(op), key, wait }
    }

    /// What an answer that makes no sense proves: of a write, nothing.
    fn nonsense(&self) -> StoreFailure {
        match self.kind.writes() {
            true => StoreFailure::Unknown,
            false => StoreFailure::Malformed,
        }
    }
}

/// The result that `answer` gives.
pub(super) fn result_of(subject: &CallSubject, answer: WholeAnswer) -> StoreResult {
    match answer.status() {
        200 | 204 => reply_of(subject, answer),
        404 => missing(subject, &answer),
        409 | 412 => Err(StoreFailure::Conflict(etag_version(&answer))),
        413 => Err(StoreFailure::TooLarge),
        429 => Err(StoreFailure::Throttled { retry_after_ms: answer.retry_after_ms() }),
        500..=599 => Err(server_failure(&answer)),
        // Refused as a bad request: the platform doesn't act on what it can't read.
        _ => Err(StoreFailure::Malformed),
    }
}

/// What goes wrong: something between us and the store answers 404 while the store is away, and
/// a reader takes a shard's head for absent. One would notice an empty ledger in an outage. Only
/// an answer that carries the store's clock is the store's own.
fn missing(subject: &CallSubject, answer: &WholeAnswer) -> StoreResult {
    if answer.number(STORE_TIME_HEADER).is_none() {
        return Err(StoreFailure::Unknown);
    }
    match subject.kind {
        CallKind::Get => Ok(StoreReply::Object(None)),
        CallKind::Delete => Ok(StoreReply::Deleted),
        CallKind::Put | CallKind::List | CallKind::Watch => Err(StoreFailure::Malformed),
    }
}

fn server_failure(answer: &WholeAnswer) -> StoreFailure {
    match answer.header(EFFECT_HEADER) {
        Some(NO_EFFECT) => StoreFailure::Unavailable,
        _ => StoreFailure::Unknown,
    }
}

fn etag_version(answer: &WholeAnswer) -> Option<ObjectVersion> {
    answer.header("etag").and_then(version_of).map(ObjectVersion)
}

fn reply_of(subject: &CallSubject, answer: WholeAnswer) -> StoreResult {
    match subject.kind {
        CallKind::Get => object_of(subject, answer),
        CallKind::Put => {
            etag_version(&answer).map(StoreReply::Written).ok_or_else(|| subject.nonsense())
        }
        CallKind::Delete => Ok(StoreReply::Deleted),
        CallKind::List => listing_of(subject, &answer),
        CallKind::Watch => changes_of(subject, &answer),
    }
}

fn object_of(subject: &CallSubject, answer: WholeAnswer) -> StoreResult {
    let version = etag_version(&answer).ok_or(StoreFailure::Malformed)?;
    let written_at = answer.number(WRITTEN_AT_HEADER).ok_or(StoreFailure::Malformed)?;
    Ok(StoreReply::Object(Some(StoredObject {
        key: subject.key.clone(),
        version,
        value: Some(Payload(answer.body)),
        written_at: WallTime(written_at),
    })))
}

fn listing_of(subject: &CallSubject, answer: &WholeAnswer) -> StoreResult {
    let body: ListingBody = json_of(subject, answer)?;
    let store_time = answer.number(STORE_TIME_HEADER).ok_or(StoreFailure::Malformed)?;
    Ok(StoreReply::Listing {
        objects: body.objects.into_iter().map(listed_of).collect(),
        store_time: WallTime(store_time),
        more: body.more,
    })
}

fn listed_of(line: ListedBody) -> ListedObject {
    ListedObject {
        key: line.key,
        version: ObjectVersion(line.version),
        written_at: WallTime(line.written_at),
    }
}

fn changes_of(subject: &CallSubject, answer: &WholeAnswer) -> StoreResult {
    let body: ChangesBody = json_of(subject, answer)?;
    let objects: Result<Vec<_>, _> = body.objects.into_iter().map(changed_of).collect();
    Ok(StoreReply::Changes { objects: objects?, upto: ObjectVersion(body.upto) })
}

fn changed_of(change: ChangeBody) -> Result<StoredObject, StoreFailure> {
    let value = change.value.map(hex::decode).transpose().map_err(|_| StoreFailure::Malformed)?;
    Ok(StoredObject {
        key: change.key,
        version: ObjectVersion(change.version),
        value: value.map(Payload),
        written_at: WallTime(change.written_at),
    })
}

fn json_of<T: DeserializeOwned>(
    subject: &CallSubject,
    answer: &WholeAnswer,
) -> Result<T, StoreFailure> {
    serde_json::from_slice(&answer.body).map_err(|_| subject.nonsense())
}
