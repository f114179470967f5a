//! Lists the jobs in the store.

use notch_platform_wire::{prelude::StoreObject, store::ObjectMetadata};
use notch_types::prelude::*;

use crate::{
    batch::records::StoredJob,
    node::EntryNode,
    store::{
        call_cause::StoreCallCause,
        feed::{StorePath, list_all},
        object_kinds::JOB_KIND,
        reply::StoreFailure,
    },
};

/// Lists every job. One that cannot be decoded, for example after a write by another program, is
/// skipped and logged once per revision.
///
/// # Errors
/// The store did not answer, or not with a list.
pub async fn list_jobs(
    node: &EntryNode,
    path: StorePath,
    cause: StoreCallCause,
) -> Result<Vec<StoredJob>, StoreFailure> {
    let (objects, _) = list_all(&node.store, JOB_KIND, path, cause).await?;
    let mut jobs = Vec::new();
    for object in &objects {
        match StoredJob::decode(object) {
            Some(job) => jobs.push(job),
            None => note_undecodable(node, object),
        }
    }
    Ok(jobs)
}

fn note_undecodable(node: &EntryNode, object: &StoreObject) {
    let ObjectMetadata { name, revision } = &object.metadata;
    if node.jobs().note_unreadable(name, *revision) {
        node.log.error("stored_job_refused", &[("job", name), ("revision", revision)]);
        node.metrics.count(Counter::Event("stored_jobs_refused"));
    }
}
