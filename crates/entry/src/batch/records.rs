//! The stored representation of jobs.
//!
//! A job is one object that is created once: a repeated submission finds it there. Its results are
//! a chain of objects, each named after the position of its first result and created once, so that
//! two gateways that both believe they own the job cannot both write a position. A gateway that
//! takes a job over first puts a fence, an object without results, at the end of the list. The
//! former owner, which may be cut off and not know of the takeover, can write nothing more, as it
//! does not know the names after the fence. The end of a job is a separate object, so that it can
//! be created without reading anything first.

use std::sync::Arc;

use notch_platform_wire::{
    prelude::{JobRecord, JobStatus, StoreObject},
    store::{decode, list_path, object_path, spec_body, status_body, status_path},
};
use notch_relay::prelude::*;
use serde::{Deserialize, Serialize};
use serde_json::value::{RawValue, to_raw_value};

use crate::{
    constants::OBJECT_BYTES,
    store::{
        call_cause::StoreCallCause,
        client::StoreClient,
        object_kinds::{END_KIND, JOB_KIND, PART_KIND, RESULT_KIND},
        reply::StoreFailure,
    },
};

/// A job as stored.
#[derive(Debug)]
pub struct StoredJob {
    /// Id of the job, which is its object's name.
    pub id: String,
    /// The job as accepted.
    pub record: JobRecord,
    /// Its owner, and whether it is closed.
    pub status: JobStatus,
    /// Revision of the object's last change.
    pub revision: u64,
}

impl StoredJob {
    /// Decodes an object of [`JOB_KIND`]. Returns `None` if it is not one.
    pub fn decode(object: &StoreObject) -> Option<Self> {
        let record = serde_json::from_str(object.spec.as_ref()?.get()).ok()?;
        let status = object.status.as_ref().map_or("null", |status| status.get());
        let status: Option<JobStatus> = serde_json::from_str(status).ok()?;
        Some(Self {
            id: object.metadata.name.clone(),
            record,
            status: status.unwrap_or_default(),
            revision: object.metadata.revision,
        })
    }

    /// The owner: the gateway that took the job over last, or else the one that accepted it.
    pub fn owner(&self) -> &str {
        if self.status.owner.is_empty() { &self.record.owner } else { &self.status.owner }
    }
}

/// One object of results.
#[derive(Debug, Serialize, Deserialize)]
struct ResultChunk {
    /// The gateway that wrote it.
    writer: String,
    lines: Vec<Arc<ResultLine>>,
}

/// Outcome of storing results.
#[derive(Debug)]
pub enum ChunkOutcome {
    /// They are stored at their position.
    Stored,
    /// Another gateway's results or fence are stored at that position.
    Displaced {
        /// The gateway that wrote them.
        writer: String,
        /// The results; none for a fence.
        lines: Vec<Arc<ResultLine>>,
    },
}

/// Creates a job. Returns false if it was stored before.
///
/// # Errors
/// `Unknown` if the job may be or become stored; `NotDone` if this call surely did not store it.
pub async fn create_job(
    store: &StoreClient,
    id: &str,
    record: &JobRecord,
    items_text: &str,
) -> Result<bool, StoreFailure> {
    for (index, part) in split_text(items_text, record.parts).into_iter().enumerate() {
        create(store, StoreCallCause::JobStored, PART_KIND, &part_name(id, index), &part).await?;
    }
    create(store, StoreCallCause::JobStored, JOB_KIND, id, record).await
}

/// The number of parts of a text that is too long for one object; 0 if it fits into one.
pub fn part_count(items_text: &str) -> usize {
    if items_text.len() <= OBJECT_BYTES { 0 } else { items_text.len().div_ceil(PART_BYTES) }
}

/// Bytes of one part. Escaping quotes may make it longer as a JSON string.
const PART_BYTES: usize = OBJECT_BYTES / 2;

/// The text of the items, as held in the job's own object.
pub fn inline_items(items_text: &str, parts: usize) -> Box<RawValue> {
    let text = if parts == 0 { items_text } else { "null" };
    RawValue::from_string(text.to_owned())
        .unwrap_or_else(|_| to_raw_value(&()).expect("null always encodes"))
}

/// Reads a job. Returns `None` if there is no such job.
///
/// # Errors
/// The store did not answer, or not with a job.
pub async fn read_job(
    store: &StoreClient,
    id: &str,
    cause: StoreCallCause,
) -> Result<Option<StoredJob>, StoreFailure> {
    let reply = store.get(cause, &object_path(JOB_KIND, id)).await?;
    if !reply.is_success() {
        return Ok(None);
    }
    let object: StoreObject = decode(&reply.body).map_err(|_| StoreFailure::NotDone)?;
    StoredJob::decode(&object).map(Some).ok_or(StoreFailure::NotDone)
}

