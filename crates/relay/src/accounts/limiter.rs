//! Rate limiters of accounts that one gateway runs on behalf of all gateways.

use std::time::Duration;

use notch_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::accounts::{
    account::AccountLimit, bucket::CreditBucket, credits::held_credit, demand::CreditDemand,
    quota::QuotaTolerance, view::LimiterView,
};

/// Answer of a gateway to a request for credit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum CreditAnswer {
    /// This number of requests is admitted.
    Granted(u32),
    /// The limit is used up; the client should retry after this delay.
    UsedUp(Duration),
    /// The gateway is not the account's limiter. Contains the limiter if known.
    Elsewhere(Option<VmName>),
}

/// Remaining credit that is handed over when another gateway becomes the limiter.
#[derive(Debug, Clone, PartialEq)]
pub struct CreditHandover {
    /// The new limiter.
    pub limiter: VmName,
    /// Account that the credit belongs to.
    pub account: AccountName,
    /// Requests that may be admitted.
    pub credit: f64,
}

/// Interval at which the set of gateways is refreshed.
const REFRESH_INTERVAL: Duration = Duration::from_millis(50);

/// Rate limiters of accounts that one gateway runs on behalf of all gateways.
#[derive(Debug, Default)]
pub struct LimiterTable {
    buckets: FastMap<AccountName, CreditBucket>,
    tolerance: QuotaTolerance,
    view: LimiterView,
    /// When the view came into force.
    since: MonoTime,
    /// When the set of gateways was last refreshed.
    refreshed_at: Option<MonoTime>,
    /// When limiters that moved here last began with credit from the tolerance.
    begun_at: FastMap<AccountName, MonoTime>,
    /// Cache of the limiters of accounts in the current view.
    limiters: FastMap<AccountName, Option<VmName>>,
}

impl LimiterTable {
    /// Creates a table without limiters.
    pub fn new(tolerance: QuotaTolerance) -> Self {
        Self { tolerance, ..Self::default() }
    }

    /// Whether the set of gateways is due for a refresh; if so, the refresh counts as begun.
    pub fn begin_view_refresh(&mut self, now: MonoTime) -> bool {
        let is_due = self.refreshed_at.is_none_or(|at| now.since(at) >= REFRESH_INTERVAL);
        if is_due {
            self.refreshed_at = Some(now);
        }
        is_due
    }

    /// Puts a new view in force. Returns the remaining credit of limiters that move to other
    /// gateways. A limiter that moves here starts with the credit that the tolerance allows,
    /// because other gateways may have granted all of its credit so far.
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
        self.begun_at.retain(|_, at| now.since(*at) < self.tolerance.window);
        self.view = view;
        self.since = now;
        handovers
    }

    /// Adds the remaining credit of an account's former limiter if this gateway is the limiter now.
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
        let tolerance = self.tolerance;
        let begun_at = &mut self.begun_at;
        self.buckets.entry(account.clone()).or_insert_with(|| {
            // The tolerance covers one begin of each limiter in a window, however often it moves away and back.
            let is_first =
                begun_at.get(account).is_none_or(|at| since.since(*at) >= tolerance.window);
            if is_first {
                begun_at.insert(account.clone(), since);
            }
            let credit = tolerance.initial_credit(limit, held_credit(limit));
            CreditBucket::new(limit, if is_first { credit } else { 0.0 }, since)
        })
    }

    /// Whether enough gateways are heard from for limiters to exist.
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

    /// Grants credit of a limiter that this gateway runs.
    pub fn grant(
        &mut self,
        account: &AccountName,
        limit: AccountLimit,
        demand: impl Into<CreditDemand>,
        now: MonoTime,
    ) -> CreditAnswer {
        match self.bucket(account, limit).take(limit, demand, now) {
            Ok(granted) => CreditAnswer::Granted(granted),
            Err(wait) => CreditAnswer::UsedUp(wait),
        }
    }
}
