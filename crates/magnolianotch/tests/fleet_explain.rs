//! What operators are told by a running fleet.

mod support;

use magnolianotch::{
    fleet::{
        FleetSettings,
        local_fleet::{ACCOUNT_KEY, target_vm},
    },
    load::LoadClient,
};
use notch_http::prelude::*;
use notch_settings::{GatewayConfig, sections::OperatorSettings};
use serde_json::{Value, json};

use support::{
    caller::FleetCaller,
    find,
    jobs::{AcceptedJob, known_job},
    small_fleet, with_fleet,
};

const OPERATOR_KEY: &str = "trial-operator-key";
/// SHA-256 of [`OPERATOR_KEY`].
const OPERATOR_DIGEST: &str = "e3015fe87aa81e86d5a846535ccd378be1b94430bb66054fbde9f5f43d48bd5f";
/// Enough items that the job still runs when it is asked about.
const ITEMS: u32 = 1_500;

fn watched_fleet() -> FleetSettings {
    let settings = small_fleet();
    let operators = OperatorSettings { key_sha256: Some(OPERATOR_DIGEST.to_owned()) };
    let gateway = GatewayConfig { operators, ..settings.gateway.clone() };
    FleetSettings { gateway, ..settings }
}

async fn ask(caller: &FleetCaller, path: &str) -> Option<Value> {
    let client = LoadClient::new(&caller.http, caller.gateways[0], OPERATOR_KEY);
    let path = format!("/v1/operator/{path}");
    let answer = client.whole(client.request(Method::Get, &path, Body::empty())).await;
    let (200, body) = answer? else { return None };
    serde_json::from_str(&body).ok()
}

/// Waits until `explain` says every one of `wanted`, in notes or in present facts.
async fn explained(caller: &FleetCaller, subject: &str, wanted: &[&str]) {
    find(&format!("{subject}: {wanted:?}"), || async {
        let pages = ask(caller, &format!("explain/{subject}")).await?.to_string();
        wanted.iter().all(|text| pages.contains(text)).then_some(())
    })
    .await;
}

// Symptom: "why is this job late" has no answer but that it was accepted, and nothing tells of the
// VM whose engine crashed.
// Sequence: a job runs; operators ask about it, its target and a VM; a request crashes engines.
// Cause: only changes left notes, and a crash left none on its VM.
#[test]
fn operators_learn_how_things_stand() {
    with_fleet(watched_fleet(), |fleet| async move {
        let model = fleet.settings().profile.model;
        let caller = FleetCaller::new(fleet.callers());
        find("status tells of store and targets", || async {
            let status = ask(&caller, "status").await?;
            let is_told = status["store_up"] == true
                && status["sidecars"].as_array()?.len() == 3
                && status["sidecars"][0]["targets"][0]["target"] == model;
            is_told.then_some(())
        })
        .await;
        let accepted = AcceptedJob::submit(&caller, known_job(model, "explained", ITEMS)).await;
        accepted.until_ended(&caller, 1).await;
        let job = format!("job/{}", accepted.id);
        let of_all = format!("of {ITEMS} items ended");
        let wanted = ["accepted", "running: ", &of_all, "at its pace so far it ends in"];
        explained(&caller, &job, &wanted).await;
        explained(&caller, &format!("target/{model}"), &["in force", "3 sidecars report"]).await;
        let vm = format!("vm/{}", target_vm(0));
        explained(&caller, &vm, &["sidecar, linked, takes work", "batch running, limit"]).await;

        let body =
            json!({"model": model, "messages": [{"role": "user", "content": "CRASH-TARGET"}]});
        let client = LoadClient::new(&caller.http, caller.gateways[0], ACCOUNT_KEY);
        let body = Body::from_string(body.to_string());
        let answer = client.whole(client.request(Method::Post, "/v1/chat/completions", body)).await;
        assert!(answer.is_some_and(|(status, body)| status == 422 && body.contains("quarantined")));
        let mut crashes = 0;
        for number in 0..3 {
            let pages = ask(&caller, &format!("explain/vm/{}", target_vm(number))).await;
            crashes +=
                usize::from(pages.is_some_and(|pages| pages.to_string().contains("crashed")));
        }
        assert!(crashes >= 2, "{crashes} VMs have a note of the crash");
        fleet
    });
}
