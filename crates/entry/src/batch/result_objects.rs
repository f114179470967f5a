//! The stored results of jobs: a chain of objects.
//!
//! Each object is named after the position of its first result and created once, so that two gateways that both believe
//! they own the job cannot both write a position. A gateway that takes a job over first puts a fence, an object without
//! results, at the end of the list. The former owner, which may be cut off and not know of the takeover, can write
//! nothing more, as it does not know the names after the fence.
//!
//! A result that is too large for one object is stored in parts, which are complete before the object of the chain that
//! names them is created.

use std::sync::Arc;

use notch_platform_wire::{
    prelude::StoreObject,
    store::{decode, list_path, object_path, spec_body},
};
use notch_relay::prelude::*;
use notch_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::store::{
    call_cause::StoreCallCause,
    client::StoreClient,
    object_kinds::{RESULT_KIND, RESULT_PART_KIND},
    reply::StoreFailure,
};

/// One object of results. Invariant: has either lines or a large result. A gateway that knows no large results can't read
/// an object without lines, so that it shows no result as shorter than it is.
#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ResultChunk {
    /// The gateway that wrote it.
    writer: String,
    /// The results; none for a fence.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    lines: Option<Vec<Arc<ResultLine>>>,
    /// One result whose output is stored in parts.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    large: Option<LargeResult>,
}

/// A result whose output is stored in parts.
#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
struct LargeResult {
    /// The result without its output.
    line: ResultLine,
    /// Names of the objects that hold the output, in order.
    parts: Vec<String>,
}

impl ResultChunk {
    /// Number of its results.
    fn count(&self) -> usize {
        self.lines.as_ref().map_or(1, Vec::len)
    }

    /// Names of the objects that hold parts of it.
    fn parts(&self) -> &[String] {
        self.large.as_ref().map_or(&[], |large| &large.parts)
    }
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

/// A job's stored result list from some position on.
#[derive(Debug, Default)]
pub struct StoredList {
    /// The results.
    pub lines: Vec<Arc<ResultLine>>,
    /// Number of fences after the last of them.
    pub fences: u32,
}

/// Results at a position of a job's stored list.
#[derive(Debug, Clone, Copy)]
pub struct PlacedResults<'a> {
    /// Id of the job.
    pub job: &'a str,
    /// Number of results before them.
    pub position: usize,
    /// Number of fences before them, at that position.
    pub fences: u32,
    /// The results.
    pub lines: &'a [Arc<ResultLine>],
}

