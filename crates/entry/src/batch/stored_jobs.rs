//! Visits the jobs in the store.

use notch_platform_wire::{prelude::StoreObject, store::ObjectMetadata};
use notch_types::prelude::*;

use crate::{
    batch::records::StoredJob,
    node::EntryNode,
    store::{
        call_cause::StoreCallCause,
        feed::{StorePath, list_pages},
        object_kinds::JOB_KIND,
        reply::StoreFailure,
    },
};

/// Visits every job of the store, page by page: together, the jobs of an hour may exceed the memory of a VM. One that
/// cannot be decoded, for example after a write by another program, is skipped and logged once per revision.
///
/// # Errors
/// The store did not answer, or not with a list. Some jobs may have been visited.
pub async fn visit_jobs(
    node: &EntryNode,
    path: StorePath,
    cause: StoreCallCause,
    mut visit: impl FnMut(StoredJob),
) -> Result<(), StoreFailure> {
    let on_page = |page: Vec<StoreObject>| {
        for object in &page {
            match StoredJob::decode(object) {
                Some(job) => visit(job),
                None => note_undecodable(node, object),
            }
        }
    };
    list_pages(&node.store, JOB_KIND, path, cause, on_page).await.map(|_| ())
}

fn note_undecodable(node: &EntryNode, object: &StoreObject) {
    let ObjectMetadata { name, revision } = &object.metadata;
    if node.jobs().note_unreadable(name, *revision) {
        node.log.error("stored_job_refused", &[("job", name), ("revision", revision)]);
        node.metrics.count(Counter::Event("stored_jobs_refused"));
    }
}
