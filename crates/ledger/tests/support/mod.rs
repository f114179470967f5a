//! A tiny object store with faults, and a loop that carries effects of several nodes' shards round
//! it in virtual time, checking each step against a naive ledger.
#![allow(dead_code, missing_docs, unreachable_pub)]

pub mod faults;
pub mod naive;
pub mod scenes;
pub mod world;

use std::time::Duration;

use notch_ledger::ShardSettings;
use notch_types::prelude::*;

pub const SHARD: ShardId = ShardId(7);

/// Settings with every bound so small that a short run meets all of them.
pub fn small(node: usize, life: u64) -> ShardSettings {
    ShardSettings {
        shard: SHARD,
        writer: VmName::new(&format!("vm{node}")),
        incarnation: Incarnation(life),
        lease: Duration::from_millis(1_000),
        renew_every: Duration::from_millis(300),
        least_tenure: Duration::from_millis(500),
        poll_every: Duration::from_millis(100),
        commit_delay_min: Duration::from_millis(2),
        commit_delay_max: Duration::from_millis(20),
        commit_burst: 3,
        inline_limit_bytes: 300,
        segment_target_bytes: 600,
        max_record_bytes: 500,
        max_queue_bytes: 4_000,
        max_queue_appends: 40,
        snapshot_every_segments: 3,
        max_segments: 40,
        snapshot_part_bytes: 150,
        max_parallel_calls: 3,
        backoff_min: Duration::from_millis(5),
        backoff_max: Duration::from_millis(100),
        call_timeout: Duration::from_millis(400),
        grace: Duration::from_millis(4_000),
        sweep_every: Duration::from_millis(600),
        sweep_pace: Duration::from_millis(5),
        sweep_page: 6,
        ..ShardSettings::default()
    }
}
