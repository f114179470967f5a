//! Cancelled jobs stop, with the real daemons.

mod support;

use std::time::Duration;

use async_std::task;
use magnolianotch::fleet::LocalFleet;
use notch_http::prelude::*;
use rstest::rstest;
use serde_json::Value;

use support::{
    caller::FleetCaller,
    find,
    jobs::{AcceptedJob, known_job},
    small_fleet, until, with_fleet,
};

const ITEMS: u32 = 400;

fn items_started(fleet: &LocalFleet) -> u64 {
    let started = |engine: &notch_standins::EngineHandle| {
        engine.runs().all().values().map(|counts| counts.started).sum::<u64>()
    };
    fleet.engines.iter().map(started).sum()
}

fn is_idle(fleet: &LocalFleet) -> bool {
    fleet.engines.iter().all(|engine| {
        let load = engine.state().load;
        load.running == 0 && load.waiting == 0
    })
}

// Symptom: items of a cancelled job go on to run.
// Sequence: a tenth of a job is done; it is cancelled, through a gateway that may not own its
// shard; in one case the gateway that took the cancellation is killed after its answer.
// Cause: lots that were leased before, or a shard taken over by an owner that doesn't know.
#[rstest]
#[case::all_gateways_stay(false)]
#[case::the_gateway_is_killed(true)]
fn a_cancelled_job_starts_no_further_item(#[case] kill: bool) {
    with_fleet(small_fleet(), |mut fleet| async move {
        let model = fleet.settings().profile.model;
        let caller = FleetCaller::new(fleet.callers());
        let accepted = AcceptedJob::submit(&caller, known_job(model, "cancelled", ITEMS)).await;
        accepted.until_ended(&caller, u64::from(ITEMS) / 10).await;
        let path = format!("/v1/jobs/{}", accepted.id);
        find("the cancellation is taken", || async {
            let client = caller.client(0);
            let delete = client.request(Method::Delete, &path, Body::empty());
            client.whole(delete).await.filter(|(status, _)| *status == 200)
        })
        .await;
        if kill {
            fleet.kill_gateway(0).await;
        }
        until("attempts have stopped", || is_idle(&fleet)).await;
        let started = items_started(&fleet);
        task::sleep(Duration::from_secs(3)).await;
        assert_eq!(items_started(&fleet), started, "no item started afterwards");
        let lines = accepted.result_lines(&caller).await;
        check_lines(&accepted, &lines);
        fleet
    });
}

/// Each item has one line: its right answer, or that it was cancelled.
fn check_lines(accepted: &AcceptedJob, lines: &str) {
    let outcome = accepted.job.check(lines);
    assert_eq!((outcome.lost, outcome.duplicated), (0, 0), "{outcome:?}");
    let parsed = lines.lines().map(|line| serde_json::from_str::<Value>(line).expect("JSON"));
    let cancelled = parsed.filter(|line| line["error"]["code"] == "cancelled").count() as u64;
    assert!(cancelled > 0, "some were cancelled");
    assert_eq!(cancelled, outcome.failed, "the others have their right answer");
}
