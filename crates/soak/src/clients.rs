//! Clients that send requests and jobs and record what they observe.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use async_std::{future::timeout, task};
use notch_h1::prelude::WireReader;
use notch_platform_standins::{
    SeenAnswer,
    client::{
        StandInClient, key_line, named_attempt, post_on, prompt_lines, seen_results, take_up_lines,
    },
    store::STEADY_KEY,
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};

use crate::{
    checker::PROBE,
    cluster::{SoakCluster, SoakKey},
    failing_items::FailingItems,
    limited_accounts::send_pause,
    observation::Observation,
};

/// Time-out of each call by a client.
pub(crate) const CLIENT_TIMEOUT: Duration = Duration::from_secs(6);
/// Longest pause between two requests of a client.
pub(crate) const MAX_PAUSE_MS: u64 = 40;
/// Pause between two reads of a job's results, and between two attempts to submit a job.
const JOB_RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Pause between two jobs of a client in runs of many minutes.
const SLOW_JOB_PAUSE: Duration = Duration::from_secs(2);
/// Number of recent configuration versions whose keys are drawn besides the permanent key.
const OLD_KEYS: u64 = 5;
/// Number of equally likely draws. Each recent key has one of them, and the permanent key has the rest.
const KEY_CHOICES: u64 = 12;
/// Share of the new connections that come to a crowded gateway.
const CROWDED_SHARE: f64 = 0.9;
/// Most attempts of a client to take a stream up.
const MAX_TAKE_UPS: usize = 3;
/// Smallest deadline that clients name, the difference of one to the next, and their spread, milliseconds.
const MIN_DEADLINE_MS: u64 = 500;
const DEADLINE_STEP_MS: u64 = 700;
const DEADLINE_SPREAD_MS: u64 = 5_000;
/// Most items of a job.
const MAX_ITEMS: usize = 6;
/// The same where slots are offered for items: more than the slots at the targets of one home.
const MAX_OFFERED_ITEMS: usize = 40;
/// Time after which a client of an account with a limit gives a request up. It bounds the requests that wait at a frozen
/// gateway and run when it wakes up.
const LIMITED_TIMEOUT: Duration = Duration::from_secs(1);

/// State that all clients share.
#[derive(Debug, Clone)]
pub struct ClientContext {
    /// The cluster under test.
    pub cluster: SoakCluster,
    /// Seed of the soak test.
    pub seed: u64,
    /// Whether jobs have many items.
    pub offers_items: bool,
    /// Whether clients take broken streams up.
    pub takes_up: bool,
    /// Whether requests name the parts of their prompts.
    pub names_parts: bool,
    /// Whether requests name the time that their client waits.
    pub names_deadlines: bool,
    /// Whether job clients pause between jobs, as in runs of many minutes.
    pub is_slow: bool,
    /// Whether clients stop sending requests and jobs.
    pub is_over: Arc<AtomicBool>,
    /// Number of online requests sent.
    pub requests: Arc<AtomicUsize>,
    /// Number of jobs accepted.
    pub jobs: Arc<AtomicUsize>,
}

impl ClientContext {
    pub(crate) fn is_over(&self) -> bool {
        self.is_over.load(Ordering::Acquire)
    }

    pub(crate) fn random(&self, number: u64) -> SmallRng {
        SmallRng::seed_from_u64(self.seed.wrapping_mul(1_000_003).wrapping_add(number))
    }

    pub(crate) fn gateway(&self, random: &mut SmallRng) -> usize {
        let any = random.random_range(0..self.cluster.gateway_count());
        match self.cluster.crowded() {
            Some(crowded) if random.random_bool(CROWDED_SHARE) => crowded,
            _ => any,
        }
    }

    /// Header lines that name the parts of the prompt, where requests name them.
    pub(crate) fn prompt_lines(&self, attempt: &str, part: Option<&str>) -> String {
        match self.names_parts {
            true => prompt_lines(part, attempt),
            false => String::new(),
        }
    }

    /// The header line that names the client's deadline, where clients name it.
    fn deadline_line(&self, attempt: &str, gateway: usize, sent: u64) -> String {
        if !self.names_deadlines {
            return String::new();
        }
        let millis = MIN_DEADLINE_MS + sent * DEADLINE_STEP_MS % DEADLINE_SPREAD_MS;
        self.cluster.log.add(Observation::SentWithin {
            attempt: attempt.to_owned(),
            gateway,
            at: self.cluster.elapsed(),
            deadline: Duration::from_millis(millis),
        });
        format!("Deadline-Ms: {millis}\r\n")
    }

