//! Gateways lost and stopped while a job and online requests run.

mod support;

use futures_util::future::join_all;
use magnolianotch::load::{OnlinePrompt, ReplyEnd};
use rstest::rstest;

use support::{
    caller::FleetCaller,
    jobs::{AcceptedJob, known_job},
    small_fleet, with_fleet,
};

/// Items of each job.
const ITEMS: u32 = 120;

// Symptom: a caller submits a job, its gateway's VM is lost, and items end twice or never.
// Sequence: the job is acknowledged; the gateway that took it is killed without a word when a
// share of the items has ended; the caller resends the job to the other gateway.
// Cause: what the gateway knew and had not committed is gone, the lots that it handed out still
// run, and the shards it owned are taken over by the other gateway from the store.
#[rstest]
#[case::just_after_acceptance(0)]
#[case::early(ITEMS / 4)]
#[case::mid_way(ITEMS / 2)]
#[case::near_the_end(ITEMS - 10)]
fn a_killed_gateway_loses_and_doubles_nothing(#[case] ended: u32) {
    with_fleet(small_fleet(), |mut fleet| async move {
        let model = fleet.settings().profile.model;
        let caller = FleetCaller::new(fleet.callers());
        let job = known_job(model, &format!("killed at {ended}"), ITEMS);
        let accepted = AcceptedJob::submit(&caller, job.clone()).await;
        accepted.until_ended(&caller, u64::from(ended)).await;
        fleet.kill_gateway(0).await;
        let resent = AcceptedJob::submit(&caller, job).await;
        assert_eq!(resent.id, accepted.id, "a resend is the same job");
        accepted.check_whole(&caller).await;
        fleet
    });
}

// Symptom: after the loss of every gateway a job stands still, or items run twice into results.
// Sequence: both gateways are killed mid-way, then started again under new incarnations.
// Cause: nobody is left who knows the job but the store; the shards' leases name dead owners.
#[test]
fn a_job_outlives_all_its_gateways() {
    with_fleet(small_fleet(), |mut fleet| async move {
        let model = fleet.settings().profile.model;
        let caller = FleetCaller::new(fleet.callers());
        let accepted = AcceptedJob::submit(&caller, known_job(model, "all lost", ITEMS)).await;
        accepted.until_ended(&caller, u64::from(ITEMS) / 3).await;
        fleet.kill_gateway(0).await;
        fleet.kill_gateway(1).await;
        fleet.restart_gateway(0).await.expect("it starts again");
        fleet.restart_gateway(1).await.expect("it starts again");
        let caller = FleetCaller::new(fleet.callers());
        let resent = AcceptedJob::submit(&caller, accepted.job.clone()).await;
        assert_eq!(resent.id, accepted.id, "a resend is the same job");
        accepted.check_whole(&caller).await;
        fleet
    });
}

// Symptom: a planned stop of a gateway cuts answers, or loses items of a job.
// Sequence: a burst of streams and a job are under way through both gateways; one is stopped.
// Cause: a stop that doesn't wait for its callers' answers and doesn't hand its shards over.
#[test]
fn a_stopped_gateway_loses_nothing() {
    with_fleet(small_fleet(), |mut fleet| async move {
        let model = fleet.settings().profile.model;
        let caller = FleetCaller::new(fleet.callers());
        let accepted = AcceptedJob::submit(&caller, known_job(model, "stopped", ITEMS)).await;
        let prompts: Vec<_> =
            (0..40).map(|number| OnlinePrompt::numbered("stop", number, 40, 40)).collect();
        let burst = prompts.iter().enumerate().map(|(number, prompt)| {
            let caller = caller.clone();
            async move { caller.chat_once(number, prompt, model, None).await }
        });
        let stop = async {
            accepted.until_ended(&caller, 5).await;
            let gateway = fleet.gateways[0].take().expect("it runs");
            gateway.stop().await
        };
        let (ends, graceful) = futures_util::future::join(join_all(burst), stop).await;
        assert!(graceful, "it stopped gracefully");
        let cut = ends.iter().filter(|end| **end != ReplyEnd::Right).collect::<Vec<_>>();
        let truly_refused =
            |end: &&ReplyEnd| matches!(end, ReplyEnd::Refused { ran, .. } if ran == "no");
        assert!(cut.iter().all(truly_refused), "answered, or refused as not run: {cut:?}");
        accepted.check_whole(&caller).await;
        fleet
    });
}
