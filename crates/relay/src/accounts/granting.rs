//! The limits that one gateway keeps for all.

use std::time::Duration;

use notch_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::accounts::{
    account::AccountLimit, bucket::CreditBucket, credits::held_credit, quota::QuotaTolerance,
    view::KeeperView,
};

/// What a gateway that is asked for credit answers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum CreditAnswer {
    /// So many requests are admitted.
    Granted(u32),
    /// The limit is used up; a credit for this client is due after that long.
    UsedUp(Duration),
    /// It doesn't keep the limit. Which gateway does, as far as it knows.
    NotKept(Option<VmName>),
}

/// Credit that a gateway has left of a limit that another one keeps from now on.
#[derive(Debug, Clone, PartialEq)]
pub struct CreditHandover {
    /// The new keeper.
    pub keeper: VmName,
    /// Whose limit.
    pub account: AccountName,
    /// Requests that may be admitted.
    pub credit: f64,
}

/// How often it is looked which gateways there are.
const LOOK_EVERY: Duration = Duration::from_millis(50);

/// The limits that one gateway keeps for all.
#[derive(Debug, Default)]
pub struct LimitKeeper {
    buckets: FastMap<AccountName, CreditBucket>,
    tolerance: QuotaTolerance,
    view: KeeperView,
    /// Since when the view is in force.
    since: MonoTime,
    /// When the other gateways were looked at last.
    looked_at: Option<MonoTime>,
    /// Keepers by account in this view, as far as they were asked for.
    keepers: FastMap<AccountName, Option<VmName>>,
}

impl LimitKeeper {
    /// A keeper of no limits yet.
    pub fn new(tolerance: QuotaTolerance) -> Self {
        Self { tolerance, ..Self::default() }
    }

    /// Whether it's time to look which gateways there are.
    pub fn begin_look(&mut self, now: MonoTime) -> bool {
        let is_due = self.looked_at.is_none_or(|at| now.since(at) >= LOOK_EVERY);
        if is_due {
            self.looked_at = Some(now);
        }
        is_due
    }

    /// Takes a new view; the credit that is left of limits which others keep from now on. A limit that is kept
    /// here from now on begins with what the tolerance bears: until now others may have granted all of it.
    pub fn set_view(
        &mut self,
        own: &VmName,
        view: KeeperView,
        now: MonoTime,
    ) -> Vec<CreditHandover> {
        if view == self.view {
            return Vec::new();
        }
        let buckets = std::mem::take(&mut self.buckets);
        let mut handovers = Vec::new();
        for (account, bucket) in buckets {
            match view.keeper(&account) {
                Some(keeper) if keeper == own => {
                    self.buckets.insert(account, bucket);
                }
                Some(keeper) => {
                    let (keeper, credit) = (keeper.clone(), bucket.credit(now));
                    handovers.push(CreditHandover { keeper, account, credit });
                }
                None => {}
            }
        }
        self.keepers.clear();
        self.view = view;
        self.since = now;
        handovers
    }

    /// Takes credit that the former keeper of a limit had left, if the limit is kept here.
    pub fn take_over(
        &mut self,
        own: &VmName,
        account: &AccountName,
        limit: AccountLimit,
        credit: f64,
        now: MonoTime,
    ) {
        if self.keeper(account).as_ref() == Some(own) {
            self.bucket(account, limit).add(credit, limit, now);
        }
    }

    fn bucket(&mut self, account: &AccountName, limit: AccountLimit) -> &mut CreditBucket {
        let since = self.since;
        let bucket = self.buckets.entry(account.clone());
        let begin = self.tolerance.begin_credit(limit, held_credit(limit));
        bucket.or_insert_with(|| CreditBucket::new(limit, begin, since))
    }

    /// Whether limits are kept at all as far as is known here.
    pub fn is_quorate(&self) -> bool {
        self.view.is_quorate()
    }

    /// The gateway that keeps an account's limit.
    pub fn keeper(&mut self, account: &AccountName) -> Option<VmName> {
        if let Some(known) = self.keepers.get(account) {
            return known.clone();
        }
        let keeper = self.view.keeper(account).cloned();
        self.keepers.insert(account.clone(), keeper.clone());
        keeper
    }

    /// Grants credit of a limit that is kept here.
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
