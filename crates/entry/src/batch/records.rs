//! What the store holds of jobs.
//!
//! A job is one object, created once: whoever sends it again finds it there. Its results are a chain
//! of objects, each named after the position of its first result and created once, so that two
//! gateways that both take themselves for the owner can't both write a position. A gateway that takes
//! a job over first puts a fence at the list's end, an object without results: the former owner, which
//! may be cut off and not know, can write nothing more, for it knows no name after the fence. The end of a job
//! is an object of its own, which is created without knowing anything else.

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
    store::{call_cause::StoreCallCause, client::StoreClient, reply::StoreFailure},
};

/// Kind of jobs, each named after its id.
pub const JOB_KIND: &str = "notch-jobs";
/// Kind of parts of jobs too large for one object.
pub const PART_KIND: &str = "notch-job-parts";
/// Kind of results.
pub const RESULT_KIND: &str = "notch-results";
/// Kind of ends of jobs, each named after its job.
pub const END_KIND: &str = "notch-job-ends";

/// A job as the store holds it.
#[derive(Debug)]
pub struct StoredJob {
    /// Its name.
    pub id: String,
    /// What was accepted.
    pub record: JobRecord,
    /// Who owns it now.
    pub status: JobStatus,
    /// Of its last change.
    pub revision: u64,
}

impl StoredJob {
    /// Decodes an object of [`JOB_KIND`]; `None` when it isn't one.
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

    /// Who owns it: the gateway that took it over last, else the one that accepted it.
    pub fn owner(&self) -> &str {
        if self.status.owner.is_empty() { &self.record.owner } else { &self.status.owner }
    }
}

/// One object of results.
#[derive(Debug, Serialize, Deserialize)]
struct ResultChunk {
    /// Who wrote it.
    writer: String,
    lines: Vec<Arc<ResultLine>>,
}

/// What became of results that were to be stored.
#[derive(Debug)]
pub enum ChunkOutcome {
    /// They stand at their position.
    Stored,
    /// Another gateway's results stand there, or its fence.
    Displaced {
        /// Who wrote them.
        writer: String,
        /// Those results; none for a fence.
        lines: Vec<Arc<ResultLine>>,
    },
}

/// Creates a job; false when it was there already.
///
/// # Errors
/// `Unknown` when it may be there or come to be; `NotDone` when it surely isn't by this call.
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

/// The parts of a text too long for one object: 0 when it isn't.
pub fn part_count(items_text: &str) -> usize {
    if items_text.len() <= OBJECT_BYTES { 0 } else { items_text.len().div_ceil(PART_BYTES) }
}

/// Bytes of one part: as a JSON string it may grow by its escaped quotes.
const PART_BYTES: usize = OBJECT_BYTES / 2;

/// The items' text as it stands in the record itself.
pub fn inline_items(items_text: &str, parts: usize) -> Box<RawValue> {
    let text = if parts == 0 { items_text } else { "null" };
    RawValue::from_string(text.to_owned())
        .unwrap_or_else(|_| to_raw_value(&()).expect("null always encodes"))
}

/// Reads a job; `None` when there is none.
///
/// # Errors
/// The store didn't answer.
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

/// The job with its items, whose parts are read where there are any.
///
/// # Errors
/// The store didn't answer, or a part isn't there.
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

/// The stored list of a job from a position on.
#[derive(Debug, Default)]
pub struct StoredList {
    /// The results.
    pub lines: Vec<Arc<ResultLine>>,
    /// Fences after the last of them.
    pub fences: u32,
}

/// Stored results from `position` on, where an object begins.
///
/// # Errors
/// The store didn't answer.
pub async fn read_results(
    store: &StoreClient,
    id: &str,
    position: usize,
    cause: StoreCallCause,
) -> Result<StoredList, StoreFailure> {
    walk_results(store, id, position, cause, |_| {}).await
}

/// Reads a job's objects of results from `position` on, one after the other, and tells the name of
/// each: only who has read one can name the next.
async fn walk_results(
    store: &StoreClient,
    id: &str,
    position: usize,
    cause: StoreCallCause,
    mut tell: impl FnMut(String),
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
        tell(name);
    }
}

/// Reads a job's whole list and puts a fence at its end, after which only `owner` can extend it.
///
/// # Errors
/// The store didn't answer.
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
            // The former owner was faster: what it wrote counts.
            ChunkOutcome::Displaced { .. } => {}
        }
    }
}

/// Stores results at `position`, after the fences that stand there.
///
/// # Errors
/// The store didn't answer: they may stand there or come to. Only the same ones may be tried again.
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

/// Creates an object of results, or of none, which is a fence.
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
    let there = decode_chunk(&reply.body)?;
    if there.writer == chunk.writer && there.lines == chunk.lines {
        return Ok(ChunkOutcome::Stored);
    }
    Ok(ChunkOutcome::Displaced { writer: there.writer, lines: there.lines })
}

/// Makes `owner` the job's owner, if nobody else became it since it was read.
///
/// # Errors
/// The store didn't answer: it may have become the owner.
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

/// Notes that all results of a job are stored. That stays true whoever owns it.
///
/// # Errors
/// The store didn't answer.
pub async fn close_job(store: &StoreClient, id: &str, owner: &str) -> Result<(), StoreFailure> {
    let status = JobStatus { owner: owner.to_owned(), closed: true };
    let body = status_body(id, None, &status);
    let wait = store.settings().call_timeout;
    store
        .call(StoreCallCause::JobClosed, "PUT", &status_path(JOB_KIND, id), Some(&body), wait)
        .await
        .map(|_| ())
}

/// Deletes all that the store holds of a job. Results go from the last to the first and the job
/// itself goes last, so that a deletion that broke off is found and ended later.
///
/// # Errors
/// The store didn't answer: a part of it may be left.
pub async fn delete_job(store: &StoreClient, job: &StoredJob) -> Result<(), StoreFailure> {
    let mut chunks = Vec::new();
    walk_results(store, &job.id, 0, StoreCallCause::Retention, |name| chunks.push(name)).await?;
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
/// The store didn't answer.
pub async fn store_end(store: &StoreClient, id: &str) -> Result<(), StoreFailure> {
    create(store, StoreCallCause::EndStored, END_KIND, id, &()).await.map(|_| ())
}

/// Whether a job's end is stored.
///
/// # Errors
/// The store didn't answer.
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

/// Cuts a text into `parts` parts, none in the middle of a character.
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
