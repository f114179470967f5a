//! One job of 860,000 items through the service: memory per 100,000 items, and time per pull and
//! per result. `cargo run --release -p notch-jobs --example big_job`
#![allow(clippy::print_stdout, reason = "a measurement prints its figures")]

use std::{fs, time::Instant};

use notch_jobs::prelude::*;
use notch_messages::prelude::*;
use notch_types::prelude::*;

const ITEMS: u32 = 860_000;
const CHUNK_LINES: u32 = 5_000;
const LOT_ITEMS: u32 = 8;

/// Resident memory of this process, KiB.
fn resident_kib() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.trim().split(' ').next()?.parse().ok()).unwrap_or(0)
}

fn chunk(first: u32) -> Payload {
    let line = |item: u32| {
        format!(
            "{{\"custom_id\":\"statement-{item}\",\"body\":{{\"line\":{item},\"text\":\"{item:0>100}\"}}}}\n"
        )
    };
    let lines = first..(first + CHUNK_LINES).min(ITEMS);
    Payload::from(lines.map(line).collect::<String>().as_str())
}

/// The service with a ledger that commits at once and keeps nothing.
struct BigRun {
    service: ShardService,
    now: Now,
    seq: u64,
    call: u64,
    lots: Vec<LotGrant>,
    settled: u64,
    ledger_bytes: usize,
    reads: u32,
}

impl BigRun {
    fn handle(&mut self, event: ServiceEvent) {
        let mut effects = Vec::new();
        self.service.handle(self.now, event, &mut effects);
        for effect in effects {
            match effect {
                ServiceEffect::Append { ticket, records, .. } => self.commit(ticket, records),
                ServiceEffect::ReadObject { key } => {
                    self.reads += 1;
                    let result = Ok(chunk(key.parse().expect("a chunk's first item")));
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

fn main() {
    let before = resident_kib();
    let shard = ShardId(0);
    let settings = JobSettings { chunk_cache_bytes: 4 << 20, ..JobSettings::default() };
    let mut run = BigRun {
        service: ShardService::new(shard, settings),
        now: Now::at_millis(1_000),
        seq: 0,
        call: 0,
        lots: Vec::new(),
        settled: 0,
        ledger_bytes: 0,
        reads: 0,
    };
    run.handle(ServiceEvent::Owned { epoch: Epoch(1) });
    let job = JobId { shard, digest: 1 };
    let target = TargetName::new("statement-matching");
    let firsts = (0..ITEMS).step_by(CHUNK_LINES as usize);
    let chunks =
        firsts.map(|first| JobChunk { key: first.to_string(), first: ItemIndex(first), age_ms: 0 });
    run.ask(ShardRequest::SubmitJob(JobSubmission {
        job,
        account: AccountName::new("raiffalm"),
        target: target.clone(),
        due: WallTime(28_800_000),
        item_count: ITEMS,
        idempotent: true,
        max_attempts: 3,
        retention_ms: 86_400_000,
        chunks: chunks.collect(),
        content: 1,
    }));
    let (mut pull_time, mut done_time, mut pulls) = (0.0, 0.0, 0_u32);
    loop {
        let started = Instant::now();
        run.ask(ShardRequest::Pull(LotPull {
            vm: VmName::new("target-1"),
            incarnation: Incarnation(1),
            target: target.clone(),
            slots: LOT_ITEMS,
        }));
        pull_time += started.elapsed().as_secs_f64();
        pulls += 1;
        let Some(lot) = run.lots.pop() else { break };
        let result = |item: &LotItem| ItemResult {
            key: item.key,
            lot: lot.lot,
            attempt: item.attempt,
            outcome: ItemOutcome::Answered { status: 200, body: Payload(vec![b'x'; 200]) },
        };
        let results: Vec<ItemResult> = lot.items.iter().map(result).collect();
        let started = Instant::now();
        run.ask(ShardRequest::ItemsDone(results));
        done_time += started.elapsed().as_secs_f64();
    }
    let after = resident_kib();
    let state = run.service.state();
    let table = state.job(job).map_or(0, |job| job.items().memory_bytes());
    let started = Instant::now();
    let image = state.snapshot();
    let snapshot_ms = started.elapsed().as_secs_f64() * 1e3;
    let started = Instant::now();
    let restored = ShardState::restore(&image).is_ok_and(|restored| restored == *state);
    let restore_ms = started.elapsed().as_secs_f64() * 1e3;
    let settled = run.settled;
    println!("items settled              {settled} of {ITEMS}");
    println!("table bytes per item       {:.2}", table as f64 / f64::from(ITEMS));
    println!(
        "table MiB per 100,000      {:.2}",
        table as f64 / f64::from(ITEMS) * 1e5 / 1_048_576.0
    );
    println!("resident KiB before/after  {before} / {after}");
    println!("pull µs per lot            {:.2}", pull_time / f64::from(pulls) * 1e6);
    println!("pull µs per item           {:.2}", pull_time / f64::from(ITEMS) * 1e6);
    println!("result µs per item         {:.2}", done_time / f64::from(ITEMS) * 1e6);
    println!(
        "ledger bytes per item      {:.1} (200 of them body)",
        run.ledger_bytes as f64 / f64::from(ITEMS)
    );
    println!("chunk reads                {} of {} chunks", run.reads, ITEMS.div_ceil(CHUNK_LINES));
    println!(
        "snapshot                   {} bytes, {snapshot_ms:.1} ms; restore {restore_ms:.1} ms, equal {restored}",
        image.len()
    );
}
