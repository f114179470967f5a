//! What one gateway may still admit of each account.
//!
//! The load that it answers: 83 accounts, a few of them large, at 24 gateways, one of which sends 7.5 times its
//! usual. Requests of a large account come every few milliseconds at each gateway, so credit is asked for a
//! little ahead; one that is used up isn't asked for again by each request.

use std::{collections::VecDeque, time::Duration};

use notch_types::prelude::*;

use crate::accounts::{account::AccountLimit, quota::QuotaTolerance};

/// Credit that isn't used for so long lapses. What lapses was granted for nothing, and what is used late may
/// fall into the next window.
pub const CREDIT_LIFETIME: Duration = Duration::from_millis(250);
/// A used-up limit is asked for again after so long at the latest.
const USED_UP_LONGEST: Duration = Duration::from_millis(50);
/// A limiter that didn't answer isn't asked again for so long.
const SILENT_PAUSE: Duration = Duration::from_millis(250);
/// How long an account that sends nothing is remembered.
const IDLE_KEPT: Duration = Duration::from_secs(10);

/// How a request of an account goes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CreditStep {
    /// It is admitted.
    Admitted,
    /// The limit was found used up a moment ago.
    UsedUp {
        /// When to come back.
        wait: Duration,
    },
    /// The account's limiter has to be asked for so many requests.
    Ask {
        /// At least 1.
        wanted: u32,
    },
    /// The limiter didn't answer a moment ago.
    NoLimiter,
}

/// What one gateway knows of one account's limit.
#[derive(Debug, Default)]
struct AccountCredit {
    credit: u32,
    /// When `credit` lapses.
    lapses_at: MonoTime,
    /// No credit is to be had before then.
    used_up_until: MonoTime,
    /// What the last rejected client was told.
    wait: Duration,
    /// The limiter isn't asked before then.
    silent_until: MonoTime,
    /// Requests that came within the last [`CREDIT_LIFETIME`].
    recent: VecDeque<MonoTime>,
    /// Requests admitted without a limiter. Invariant: in order.
    without_limiter: VecDeque<MonoTime>,
}

/// What one gateway may still admit of each account.
#[derive(Debug, Default)]
pub struct CreditCache {
    accounts: FastMap<AccountName, AccountCredit>,
}

impl CreditCache {
    /// A request of an account came.
    pub fn begin(&mut self, account: &AccountName, now: MonoTime) -> CreditStep {
        let known = self.entry(account);
        drop_older(&mut known.recent, CREDIT_LIFETIME, now);
        known.recent.push_back(now);
        if known.credit > 0 && now < known.lapses_at {
            known.credit -= 1;
            return CreditStep::Admitted;
        }
        if now < known.used_up_until {
            return CreditStep::UsedUp { wait: known.wait };
        }
        if now < known.silent_until {
            return CreditStep::NoLimiter;
        }
        CreditStep::Ask { wanted: known.recent.len() as u32 }
    }

    /// The limiter granted so many requests, the first of which is the one that asked at `asked`.
    pub fn note_granted(&mut self, account: &AccountName, granted: u32, asked: MonoTime) {
        let known = self.entry(account);
        let lapses_at = asked + CREDIT_LIFETIME;
        let held = if asked < known.lapses_at { known.credit } else { 0 };
        // What lapses sooner lapses with the new credit's time cut short, not prolonged.
        known.lapses_at = if held == 0 { lapses_at } else { known.lapses_at.min(lapses_at) };
        known.credit = held + granted.saturating_sub(1);
    }

    /// The limiter has no credit before `wait` is over.
    pub fn note_used_up(&mut self, account: &AccountName, wait: Duration, now: MonoTime) {
        let known = self.entry(account);
        known.used_up_until = now + wait.min(USED_UP_LONGEST);
        known.wait = wait;
    }

    /// The limiter didn't answer.
    pub fn note_silent(&mut self, account: &AccountName, now: MonoTime) {
        self.entry(account).silent_until = now + SILENT_PAUSE;
    }

    /// A request that was admitted didn't run: its credit may be used by another one.
    pub fn give_back(&mut self, account: &AccountName, now: MonoTime) {
        let known = self.entry(account);
        if known.credit == 0 || now >= known.lapses_at {
            known.credit = 0;
            known.lapses_at = now + CREDIT_LIFETIME;
        }
        known.credit += 1;
    }

    /// Whether a request may be admitted though no limiter can be asked; counted if so.
    pub fn admit_without_limiter(
        &mut self,
        account: &AccountName,
        limit: AccountLimit,
        tolerance: QuotaTolerance,
        gateways: usize,
        now: MonoTime,
    ) -> bool {
        let most = tolerance.requests_without_limiter(limit, held_credit(limit), gateways);
        let known = self.entry(account);
        drop_older(&mut known.without_limiter, tolerance.window, now);
        let may_admit = known.without_limiter.len() < most as usize;
        if may_admit {
            known.without_limiter.push_back(now);
        }
        may_admit
    }

    /// Forgets accounts that sent nothing for long.
    pub fn forget_idle(&mut self, now: MonoTime) {
        let is_idle = |at: Option<&MonoTime>| at.is_none_or(|at| now.since(*at) >= IDLE_KEPT);
        self.accounts.retain(|_, known| {
            !is_idle(known.recent.back()) || !is_idle(known.without_limiter.back())
        });
    }

    fn entry(&mut self, account: &AccountName) -> &mut AccountCredit {
        self.accounts.entry(account.clone()).or_default()
    }
}

/// Credit that gateways may hold together of an account's limit, as it hasn't lapsed.
pub fn held_credit(limit: AccountLimit) -> f64 {
    limit.per_second * CREDIT_LIFETIME.as_secs_f64()
}

fn drop_older(times: &mut VecDeque<MonoTime>, span: Duration, now: MonoTime) {
    while times.front().is_some_and(|at| now.since(*at) >= span) {
        times.pop_front();
    }
}