/// Decodes a job with its items, and reads its parts if it has any.
///
/// # Errors
/// The store did not answer, or a part is missing.
pub async fn read_spec(
    store: &StoreClient,
    job: &StoredJob,
    cause: StoreCallCause,
) -> Result<JobSpec, StoreFailure> {
    let mut text = String::new();
    for index in 0..job.record.parts {
        let reply = store.get(cause, &object_path(PART_KIND, &part_name(&job.id, index))).await?;
        if !reply.is_success() {
            return Err(StoreFailure::NotDone);
        }
        let object: StoreObject = decode(&reply.body).map_err(|_| StoreFailure::NotDone)?;
        let part: String = object
            .spec
            .and_then(|spec| serde_json::from_str(spec.get()).ok())
            .ok_or(StoreFailure::NotDone)?;
        text.push_str(&part);
    }
    let text = if job.record.parts == 0 { job.record.items.get() } else { &text };
    job.record.decode_job(&job.id, text).map_err(|_| StoreFailure::NotDone)
}

/// A job's stored result list from some position on.
#[derive(Debug, Default)]
pub struct StoredList {
    /// The results.
    pub lines: Vec<Arc<ResultLine>>,
    /// Number of fences after the last of them.
    pub fences: u32,
}

/// Reads the stored results from `position` on, where an object has to begin.
///
/// # Errors
/// The store did not answer.
pub async fn read_results(
    store: &StoreClient,
    id: &str,
    position: usize,
    cause: StoreCallCause,
) -> Result<StoredList, StoreFailure> {
    read_chunks(store, id, position, cause, |_| {}).await
}

/// Reads the result objects of a job from `position` on in order, and passes the name of each to
/// `on_chunk`. The name of an object follows from the contents of those before it.
async fn read_chunks(
    store: &StoreClient,
    id: &str,
    position: usize,
    cause: StoreCallCause,
    mut on_chunk: impl FnMut(String),
) -> Result<StoredList, StoreFailure> {
    let mut list = StoredList::default();
    loop {
        let name = chunk_name(id, position + list.lines.len(), list.fences);
        let reply = store.get(cause, &object_path(RESULT_KIND, &name)).await?;
        if !reply.is_success() {
            return Ok(list);
        }
        let chunk = decode_chunk(&reply.body)?;
        list.fences = if chunk.lines.is_empty() { list.fences + 1 } else { 0 };
        list.lines.extend(chunk.lines);
        on_chunk(name);
    }
}

/// Reads a job's whole result list and puts a fence at its end, after which only `owner` can extend
/// it.
///
/// # Errors
/// The store did not answer.
pub async fn fence_results(
    store: &StoreClient,
    id: &str,
    owner: &str,
) -> Result<StoredList, StoreFailure> {
    loop {
        let mut list = read_results(store, id, 0, StoreCallCause::JobTakenOver).await?;
        let (position, fences) = (list.lines.len(), list.fences);
        let chunk = ResultChunk { writer: owner.to_owned(), lines: Vec::new() };
        let name = chunk_name(id, position, fences);
        match store_chunk(store, StoreCallCause::JobTakenOver, &name, chunk).await? {
            ChunkOutcome::Stored => {
                list.fences += 1;
                return Ok(list);
            }
            // The former owner wrote first: its results are part of the list.
            ChunkOutcome::Displaced { .. } => {}
        }
    }
}

/// Stores results at `position`, after the fences there.
///
/// # Errors
/// The store did not answer: the results may be or become stored. Only the same results may be
/// retried at that position.
pub async fn store_results(
    store: &StoreClient,
    id: &str,
    position: usize,
    fences: u32,
    writer: &str,
    lines: &[Arc<ResultLine>],
) -> Result<ChunkOutcome, StoreFailure> {
    let chunk = ResultChunk { writer: writer.to_owned(), lines: lines.to_vec() };
    let name = chunk_name(id, position, fences);
    store_chunk(store, StoreCallCause::ResultsStored, &name, chunk).await
}

/// Creates a result object. One without results is a fence.
async fn store_chunk(
    store: &StoreClient,
    cause: StoreCallCause,
    name: &str,
    chunk: ResultChunk,
) -> Result<ChunkOutcome, StoreFailure> {
    let body = spec_body(name, None, &chunk);
    let wait = store.settings().call_timeout;
    let reply = store.call(cause, "POST", &list_path(RESULT_KIND, None), Some(&body), wait).await?;
    if reply.is_success() {
        return Ok(ChunkOutcome::Stored);
    }
    let existing = decode_chunk(&reply.body)?;
    if existing.writer == chunk.writer && existing.lines == chunk.lines {
        return Ok(ChunkOutcome::Stored);
    }
    Ok(ChunkOutcome::Displaced { writer: existing.writer, lines: existing.lines })
}

