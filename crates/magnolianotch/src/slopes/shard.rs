//! A ledger shard and the jobs it owns: calls, delays, bytes, memory, recovery.

use std::{mem::take, time::Duration};

use notch_jobs::{prelude::ShardState, probe::BigJob};
use notch_ledger::{
    ShardSettings,
    probe::{ProbeLoad, ProbeReport, ShardProbe, delay_at},
};
use notch_settings::prelude::GatewayConfig;
use notch_types::prelude::*;

use super::{
    machine::{ProcessorClock, least_of},
    report::SlopeReport,
    series::{
        RoleName::{self, ObjectApi, ShardOwner},
        SeriesName,
    },
};

/// Longest wait for ownership, virtual time.
const OWN_LIMIT: Duration = Duration::from_secs(60);
/// Records a second at which a shard is measured.
const RATES: [u64; 7] = [1, 7, 22, 50, 100, 1_000, 5_000];
/// Items a second and shard at the size planned for: 40 million a day over 64 shards, times the
/// peak assumed, three times the mean: 40e6 / 86,400 / 64 * 3 = 21.7.
const PEAK_RATE: u64 = 22;
/// Bytes of a record: a result with a body of 200 bytes.
const RECORD_BYTES: usize = 277;
/// Items of the largest job.
const LARGEST_JOB: u32 = 860_000;

/// Reads one figure from a run.
type RunFigure<T> = fn(&T) -> f64;

fn settings() -> ShardSettings {
    let mut config = GatewayConfig::default();
    config.node.vm = VmName::new("gateway-1");
    notch_gateway::wiring::shard_settings(&config, ShardId(0), Incarnation(0))
}

fn name(
    role: RoleName,
    quantity: &'static str,
    unit: &'static str,
    against: &'static str,
) -> SeriesName {
    SeriesName { role, quantity, unit, against }
}

/// Measures a shard's store calls, delays and processor time against its records.
pub(super) fn measure_load(report: &mut SlopeReport) {
    const AGAINST: &str = "records/s of a shard";
    let runs = RATES.map(|rate| (rate as f64, run_load(rate, 20, settings())));
    let series = |of: fn(&LoadRun) -> f64| runs.each_ref().map(|(rate, run)| (*rate, of(run)));
    let quantities: [(RoleName, &str, &str, RunFigure<LoadRun>); 8] = [
        (ObjectApi, "writes of one shard, all kinds", "calls/s", LoadRun::writes_per_s),
        (ObjectApi, "head writes of one shard", "calls/s", |run| run.per_s(run.report.calls.heads)),
        (ObjectApi, "segment writes of one shard", "calls/s", |run| {
            run.per_s(run.report.calls.segments)
        }),
        (ObjectApi, "snapshot writes of one shard", "calls/s", |run| {
            run.per_s(run.report.calls.snapshots)
        }),
        (ShardOwner, "bytes written to the store", "KB/s", LoadRun::kilobytes_per_s),
        (ShardOwner, "commit delay p50, prompt (1 record in 20)", "ms", |run| {
            millis(&run.report.prompt_delays, 0.5)
        }),
        (ShardOwner, "commit delay p99, prompt", "ms", |run| {
            millis(&run.report.prompt_delays, 0.99)
        }),
        (ShardOwner, "processor of the ledger, store's map included", "% of a core", |run| {
            run.processor_share * 100.0
        }),
    ];
    for (role, quantity, unit, of) in quantities {
        report.add(name(role, quantity, unit, AGAINST), PEAK_RATE as f64, &series(of));
    }
    let relaxed = series(|run| millis(&run.report.relaxed_delays, 0.99));
    report.add(
        name(ShardOwner, "commit delay p99, relaxed", "ms", AGAINST),
        PEAK_RATE as f64,
        &relaxed,
    );
}

fn millis(delays: &[Duration], share: f64) -> f64 {
    delay_at(delays, share).as_secs_f64() * 1e3
}

/// One load on one shard.
#[derive(Debug)]
struct LoadRun {
    report: ProbeReport,
    seconds: f64,
    processor_share: f64,
}

impl LoadRun {
    fn per_s(&self, count: u64) -> f64 {
        count as f64 / self.seconds
    }

    fn kilobytes_per_s(&self) -> f64 {
        self.report.bytes_written as f64 / self.seconds / 1e3
    }

    fn writes_per_s(&self) -> f64 {
        let calls = &self.report.calls;
        self.per_s(calls.heads + calls.segments + calls.snapshots)
    }
}

