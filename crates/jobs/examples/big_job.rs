//! One job of 860,000 items through the service: memory per 100,000 items, and time per pull and
//! per result. `cargo run --release -p notch-jobs --example big_job`
#![allow(clippy::print_stdout, reason = "a measurement prints its figures")]

use std::{fs, time::Instant};

use notch_jobs::{
    prelude::*,
    probe::{BigJob, CHUNK_LINES},
};

const ITEMS: u32 = 860_000;

/// Resident memory of this process, KiB.
fn resident_kib() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.trim().split(' ').next()?.parse().ok()).unwrap_or(0)
}

fn main() {
    let before = resident_kib();
    let mut run = BigJob::new(ITEMS);
    run.run(u32::MAX);
    let (pull_time, done_time) = (run.pull_time.as_secs_f64(), run.done_time.as_secs_f64());
    let pulls = run.pulls;
    let after = resident_kib();
    let state = run.service.state();
    let table = run.table_bytes();
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
