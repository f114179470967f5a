//! One large job at a service whose ledger commits at once and keeps nothing: for measuring what
//! an item costs. No store, no links.

use std::time::{Duration, Instant};

use notch_messages::prelude::*;
use notch_types::prelude::*;

use crate::prelude::*;

/// Lines in a chunk object.
pub const CHUNK_LINES: u32 = 5_000;
/// Items in a lot.
pub const LOT_ITEMS: u32 = 8;
/// Bytes of a result's body.
pub const RESULT_BYTES: usize = 200;
const SHARD: ShardId = ShardId(0);
const JOB: JobId = JobId { shard: SHARD, digest: 1 };
const TARGET: &str = "statement-matching";

/// The lines of the chunk that starts at `first`.
fn chunk(first: u32, items: u32) -> Payload {
    let line = |item: u32| {
        format!(
            "{{\"custom_id\":\"statement-{item}\",\"body\":{{\"line\":{item},\"text\":\"{item:0>100}\"}}}}\n"
        )
    };
    let lines = first..(first + CHUNK_LINES).min(items);
    Payload::from(lines.map(line).collect::<String>().as_str())
}

/// The service with a ledger that commits at once and keeps nothing.
pub struct BigJob {
    /// The service.
    pub service: ShardService,
    items: u32,
    now: Now,
    seq: u64,
    call: u64,
    lots: Vec<LotGrant>,
    /// Items whose results were settled.
    pub settled: u64,
    /// Bytes of records appended.
    pub ledger_bytes: usize,
    /// Chunk objects read.
    pub reads: u32,
    /// Pulls made.
    pub pulls: u32,
    /// Time spent on pulls.
    pub pull_time: Duration,
    /// Time spent on results.
    pub done_time: Duration,
}

impl BigJob {
    /// A job of `items` items, accepted.
    pub fn new(items: u32) -> Self {
        let settings = JobSettings { chunk_cache_bytes: 4 << 20, ..JobSettings::default() };
        let mut run = Self {
            service: ShardService::new(SHARD, settings),
            items,
            now: Now::at_millis(1_000),
            seq: 0,
            call: 0,
            lots: Vec::new(),
            settled: 0,
            ledger_bytes: 0,
            reads: 0,
            pulls: 0,
            pull_time: Duration::ZERO,
            done_time: Duration::ZERO,
        };
        run.handle(ServiceEvent::Owned { epoch: Epoch(1) });
        run.submit();
        run
    }

    fn submit(&mut self) {
        let firsts = (0..self.items).step_by(CHUNK_LINES as usize);
        let chunks = firsts.map(|first| JobChunk {
            key: first.to_string(),
            first: ItemIndex(first),
            age_ms: 0,
        });
        let chunks = chunks.collect();
        self.ask(ShardRequest::SubmitJob(JobSubmission {
            job: JOB,
            account: AccountName::new("raiffalm"),
            target: TargetName::new(TARGET),
            due: WallTime(28_800_000),
            item_count: self.items,
            idempotent: true,
            max_attempts: 3,
            retention_ms: 86_400_000,
            chunks,
            content: 1,
            attempt: 0,
        }));
    }

    /// Pulls lots and settles their results until nothing is left, or `most` lots were pulled.
    pub fn run(&mut self, most: u32) {
        for _ in 0..most {
            let started = Instant::now();
            self.ask(ShardRequest::Pull(LotPull {
                vm: VmName::new("target-1"),
                incarnation: Incarnation(1),
                target: TargetName::new(TARGET),
                slots: LOT_ITEMS,
            }));
            self.pull_time += started.elapsed();
            self.pulls += 1;
            let Some(lot) = self.lots.pop() else { break };
            let result = |item: &LotItem| ItemResult {
                key: item.key,
                lot: lot.lot,
                attempt: item.attempt,
                outcome: ItemOutcome::Answered {
                    status: 200,
                    body: Payload(vec![b'x'; RESULT_BYTES]),
                },
            };
            let results: Vec<ItemResult> = lot.items.iter().map(result).collect();
            let started = Instant::now();
            self.ask(ShardRequest::ItemsDone(results));
            self.done_time += started.elapsed();
        }
    }

    /// Bytes of the job's table of items.
    pub fn table_bytes(&self) -> usize {
        self.service.state().job(JOB).map_or(0, |job| job.items().memory_bytes())
    }

    fn handle(&mut self, event: ServiceEvent) {
        let mut effects = Vec::new();
        self.service.handle(self.now, event, &mut effects);
        for effect in effects {
            match effect {
                ServiceEffect::Append { ticket, records, .. } => self.commit(ticket, records),
                ServiceEffect::ReadObject { key } => {
                    self.reads += 1;
                    let result = key
                        .parse()
                        .map(|first| chunk(first, self.items))
                        .map_err(|_| ReadFailure::Gone);
                    self.handle(ServiceEvent::ObjectRead { key, result });
                }
                ServiceEffect::Answer { answer: ShardAnswer::Lot(lot), .. } => self.lots.push(lot),
                ServiceEffect::Answer { answer: ShardAnswer::ItemsSettled(keys), .. } => {
                    self.settled += keys.len() as u64;
                }
                _ => {}
            }
        }
    }

    fn commit(&mut self, ticket: AppendTicket, records: Vec<Payload>) {
        let first_seq = self.seq;
        for record in records {
            self.ledger_bytes += record.len();
            self.seq += 1;
            self.handle(ServiceEvent::Apply { seq: self.seq - 1, record });
        }
        self.handle(ServiceEvent::Committed { ticket, first_seq });
    }

    fn ask(&mut self, request: ShardRequest) {
        self.call += 1;
        let (from, call) = (VmName::new("entry-1"), CallId(self.call));
        self.handle(ServiceEvent::Asked { from, call, request });
    }
}