fn run_load(records_per_second: u64, prompt_every: u64, settings: ShardSettings) -> LoadRun {
    let load = ProbeLoad {
        records_per_second,
        record_bytes: RECORD_BYTES,
        prompt_every,
        length: Duration::from_secs(60),
        ..ProbeLoad::default()
    };
    let mut probe = ShardProbe::new(settings, Default::default(), &load);
    probe.own(OWN_LIMIT);
    let clock = ProcessorClock::start();
    let report = probe.run(&load);
    let seconds = load.length.as_secs_f64();
    LoadRun { report, seconds, processor_share: clock.spent().as_secs_f64() / seconds }
}

/// Measures what two settings change at the peak of the size planned for.
pub(super) fn measure_settings(report: &mut SlopeReport) {
    let by_delay = [100_u64, 250, 400, 800].map(|millis| {
        let commit_delay_max = Duration::from_millis(millis);
        let settings = ShardSettings { commit_delay_max, ..settings() };
        (millis as f64, run_load(PEAK_RATE, 20, settings))
    });
    let against = "commit_delay_max, ms (22 records/s)";
    let writes = by_delay.each_ref().map(|(at, run)| (*at, run.writes_per_s()));
    let delay =
        by_delay.each_ref().map(|(at, run)| (*at, millis(&run.report.relaxed_delays, 0.99)));
    report.add(
        name(ObjectApi, "writes of one shard, all kinds", "calls/s", against),
        400.0,
        &writes,
    );
    report.add(name(ShardOwner, "commit delay p99, relaxed", "ms", against), 400.0, &delay);
    let by_inline = [4_usize, 8, 16, 32, 64].map(|kib| {
        let inline_limit_bytes = kib << 10;
        let commit_delay_max = Duration::from_millis(400);
        let settings = ShardSettings { inline_limit_bytes, commit_delay_max, ..settings() };
        (kib as f64, run_load(PEAK_RATE, 20, settings))
    });
    let against = "inline_limit, KiB (22 records/s, commit_delay_max 400 ms)";
    let bytes = by_inline.each_ref().map(|(at, run)| (*at, run.kilobytes_per_s()));
    let writes = by_inline.each_ref().map(|(at, run)| (*at, run.writes_per_s()));
    report.add(name(ShardOwner, "bytes written to the store", "KB/s", against), 8.0, &bytes);
    report.add(name(ObjectApi, "writes of one shard, all kinds", "calls/s", against), 8.0, &writes);
}

/// Measures what requests with a key add: a claim and an outcome each, both prompt. Of 2,100
/// requests a second over 64 shards, in shares that the probe's even mix can show.
pub(super) fn measure_keyed(report: &mut SlopeReport) {
    let mixes = [(0.0, PEAK_RATE, 0), (10.0, 29, 4), (33.0, 44, 2), (100.0, 66, 1)];
    let runs = mixes.map(|(share, rate, every)| (share, run_load(rate, every, planned())));
    let against = "% of 2,100 requests/s with a key (settings planned)";
    let series = |of: fn(&LoadRun) -> f64| runs.each_ref().map(|(share, run)| (*share, of(run)));
    let writes = series(LoadRun::writes_per_s);
    report.add(
        name(ObjectApi, "writes of one shard, all kinds", "calls/s", against),
        10.0,
        &writes,
    );
    let delay = series(|run| millis(&run.report.prompt_delays, 0.99));
    report.add(name(ShardOwner, "commit delay p99, prompt", "ms", against), 10.0, &delay);
    let bytes = series(LoadRun::kilobytes_per_s);
    report.add(name(ShardOwner, "bytes written to the store", "KB/s", against), 10.0, &bytes);
}

/// The settings for the size planned for.
fn planned() -> ShardSettings {
    let commit_delay_max = Duration::from_millis(400);
    ShardSettings { commit_delay_max, inline_limit_bytes: 8 << 10, ..settings() }
}

/// Measures recovery by the next owner against the length of the log.
pub(super) fn measure_recovery(report: &mut SlopeReport) {
    const AGAINST: &str = "records in the log since the snapshot";
    let runs =
        [1_000, 10_000, 50_000, 100_000, 200_000].map(|records| (records as f64, recover(records)));
    let last = 200_000.0;
    let time = runs.map(|(records, run)| (records, run.virtual_ms));
    let processor = runs.map(|(records, run)| (records, run.processor_ms));
    let reads = runs.map(|(records, run)| (records, run.reads));
    let head = runs.map(|(records, run)| (records, run.head_bytes / 1e3));
    report.add(
        name(ShardOwner, "recovery: time in the store's calls (5 ms each)", "ms", AGAINST),
        last,
        &time,
    );
    report.add(name(ShardOwner, "recovery: processor", "ms", AGAINST), last, &processor);
    report.add(name(ShardOwner, "recovery: reads", "calls", AGAINST), last, &reads);
    report.add(name(ShardOwner, "head object", "KB", AGAINST), last, &head);
}