    /// Takes a stream up that broke off, at any gateway, as long as it goes on and breaks off again.
    async fn take_up(&self, begun_by: &str, answer: SeenAnswer, random: &mut SmallRng) {
        let mut last = last_event(&answer.body);
        for number in 1..=MAX_TAKE_UPS {
            let Some(had) = last else { return };
            let attempt = format!("{begun_by}-r{number}");
            let client = self.cluster.client(self.gateway(random));
            let headers = take_up_lines(begun_by, had)
                + &key_line(&self.cluster.steady_key().text)
                + &self.prompt_lines(begun_by, None);
            let sending =
                timeout(CLIENT_TIMEOUT, client.post("/resume/x", &attempt, &headers, "hi"));
            let Ok(Some(answer)) = sending.await else { continue };
            let (status, is_whole) = (answer.head.status, answer.is_whole);
            last = last_event(&answer.body).or(last);
            self.cluster.log.add(Observation::TakenUp {
                attempt,
                begun_by: begun_by.to_owned(),
                last: had,
                status,
                body: answer.body,
                is_whole,
            });
            if status == 200 && is_whole {
                return;
            }
        }
    }

    /// Sends online requests, most of them on persistent connections.
    pub async fn send_requests(self, number: u64) {
        let mut random = self.random(number);
        let mut connection: Option<(usize, WireReader)> = None;
        let mut sent = 0;
        while !self.is_over() {
            sent += 1;
            let attempt = format!("c{number}-{sent}");
            let may_repeat = random.random_bool(0.6);
            if connection.is_none() || random.random_bool(0.1) {
                let gateway = self.gateway(&mut random);
                let client = self.cluster.client(gateway);
                let opened = timeout(CLIENT_TIMEOUT, client.connect()).await.ok().flatten();
                connection = opened.map(|open| (gateway, open));
            }
            if let Some((gateway, mut open)) = connection.take() {
                self.requests.fetch_add(1, Ordering::Relaxed);
                let path = if may_repeat { "/resume/x" } else { "/once/x" };
                let key = self.draw_key(&attempt, &mut random);
                let headers = key
                    + &self.prompt_lines(&attempt, None)
                    + &self.deadline_line(&attempt, gateway, sent);
                let sending = timeout(CLIENT_TIMEOUT, post_on(&mut open, path, &attempt, &headers));
                if let Ok(Some(answer)) = sending.await {
                    self.record_answer(&attempt, may_repeat, &answer);
                    let is_reusable = answer.is_whole && answer.head.keep_alive;
                    connection = is_reusable.then_some((gateway, open));
                    if self.takes_up && may_repeat && !answer.is_whole {
                        self.take_up(&attempt, answer, &mut random).await;
                    }
                }
            }
            let pause = random.random_range(0..MAX_PAUSE_MS);
            task::sleep(Duration::from_millis(pause)).await;
        }
    }

    /// Draws a key for an attempt, mostly the permanent one, else one that may have been revoked. Returns its header
    /// line.
    fn draw_key(&self, attempt: &str, random: &mut SmallRng) -> String {
        let version = self.cluster.version();
        let key = match random.random_range(0..KEY_CHOICES) {
            age @ 0..OLD_KEYS => self.cluster.passing_key(version.saturating_sub(age).max(1)),
            _ => self.cluster.steady_key(),
        };
        let SoakKey { text, revoked_for } = key;
        self.cluster.log.add(Observation::Sent { attempt: attempt.to_owned(), revoked_for });
        key_line(&text)
    }

    /// Sends requests of an account with a limit at its rate, whether or not earlier ones were answered.
    pub async fn send_limited(self, number: u64, account: usize) {
        let (name, keys, ..) = self.cluster.limited_accounts()[account];
        let mut random = self.random(number);
        let began = Instant::now();
        let mut due = Duration::ZERO;
        let mut sent = 0;
        while !self.is_over() {
            sent += 1;
            let (context, attempt) = (self.clone(), format!("{name}-{sent}"));
            let gateway = self.gateway(&mut random);
            task::spawn(async move {
                context.send_one_limited(gateway, &attempt, name, keys[0]).await;
            });
            due += send_pause(account, due);
            task::sleep(due.saturating_sub(began.elapsed())).await;
        }
    }

    async fn send_one_limited(&self, gateway: usize, attempt: &str, account: &str, key: &str) {
        self.requests.fetch_add(1, Ordering::Relaxed);
        let (id, account) = (attempt.to_owned(), account.to_owned());
        self.cluster.log.add(Observation::SentFor { attempt: id, account });
        let (client, key) = (self.cluster.client(gateway), key_line(key));
        let sending = timeout(LIMITED_TIMEOUT, client.post("/resume/x", attempt, &key, "hi"));
        if let Ok(Some(answer)) = sending.await {
            self.record_answer(attempt, true, &answer);
        }
    }

