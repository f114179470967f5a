//! The stored representation of jobs.
//!
//! A job is one object that is created once: a repeated submission finds it there. Its results are separate, see
//! [`result_objects`](super::result_objects). The end of a job is a separate object, so that it can be created without
//! reading anything first.

use notch_platform_wire::{
    prelude::{JobRecord, JobStatus, StoreObject},
    store::{decode, list_path, object_path, spec_body, status_body, status_path},
};
use notch_relay::prelude::*;
use serde::Serialize;
use serde_json::value::{RawValue, to_raw_value};

use crate::{
    batch::result_objects::result_names,
    store::{
        call_cause::StoreCallCause,
        client::StoreClient,
        object_kinds::{END_KIND, JOB_KIND, PART_KIND},
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

    /// The same without the items that its own object holds.
    pub fn without_items(mut self) -> Self {
        self.record.items = inline_items("", 1);
        self
    }

    /// The owner: the gateway that took the job over last, or else the one that accepted it.
    pub fn owner(&self) -> &str {
        if self.status.owner.is_empty() { &self.record.owner } else { &self.status.owner }
    }
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

/// Number of parts of a text that does not fit into one object of at most `bytes` beside the other fields of `record`; 0
/// if it does.
pub fn part_count(items_text: &str, record: &JobRecord, bytes: usize) -> usize {
    let head = serde_json::to_string(record).map_or(bytes, |text| json_document_bytes(&text));
    let size = json_document_bytes(items_text);
    if head + size <= bytes { 0 } else { items_text.len().div_ceil(bytes / MAX_PART_GROWTH) }
}

/// Largest factor by which a part of a JSON document may grow as a JSON string: quotation marks become two bytes, and two
/// bytes of what is not ASCII six.
const MAX_PART_GROWTH: usize = 3;

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
    // Without its end, a job that is not closed would run again if the deletion stopped there.
    if !job.status.closed {
        close_job(store, &job.id, job.owner()).await?;
    }
    for (kind, name) in result_names(store, &job.id).await? {
        delete(store, kind, &name).await?;
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