#[derive(Debug, Clone, Copy)]
struct RecoveryRun {
    virtual_ms: f64,
    processor_ms: f64,
    reads: f64,
    head_bytes: f64,
}

fn recover(records: u64) -> RecoveryRun {
    let load = ProbeLoad {
        records_per_second: 5_000,
        record_bytes: RECORD_BYTES,
        length: Duration::from_micros(records * 200),
        ..ProbeLoad::default()
    };
    let writer = ShardSettings { snapshot_every_segments: 2_000, ..settings() };
    let mut probe = ShardProbe::new(writer, Default::default(), &load);
    probe.own(OWN_LIMIT);
    probe.run(&load);
    probe.run(&ProbeLoad { records_per_second: 1, length: Duration::from_secs(2), ..load.clone() });
    let head_bytes = probe.head().map_or(0, |head| head.encode().len()) as f64;
    // The same VM, restarted, needn't wait for the lease.
    let next = ShardSettings { incarnation: Incarnation(1), ..settings() };
    let mut next = ShardProbe::new(next, take(&mut probe.store), &load);
    let clock = ProcessorClock::start();
    let (calls, time) = next.own(OWN_LIMIT).unwrap_or_default();
    RecoveryRun {
        virtual_ms: time.as_secs_f64() * 1e3,
        processor_ms: clock.spent().as_secs_f64() * 1e3,
        reads: calls.gets as f64,
        head_bytes,
    }
}

/// Measures jobs against their number of items.
pub(super) fn measure_jobs(report: &mut SlopeReport) {
    const AGAINST: &str = "items of one job";
    let counts = [10_000_u32, 50_000, 100_000, 400_000, LARGEST_JOB];
    let runs = counts.map(|items| (f64::from(items), run_job(items)));
    let size = f64::from(LARGEST_JOB);
    let series = |of: fn(&JobRun) -> f64| runs.each_ref().map(|(items, run)| (*items, of(run)));
    let quantities: [(&str, &str, RunFigure<JobRun>); 6] = [
        ("item table: memory", "MB", |run| run.table_mb),
        ("snapshot", "KB", |run| run.snapshot_kb),
        ("snapshot: written, processor", "ms", |run| run.snapshot_ms),
        ("snapshot: read, processor", "ms", |run| run.restore_ms),
        ("pull of a lot: processor, an item", "µs", |run| run.pull_us),
        ("result: processor, an item", "µs", |run| run.done_us),
    ];
    for (quantity, unit, of) in quantities {
        report.add(name(ShardOwner, quantity, unit, AGAINST), size, &series(of));
    }
    let ledger = series(|run| run.ledger_mb);
    report.add(
        name(ShardOwner, "ledger: all results, bodies of 200 B", "MB", AGAINST),
        size,
        &ledger,
    );
}

#[derive(Debug)]
struct JobRun {
    table_mb: f64,
    snapshot_kb: f64,
    snapshot_ms: f64,
    restore_ms: f64,
    pull_us: f64,
    done_us: f64,
    ledger_mb: f64,
}

fn run_job(items: u32) -> JobRun {
    const ROUNDS: usize = 3;
    let mut job = BigJob::new(items);
    job.run(u32::MAX);
    let each = |time: Duration| time.as_secs_f64() * 1e6 / f64::from(items);
    let image = job.service.state().snapshot();
    let clock_ms = |work: &dyn Fn()| {
        least_of(ROUNDS, || {
            let started = std::time::Instant::now();
            work();
            started.elapsed().as_secs_f64() * 1e3
        })
    };
    let snapshot_ms = clock_ms(&|| drop(job.service.state().snapshot()));
    let restore_ms = clock_ms(&|| drop(ShardState::restore(&image)));
    JobRun {
        table_mb: job.table_bytes() as f64 / 1e6,
        snapshot_kb: image.len() as f64 / 1e3,
        snapshot_ms,
        restore_ms,
        pull_us: each(job.pull_time),
        done_us: each(job.done_time),
        ledger_mb: job.ledger_bytes as f64 / 1e6,
    }
}