/// Reads the stored results from `position` on, where an object has to begin.
///
/// # Errors
/// The store did not answer, or a part of a result is missing.
pub async fn read_results(
    store: &StoreClient,
    id: &str,
    position: usize,
    cause: StoreCallCause,
) -> Result<StoredList, StoreFailure> {
    let mut list = StoredList::default();
    loop {
        let name = chunk_name(id, position + list.lines.len(), list.fences);
        let Some(chunk) = read_chunk(store, cause, &name).await? else { return Ok(list) };
        list.fences = if chunk.count() == 0 { list.fences + 1 } else { 0 };
        list.lines.extend(chunk_lines(store, cause, chunk).await?);
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
    let cause = StoreCallCause::JobTakenOver;
    loop {
        let mut list = read_results(store, id, 0, cause).await?;
        let (position, fences) = (list.lines.len(), list.fences);
        let chunk = ResultChunk { writer: owner.to_owned(), lines: Some(Vec::new()), large: None };
        let name = chunk_name(id, position, fences);
        match store_chunk(store, cause, &name, &chunk).await? {
            ChunkOutcome::Stored => {
                list.fences += 1;
                return Ok(list);
            }
            // The former owner wrote first: its results are part of the list.
            ChunkOutcome::Displaced { .. } => {}
        }
    }
}

/// Stores results, in objects of at most `bytes` each.
///
/// # Errors
/// `Refused` if the store refuses them for good; else it did not answer: the results may be or become stored, and only
/// the same results may be retried at that position.
pub async fn store_results(
    store: &StoreClient,
    writer: &str,
    placed: PlacedResults<'_>,
    bytes: usize,
) -> Result<ChunkOutcome, StoreFailure> {
    let cause = StoreCallCause::ResultsStored;
    let name = chunk_name(placed.job, placed.position, placed.fences);
    let writer = writer.to_owned();
    let chunk = match placed.lines {
        [line] if line.json_bytes() > bytes => {
            let large = store_parts(store, &name, line, bytes).await?;
            ResultChunk { writer, lines: None, large: Some(large) }
        }
        lines => ResultChunk { writer, lines: Some(lines.to_vec()), large: None },
    };
    let outcome = store_chunk(store, cause, &name, &chunk).await?;
    if matches!(outcome, ChunkOutcome::Displaced { .. }) {
        // Best effort: nothing names them.
        let _ = delete_all(store, RESULT_PART_KIND, chunk.parts()).await;
    }
    Ok(outcome)
}

/// Names of the objects that hold a job's results, as pairs of kind and name, in an order in which they can be deleted
/// so that an interrupted deletion finds the rest.
///
/// # Errors
/// The store did not answer.
pub async fn result_names(
    store: &StoreClient,
    id: &str,
) -> Result<Vec<(&'static str, String)>, StoreFailure> {
    let mut names = Vec::new();
    let (mut position, mut fences) = (0, 0);
    loop {
        let name = chunk_name(id, position, fences);
        let Some(chunk) = read_chunk(store, StoreCallCause::Retention, &name).await? else { break };
        fences = if chunk.count() == 0 { fences + 1 } else { 0 };
        position += chunk.count();
        names.push((RESULT_KIND, name));
        names.extend(chunk.parts().iter().map(|part| (RESULT_PART_KIND, part.clone())));
    }
    names.reverse();
    Ok(names)
}

/// Stores the output of a result in parts. Their names follow from the contents, so that a repetition finds the same.
async fn store_parts(
    store: &StoreClient,
    chunk: &str,
    line: &ResultLine,
    bytes: usize,
) -> Result<LargeResult, StoreFailure> {
    let ResultLine { id, state, output } = line;
    let mut parts = Vec::new();
    for (index, piece) in split_json_string(output, bytes).into_iter().enumerate() {
        let contents = stable_hash64(&[id.as_bytes(), output.as_bytes(), &bytes.to_le_bytes()]);
        let name = format!("{chunk}.{contents:016x}.{index:03}");
        let body = spec_body(&name, None, &piece);
        create(store, StoreCallCause::ResultsStored, RESULT_PART_KIND, &body).await?;
        parts.push(name);
    }
    let line = ResultLine { id: id.clone(), state: *state, output: String::new() };
    Ok(LargeResult { line, parts })
}

/// Creates a result object. One without results is a fence.
async fn store_chunk(
    store: &StoreClient,
    cause: StoreCallCause,
    name: &str,
    chunk: &ResultChunk,
) -> Result<ChunkOutcome, StoreFailure> {
    let body = spec_body(name, None, chunk);
    let Some(existing) = create(store, cause, RESULT_KIND, &body).await? else {
        return Ok(ChunkOutcome::Stored);
    };
    let existing = decode_chunk(&existing)?;
    if existing == *chunk {
        return Ok(ChunkOutcome::Stored);
    }
    let writer = existing.writer.clone();
    Ok(ChunkOutcome::Displaced { writer, lines: chunk_lines(store, cause, existing).await? })
}

/// Creates an object. Returns what the store answered if there was one of that name.
async fn create(
    store: &StoreClient,
    cause: StoreCallCause,
    kind: &str,
    body: &[u8],
) -> Result<Option<Vec<u8>>, StoreFailure> {
    let wait = store.settings().call_timeout;
    let reply = store.call(cause, "POST", &list_path(kind, None), Some(body), wait).await?;
    Ok((!reply.is_success()).then_some(reply.body))
}

/// Deletes objects of a kind.
async fn delete_all(store: &StoreClient, kind: &str, names: &[String]) -> Result<(), StoreFailure> {
    let wait = store.settings().call_timeout;
    for name in names {
        let path = object_path(kind, name);
        store.call(StoreCallCause::ResultsStored, "DELETE", &path, None, wait).await?;
    }
    Ok(())
}

async fn read_chunk(
    store: &StoreClient,
    cause: StoreCallCause,
    name: &str,
) -> Result<Option<ResultChunk>, StoreFailure> {
    let reply = store.get(cause, &object_path(RESULT_KIND, name)).await?;
    if reply.is_success() { decode_chunk(&reply.body).map(Some) } else { Ok(None) }
}

/// The results of an object, with the parts of a large one.
async fn chunk_lines(
    store: &StoreClient,
    cause: StoreCallCause,
    chunk: ResultChunk,
) -> Result<Vec<Arc<ResultLine>>, StoreFailure> {
    let Some(LargeResult { mut line, parts }) = chunk.large else {
        return Ok(chunk.lines.unwrap_or_default());
    };
    for part in &parts {
        let reply = store.get(cause, &object_path(RESULT_PART_KIND, part)).await?;
        if !reply.is_success() {
            return Err(StoreFailure::NotDone);
        }
        let piece: String = decode_spec(&reply.body)?;
        line.output.push_str(&piece);
    }
    Ok(vec![Arc::new(line)])
}

fn decode_chunk(body: &[u8]) -> Result<ResultChunk, StoreFailure> {
    let chunk: ResultChunk = decode_spec(body)?;
    if chunk.lines.is_some() == chunk.large.is_some() {
        return Err(StoreFailure::Unknown);
    }
    Ok(chunk)
}

fn decode_spec<T: for<'de> Deserialize<'de>>(body: &[u8]) -> Result<T, StoreFailure> {
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
