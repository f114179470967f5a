//! Splits each account's limits among the gateways and keeps to this gateway's part.

use std::{collections::BTreeMap, time::Duration};

use notch_types::prelude::*;

use crate::{account_use::AccountUse, policy::AccountLimit, settings::AccountSettings};

/// What an account did here lately. Made at its first request, dropped when idle.
#[derive(Debug)]
struct AccountState {
    /// Requests it may make at once. Invariant: within `0.0..=burst * share`.
    tokens: f64,
    /// When `tokens` and `demand_per_s` were brought up to date.
    updated: MonoTime,
    in_flight: u32,
    /// Smoothed rate of requests, refused ones included.
    demand_per_s: f64,
    /// Other gateways' use, each with its age; expired ones are dropped as they are met.
    others: BTreeMap<VmName, (MonoTime, AccountUse)>,
}

/// This gateway's part of an account's limits.
#[derive(Debug, Clone, Copy, PartialEq)]
struct AccountPart {
    requests_per_s: f64,
    burst: f64,
    concurrency: u32,
}

/// Limits of all accounts (one small record each), and the state of those seen lately.
///
/// An account that asks for less than its limit everywhere may use here all that the others leave;
/// one that asks for more gets a part in proportion to its demand here. Only accounts near their
/// limit are told of, so the parts rest on rumours: between two rumours, gateways together may
/// let through more than the limit, never less than [`AccountSettings::min_share`] of it each.
#[derive(Debug)]
pub struct AccountTable {
    limits: FastMap<AccountName, AccountLimit>,
    /// Bounded by `limits`: only accounts with a limit have a state.
    states: FastMap<AccountName, AccountState>,
    /// Accounts that asked since the last rumours.
    touched: FastSet<AccountName>,
    gateways: u32,
    rumor_at: MonoTime,
    sweep_at: MonoTime,
    settings: AccountSettings,
}

impl AccountTable {
    /// No account is limited yet.
    pub fn new(settings: AccountSettings) -> Self {
        Self {
            limits: FastMap::default(),
            states: FastMap::default(),
            touched: FastSet::default(),
            gateways: 1,
            rumor_at: MonoTime::default(),
            sweep_at: MonoTime::default(),
            settings,
        }
    }

    /// Replaces all limits. The use of accounts that stay goes on counting.
    pub fn replace(&mut self, limits: Vec<AccountLimit>) {
        self.limits = limits.into_iter().map(|limit| (limit.account.clone(), limit)).collect();
        let limits = &self.limits;
        self.states.retain(|account, _| limits.contains_key(account));
        self.touched.retain(|account| limits.contains_key(account));
    }

    /// How many gateways there are, this one included.
    pub fn set_gateways(&mut self, count: u32) {
        self.gateways = count.max(1);
    }

    /// Lets a request of the account in, or says after how long a new try makes sense.
    /// `holds_slot` is false for a call that joins a running request: it costs rate only.
    ///
    /// # Errors
    /// The time until a token is there, or a guess for a slot.
    pub fn admit(
        &mut self,
        now: MonoTime,
        account: &AccountName,
        holds_slot: bool,
    ) -> Result<(), Duration> {
        let Some(limit) = self.limits.get(account) else { return Ok(()) };
        let rumor_age = rumor_age(&self.settings, self.gateways);
        let settings = &self.settings;
        let state =
            self.states.entry(account.clone()).or_insert_with(|| AccountState::new(now, limit));
        if !self.touched.contains(account) {
            self.touched.insert(account.clone());
        }
        state.drop_stale(now, rumor_age);
        state.note_demand(now, settings.demand_window);
        let part = state.part(limit, settings);
        state.refill(now, &part);
        state.admit(limit, &part, holds_slot)
    }

    /// A request that held a slot ended.
    pub fn release(&mut self, account: &AccountName) {
        if let Some(state) = self.states.get_mut(account) {
            state.in_flight = state.in_flight.saturating_sub(1);
        }
    }

    /// Another gateway told its use.
    pub fn heard(&mut self, now: MonoTime, gateway: VmName, usage: AccountUse) {
        let Some(limit) = self.limits.get(&usage.account) else { return };
        let state = self
            .states
            .entry(usage.account.clone())
            .or_insert_with(|| AccountState::new(now, limit));
        state.others.insert(gateway, (now, usage));
    }

    /// Another gateway is gone.
    pub fn forget_gateway(&mut self, gateway: &VmName) {
        for state in self.states.values_mut() {
            state.others.remove(gateway);
        }
    }

    /// Accounts that have a state now.
    pub fn active(&self) -> usize {
        self.states.len()
    }

    /// When [`Self::tick`] has something to do.
    pub fn next_wake(&self) -> Option<MonoTime> {
        if self.touched.is_empty() { None } else { Some(self.rumor_at) }
    }

    /// Tells the use of accounts near their limit, and drops idle accounts.
    pub fn tick(&mut self, now: MonoTime, rumors: &mut Vec<AccountUse>) {
        if self.rumor_at <= now {
            self.rumor_at = now + rumor_interval(&self.settings, self.gateways);
            self.tell(rumors);
        }
        if self.sweep_at <= now {
            self.sweep_at = now + self.settings.idle_age / 2;
            self.sweep(now);
        }
    }

