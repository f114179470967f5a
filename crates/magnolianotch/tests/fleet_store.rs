//! The platform's object API down, slow, flapping and losing answers under load.

mod support;

use std::time::Duration;

use async_std::task;
use magnolianotch::load::{OnlinePrompt, ReplyEnd};
use notch_http::prelude::*;
use notch_standins::FaultSettings;
use rstest::rstest;

use support::{
    caller::FleetCaller,
    jobs::{AcceptedJob, known_job},
    small_fleet, with_fleet,
};

const ITEMS: u32 = 80;

// Symptom: during the store's trouble a job's items end twice, or the job never ends; online
// requests fail though they need no store.
// Sequence: a quarter of a job is done; the fault is on for a while, under online requests; it
// ends. The job is submitted again during the fault.
// Cause: a commit whose answer is lost is made again, or its items are given up.
#[rstest]
#[case::down(FaultSettings::down())]
#[case::slow(FaultSettings::slow(400))]
#[case::flapping(FaultSettings::flapping(5))]
#[case::answers_lost_before(FaultSettings { lost_before_per_mille: 400, ..FaultSettings::default() })]
#[case::answers_lost_after(FaultSettings { lost_after_per_mille: 400, ..FaultSettings::default() })]
fn a_job_ends_exactly_once_over_the_stores_trouble(#[case] fault: FaultSettings) {
    with_fleet(small_fleet(), |fleet| async move {
        let model = fleet.settings().profile.model;
        let caller = FleetCaller::new(fleet.callers());
        let accepted = AcceptedJob::submit(&caller, known_job(model, "trouble", ITEMS)).await;
        accepted.until_ended(&caller, u64::from(ITEMS) / 4).await;
        fleet.platform.objects().faults().set(fault);
        for number in 0..24 {
            let prompt = OnlinePrompt::numbered("no store", number, 30, 12);
            let end = caller.chat_once(number as usize, &prompt, model, None).await;
            assert_eq!(end, ReplyEnd::Right, "online request {number} needs no store");
            task::sleep(Duration::from_millis(100)).await;
        }
        fleet.platform.objects().faults().clear();
        accepted.check_whole(&caller).await;
        let resent = AcceptedJob::submit(&caller, accepted.job.clone()).await;
        assert_eq!(resent.id, accepted.id, "a resend is the same job");
        fleet
    });
}

// Symptom: a job that was refused as not run is found running; or a job that was accepted is gone.
// Sequence: jobs are submitted once each while the store fails; then it is well, and each is
// submitted again under its key.
// Cause: an acknowledgement before the job is durable, or a refusal of one that may be.
#[rstest]
#[case::down(FaultSettings::down())]
#[case::answers_lost_before(FaultSettings { lost_before_per_mille: 500, ..FaultSettings::default() })]
#[case::answers_lost_after(FaultSettings { lost_after_per_mille: 500, ..FaultSettings::default() })]
fn submissions_during_trouble_are_told_the_truth(#[case] fault: FaultSettings) {
    with_fleet(small_fleet(), |fleet| async move {
        let model = fleet.settings().profile.model;
        let caller = FleetCaller::new(fleet.callers());
        let down = fault.down;
        fleet.platform.objects().faults().set(fault);
        let jobs: Vec<_> = (0..4).map(|n| known_job(model, &format!("told {n}"), 8)).collect();
        let sends = jobs.iter().enumerate().map(|(turn, job)| {
            let client = caller.client(turn);
            let path = format!("/v1/jobs?target={model}&due=2099-01-01T00:00:00Z");
            let mut request = client.request(Method::Post, &path, job.lines());
            request.insert_header("idempotency-key", job.key.as_str());
            async move { client.whole(request).await }
        });
        let answers = futures_util::future::join_all(sends).await;
        fleet.platform.objects().faults().clear();
        for (job, answer) in jobs.iter().zip(&answers) {
            let (status, body) = answer.as_ref().expect("every submission is answered");
            assert!(*status == 201 || body.contains("\"ran\":"), "{status} {body}");
            if down {
                assert!(body.contains("\"ran\":\"no\""), "nothing can be durable: {body}");
            }
            let again = AcceptedJob::submit(&caller, job.clone()).await;
            if *status == 201 {
                assert!(body.contains(&again.id), "the accepted job is the same: {body}");
            }
            again.check_whole(&caller).await;
        }
        fleet
    });
}
