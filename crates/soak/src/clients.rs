//! Clients that write down what they see.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use async_std::{future::timeout, task};
use notch_h1::prelude::WireReader;
use notch_platform_standins::{
    SeenAnswer,
    client::{StandInClient, key_line, named_attempt, post_on, seen_results},
    store::STEADY_KEY,
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};

use crate::{
    checker::PROBE,
    observation::Observation,
    world::{SoakKey, SoakWorld},
};

/// Longest wait of a client for anything.
const PATIENCE: Duration = Duration::from_secs(6);
/// Longest pause of a client between two requests.
const PAUSE_MS: u64 = 40;
/// Pause between two reads of a job, and two sendings of one.
const JOB_PAUSE: Duration = Duration::from_millis(200);
/// Keys of so many versions are drawn beside the one that stays.
const OLD_KEYS: u64 = 5;
/// Draws among which each of these has one.
const KEY_CHOICES: u64 = 12;
/// Items of a job, at most.
const ITEMS: usize = 6;

/// What clients share.
#[derive(Debug, Clone)]
pub struct ClientRun {
    /// The world that they are in.
    pub world: SoakWorld,
    /// Seed of the run.
    pub seed: u64,
    /// No new request or job begins any more.
    pub is_over: Arc<AtomicBool>,
    /// Requests sent.
    pub requests: Arc<AtomicUsize>,
    /// Jobs accepted.
    pub jobs: Arc<AtomicUsize>,
}

impl ClientRun {
    fn is_over(&self) -> bool {
        self.is_over.load(Ordering::Acquire)
    }

    fn random(&self, number: u64) -> SmallRng {
        SmallRng::seed_from_u64(self.seed.wrapping_mul(1_000_003).wrapping_add(number))
    }

    fn gateway(&self, random: &mut SmallRng) -> usize {
        random.random_range(0..self.world.gateway_count())
    }

    /// Sends online requests, most of them on connections that stay open.
    pub async fn send_requests(self, number: u64) {
        let mut random = self.random(number);
        let mut connection: Option<WireReader> = None;
        let mut sent = 0;
        while !self.is_over() {
            sent += 1;
            let attempt = format!("c{number}-{sent}");
            let may_repeat = random.random_bool(0.6);
            if connection.is_none() || random.random_bool(0.1) {
                let client = self.world.client(self.gateway(&mut random));
                connection = timeout(PATIENCE, client.connect()).await.ok().flatten();
            }
            if let Some(mut open) = connection.take() {
                self.requests.fetch_add(1, Ordering::Relaxed);
                let path = if may_repeat { "/resume/x" } else { "/once/x" };
                let key = self.draw_key(&attempt, &mut random);
                let sending = timeout(PATIENCE, post_on(&mut open, path, &attempt, &key));
                if let Ok(Some(answer)) = sending.await {
                    self.note_answer(&attempt, may_repeat, &answer);
                    let stays = answer.is_whole && answer.head.keep_alive;
                    connection = stays.then_some(open);
                }
            }
            let pause = random.random_range(0..PAUSE_MS);
            task::sleep(Duration::from_millis(pause)).await;
        }
    }

    /// The line of a key: mostly of the one that stays, else of one that may have been taken away.
    fn draw_key(&self, attempt: &str, random: &mut SmallRng) -> String {
        let version = self.world.version();
        let key = match random.random_range(0..KEY_CHOICES) {
            age @ 0..OLD_KEYS => self.world.passing_key(version.saturating_sub(age).max(1)),
            _ => self.world.steady_key(),
        };
        let SoakKey { text, taken_away_for } = key;
        self.world.log.add(Observation::Sent { attempt: attempt.to_owned(), taken_away_for });
        key_line(&text)
    }

    fn note_answer(&self, attempt: &str, may_repeat: bool, answer: &SeenAnswer) {
        self.world.log.add(Observation::Answered {
            attempt: attempt.to_owned(),
            may_repeat,
            status: answer.head.status,
            named: named_attempt(answer).map(str::to_owned),
            body: answer.body.clone(),
            is_whole: answer.is_whole,
        });
    }

    /// Sends jobs, each until it is accepted, and reads them to their end.
    pub async fn send_jobs(self, number: u64) {
        let mut random = self.random(number);
        let mut sent = 0;
        while !self.is_over() {
            sent += 1;
            let job = format!("j{number}-{sent}");
            let items = random.random_range(1..=ITEMS);
            loop {
                let client = self.world.client(self.gateway(&mut random));
                let status = timeout(PATIENCE, submit(client, &job, items)).await.unwrap_or(0);
                if status == 202 {
                    break;
                }
                if self.is_over() {
                    return;
                }
                task::sleep(JOB_PAUSE).await;
            }
            self.jobs.fetch_add(1, Ordering::Relaxed);
            self.world.log.add(Observation::JobAccepted { job: job.clone(), items });
            self.read_to_end(&job, items, &mut random).await;
        }
    }

    async fn read_to_end(&self, job: &str, items: usize, random: &mut SmallRng) {
        loop {
            let client = self.world.client(self.gateway(random));
            let key = key_line(&self.world.steady_key().text);
            let reading = timeout(PATIENCE, client.results_with(job, 0, &key));
            if let Ok((200, page)) = reading.await {
                let (results, _) = seen_results(&page);
                let is_whole = results.len() >= items;
                self.world.log.add(Observation::JobRead { job: job.to_owned(), results });
                if is_whole {
                    return;
                }
            }
            task::sleep(JOB_PAUSE).await;
        }
    }

    /// Asks gateways, one after the other, whether they know configurations.
    pub async fn ask_routes(self, number: u64) {
        let mut random = self.random(number);
        while !self.is_over() {
            let gateway = self.gateway(&mut random);
            let version = self.world.version();
            let asked = random.random_range(version.saturating_sub(3).max(1)..=version);
            self.ask_route(gateway, asked).await;
            task::sleep(Duration::from_millis(PAUSE_MS)).await;
        }
    }

    /// Asks one gateway whether it knows a configuration; false when it doesn't say.
    pub async fn ask_route(&self, gateway: usize, version: u64) -> bool {
        let process = self.world.incarnation(gateway);
        let client = self.world.client(gateway);
        let path = format!("/v{version}/x");
        let asking = client.post(&path, PROBE, "", "hi");
        let Ok(Some(answer)) = timeout(PATIENCE, asking).await else { return false };
        let says = match answer.head.status {
            404 => Some(false),
            // It has no configuration yet, or no target: the route is known to neither.
            503 => None,
            _ => Some(true),
        };
        let is_same = process == self.world.incarnation(gateway);
        let Some(is_known) = says.filter(|_| is_same) else { return false };
        self.world.log.add(Observation::RouteAsked { process, version, is_known });
        is_known
    }
}

/// Submits a job; the answer's status, 0 for none.
async fn submit(client: StandInClient, job: &str, items: usize) -> u16 {
    let answer = client.submit_with(job, items, &key_line(STEADY_KEY)).await;
    answer.map_or(0, |answer| answer.head.status)
}