    fn tell(&mut self, rumors: &mut Vec<AccountUse>) {
        let mut near: Vec<(f64, AccountUse)> = self
            .touched
            .drain()
            .filter_map(|account| {
                let limit = self.limits.get(&account)?;
                let state = self.states.get(&account)?;
                let ratio = state.nearness(limit, self.gateways);
                (ratio >= self.settings.near).then(|| (ratio, state.usage(account)))
            })
            .collect();
        near.sort_by(|(ratio, usage), (other_ratio, other)| {
            other_ratio.total_cmp(ratio).then_with(|| usage.account.cmp(&other.account))
        });
        near.truncate(self.settings.rumor_batch);
        rumors.extend(near.into_iter().map(|(_, usage)| usage));
    }

    fn sweep(&mut self, now: MonoTime) {
        let idle_age = self.settings.idle_age;
        let rumor_age = rumor_age(&self.settings, self.gateways);
        self.states.retain(|_, state| {
            state.drop_stale(now, rumor_age);
            state.in_flight > 0 || !state.others.is_empty() || now.since(state.updated) < idle_age
        });
    }
}

impl AccountState {
    fn new(now: MonoTime, limit: &AccountLimit) -> Self {
        Self {
            tokens: limit.burst.max(1.0),
            updated: now,
            in_flight: 0,
            demand_per_s: 0.0,
            others: BTreeMap::new(),
        }
    }

    fn drop_stale(&mut self, now: MonoTime, rumor_age: Duration) {
        if !self.others.is_empty() {
            self.others.retain(|_, (heard, _)| now.since(*heard) <= rumor_age);
        }
    }

    /// Counts one request into the smoothed demand. Leaves `updated` to [`Self::refill`].
    fn note_demand(&mut self, now: MonoTime, window: Duration) {
        let window = window.as_secs_f64().max(0.001);
        let elapsed = now.since(self.updated).as_secs_f64();
        self.demand_per_s = self.demand_per_s * (-elapsed / window).exp() + 1.0 / window;
    }

    fn refill(&mut self, now: MonoTime, part: &AccountPart) {
        let elapsed = now.since(self.updated).as_secs_f64();
        self.updated = self.updated.max(now);
        self.tokens = (self.tokens + elapsed * part.requests_per_s).min(part.burst);
    }

    fn part(&self, limit: &AccountLimit, settings: &AccountSettings) -> AccountPart {
        let others_per_s: f64 =
            self.others.values().map(|(_, usage)| usage.demand_per_s.max(0.0)).sum();
        let others_in_flight: u32 =
            self.others.values().fold(0, |sum, (_, usage)| sum.saturating_add(usage.in_flight));
        if self.others.is_empty() {
            return AccountPart {
                requests_per_s: limit.requests_per_s,
                burst: limit.burst.max(1.0),
                concurrency: limit.concurrency,
            };
        }
        let by_demand = self.demand_per_s / (self.demand_per_s + others_per_s).max(f64::EPSILON);
        let left = 1.0 - others_per_s / limit.requests_per_s.max(f64::EPSILON);
        let share = by_demand.max(left).clamp(settings.min_share, 1.0);
        let slots_left = limit.concurrency.saturating_sub(others_in_flight);
        let slots_by_share = (f64::from(limit.concurrency) * by_demand).ceil() as u32;
        AccountPart {
            requests_per_s: limit.requests_per_s * share,
            burst: (limit.burst * share).max(1.0),
            concurrency: slots_left.max(slots_by_share).max(1),
        }
    }

    fn admit(
        &mut self,
        limit: &AccountLimit,
        part: &AccountPart,
        holds_slot: bool,
    ) -> Result<(), Duration> {
        if holds_slot && limit.concurrency > 0 && self.in_flight >= part.concurrency {
            return Err(SLOT_RETRY);
        }
        if limit.requests_per_s > 0.0 {
            if self.tokens < 1.0 {
                let wait = (1.0 - self.tokens) / part.requests_per_s;
                return Err(Duration::from_secs_f64(wait.clamp(0.001, MAX_RETRY_S)));
            }
            self.tokens -= 1.0;
        }
        if holds_slot {
            self.in_flight = self.in_flight.saturating_add(1);
        }
        Ok(())
    }

    /// Use here over limit if every gateway had the same use.
    fn nearness(&self, limit: &AccountLimit, gateways: u32) -> f64 {
        let by_rate = ratio(self.demand_per_s, limit.requests_per_s);
        let by_slots = ratio(f64::from(self.in_flight), f64::from(limit.concurrency));
        by_rate.max(by_slots) * f64::from(gateways)
    }

    fn usage(&self, account: AccountName) -> AccountUse {
        AccountUse { account, demand_per_s: self.demand_per_s, in_flight: self.in_flight }
    }
}

/// Told to a caller whose account has all its slots taken: their ends can't be foreseen.
const SLOT_RETRY: Duration = Duration::from_millis(500);
/// Longest time told, seconds.
const MAX_RETRY_S: f64 = 60.0;
/// A rumour stays in force for this many intervals, so that a lost one changes nothing.
const RUMOR_INTERVALS: u32 = 3;

fn ratio(used: f64, limit: f64) -> f64 {
    if limit > 0.0 { used / limit } else { 0.0 }
}

/// So long that all gateways together stay within [`AccountSettings::rumors_per_s`] when each
/// tells of one account.
fn rumor_interval(settings: &AccountSettings, gateways: u32) -> Duration {
    let spread = f64::from(gateways) / settings.rumors_per_s.max(0.1);
    settings.rumor_every.max(Duration::from_secs_f64(spread))
}

fn rumor_age(settings: &AccountSettings, gateways: u32) -> Duration {
    settings.rumor_age.max(rumor_interval(settings, gateways) * RUMOR_INTERVALS)
}