/// Makes `owner` the job's owner, unless the job has changed since it was read.
///
/// # Errors
/// The store did not answer: `owner` may own the job.
pub async fn take_job(
    store: &StoreClient,
    job: &StoredJob,
    owner: &str,
) -> Result<bool, StoreFailure> {
    let status = JobStatus { owner: owner.to_owned(), closed: false };
    let body = status_body(&job.id, Some(job.revision), &status);
    let wait = store.settings().call_timeout;
    let reply = store
        .call(
            StoreCallCause::JobTakenOver,
            "PUT",
            &status_path(JOB_KIND, &job.id),
            Some(&body),
            wait,
        )
        .await?;
    Ok(reply.is_success())
}

/// Records that all results of a job are stored, which holds whoever owns the job.
///
/// # Errors
/// The store did not answer.
pub async fn close_job(store: &StoreClient, id: &str, owner: &str) -> Result<(), StoreFailure> {
    let status = JobStatus { owner: owner.to_owned(), closed: true };
    let body = status_body(id, None, &status);
    let wait = store.settings().call_timeout;
    store
        .call(StoreCallCause::JobClosed, "PUT", &status_path(JOB_KIND, id), Some(&body), wait)
        .await
        .map(|_| ())
}

/// Deletes everything stored of a job. Results are deleted from the last to the first and the job
/// itself last, so that an interrupted deletion is found and completed later.
///
/// # Errors
/// The store did not answer: some objects may be left.
pub async fn delete_job(store: &StoreClient, job: &StoredJob) -> Result<(), StoreFailure> {
    let mut chunks = Vec::new();
    read_chunks(store, &job.id, 0, StoreCallCause::Retention, |name| chunks.push(name)).await?;
    for name in chunks.iter().rev() {
        delete(store, RESULT_KIND, name).await?;
    }
    for index in 0..job.record.parts {
        delete(store, PART_KIND, &part_name(&job.id, index)).await?;
    }
    delete(store, END_KIND, &job.id).await?;
    delete(store, JOB_KIND, &job.id).await
}

async fn delete(store: &StoreClient, kind: &str, name: &str) -> Result<(), StoreFailure> {
    let wait = store.settings().call_timeout;
    store
        .call(StoreCallCause::Retention, "DELETE", &object_path(kind, name), None, wait)
        .await
        .map(|_| ())
}

/// Stores a job's end.
///
/// # Errors
/// The store did not answer.
pub async fn store_end(store: &StoreClient, id: &str) -> Result<(), StoreFailure> {
    create(store, StoreCallCause::EndStored, END_KIND, id, &()).await.map(|_| ())
}

/// Whether a job's end is stored.
///
/// # Errors
/// The store did not answer.
pub async fn read_end(
    store: &StoreClient,
    id: &str,
    cause: StoreCallCause,
) -> Result<bool, StoreFailure> {
    Ok(store.get(cause, &object_path(END_KIND, id)).await?.is_success())
}

async fn create<T: Serialize>(
    store: &StoreClient,
    cause: StoreCallCause,
    kind: &str,
    name: &str,
    spec: &T,
) -> Result<bool, StoreFailure> {
    let body = spec_body(name, None, spec);
    let wait = store.settings().call_timeout;
    let reply = store.call(cause, "POST", &list_path(kind, None), Some(&body), wait).await?;
    Ok(reply.is_success())
}

fn decode_chunk(body: &[u8]) -> Result<ResultChunk, StoreFailure> {
    let object: StoreObject = decode(body).map_err(|_| StoreFailure::Unknown)?;
    let spec = object.spec.ok_or(StoreFailure::Unknown)?;
    serde_json::from_str(spec.get()).map_err(|_| StoreFailure::Unknown)
}

fn chunk_name(id: &str, position: usize, fences: u32) -> String {
    match fences {
        0 => format!("{id}.{position:06}"),
        _ => format!("{id}.{position:06}.{fences}"),
    }
}

fn part_name(id: &str, index: usize) -> String {
    format!("{id}.{index:03}")
}

/// Splits a text into `parts` parts at character boundaries.
fn split_text(text: &str, parts: usize) -> Vec<&str> {
    let mut rest = text;
    let mut list = Vec::with_capacity(parts);
    for left in (1..=parts).rev() {
        let mut end = rest.len().div_ceil(left);
        while !rest.is_char_boundary(end) {
            end += 1;
        }
        let (part, tail) = rest.split_at(end);
        list.push(part);
        rest = tail;
    }
    list
}
