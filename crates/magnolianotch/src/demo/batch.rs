//! The demo's job: submitted, watched to its end, and every result checked.

use std::{
    net::SocketAddr,
    time::{Duration, Instant, SystemTime},
};

use async_std::task;
use notch_http::prelude::*;
use notch_standins::expected_text;
use notch_types::prelude::FastMap;
use serde_json::{Value, json};

use crate::load::LoadClient;

/// Between two looks at the job.
const LOOK_PAUSE: Duration = Duration::from_millis(250);

/// A job with known answers.
#[derive(Debug, Clone)]
pub struct KnownJob {
    /// The model.
    pub model: String,
    /// Number of items.
    pub items: u32,
    /// Tokens of each answer.
    pub answer_tokens: u32,
    /// Its idempotency key.
    pub key: String,
    /// Time until it is due.
    pub due_in: Duration,
}

/// What became of a job's items.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct JobOutcome {
    /// Items accepted.
    pub accepted: u64,
    /// Items with exactly one right result.
    pub completed: u64,
    /// Items without a result.
    pub lost: u64,
    /// Further results of items that have one.
    pub duplicated: u64,
    /// Items whose result is an error or a wrong answer.
    pub failed: u64,
    /// From acceptance to the last item's end, milliseconds.
    pub took_ms: u64,
}

impl KnownJob {
    fn prompt(&self, item: u32) -> String {
        format!("match statement line {item} of {} to its posting", self.key)
    }

    /// The job's input.
    pub fn lines(&self) -> String {
        let line = |item| {
            json!({
                "custom_id": format!("line-{item}"),
                "body": {
                    "model": self.model,
                    "messages": [{ "role": "user", "content": self.prompt(item) }],
                    "max_tokens": self.answer_tokens,
                },
            })
            .to_string()
                + "\n"
        };
        (0..self.items).map(line).collect()
    }

    /// Submits the job, going on to the next gateway until one says that it has it. Resends are
    /// safe: the key names the job.
    pub async fn submit(
        &self,
        http: &HttpClient,
        gateways: &[SocketAddr],
        key: &str,
    ) -> Option<String> {
        let due = humantime::format_rfc3339_seconds(SystemTime::now() + self.due_in).to_string();
        let path = format!("/v1/jobs?target={}&due={}", self.model, due);
        for turn in 0..20 {
            let client = LoadClient::new(http, gateways[turn % gateways.len()], key);
            let mut request = client.request(Method::Post, &path, self.lines());
            request.insert_header("content-type", "application/x-ndjson");
            request.insert_header("idempotency-key", self.key.as_str());
            if let Some((status, body)) = client.whole(request).await {
                if status < 300 {
                    let json: Value = serde_json::from_str(&body).unwrap_or_default();
                    return json["id"].as_str().map(str::to_owned);
                }
                log::debug!("job not accepted: {status} {body}");
            }
            task::sleep(LOOK_PAUSE).await;
        }
        None
    }

    /// Watches the job until it is done or `until` is over; then reads and checks its results.
    pub async fn watch(
        &self,
        job: &str,
        http: &HttpClient,
        gateways: impl Fn() -> Vec<SocketAddr>,
        key: &str,
        until: Instant,
    ) -> JobOutcome {
        let accepted_at = Instant::now();
        let mut turn = 0;
        while Instant::now() < until {
            let addresses = gateways();
            turn += 1;
            let client = LoadClient::new(http, addresses[turn % addresses.len()], key);
            if job_phase(&client, job).await.as_deref() == Some("done") {
                break;
            }
            task::sleep(LOOK_PAUSE).await;
        }
        let took_ms = accepted_at.elapsed().as_millis() as u64;
        for _ in 0..20 {
            let addresses = gateways();
            turn += 1;
            let client = LoadClient::new(http, addresses[turn % addresses.len()], key);
            if let Some(lines) = results(&client, job).await {
                return JobOutcome { took_ms, ..self.check(&lines) };
            }
            task::sleep(LOOK_PAUSE).await;
        }
        JobOutcome {
            accepted: u64::from(self.items),
            lost: u64::from(self.items),
            took_ms,
            ..JobOutcome::default()
        }
    }

    /// Holds result lines against what was submitted.
    pub fn check(&self, lines: &str) -> JobOutcome {
        let mut seen: FastMap<String, (u64, bool)> = FastMap::default();
        for line in lines.lines().filter(|line| !line.is_empty()) {
            let json: Value = serde_json::from_str(line).unwrap_or_default();
            let custom_id = json["custom_id"].as_str().unwrap_or_default().to_owned();
            let right = self.is_right(&custom_id, &json);
            let entry = seen.entry(custom_id).or_insert((0, true));
            entry.0 += 1;
            entry.1 &= right;
        }
        let mut outcome = JobOutcome { accepted: u64::from(self.items), ..JobOutcome::default() };
        for item in 0..self.items {
            match seen.get(&format!("line-{item}")) {
                None => outcome.lost += 1,
                Some((count, right)) => {
                    outcome.duplicated += count - 1;
                    match (*count, *right) {
                        (1, true) => outcome.completed += 1,
                        (_, false) => outcome.failed += 1,
                        _ => {}
                    }
                }
            }
        }
        outcome
    }

    fn is_right(&self, custom_id: &str, line: &Value) -> bool {
        let Some(item) = custom_id.strip_prefix("line-").and_then(|item| item.parse().ok()) else {
            return false;
        };
        let answer = line["response"]["body"]["choices"][0]["message"]["content"].as_str();
        answer == Some(&expected_text(&self.prompt(item), self.answer_tokens))
    }
}

/// The phase of a job, as its gateway says.
pub async fn job_phase(client: &LoadClient, job: &str) -> Option<String> {
    let request = client.request(Method::Get, &format!("/v1/jobs/{job}"), Body::empty());
    let (status, body) = client.whole(request).await?;
    let json: Value = serde_json::from_str(&body).ok()?;
    (status < 300).then(|| json["phase"].as_str().map(str::to_owned))?
}

/// All result lines of a job.
pub async fn results(client: &LoadClient, job: &str) -> Option<String> {
    let request = client.request(Method::Get, &format!("/v1/jobs/{job}/results"), Body::empty());
    let (status, body) = client.whole(request).await?;
    (status < 300).then_some(body)
}
