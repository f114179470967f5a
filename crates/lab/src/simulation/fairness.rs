//! Accounts that send online requests: the flood of one of them, retries of refused clients, and the sharing of slots.

use std::time::Duration;

use notch_relay::prelude::*;
use notch_types::prelude::*;
use rand::RngExt;

use crate::{
    pattern::AccountFlood,
    policy::SelectionPolicy,
    simulation::{RunWork, SERVICE, SimEvent, SimRequest, Simulation},
};

/// Retry delay of a refused client where no run time is known, as in production.
const RETRY_AFTER: Duration = Duration::from_millis(1_500);
/// Time from the start of a flood after which the use of slots is sampled: light requests that run at the start keep
/// their slots.
const FLOOD_START: Duration = Duration::from_millis(500);
/// How often the use of slots is sampled.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);
/// Weight of each account.
const WEIGHT: f64 = 1.0;

impl Simulation {
    pub(super) fn schedule_flood(&mut self) {
        if let Some(flood) = self.flood() {
            self.schedule.add(flood.at, SimEvent::FloodArrival);
            self.schedule.add(flood.at + FLOOD_START, SimEvent::SampleAccounts);
        }
    }

    fn flood(&self) -> Option<AccountFlood> {
        self.pattern.accounts.and_then(|accounts| accounts.flood)
    }

    /// Number of the account that floods, after those of the light accounts.
    fn heavy_account(&self) -> Option<usize> {
        self.pattern.accounts.map(|accounts| accounts.light)
    }

    fn is_flooding(&self) -> bool {
        let start = MonoTime::default();
        self.flood().is_some_and(|flood| self.now() < start + flood.at + flood.span)
    }

    /// Draws the account of a request of the base load; 0 where the pattern has no accounts.
    pub(super) fn draw_light_account(&mut self) -> usize {
        let accounts = self.pattern.accounts;
        accounts.map_or(0, |accounts| self.random.random_range(0..accounts.light))
    }

    /// A request of the account that floods.
    pub(super) fn handle_flood_arrival(&mut self) {
        let Some(flood) = self.flood().filter(|_| self.is_flooding()) else { return };
        let gap = -(1.0 - self.random.random::<f64>()).ln() / flood.per_second;
        self.schedule.add(Duration::from_secs_f64(gap), SimEvent::FloodArrival);
        let gateway = self.random.random_range(0..self.gateways.len());
        let account = self.heavy_account().unwrap_or_default();
        let request = self.requests.len();
        let arrived = self.now();
        let new =
            SimRequest { gateway, arrived, account, may_repeat: true, ..SimRequest::default() };
        self.requests.push(new);
        self.outcome.online += 1;
        self.schedule.add(Duration::ZERO, SimEvent::Attempt { request });
    }

    /// Counts which accounts use the slots during the flood.
    pub(super) fn sample_accounts(&mut self) {
        if !self.is_flooding() {
            return;
        }
        let heavy = self.heavy_account();
        let running = self.targets.iter().flat_map(|target| target.running());
        let work = running.filter_map(|number| self.runs.get(number)).map(|run| run.work);
        let (mut of_heavy, mut of_light) = (0, 0);
        for work in work {
            if let RunWork::Online { request } = work {
                let is_heavy = Some(self.requests[request].account) == heavy;
                *(if is_heavy { &mut of_heavy } else { &mut of_light }) += 1;
            }
        }
        let traffic = &mut self.outcome.accounts;
        traffic.heavy_slots += of_heavy;
        traffic.light_slots += of_light;
        traffic.all_slots += self.targets.len() as u64 * u64::from(self.pattern.slots);
        self.schedule.add(SAMPLE_INTERVAL, SimEvent::SampleAccounts);
    }

    /// How long a request may queue, by the production rule: a retry has no limit.
    pub(super) fn queue_limit(&self, request: usize) -> QueueLimit {
        match self.requests[request].is_retry {
            true => QueueLimit::Any,
            false => QueueLimit::Within(self.pattern.objective),
        }
    }

    /// Decides by the production rule whether a request may search for a slot.
    pub(super) fn admit_by_share(&mut self, request: usize) -> bool {
        if self.policy != SelectionPolicy::FairShares || self.requests[request].is_counted {
            return true;
        }
        let (now, queue) = (self.now(), self.queue_limit(request));
        let state = &mut self.requests[request];
        let key = account_key(state.account);
        let gateway = &mut self.gateways[state.gateway];
        let slots = gateway.table.fair_slots(SERVICE, now);
        let can_retry = queue != QueueLimit::Any;
        let shares = &mut gateway.shares;
        let verdict = shares.admit(SERVICE, &key, WEIGHT, slots, can_retry, now);
        match verdict {
            FairVerdict::Admit => {
                state.is_counted = shares.begin(SERVICE, &key, WEIGHT);
                true
            }
            FairVerdict::Refuse { .. } => {
                self.outcome.accounts.over_share += 1;
                false
            }
        }
    }

    /// Counts the end of a request, however it ended.
    pub(super) fn end_share(&mut self, request: usize) {
        let state = &mut self.requests[request];
        if std::mem::take(&mut state.is_counted) {
            let key = account_key(state.account);
            self.gateways[state.gateway].shares.end(SERVICE, &key);
        }
    }

    /// Counts a refused request, whose client retries once where the pattern has accounts.
    pub(super) fn refuse(&mut self, request: usize) {
        self.end_share(request);
        let SimRequest { account, is_retry, gateway, .. } = self.requests[request];
        if is_retry {
            return;
        }
        self.outcome.refused += 1;
        if self.pattern.accounts.is_none() {
            return;
        }
        let run = self.gateways[gateway].table.latency(SERVICE).run().unwrap_or(RETRY_AFTER);
        let delay = run.mul_f64(1.0 + self.random.random::<f64>());
        let retry = SimRequest {
            gateway: self.random.random_range(0..self.gateways.len()),
            arrived: self.now() + delay,
            account,
            is_retry: true,
            may_repeat: true,
            ..SimRequest::default()
        };
        let request = self.requests.len();
        self.requests.push(retry);
        self.schedule.add(delay, SimEvent::Attempt { request });
    }

    /// Counts an arrival of the base load.
    pub(super) fn note_light_arrival(&mut self) {
        self.outcome.accounts.light += u64::from(self.pattern.accounts.is_some());
    }

    /// Counts a request that was answered in time at its first attempt.
    pub(super) fn note_in_time(&mut self, request: usize) {
        let is_light =
            self.heavy_account().is_some_and(|heavy| self.requests[request].account < heavy);
        self.outcome.accounts.light_in_time += u64::from(is_light);
    }
}

fn account_key(account: usize) -> String {
    format!("a{account}")
}
