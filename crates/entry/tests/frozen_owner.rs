//! A gateway process that is suspended while other gateways take its jobs over.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::{fs, path::PathBuf, time::Duration};

use async_std::task;
use notch_platform_standins::{
    client::{StandInClient, seen_results},
    store::{StandInStore, store_with_targets},
    target::{Conduct, StandInTarget},
};
use notch_settings::prelude::{EntryConfig, FeatureSwitch};
use notch_soak::{config::gateway_config, process::GatewayProcess};
use rustix::process::Signal;

/// Timeout of each wait, far above the expected duration on a busy machine.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Number of concurrent reads sent to the resumed process. Some are answered before it has read
/// what arrived on its links.
const CONCURRENT_READS: usize = 8;

async fn until<F: Future<Output = bool>>(what: &str, check: impl Fn() -> F) {
    let began = std::time::Instant::now();
    while !check().await {
        assert!(began.elapsed() < WAIT_TIMEOUT, "timed out waiting for {what}");
        task::sleep(Duration::from_millis(20)).await;
    }
}

fn gateway(name: &str, store: &StandInStore) -> GatewayProcess {
    start_process("frozen-owner", &gateway_config(name, store.address))
}

fn evicting_gateway(name: &str, store: &StandInStore) -> GatewayProcess {
    let mut config = gateway_config(name, store.address);
    config.fleet.evict_gateways = FeatureSwitch::On;
    start_process("frozen-evicted", &config)
}

fn start_process(folder: &str, config: &EntryConfig) -> GatewayProcess {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(folder);
    fs::create_dir_all(&folder).unwrap();
    let program = PathBuf::from(env!("CARGO_BIN_EXE_notch-entry"));
    let mut process = GatewayProcess::new(&program, &folder, config).unwrap();
    process.start().unwrap();
    process
}

async fn results_shown(client: StandInClient, job: &str) -> usize {
    seen_results(&client.results(job, 0).await.1).0.len()
}

mod former_owner {
    use super::*;

    /// Guards against a resumed gateway that tells a reader there is no second result although the
    /// reader was shown two before. The process was suspended for two seconds, in which the other
    /// gateways took its job over and closed it. After it resumed, its links still looked up to it,
    /// as it counted only how long a link had been down and had not yet read that the others had
    /// closed them. Before it logged `gateway_link_down` it answered from its outdated list,
    /// `200 {"next": 1, "results": [], "total": 2}`.
    #[test]
    fn a_resumed_gateway_does_not_answer_from_its_outdated_list() {
        task::block_on(async {
            let target = StandInTarget::start("t-1").await;
            target.conduct(&[Conduct::Whole, Conduct::Slow(600_000)]);
            let store = store_with_targets(&[&target]).await;
            let first = gateway("g-1", &store);
            let second = gateway("g-2", &store);
            let [at_first, at_second] =
                [&first, &second].map(|process| StandInClient { address: process.clients });
            until("the first gateway to accept the job", || async {
                at_first.submit("j1", 2).await == 202
            })
            .await;
            until("the first result", || async { results_shown(at_first, "j1").await == 1 }).await;
            until("the result at the other gateway", || async {
                results_shown(at_second, "j1").await == 1
            })
            .await;
            first.signal(Signal::STOP);
            until("all results", || async { results_shown(at_second, "j1").await == 2 }).await;
            let reads: Vec<_> = (0..CONCURRENT_READS)
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

mod evicted_gateway {
    use super::*;

    /// Guards against a gateway that was frozen and evicted, and accepts jobs as soon as it wakes up: messages from
    /// before the pause still wait on its links, so it seems to hear all others, and the others don't know its jobs. It
    /// must neither accept a job nor deny the result that another owner of its former job has stored, before it has
    /// registered again.
    #[test]
    fn a_woken_gateway_accepts_nothing_before_it_has_registered_again() {
        task::block_on(async {
            let target = StandInTarget::start("t-1").await;
            target.conduct(&[Conduct::Whole, Conduct::Slow(600_000)]);
            let store = store_with_targets(&[&target]).await;
            let [first, second, _third] =
                ["g-1", "g-2", "g-3"].map(|name| evicting_gateway(name, &store));
            let [at_first, at_second] =
                [&first, &second].map(|process| StandInClient { address: process.clients });
            let mark = || store.get("notch-gateways", "g-1").unwrap()["spec"]["evicted"].clone();
            until("the first gateway to accept the job", || async {
                at_first.submit("j1", 2).await == 202
            })
            .await;
            until("the first result", || async { results_shown(at_first, "j1").await == 1 }).await;
            until("all gateways", || async { store.names("notch-gateways").len() == 3 }).await;
            // Majorities are heard by then.
            task::sleep(Duration::from_secs(3)).await;
            first.signal(Signal::STOP);
            until("all results", || async { results_shown(at_second, "j1").await == 2 }).await;
            until("the eviction", || async { !mark().is_null() }).await;
            first.signal(Signal::CONT);
            let (submitted, read) =
                (at_first.submit("j4", 2).await, at_first.results("j1", 1).await);
            let is_registered = mark().is_null();
            assert!(submitted != 202, "accepted: {submitted}, registered again: {is_registered}");
            let (status, page) = read;
            assert!(status == 503 || page["next"] == 2, "{status} {page}");
            until("an accepted job", || async { at_first.submit("j4", 2).await == 202 }).await;
            assert!(mark().is_null(), "it has registered again");
        });
    }
}
