//! Callers' jobs: intake, status, results, cancellation; and stored answers of online requests.

use std::sync::Arc;

use async_std::task;
use notch_callers::prelude::*;
use notch_catalogue::TargetEntry;
use notch_http::prelude::*;
use notch_messages::prelude::*;
use notch_platform::ObjectApi;
use notch_settings::GatewayConfig;
use notch_types::{hash::stable_hash128, prelude::*};

use crate::traffic::{chunk_store::ChunkStore, shard_client::ShardClient};

/// Result lines asked of a shard's owner at once.
const PAGE_LINES: u32 = 256;

/// Times that a job whose chunks became too old is submitted anew.
const ACCEPT_TRIES: usize = 3;

/// Serves callers' jobs.
pub struct JobDesk {
    objects: Arc<dyn ObjectApi>,
    client: ShardClient,
    shards: u16,
    intake: IntakeSettings,
}

impl JobDesk {
    /// A desk over the object API and the shards' owners.
    pub fn new(config: &GatewayConfig, objects: Arc<dyn ObjectApi>, client: ShardClient) -> Self {
        let intake = IntakeSettings {
            line_bytes: config.jobs.max_line as usize,
            item_count: config.jobs.max_items,
            ..IntakeSettings::default()
        };
        Self { objects, client, shards: config.ledger.shards, intake }
    }

    /// Takes a job in. The caller is told of its acceptance only once it is in the ledger.
    ///
    /// # Errors
    /// A refusal; nothing was accepted where it says not run.
    pub async fn submit(
        &self,
        account: AccountName,
        call: JobCall,
        entry: &TargetEntry,
    ) -> Result<Response, Refusal> {
        if !entry.class.takes_batch() {
            let detail = "the target takes online work only";
            return Err(Refusal::not_run(RefusalReason::BadRequest, detail));
        }
        let mut upload = JobUpload::new(call.body, self.intake.clone());
        let Some(first) = upload.next_chunk().await? else {
            return Err(Refusal::not_run(RefusalReason::BadRequest, "the job has no items"));
        };
        let key = call.options.key.as_deref();
        let place = self.place_of(&account, &call.target, key, &first);
        let mut chunks = ChunkStore::new(Arc::clone(&self.objects), place.shard, place.digest);
        chunks.push(first.first, first.payload).await?;
        while let Some(chunk) = upload.next_chunk().await? {
            chunks.push(chunk.first, chunk.payload).await?;
        }
        let summary = upload.summary().ok_or_else(ShardClient::strange)?;
        let job = match key {
            Some(_) => place,
            None => keyless_job(&account, &call.target, place.shard, summary.content),
        };
        let submission = JobSubmission {
            job,
            account,
            target: call.target,
            due: call.due,
            item_count: summary.item_count,
            idempotent: call.idempotent && entry.idempotent,
            max_attempts: entry.batch.max_attempts,
            retention_ms: entry.retention_ms(),
            chunks: chunks.finish().await?,
            content: summary.content,
            attempt: rand::random_range(1..=u64::MAX),
        };
        self.accept(submission, &chunks).await
    }

    /// Has the owner commit the job; chunks that have become too old meanwhile are written anew.
    async fn accept(
        &self,
        mut submission: JobSubmission,
        chunks: &ChunkStore,
    ) -> Result<Response, Refusal> {
        for _ in 0..ACCEPT_TRIES {
            let ask = ShardRequest::SubmitJob(submission.clone());
            match self.client.ask(submission.job.shard, ask).await? {
                ShardAnswer::JobAccepted { progress, resend } => {
                    return Ok(accepted_response(&progress, resend));
                }
                ShardAnswer::ChunksStale(stale) => {
                    chunks.renew(&mut submission.chunks, &stale).await?;
                }
                _ => return Err(ShardClient::strange()),
            }
        }
        let detail = "the job's input grew too old while it was stored; nothing was accepted";
        Err(Refusal::not_run(RefusalReason::StoreUnavailable, detail).retry_after(2_000))
    }

    /// Answers everything else that an account may ask.
    ///
    /// # Errors
    /// A refusal.
    pub async fn ask(&self, account: AccountName, route: CallRoute) -> Result<Response, Refusal> {
        match route {
            CallRoute::JobStatus(job) => {
                let progress = self.progress(ShardRequest::JobStatus { job, account }, job).await?;
                Ok(job_response(&progress))
            }
            CallRoute::CancelJob(job) => {
                let progress = self.progress(ShardRequest::CancelJob { job, account }, job).await?;
                Ok(job_response(&progress))
            }
            CallRoute::JobResults { job, from, limit } => {
                self.results(account, job, from, limit).await
            }
            CallRoute::OnlineResult { key } => self.stored_answer(account, &key).await,
            _ => Err(Refusal::not_run(RefusalReason::NotFound, "no such path")),
        }
    }

