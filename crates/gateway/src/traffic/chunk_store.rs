//! Writes a job's chunks to the object API while its lines still arrive.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use async_std::task;
use futures_util::{StreamExt, stream::FuturesOrdered};
use notch_messages::prelude::*;
use notch_platform::ObjectApi;
use notch_types::{
    object::{StoreFailure, StoreOp, StoreReply, StoredObject, WriteCondition},
    prelude::*,
};

/// Chunks on their way at once: bounds memory to this many chunks a job.
const IN_FLIGHT: usize = 4;
/// Tries of one chunk.
const TRIES: u32 = 5;
/// First pause between tries; doubled each time.
const PAUSE: Duration = Duration::from_millis(100);

type ChunkWrite = task::JoinHandle<Result<(JobChunk, Instant), Refusal>>;

/// Writes one job's chunks.
pub struct ChunkStore {
    objects: Arc<dyn ObjectApi>,
    /// What the chunks' keys start with: `chunk/{shard}/{digest of the job's key}/`.
    prefix: String,
    /// Drawn for each submission: two submissions of one job at once never meet on a key, so
    /// that none overwrites or ages what the other relies on.
    nonce: u64,
    written: Vec<(JobChunk, Instant)>,
    writing: FuturesOrdered<ChunkWrite>,
    count: usize,
}

impl ChunkStore {
    /// For a job of `shard`.
    pub fn new(objects: Arc<dyn ObjectApi>, shard: ShardId, digest: u128) -> Self {
        Self {
            objects,
            prefix: format!("chunk/{:04x}/{digest:032x}/", shard.0),
            nonce: rand::random(),
            written: Vec::new(),
            writing: FuturesOrdered::new(),
            count: 0,
        }
    }

    /// Starts writing the next chunk; waits while too many are on their way.
    ///
    /// # Errors
    /// When an earlier one could not be written.
    pub async fn push(&mut self, first: ItemIndex, bytes: Payload) -> Result<(), Refusal> {
        while self.writing.len() >= IN_FLIGHT {
            self.settle_one().await?;
        }
        let key = format!("{}{:06}-{:016x}", self.prefix, self.count, self.nonce);
        self.count += 1;
        let objects = Arc::clone(&self.objects);
        self.writing.push_back(task::spawn(write_chunk(objects, key, first, bytes)));
        Ok(())
    }

    /// Waits for all chunks; each carries its age by now.
    ///
    /// # Errors
    /// When one could not be written: nothing was accepted then.
    pub async fn finish(&mut self) -> Result<Vec<JobChunk>, Refusal> {
        while !self.writing.is_empty() {
            self.settle_one().await?;
        }
        let aged = |(chunk, written): (JobChunk, Instant)| JobChunk {
            age_ms: written.elapsed().as_millis() as u64,
            ..chunk
        };
        Ok(std::mem::take(&mut self.written).into_iter().map(aged).collect())
    }

    /// Writes chunks anew, under new keys: the owner found these too old to be named, because the
    /// rest of the upload took long. Their bytes are read back, not held meanwhile.
    ///
    /// # Errors
    /// When one is gone already or can't be written; nothing was accepted then.
    pub async fn renew(&self, chunks: &mut [JobChunk], stale: &[ItemIndex]) -> Result<(), Refusal> {
        for chunk in chunks.iter_mut().filter(|chunk| stale.contains(&chunk.first)) {
            let read = self.objects.call(StoreOp::Get { key: chunk.key.clone() }).await;
            let Ok(StoreReply::Object(Some(StoredObject { value: Some(value), .. }))) = read else {
                return Err(not_stored());
            };
            let key = format!("{}{:06}-{:016x}", self.prefix, chunk.first.0, rand::random::<u64>());
            let objects = Arc::clone(&self.objects);
            let (written, _) = write_chunk(objects, key, chunk.first, value).await?;
            *chunk = written;
        }
        Ok(())
    }

    async fn settle_one(&mut self) -> Result<(), Refusal> {
        if let Some(written) = self.writing.next().await {
            self.written.push(written?);
        }
        Ok(())
    }
}

/// Writes one chunk. A repeated write of the same bytes under the same key does no harm, so a
/// lost answer is simply tried again.
async fn write_chunk(
    objects: Arc<dyn ObjectApi>,
    key: String,
    first: ItemIndex,
    value: Payload,
) -> Result<(JobChunk, Instant), Refusal> {
    let mut pause = PAUSE;
    for _ in 0..TRIES {
        // The age counts from before the write: it may only look older than it is.
        let started = Instant::now();
        let put = StoreOp::Put {
            key: key.clone(),
            value: value.clone(),
            condition: WriteCondition::Always,
        };
        match objects.call(put).await {
            Ok(StoreReply::Written(_)) => return Ok((JobChunk { key, first, age_ms: 0 }, started)),
            Ok(_) | Err(StoreFailure::TooLarge | StoreFailure::Malformed) => break,
            Err(StoreFailure::Throttled { retry_after_ms }) => {
                task::sleep(Duration::from_millis(retry_after_ms).max(pause)).await;
            }
            Err(_) => task::sleep(pause.mul_f64(0.5 + 0.5 * rand::random::<f64>())).await,
        }
        pause *= 2;
    }
    Err(not_stored())
}

fn not_stored() -> Refusal {
    let detail = "the job's input can't be stored now; nothing was accepted";
    Refusal::not_run(RefusalReason::StoreUnavailable, detail).retry_after(2_000)
}