    pub(crate) fn record_answer(&self, attempt: &str, may_repeat: bool, answer: &SeenAnswer) {
        self.cluster.log.add(Observation::Answered {
            attempt: attempt.to_owned(),
            may_repeat,
            status: answer.head.status,
            named: named_attempt(answer).map(str::to_owned),
            body: answer.body.clone(),
            is_whole: answer.is_whole,
        });
    }

    /// Submits jobs, each until it is accepted, and reads their results until they are complete.
    pub async fn send_jobs(self, number: u64) {
        self.send_jobs_named(number, "j").await;
    }

    /// The same for jobs whose items fail at each run.
    pub async fn send_failing(self, number: u64, items: FailingItems) {
        self.send_jobs_named(number, items.prefix()).await;
    }

    pub(crate) async fn send_jobs_named(self, number: u64, prefix: &str) {
        let mut random = self.random(number);
        let mut sent = 0;
        while !self.is_over() {
            sent += 1;
            let job = format!("{prefix}{number}-{sent}");
            let max_items = if self.offers_items { MAX_OFFERED_ITEMS } else { MAX_ITEMS };
            let items = random.random_range(1..=max_items);
            loop {
                let client = self.cluster.client(self.gateway(&mut random));
                let status =
                    timeout(CLIENT_TIMEOUT, submit(client, &job, items)).await.unwrap_or(0);
                if status == 202 {
                    break;
                }
                if self.is_over() {
                    return;
                }
                task::sleep(JOB_RETRY_PAUSE).await;
            }
            self.jobs.fetch_add(1, Ordering::Relaxed);
            self.cluster.log.add(Observation::JobAccepted { job: job.clone(), items });
            self.read_to_end(&job, items, &mut random).await;
            if self.is_slow {
                task::sleep(SLOW_JOB_PAUSE).await;
            }
        }
    }

    async fn read_to_end(&self, job: &str, items: usize, random: &mut SmallRng) {
        loop {
            let client = self.cluster.client(self.gateway(random));
            let key = key_line(&self.cluster.steady_key().text);
            let reading = timeout(CLIENT_TIMEOUT, client.results_with(job, 0, &key));
            if let Ok((200, page)) = reading.await {
                let (results, _) = seen_results(&page);
                let is_whole = results.len() >= items;
                self.cluster.log.add(Observation::JobRead { job: job.to_owned(), results });
                if is_whole {
                    return;
                }
            }
            task::sleep(JOB_RETRY_PAUSE).await;
        }
    }

    /// Checks again and again whether a random gateway knows a recent configuration version.
    pub async fn ask_routes(self, number: u64) {
        let mut random = self.random(number);
        while !self.is_over() {
            let gateway = self.gateway(&mut random);
            let version = self.cluster.version();
            let asked = random.random_range(version.saturating_sub(3).max(1)..=version);
            self.ask_route(gateway, asked).await;
            task::sleep(Duration::from_millis(MAX_PAUSE_MS)).await;
        }
    }

    /// Checks whether a gateway knows the route of a configuration version, and records that. Returns false if the
    /// gateway gave no clear answer.
    pub async fn ask_route(&self, gateway: usize, version: u64) -> bool {
        let process = self.cluster.incarnation(gateway);
        let client = self.cluster.client(gateway);
        let path = format!("/v{version}/x");
        let asking = client.post(&path, PROBE, "", "hi");
        let Ok(Some(answer)) = timeout(CLIENT_TIMEOUT, asking).await else { return false };
        let verdict = match answer.head.status {
            404 => Some(false),
            // The gateway has no configuration or no target yet, so it can't tell whether the route exists.
            503 => None,
            _ => Some(true),
        };
        let is_same = process == self.cluster.incarnation(gateway);
        let Some(is_known) = verdict.filter(|_| is_same) else { return false };
        self.cluster.log.add(Observation::RouteAsked { process, version, is_known });
        is_known
    }
}

/// Id of the last whole event in a part of a stream.
fn last_event(body: &str) -> Option<u64> {
    let whole = &body[..body.rfind("\n\n")?];
    whole.lines().filter_map(|line| line.strip_prefix("id: ")).next_back()?.parse().ok()
}

/// Submits a job and returns the status of the answer, or 0 if there is none.
async fn submit(client: StandInClient, job: &str, items: usize) -> u16 {
    let answer = client.submit_with(job, items, &key_line(STEADY_KEY)).await;
    answer.map_or(0, |answer| answer.head.status)
}
