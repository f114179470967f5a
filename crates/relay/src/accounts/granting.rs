//! The limits that one gateway keeps for all.

use std::time::Duration;

use notch_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::accounts::{account::AccountLimit, bucket::CreditBucket, view::KeeperView};

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

/// How often it is looked which gateways there are.
const LOOK_EVERY: Duration = Duration::from_millis(50);

/// The limits that one gateway keeps for all.
#[derive(Debug, Default)]
pub struct LimitKeeper {
    buckets: FastMap<AccountName, CreditBucket>,
    view: KeeperView,
    /// Since when the view is in force.
    since: MonoTime,
    /// When the other gateways were looked at last.
    looked_at: Option<MonoTime>,
    /// Keepers by account in this view, as far as they were asked for.
    keepers: FastMap<AccountName, Option<VmName>>,
}

impl LimitKeeper {
    /// Whether it's time to look which gateways there are.
    pub fn begin_look(&mut self, now: MonoTime) -> bool {
        let is_due = self.looked_at.is_none_or(|at| now.since(at) >= LOOK_EVERY);
        if is_due {
            self.looked_at = Some(now);
        }
        is_due
    }

    /// Takes a new view. A limit that is kept here from now on begins empty: until now others may have granted
    /// all of it.
    pub fn set_view(&mut self, own: &VmName, view: KeeperView, now: MonoTime) {
        if view == self.view {
            return;
        }
        self.buckets.retain(|account, _| view.keeper(account) == Some(own));
        self.keepers.clear();
        self.view = view;
        self.since = now;
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
        let since = self.since;
        let bucket = self
            .buckets
            .entry(account.clone())
            .or_insert_with(|| CreditBucket::empty(limit, since));
        match bucket.take(limit, wanted, now) {
            Ok(granted) => CreditAnswer::Granted(granted),
            Err(wait) => CreditAnswer::UsedUp(wait),
        }
    }
}
