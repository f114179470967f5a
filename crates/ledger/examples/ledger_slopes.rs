//! Prints how a shard's calls, delays, head and recovery grow with load and log length.
#![allow(clippy::print_stdout)]

use std::{
    mem::take,
    time::{Duration, Instant},
};

use notch_ledger::{
    ShardSettings,
    probe::{ProbeLoad, ShardProbe, delay_at},
};
use notch_types::prelude::*;

const OWN_LIMIT: Duration = Duration::from_secs(60);

fn settings(node: &str) -> ShardSettings {
    ShardSettings { writer: VmName::new(node), ..ShardSettings::default() }
}

fn main() {
    println!("One shard, default settings, store answers in 5 ms, 60 s of virtual time.\n");
    println!(
        "| records/s | bytes | prompt | head writes/s | segments/s | snapshot parts/s | all calls/s \
         | prompt p50 | p99 | relaxed p50 | p99 | largest head | rejected | processor |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|");
    let rates = [(1, 256), (10, 256), (100, 256), (1_000, 256), (10_000, 256), (1_000, 4_096)];
    for prompt_every in [1, 0] {
        for (rate, bytes) in rates {
            print_load(rate, bytes, prompt_every);
        }
    }
    // One shard of 64 at the size of two years: 40 million items a day, and one online record in 8.
    print_load(8, 1_024, 8);
    print_load(100, 1_024, 20);
    println!("\nRecovery by the next owner, once the lease has lapsed; four reads at once.\n");
    println!("| records in the log | segments | head bytes | reads | virtual time | processor |");
    println!("|---|---|---|---|---|---|");
    for records in [0, 1_000, 10_000, 50_000, 100_000, 200_000] {
        print_recovery(records);
    }
}

fn print_load(rate: u64, bytes: usize, prompt_every: u64) {
    let load = ProbeLoad {
        records_per_second: rate,
        record_bytes: bytes,
        prompt_every,
        ..ProbeLoad::default()
    };
    let mut probe = ShardProbe::new(settings("a"), Default::default(), &load);
    probe.own(OWN_LIMIT).expect("owned");
    let began = Instant::now();
    let report = probe.run(&load);
    let spent = began.elapsed();
    let seconds = load.length.as_secs_f64();
    let per_second = |count: u64| count as f64 / seconds;
    let delay = |delays: &[Duration], share| match delays.is_empty() {
        true => "-".to_owned(),
        false => format!("{} ms", delay_at(delays, share).as_millis()),
    };
    let prompt = match prompt_every {
        0 => "none".to_owned(),
        1 => "all".to_owned(),
        every => format!("1 in {every}"),
    };
    println!(
        "| {rate} | {bytes} | {prompt} | {:.2} | {:.2} | {:.2} | {:.2} \
         | {} | {} | {} | {} | {} | {} | {:.2} ms/s |",
        per_second(report.calls.heads),
        per_second(report.calls.segments),
        per_second(report.calls.snapshots),
        per_second(report.calls.total()),
        delay(&report.prompt_delays, 0.5),
        delay(&report.prompt_delays, 0.99),
        delay(&report.relaxed_delays, 0.5),
        delay(&report.relaxed_delays, 0.99),
        report.largest_head,
        report.rejected,
        spent.as_secs_f64() * 1e3 / seconds,
    );
}

fn print_recovery(records: u64) {
    let load = ProbeLoad {
        records_per_second: 5_000,
        length: Duration::from_micros(records * 200),
        ..ProbeLoad::default()
    };
    let writer = ShardSettings { snapshot_every_segments: 2_000, ..settings("a") };
    let mut probe = ShardProbe::new(writer, Default::default(), &load);
    probe.own(OWN_LIMIT).expect("owned");
    probe.run(&load);
    probe.run(&ProbeLoad { records_per_second: 1, length: Duration::from_secs(2), ..load.clone() });
    let head = probe.head().expect("a head");
    // The same VM, restarted, needn't wait for the lease.
    let next = ShardSettings { incarnation: Incarnation(1), ..settings("a") };
    let mut next = ShardProbe::new(next, take(&mut probe.store), &load);
    let began = Instant::now();
    let (calls, time) = next.own(OWN_LIMIT).expect("taken over");
    println!(
        "| {} | {} | {} | {} | {:.0} ms | {:.1} ms |",
        head.next,
        head.segments.len(),
        head.encode().len(),
        calls.gets,
        time.as_secs_f64() * 1e3,
        began.elapsed().as_secs_f64() * 1e3,
    );
}