    /// The job's id where a key names it; else where its chunks go. Without a key the id depends
    /// on the whole input, but the shard must be known before the first chunk is written: it goes
    /// by the first chunk, which is the same in a resend.
    fn place_of(
        &self,
        account: &AccountName,
        target: &TargetName,
        key: Option<&str>,
        first: &IntakeChunk,
    ) -> JobId {
        match key {
            Some(key) => JobId::derive(account, key, self.shards),
            None => {
                let head = stable_hash128(&[target.as_str().as_bytes(), &first.payload]);
                JobId::derive(account, &format!("head {head:032x}"), self.shards)
            }
        }
    }

    async fn progress(&self, request: ShardRequest, job: JobId) -> Result<JobProgress, Refusal> {
        match self.client.ask(self.known_shard(job)?, request).await? {
            ShardAnswer::Job(progress) => Ok(progress),
            _ => Err(ShardClient::strange()),
        }
    }

    fn known_shard(&self, job: JobId) -> Result<ShardId, Refusal> {
        if job.shard.0 < self.shards {
            Ok(job.shard)
        } else {
            Err(Refusal::not_run(RefusalReason::NotFound, "no such job"))
        }
    }

    /// Streams result lines page by page; memory holds one page, whatever the job's size.
    async fn results(
        &self,
        account: AccountName,
        job: JobId,
        from: ItemIndex,
        limit: Option<u32>,
    ) -> Result<Response, Refusal> {
        self.known_shard(job)?;
        let mut pages = ResultPages {
            client: self.client.clone(),
            account,
            job,
            next: Some(from),
            left: limit.unwrap_or(u32::MAX),
        };
        let first = pages.next_page().await?;
        let (sender, body) = streamed_body();
        task::spawn(async move { pages.send_all(first, sender).await });
        let mut response = Response::new(StatusCode::Ok);
        response.set_body(body);
        response.insert_header("content-type", "application/x-ndjson");
        Ok(response)
    }

    async fn stored_answer(&self, account: AccountName, key: &str) -> Result<Response, Refusal> {
        let request = RequestId::keyed(&account, key);
        let fetch = ShardRequest::FetchAnswer { request, account };
        match self.client.ask(request.shard(self.shards), fetch).await? {
            ShardAnswer::Answer(Some(answer)) => Ok(answer_response(&answer)),
            ShardAnswer::Answer(None) => {
                let detail = "no answer is stored under this key";
                Err(Refusal::not_run(RefusalReason::NotFound, detail))
            }
            _ => Err(ShardClient::strange()),
        }
    }
}

/// Without a key the same input for the same target is the same job.
fn keyless_job(account: &AccountName, target: &TargetName, shard: ShardId, content: u128) -> JobId {
    let parts: [&[u8]; 4] = [
        b"job by content",
        account.as_str().as_bytes(),
        target.as_str().as_bytes(),
        &content.to_le_bytes(),
    ];
    JobId { shard, digest: stable_hash128(&parts) }
}

/// Pages through a job's results.
struct ResultPages {
    client: ShardClient,
    account: AccountName,
    job: JobId,
    next: Option<ItemIndex>,
    left: u32,
}

impl ResultPages {
    /// The next page's lines as NDJSON; empty when an interval has no result yet.
    async fn next_page(&mut self) -> Result<Vec<u8>, Refusal> {
        let Some(from) = self.next.filter(|_| self.left > 0) else {
            self.next = None;
            return Ok(Vec::new());
        };
        let request = ShardRequest::JobResults {
            job: self.job,
            account: self.account.clone(),
            from,
            limit: self.left.min(PAGE_LINES),
        };
        match self.client.ask(self.job.shard, request).await? {
            ShardAnswer::Results { lines, next, .. } => {
                self.left = self.left.saturating_sub(lines.len() as u32);
                self.next = next.filter(|_| self.left > 0);
                Ok(lines.iter().filter_map(result_line).flatten().collect())
            }
            _ => Err(ShardClient::strange()),
        }
    }

    /// Sends all pages. One that can't be had cuts the body, so that a part of the results can't
    /// be taken for all of them.
    async fn send_all(mut self, first: Vec<u8>, sender: BodySender) {
        let mut page = first;
        loop {
            if sender.send(page).await.is_err() {
                return;
            }
            if self.next.is_none() {
                let _ = sender.finish().await;
                return;
            }
            match self.next_page().await {
                Ok(lines) => page = lines,
                Err(_) => return,
            }
        }
    }
}
