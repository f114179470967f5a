//! A job with known answers, as its caller sees it.

use std::time::Duration;

use magnolianotch::{
    demo::batch::{JobOutcome, KnownJob, results},
    fleet::local_fleet::ACCOUNT_KEY,
};
use notch_http::prelude::*;
use serde_json::Value;

use super::{caller::FleetCaller, find};

/// A job that was accepted.
pub struct AcceptedJob {
    pub job: KnownJob,
    pub id: String,
}

/// A job of `items` items under `key`.
pub fn known_job(model: &str, key: &str, items: u32) -> KnownJob {
    KnownJob {
        model: model.to_owned(),
        items,
        answer_tokens: 24,
        key: key.to_owned(),
        due_in: Duration::from_secs(600),
    }
}

impl AcceptedJob {
    /// Submits `job`.
    pub async fn submit(caller: &FleetCaller, job: KnownJob) -> Self {
        let id = job.submit(&caller.http, &caller.gateways, ACCOUNT_KEY).await;
        Self { id: id.expect("a gateway accepts the job"), job }
    }

    /// Submits `lines` under the key of `job`.
    pub async fn submit_lines(caller: &FleetCaller, job: KnownJob, lines: &str) -> Self {
        let path = format!("/v1/jobs?target={}&due=2099-01-01T00:00:00Z", job.model);
        let mut turn = 0;
        let id = find("a gateway accepts the job", || {
            turn += 1;
            let client = caller.client(turn);
            let mut request = client.request(Method::Post, &path, lines);
            request.insert_header("idempotency-key", job.key.as_str());
            async move {
                let (status, body) = client.whole(request).await?;
                let json: Value = serde_json::from_str(&body).ok()?;
                (status < 300).then(|| json["id"].as_str().map(str::to_owned))?
            }
        })
        .await;
        Self { job, id }
    }

    /// The job's status, from any gateway that answers.
    pub async fn status(&self, caller: &FleetCaller) -> Option<Value> {
        for turn in 0..caller.gateways.len() {
            let client = caller.client(turn);
            let path = format!("/v1/jobs/{}", self.id);
            let answer = client.whole(client.request(Method::Get, &path, Body::empty())).await;
            if let Some((200, body)) = answer {
                return serde_json::from_str(&body).ok();
            }
        }
        None
    }

    /// Waits until this many items have a result.
    pub async fn until_ended(&self, caller: &FleetCaller, items: u64) {
        find("items have results", || async {
            let status = self.status(caller).await?;
            (ended_items(&status) >= items).then_some(())
        })
        .await;
    }

    /// Waits for the job's end and returns its result lines.
    pub async fn result_lines(&self, caller: &FleetCaller) -> String {
        find("the job ends", || async {
            let status = self.status(caller).await?;
            (status["phase"] == "done" || status["phase"] == "cancelled").then_some(())
        })
        .await;
        let mut turn = 0;
        find("the results are read", || {
            turn += 1;
            let client = caller.client(turn);
            async move { results(&client, &self.id).await }
        })
        .await
    }

    /// Waits for the job's end and checks that each item has exactly one right result.
    pub async fn check_whole(&self, caller: &FleetCaller) {
        let lines = self.result_lines(caller).await;
        let outcome = self.job.check(&lines);
        let items = u64::from(self.job.items);
        let whole = JobOutcome { accepted: items, completed: items, ..JobOutcome::default() };
        assert_eq!(outcome, whole, "exactly one right result each");
    }
}

/// Items that have a result, as a status tells.
pub fn ended_items(status: &Value) -> u64 {
    let count = |name: &str| status["items"][name].as_u64().unwrap_or_default();
    count("answered") + count("failed") + count("cancelled")
}
