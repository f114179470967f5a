//! Holds what was seen against the promises.

use notch_platform_standins::{
    client::item_id,
    store::ACCOUNT,
    target::{EVENTS, marked_data, marked_events},
};
use notch_types::prelude::*;

use crate::{
    config::REVOCATION_BOUND,
    observation::{Observation, SeenResult},
};

/// The attempt of every request that asks for a route.
pub(crate) const PROBE: &str = "route";

/// A promise.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum PromiseKind {
    /// An answer is the target's own for this request, whole or visibly cut.
    OwnAnswer,
    /// What is refused has not run.
    TrueRefusal,
    /// What may not be repeated runs once at most.
    RunsOnce,
    /// Each item of an accepted job has exactly one result, the right one.
    OneResult,
    /// A list of results only grows.
    GrowingList,
    /// A configuration that was in force at a process stays in force or is followed by a newer one.
    NoReversion,
    /// A request runs for the account of its key, which no target is shown.
    OwnAccount,
    /// A key that was taken away is honoured for a bounded time, by every gateway.
    TakenAway,
    /// After the faults every gateway is ready and knows the newest configuration.
    Recovery,
}

/// A promise that was broken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BrokenPromise {
    /// Which.
    pub kind: PromiseKind,
    /// What was seen.
    pub detail: String,
}

/// Every promise that these observations show to be broken.
pub fn check(observations: &[Observation]) -> Vec<BrokenPromise> {
    let mut checker = PromiseChecker::default();
    for observation in observations {
        checker.see(observation);
    }
    checker.finish()
}

#[derive(Debug, Default)]
struct PromiseChecker {
    broken: Vec<BrokenPromise>,
    /// How often each attempt or item began to run.
    runs: FastMap<String, usize>,
    refused: Vec<String>,
    /// Attempts that must not run, as their key was taken away long before.
    without_key: FastSet<String>,
    /// Attempts that may not be repeated.
    once: FastSet<String>,
    /// Accepted jobs with their number of items.
    jobs: FastMap<String, usize>,
    /// The longest list of each job.
    lists: FastMap<String, Vec<SeenResult>>,
    /// Newest configuration known to each process.
    versions: FastMap<String, u64>,
}

impl PromiseChecker {
    fn see(&mut self, observation: &Observation) {
        match observation {
            Observation::Sent { attempt, taken_away_for } => {
                if taken_away_for.is_some_and(|age| age > REVOCATION_BOUND) {
                    self.without_key.insert(attempt.clone());
                }
            }
            Observation::Answered { attempt, may_repeat, status, named, body, is_whole } => {
                if !may_repeat {
                    self.once.insert(attempt.clone());
                }
                if matches!(status, 408 | 421 | 429 | 503) {
                    self.refused.push(attempt.clone());
                }
                self.see_answer(attempt, *status, named.as_deref(), body, *is_whole);
            }
            Observation::Ran { attempt, account, has_key } => {
                *self.runs.entry(attempt.clone()).or_default() += 1;
                self.see_account(attempt, account.as_deref(), *has_key);
            }
            Observation::JobAccepted { job, items } => {
                self.jobs.insert(job.clone(), *items);
            }
            Observation::JobRead { job, results } => self.see_list(job, results),
            Observation::RouteAsked { process, version, is_known } => {
                self.see_route(process, *version, *is_known);
            }
            Observation::Recovered { not_ready, processes, version } => {
                for gateway in not_ready {
                    self.add(PromiseKind::Recovery, format!("{gateway} is not ready"));
                }
                for process in processes {
                    let known = self.versions.get(process).copied().unwrap_or_default();
                    if known < *version {
                        let detail = format!("{process} at {known}, the store at {version}");
                        self.add(PromiseKind::Recovery, detail);
                    }
                }
            }
            Observation::EndedByItself { process } => {
                self.add(PromiseKind::Recovery, format!("{process} ended by itself"));
            }
        }
    }

    fn see_answer(
        &mut self,
        attempt: &str,
        status: u16,
        named: Option<&str>,
        body: &str,
        is_whole: bool,
    ) {
        if status != 200 {
            return;
        }
        let expected = marked_events(attempt);
        let fits = if is_whole { body == expected } else { expected.starts_with(body) };
        if !fits || named != Some(attempt) {
            let detail = format!("{attempt}: named {named:?}, whole {is_whole}, body {body:?}");
            self.add(PromiseKind::OwnAnswer, detail);
        }
    }

    fn see_account(&mut self, attempt: &str, account: Option<&str>, has_key: bool) {
        // Those that ask for a route need no key.
        let is_own = account == Some(ACCOUNT) || attempt == PROBE;
        if !is_own || has_key {
            let detail = format!("{attempt} ran for {account:?}, with its key: {has_key}");
            self.add(PromiseKind::OwnAccount, detail);
        }
        if self.without_key.contains(attempt) {
            self.add(PromiseKind::TakenAway, format!("{attempt} ran by a key that was taken away"));
        }
    }

    fn see_list(&mut self, job: &str, results: &[SeenResult]) {
        let longest = self.lists.entry(job.to_owned()).or_default();
        let common = longest.len().min(results.len());
        let is_same = longest[..common] == results[..common];
        if results.len() > longest.len() {
            *longest = results.to_vec();
        }
        if !is_same {
            self.add(PromiseKind::GrowingList, format!("{job} has other results than before"));
        }
    }

    fn see_route(&mut self, process: &str, version: u64, is_known: bool) {
        let newest = self.versions.entry(process.to_owned()).or_default();
        if is_known {
            *newest = version.max(*newest);
        } else if version <= *newest {
            let detail = format!("{process} knew configuration {newest}, then not {version}");
            self.add(PromiseKind::NoReversion, detail);
        }
    }

    fn finish(mut self) -> Vec<BrokenPromise> {
        for attempt in std::mem::take(&mut self.refused) {
            if self.runs.contains_key(&attempt) {
                self.add(PromiseKind::TrueRefusal, format!("{attempt} was refused and has run"));
            }
        }
        let twice: Vec<String> = self
            .once
            .iter()
            .filter(|a| self.runs.get(*a).is_some_and(|n| *n > 1))
            .cloned()
            .collect();
        for attempt in twice {
            self.add(PromiseKind::RunsOnce, format!("{attempt} ran more than once"));
        }
        for (job, items) in std::mem::take(&mut self.jobs) {
            self.check_job(&job, items);
        }
        self.broken
    }

    fn check_job(&mut self, job: &str, items: usize) {
        let list = self.lists.remove(job).unwrap_or_default();
        let mut seen = FastSet::default();
        for result in &list {
            if !seen.insert(result.item.clone()) {
                self.add(PromiseKind::OneResult, format!("{} is listed twice", result.item));
            }
            let output: Vec<String> =
                (1..=EVENTS).map(|id| marked_data(&result.item, id)).collect();
            if !result.is_completed || result.output != output.join("\n") {
                self.add(PromiseKind::OneResult, format!("wrong result: {result:?}"));
            }
        }
        for index in 0..items {
            let item = item_id(job, index);
            if !seen.contains(&item) {
                self.add(PromiseKind::OneResult, format!("{item} has no result"));
            }
        }
    }

    fn add(&mut self, kind: PromiseKind, detail: String) {
        self.broken.push(BrokenPromise { kind, detail });
    }
}
