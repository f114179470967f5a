//! A gateway's process that stands still while others take its jobs over.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::{fs, path::PathBuf, time::Duration};

use async_std::task;
use notch_platform_standins::{
    client::{StandInClient, seen_results},
    store::{StandInStore, store_with_targets},
    target::{Conduct, StandInTarget},
};
use notch_soak::{config::gateway_config, process::GatewayProcess};
use rustix::process::Signal;

/// Longest wait for anything: far above what is expected on a busy machine.
const PATIENCE: Duration = Duration::from_secs(30);
/// Reads sent at once to a process that goes on: some are answered before it has read what its links brought.
const READS: usize = 8;

async fn until<F: Future<Output = bool>>(what: &str, check: impl Fn() -> F) {
    let began = std::time::Instant::now();
    while !check().await {
        assert!(began.elapsed() < PATIENCE, "waited in vain for {what}");
        task::sleep(Duration::from_millis(20)).await;
    }
}

fn gateway(name: &str, store: &StandInStore) -> GatewayProcess {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("frozen-owner");
    fs::create_dir_all(&folder).unwrap();
    let config = gateway_config(name, store.address);
    let program = PathBuf::from(env!("CARGO_BIN_EXE_notch-entry"));
    let mut process = GatewayProcess::new(&program, &folder, &config).unwrap();
    process.start().unwrap();
    process
}

async fn shown(client: StandInClient, job: &str) -> usize {
    seen_results(&client.results(job, 0).await.1).0.len()
}

mod former_owner {
    use super::*;

    /// A reader had been shown two results and was told by another gateway that there was no second one. That
    /// gateway's process had stood still for two seconds, in which the others took its job over and closed it.
    /// When it went on, its links still looked up to it, for it counted only how long a link had been down, and
    /// it had not yet read that the others had closed them: it answered from its old list,
    /// `200 {"next": 1, "results": [], "total": 2}`, before it logged `gateway_link_down`.
    #[test]
    fn a_gateway_that_stood_still_is_not_sure_of_its_list() {
        task::block_on(async {
            let target = StandInTarget::start("t-1").await;
            target.conduct(&[Conduct::Whole, Conduct::Slow(600_000)]);
            let store = store_with_targets(&[&target]).await;
            let first = gateway("g-1", &store);
            let second = gateway("g-2", &store);
            let [at_first, at_second] =
                [&first, &second].map(|process| StandInClient { address: process.clients });
            until("the first one's start", || async { at_first.submit("j1", 2).await == 202 })
                .await;
            until("the first result", || async { shown(at_first, "j1").await == 1 }).await;
            until("the other one's part in it", || async { shown(at_second, "j1").await == 1 })
                .await;
            first.signal(Signal::STOP);
            until("all results", || async { shown(at_second, "j1").await == 2 }).await;
            let reads: Vec<_> = (0..READS)
                .map(|_| task::spawn(async move { at_first.results("j1", 1).await }))
                .collect();
            task::sleep(Duration::from_millis(200)).await;
            first.signal(Signal::CONT);
            for read in reads {
                let (status, page) = read.await;
                assert!(status == 503 || page["next"] == 2, "{status} {page}");
            }
        });
    }
}
