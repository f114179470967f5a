//! Credit that one gateway holds for each account.
//!
//! It is designed for 83 accounts, a few of them large, at 24 gateways, one account sending 7.5
//! times its usual rate. Requests of a large account arrive every few milliseconds at each gateway,
//! so credit is requested slightly ahead of need. While a limit is used up, not every request asks
//! for credit again.

use std::{collections::VecDeque, time::Duration};

use notch_types::prelude::*;

use crate::accounts::{account::AccountLimit, quota::QuotaTolerance};

/// Time after which unused credit expires. Expired credit was granted in vain, and credit used late
/// may fall into the next window.
pub const CREDIT_LIFETIME: Duration = Duration::from_millis(250);
/// Maximum time until a used-up limit is asked for again.
const MAX_USED_UP_TIME: Duration = Duration::from_millis(50);
/// Time for which a limiter that did not answer is not asked again.
const SILENT_BACKOFF: Duration = Duration::from_millis(250);
/// Time for which an account without requests is remembered.
const IDLE_RETENTION: Duration = Duration::from_secs(10);

/// Admission decision for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CreditStep {
    /// The request is admitted.
    Admitted,
    /// The limit was recently found to be used up.
    UsedUp {
        /// Delay after which the client should retry.
        wait: Duration,
    },
    /// The account's limiter has to be asked for credit.
    Ask {
        /// Number of requests to ask for, at least 1.
        wanted: u32,
    },
    /// The limiter recently failed to answer.
    NoLimiter,
}

/// State of one account's limit at this gateway.
#[derive(Debug, Default)]
struct AccountCredit {
    credit: u32,
    /// When `credit` expires.
    expires_at: MonoTime,
    /// Until when the limit is considered used up.
    used_up_until: MonoTime,
    /// Retry delay told to the last rejected client.
    wait: Duration,
    /// Until when the limiter is not asked.
    silent_until: MonoTime,
    /// Arrival times of requests within the last [`CREDIT_LIFETIME`].
    recent: VecDeque<MonoTime>,
    /// Times of requests admitted without a limiter. Invariant: in ascending order.
    without_limiter: VecDeque<MonoTime>,
}

/// Credit that one gateway holds for each account.
#[derive(Debug, Default)]
pub struct CreditCache {
    accounts: FastMap<AccountName, AccountCredit>,
}

impl CreditCache {
    /// Decides how to proceed with a new request of an account.
    pub fn begin(&mut self, account: &AccountName, now: MonoTime) -> CreditStep {
        let known = self.entry(account);
        drop_older(&mut known.recent, CREDIT_LIFETIME, now);
        known.recent.push_back(now);
        if known.credit > 0 && now < known.expires_at {
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

    /// Records that the limiter granted `granted` requests, the first of which is the one that
    /// asked at `asked`.
    pub fn note_granted(&mut self, account: &AccountName, granted: u32, asked: MonoTime) {
        let known = self.entry(account);
        let expires_at = asked + CREDIT_LIFETIME;
        let held = if asked < known.expires_at { known.credit } else { 0 };
        // All credit shares one expiry time, so the newer credit expires early rather than the
        // older one late.
        known.expires_at = if held == 0 { expires_at } else { known.expires_at.min(expires_at) };
        known.credit = held + granted.saturating_sub(1);
    }

    /// Records that the limiter has no credit before `wait` is over.
    pub fn note_used_up(&mut self, account: &AccountName, wait: Duration, now: MonoTime) {
        let known = self.entry(account);
        known.used_up_until = now + wait.min(MAX_USED_UP_TIME);
        known.wait = wait;
    }

    /// Records that the limiter did not answer.
    pub fn note_silent(&mut self, account: &AccountName, now: MonoTime) {
        self.entry(account).silent_until = now + SILENT_BACKOFF;
    }

    /// Returns the credit of an admitted request that did not run, so that another one can use it.
    pub fn give_back(&mut self, account: &AccountName, now: MonoTime) {
        let known = self.entry(account);
        if known.credit == 0 || now >= known.expires_at {
            known.credit = 0;
            known.expires_at = now + CREDIT_LIFETIME;
        }
        known.credit += 1;
    }

    /// Whether a request may be admitted although no limiter can be asked. An admitted request is
    /// counted.
    pub fn admit_without_limiter(
        &mut self,
        account: &AccountName,
        limit: AccountLimit,
        tolerance: QuotaTolerance,
        gateways: usize,
        now: MonoTime,
    ) -> bool {
        let max_admitted = tolerance.requests_without_limiter(limit, held_credit(limit), gateways);
        let known = self.entry(account);
        drop_older(&mut known.without_limiter, tolerance.window, now);
        let may_admit = known.without_limiter.len() < max_admitted as usize;
        if may_admit {
            known.without_limiter.push_back(now);
        }
        may_admit
    }

    /// Forgets accounts that have been idle for a while.
    pub fn forget_idle(&mut self, now: MonoTime) {
        let is_idle = |at: Option<&MonoTime>| at.is_none_or(|at| now.since(*at) >= IDLE_RETENTION);
        self.accounts.retain(|_, known| {
            !is_idle(known.recent.back()) || !is_idle(known.without_limiter.back())
        });
    }

    fn entry(&mut self, account: &AccountName) -> &mut AccountCredit {
        self.accounts.entry(account.clone()).or_default()
    }
}

/// Maximum unexpired credit that all gateways together may hold of an account's limit.
pub fn held_credit(limit: AccountLimit) -> f64 {
    limit.per_second * CREDIT_LIFETIME.as_secs_f64()
}

fn drop_older(times: &mut VecDeque<MonoTime>, span: Duration, now: MonoTime) {
    while times.front().is_some_and(|at| now.since(*at) >= span) {
        times.pop_front();
    }
}
