//! The demo's online callers: open-loop arrivals in bursts, each answer checked.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use async_std::task;
use futures_util::future::join_all;
use notch_http::prelude::HttpClient;
use rand::{RngExt, SeedableRng, rngs::SmallRng};

use crate::{
    fleet::FleetProfile,
    load::{LatencyReport, LoadClient, OnlinePrompt, OnlineReply, ReplyEnd},
};

/// Tries that a caller makes of one keyed request before it gives up.
const CALLER_TRIES: usize = 6;
/// A caller's pause before it tries again where it isn't told one.
const CALLER_PAUSE: Duration = Duration::from_millis(200);
/// Deadline of each request.
const DEADLINE: Duration = Duration::from_secs(15);

/// Arrivals of online requests.
#[derive(Debug, Clone)]
pub struct ArrivalPlan {
    /// Arrivals a second between bursts.
    pub rate: f64,
    /// Arrivals a second in a burst.
    pub burst_rate: f64,
    /// Time from one burst's start to the next one's.
    pub burst_every: Duration,
    /// Length of a burst.
    pub burst_for: Duration,
    /// How long requests arrive.
    pub duration: Duration,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Tells requests apart whose plans have the same arrivals.
    pub label: u64,
}

/// What online callers met.
#[derive(Debug, Clone, Default)]
pub struct OnlineOutcome {
    /// Requests sent.
    pub sent: u64,
    /// Requests that got their right answer.
    pub right: u64,
    /// Answers that look whole and are wrong: must stay 0.
    pub wrong: u64,
    /// Requests refused to the end, with the truth about them.
    pub refused: u64,
    /// Requests without an answer after all tries.
    pub unanswered: u64,
    /// Tries after the first.
    pub retries: u64,
    /// Times to first token of first tries that were answered.
    pub first_token: LatencyReport,
    /// Times to first token from the first try on, over all tries.
    pub first_token_of_all: LatencyReport,
    /// Times between tokens.
    pub gaps: LatencyReport,
}

impl ArrivalPlan {
    /// When requests arrive, from the start on: a Poisson process whose rate rises in bursts.
    pub fn arrivals(&self) -> Vec<Duration> {
        let mut random = SmallRng::seed_from_u64(self.seed);
        let mut at = 0.0;
        let mut arrivals = Vec::new();
        while at < self.duration.as_secs_f64() {
            let phase = at % self.burst_every.as_secs_f64();
            let rate =
                if phase < self.burst_for.as_secs_f64() { self.burst_rate } else { self.rate };
            let uniform: f64 = random.random_range(f64::EPSILON..1.0);
            at += -uniform.ln() / rate;
            arrivals.push(Duration::from_secs_f64(at));
        }
        arrivals
    }
}

/// Sends every arrival on its time, whatever became of earlier ones.
pub async fn run_callers(
    plan: &ArrivalPlan,
    profile: &FleetProfile,
    http: &HttpClient,
    gateways: impl Fn() -> Vec<SocketAddr>,
    key: &str,
) -> OnlineOutcome {
    let outcome = Arc::new(Mutex::new(OnlineOutcome::default()));
    let started = Instant::now();
    let mut calls = Vec::new();
    for (number, at) in plan.arrivals().into_iter().enumerate() {
        task::sleep(at.saturating_sub(started.elapsed())).await;
        let caller = OnlineCaller {
            http: http.clone(),
            gateways: gateways(),
            key: key.to_owned(),
            model: profile.model.to_owned(),
            name: format!("online-{}-{number}", plan.label),
            prompt: OnlinePrompt::numbered(
                "slot reply",
                plan.label << 32 | number as u64,
                profile.online_prompt,
                profile.online_answer,
            ),
            first_gateway: number,
        };
        let outcome = Arc::clone(&outcome);
        calls.push(task::spawn(async move { caller.call(&outcome).await }));
    }
    join_all(calls).await;
    locked(&outcome).clone()
}

struct OnlineCaller {
    http: HttpClient,
    gateways: Vec<SocketAddr>,
    key: String,
    model: String,
    name: String,
    prompt: OnlinePrompt,
    first_gateway: usize,
}

impl OnlineCaller {
    /// Tries until answered: another gateway each time, under the same key.
    async fn call(self, outcome: &Mutex<OnlineOutcome>) {
        let mut last = ReplyEnd::Lost;
        let arrived = Instant::now();
        for attempt in 0..CALLER_TRIES {
            let gateway = self.gateways[(self.first_gateway + attempt) % self.gateways.len()];
            let client = LoadClient::new(&self.http, gateway, &self.key);
            let waited = arrived.elapsed();
            let reply = client.chat(&self.prompt, &self.model, Some(&self.name), DEADLINE).await;
            locked(outcome).take(attempt, waited, &reply);
            let pause = match &reply.end {
                ReplyEnd::Right | ReplyEnd::Wrong => return,
                ReplyEnd::Refused { retry_after_ms: Some(wait), .. } => {
                    Duration::from_millis(*wait)
                }
                _ => CALLER_PAUSE,
            };
            last = reply.end;
            task::sleep(pause).await;
        }
        let mut outcome = locked(outcome);
        match last {
            ReplyEnd::Refused { code, ran, .. } => {
                log::debug!("{} refused to the end: {code}, ran {ran}", self.name);
                outcome.refused += 1;
            }
            _ => outcome.unanswered += 1,
        }
    }
}

/// Figures only: each step leaves them whole.
fn locked(outcome: &Mutex<OnlineOutcome>) -> MutexGuard<'_, OnlineOutcome> {
    outcome.lock().unwrap_or_else(PoisonError::into_inner)
}

impl OnlineOutcome {
    /// Takes in what another plan's callers met.
    pub fn merge(&mut self, other: &Self) {
        self.sent += other.sent;
        self.right += other.right;
        self.wrong += other.wrong;
        self.refused += other.refused;
        self.unanswered += other.unanswered;
        self.retries += other.retries;
        self.first_token.merge(&other.first_token);
        self.first_token_of_all.merge(&other.first_token_of_all);
        self.gaps.merge(&other.gaps);
    }

    /// `waited` is the time that earlier tries took.
    fn take(&mut self, attempt: usize, waited: Duration, reply: &OnlineReply) {
        if attempt == 0 {
            self.sent += 1;
            if let Some(first) = reply.first_token {
                self.first_token.record(first);
            }
        } else {
            self.retries += 1;
        }
        if let (Some(first), ReplyEnd::Right) = (reply.first_token, &reply.end) {
            self.first_token_of_all.record(waited + first);
        }
        for gap in &reply.gaps {
            self.gaps.record(*gap);
        }
        match reply.end {
            ReplyEnd::Right => self.right += 1,
            ReplyEnd::Wrong => self.wrong += 1,
            ReplyEnd::Cut | ReplyEnd::Refused { .. } | ReplyEnd::Lost => {}
        }
    }
}
