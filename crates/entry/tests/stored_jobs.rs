//! A gateway process on the smallest VM beside a store with more jobs than the process may hold.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::{fs, path::PathBuf, time::Duration};

use async_std::task;
use notch_platform_standins::{
    client::{HOST, StandInClient},
    store::{StandInStore, store_with_targets},
    target::StandInTarget,
};
use notch_soak::{config::gateway_config, process::GatewayProcess};
use serde_json::json;

/// Memory of the smallest VM.
const PROCESS_MB: usize = 110;
/// Jobs of the size of a large submission, together half of that memory.
const JOBS: usize = 72;
const ITEMS: usize = 20;
const BODY_BYTES: usize = 38_000;
/// Timeout of each wait, far above the expected duration under load.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

fn put_job(store: &StandInStore, job: &str, is_closed: bool) {
    let body = "A".repeat(BODY_BYTES);
    let item = |n| json!({"id": format!("{job}-{n}"), "path": "/jobs/x", "headers": {}, "body": body, "tokens": 9});
    let items: Vec<_> = (0..ITEMS).map(item).collect();
    store.put(
        "notch-jobs",
        job,
        json!({"owner": "g-9#1", "accepted_at_ms": 5_000, "host": HOST, "path": "/jobs/new",
            "route": "jobs", "limit_tokens": 90, "due_ms": 18_000, "lifetime_ms": 60_000,
            "max_attempts": 2, "parts": 0, "items": items}),
    );
    store.set_status("notch-jobs", job, json!({"owner": "g-9#1", "closed": is_closed}));
}

/// Peak resident memory of a process, MB.
fn peak_mb(pid: u32) -> usize {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
    let line = status.lines().find(|line| line.starts_with("VmHWM:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse::<usize>().unwrap() >> 10
}

/// Guards against a gateway that goes over its VM's memory, again after each restart, because it holds all jobs of the
/// store at once while it searches them for those without an owner.
#[test]
fn a_search_of_many_large_jobs_leaves_the_process_within_its_memory() {
    task::block_on(async {
        let target = StandInTarget::start("t-1").await;
        let store = store_with_targets(&[&target]).await;
        for number in 0..JOBS {
            put_job(&store, &format!("j{number:02}"), true);
        }
        put_job(&store, "last", false);
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("stored-jobs");
        fs::create_dir_all(&folder).unwrap();
        let mut config = gateway_config("g-jobs", store.address);
        config.memory.process_limit = (PROCESS_MB << 20) as u64;
        let program = PathBuf::from(env!("CARGO_BIN_EXE_notch-entry"));
        let mut process = GatewayProcess::new(&program, &folder, &config).unwrap();
        process.start().unwrap();
        let client = StandInClient { address: process.clients };
        let began = std::time::Instant::now();
        // The job whose owner is gone is found at the end of the search.
        while client.results("last", 0).await.1["next"] != json!(ITEMS) {
            assert!(began.elapsed() < WAIT_TIMEOUT, "timed out waiting for the results");
            task::sleep(Duration::from_millis(100)).await;
        }
        let peak = peak_mb(process.pid().unwrap());
        assert!(peak < PROCESS_MB, "the process reached {peak} MB");
    });
}
