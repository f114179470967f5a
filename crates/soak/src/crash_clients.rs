//! Clients that send requests which crash targets, and sound ones that share prompt parts with them.

use std::time::{Duration, Instant};

use async_std::{future::timeout, task};
use notch_platform_standins::{SeenAnswer, client::key_line};
use rand::RngExt;

use crate::{
    clients::{CLIENT_TIMEOUT, ClientContext, MAX_PAUSE_MS},
    cluster::POISON_PART,
    culprit::{CrashCulprit, ResendInterval},
    observation::Observation,
};

/// Longest pause between two requests with the part that crashes targets.
const MAX_POISON_PAUSE_MS: u64 = 200;
/// Longest pause between two arrivals of each request that crashes targets.
const MAX_RESEND_PAUSE_MS: [u64; CrashCulprit::REQUESTS] = [250, 1_500];
/// Longest pause between two sound requests that share a part with such a request: rare enough not to prove it each
/// moment.
const MAX_NEIGHBOUR_PAUSE_MS: u64 = 900;
/// Pause between two jobs whose items crash targets.
const ITEM_PAUSE: Duration = Duration::from_secs(45);
/// Interval of checks whether the soak test is over.
const INTERVAL_POLL: Duration = Duration::from_millis(200);

impl ClientContext {
    /// Sends requests with a prompt part that crashes targets, no two alike.
    pub async fn send_poison(self, number: u64) {
        let mut random = self.random(number);
        let mut sent = 0;
        while !self.is_over() {
            sent += 1;
            let (gateway, attempt) = (self.gateway(&mut random), format!("p{number}-{sent}"));
            let headers = self.prompt_lines(&attempt, Some(POISON_PART));
            let culprit = CrashCulprit::Part;
            self.send_culprit(culprit, (gateway, &attempt), &headers, &attempt).await;
            task::sleep(Duration::from_millis(random.random_range(0..MAX_POISON_PAUSE_MS))).await;
        }
    }

    /// Sends one request that crashes targets again and again, whole.
    pub async fn resend_poison(self, number: u64, index: usize) {
        let mut random = self.random(number);
        let culprit = CrashCulprit::Request(index);
        let headers = self.prompt_lines("own", Some(&culprit.shared_part()));
        let mut sent = 0;
        while !self.is_over() {
            sent += 1;
            let (gateway, attempt) = (self.gateway(&mut random), format!("q{number}-{sent}"));
            self.send_culprit(culprit, (gateway, &attempt), &headers, &culprit.body()).await;
            let pause = random.random_range(0..MAX_RESEND_PAUSE_MS[index]);
            task::sleep(Duration::from_millis(pause)).await;
        }
    }

    /// Sends one request that crashes targets at an interval, whole, to each gateway in turn.
    pub async fn resend_at(self, number: u64, interval: ResendInterval) {
        let culprit = CrashCulprit::Resent(interval);
        let headers = self.prompt_lines("own", Some(&culprit.shared_part()));
        let mut due = Duration::ZERO;
        let began = Instant::now();
        for sent in 0.. {
            while began.elapsed() < due {
                if self.is_over() {
                    return;
                }
                task::sleep(INTERVAL_POLL.min(due.saturating_sub(began.elapsed()))).await;
            }
            due += interval.duration();
            let gateway = sent % self.cluster.gateway_count();
            let attempt = format!("r{number}-{sent}");
            self.send_culprit(culprit, (gateway, &attempt), &headers, &culprit.body()).await;
        }
    }

    /// Submits jobs whose items crash targets, now and then.
    pub async fn send_crashing_items(self, number: u64) {
        for job in 0.. {
            if self.is_over() {
                return;
            }
            let id = format!("{}{number}-{job}", CrashCulprit::ITEM_PREFIX);
            let gateway = job % self.cluster.gateway_count();
            let client = self.cluster.client(gateway);
            let key = key_line(&self.cluster.steady_key().text);
            let submitting = timeout(CLIENT_TIMEOUT, client.submit_with(&id, 1, &key)).await;
            if submitting.is_ok_and(|answer| answer.is_some_and(|a| a.head.status == 202)) {
                self.cluster.log.add(Observation::JobAccepted { job: id, items: 1 });
            }
            let next = Instant::now() + ITEM_PAUSE;
            while Instant::now() < next && !self.is_over() {
                task::sleep(INTERVAL_POLL).await;
            }
        }
    }

    /// Sends sound requests that share a part with one that crashes targets.
    pub async fn send_neighbours(self, number: u64, part: String) {
        let mut random = self.random(number);
        let mut sent = 0;
        while !self.is_over() {
            sent += 1;
            let attempt = format!("n{number}-{sent}");
            let gateway = self.gateway(&mut random);
            self.send_named(gateway, &attempt, Some(&part)).await;
            let pause = random.random_range(0..MAX_NEIGHBOUR_PAUSE_MS);
            task::sleep(Duration::from_millis(pause)).await;
        }
    }

    /// Sends sound requests to all gateways in turn, and records how many were served.
    pub async fn send_sound(&self, count: usize, part: Option<&str>) {
        let mut served = 0;
        for number in 0..count {
            let attempt = format!("sound-{}{number}", part.unwrap_or_default());
            let gateway = number % self.cluster.gateway_count();
            let answer = self.send_named(gateway, &attempt, part).await;
            served += usize::from(answer.is_some_and(|a| a.head.status == 200 && a.is_whole));
            task::sleep(Duration::from_millis(MAX_PAUSE_MS)).await;
        }
        self.cluster.log.add(Observation::SoundRequests { sent: count, served });
    }

    async fn send_named(
        &self,
        gateway: usize,
        attempt: &str,
        part: Option<&str>,
    ) -> Option<SeenAnswer> {
        let headers = key_line(&self.cluster.steady_key().text) + &self.prompt_lines(attempt, part);
        let client = self.cluster.client(gateway);
        let sending = client.post("/resume/x", attempt, &headers, attempt);
        let answer = timeout(CLIENT_TIMEOUT, sending).await.ok().flatten()?;
        self.record_answer(attempt, true, &answer);
        Some(answer)
    }

    async fn send_culprit(
        &self,
        culprit: CrashCulprit,
        (gateway, attempt): (usize, &str),
        headers: &str,
        body: &str,
    ) {
        let sent = Observation::SentPoison { attempt: attempt.to_owned(), gateway, culprit };
        self.cluster.log.add(sent);
        let client = self.cluster.client(gateway);
        let headers = key_line(&self.cluster.steady_key().text) + headers;
        let sending = client.post("/resume/x", attempt, &headers, body);
        if let Ok(Some(answer)) = timeout(CLIENT_TIMEOUT, sending).await {
            self.record_answer(attempt, true, &answer);
        }
    }
}
