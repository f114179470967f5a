//! The rate limiters that one gateway runs for all.

use std::time::Duration;

use notch_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::accounts::{
    account::AccountLimit, bucket::CreditBucket, credits::held_credit, quota::QuotaTolerance,
    view::LimiterView,
};

/// What a gateway that is asked for credit answers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum CreditAnswer {
    /// So many requests are admitted.
    Granted(u32),
    /// The limit is used up; a credit for this client is due after that long.
    UsedUp(Duration),
    /// It isn't the account's limiter. Which gateway is, as far as it knows.
    Elsewhere(Option<VmName>),
}

/// Credit that a limiter has left when another gateway becomes the limiter.
#[derive(Debug, Clone, PartialEq)]
pub struct CreditHandover {
    /// The new limiter.
    pub limiter: VmName,
    /// Whose limit.
    pub account: AccountName,
    /// Requests that may be admitted.
    pub credit: f64,
}

/// How often it is looked which gateways there are.
const LOOK_EVERY: Duration = Duration::from_millis(50);

/// The rate limiters of accounts that one gateway runs for all.
#[derive(Debug, Default)]
pub struct LimiterTable {
    buckets: FastMap<AccountName, CreditBucket>,
    tolerance: QuotaTolerance,
    view: LimiterView,
    /// Since when the view is in force.
    since: MonoTime,
    /// When the other gateways were looked at last.
    looked_at: Option<MonoTime>,
    /// Limiters by account in this view, as far as they were asked for.
    limiters: FastMap<AccountName, Option<VmName>>,
}

impl LimiterTable {
    /// A table without limiters.
    pub fn new(tolerance: QuotaTolerance) -> Self {
        Self { tolerance, ..Self::default() }
    }

    /// Whether it's time to look which gateways there are.
    pub fn begin_view_refresh(&mut self, now: MonoTime) -> bool {
        let is_due = self.looked_at.is_none_or(|at| now.since(at) >= LOOK_EVERY);
        if is_due {
            self.looked_at = Some(now);
        }
        is_due
    }

    /// Takes a new view; the credit that is left at limiters which other gateways run from now on. One that is run
    /// here from now on begins with what the tolerance bears: until now others may have granted all of it.
    pub fn set_view(
        &mut self,
        own: &VmName,
        view: LimiterView,
        now: MonoTime,
    ) -> Vec<CreditHandover> {
        if view == self.view {
            return Vec::new();
        }
        let buckets = std::mem::take(&mut self.buckets);
        let mut handovers = Vec::new();
        for (account, bucket) in buckets {
            match view.limiter(&account) {
                Some(limiter) if limiter == own => {
                    self.buckets.insert(account, bucket);
                }
                Some(limiter) => {
                    let (limiter, credit) = (limiter.clone(), bucket.credit(now));
                    handovers.push(CreditHandover { limiter, account, credit });
                }
                None => {}
            }
        }
        self.limiters.clear();
        self.view = view;
        self.since = now;
        handovers
    }

    /// Takes credit that an account's former limiter had left, if this gateway is the limiter now.
    pub fn take_over(
        &mut self,
        own: &VmName,
        account: &AccountName,
        limit: AccountLimit,
        credit: f64,
        now: MonoTime,
    ) {
        if self.limiter(account).as_ref() == Some(own) {
            self.bucket(account, limit).add(credit, limit, now);
        }
    }

    fn bucket(&mut self, account: &AccountName, limit: AccountLimit) -> &mut CreditBucket {
        let since = self.since;
        let bucket = self.buckets.entry(account.clone());
        let begin = self.tolerance.begin_credit(limit, held_credit(limit));
        bucket.or_insert_with(|| CreditBucket::new(limit, begin, since))
    }

    /// Whether there are limiters at all as far as is known here.
    pub fn has_quorum(&self) -> bool {
        self.view.has_quorum()
    }

    /// The gateway that runs an account's limiter.
    pub fn limiter(&mut self, account: &AccountName) -> Option<VmName> {
        if let Some(known) = self.limiters.get(account) {
            return known.clone();
        }
        let limiter = self.view.limiter(account).cloned();
        self.limiters.insert(account.clone(), limiter.clone());
        limiter
    }

    /// Grants credit of a limiter that is run here.
    pub fn grant(
        &mut self,
        account: &AccountName,
        limit: AccountLimit,
        wanted: u32,
        now: MonoTime,
    ) -> CreditAnswer {
        match self.bucket(account, limit).take(limit, wanted, now) {
            Ok(granted) => CreditAnswer::Granted(granted),
            Err(wait) => CreditAnswer::UsedUp(wait),
        }
    }
}
