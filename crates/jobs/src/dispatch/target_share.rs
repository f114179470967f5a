//! How one target's items are shared among accounts, and how fast they end.

use std::{collections::BTreeMap, time::Duration};

use notch_types::prelude::*;

/// Virtual time of one item of an account with weight 1.
const ITEM_COST: u64 = 1 << 16;
/// Most virtual time that items ahead of the turn can cost an account.
const MAX_DEBT: u64 = 64 * ITEM_COST;
/// Most items that late jobs may take ahead of their turn in one go.
const FLOOR_BURST: f64 = 32.0;
/// Weight of the newest window in the measured rate.
const RATE_GAIN: f64 = 0.3;

/// Weighted fair queueing by virtual time, a bounded budget for late jobs, and a measured rate.
#[derive(Debug)]
pub(crate) struct TargetShare {
    /// Virtual time of the last choice; an account that comes back starts no earlier, so that
    /// idle time earns nothing.
    clock: u64,
    /// Virtual time of each account with running jobs.
    accounts: BTreeMap<AccountName, u64>,
    /// Items that late jobs may still take ahead of their turn.
    floor_budget: f64,
    /// Results since the window began.
    ended: u32,
    window: MonoTime,
    /// Items a second; `None` before the first measured window.
    rate: Option<f64>,
}

impl TargetShare {
    /// A share with nothing served.
    pub(crate) fn new(now: MonoTime) -> Self {
        Self {
            clock: 0,
            accounts: BTreeMap::new(),
            floor_budget: 0.0,
            ended: 0,
            window: now,
            rate: None,
        }
    }

    /// An account's place in turn: the least goes first.
    pub(crate) fn turn(&self, account: &AccountName) -> u64 {
        self.accounts.get(account).copied().unwrap_or(0).max(self.clock)
    }

    /// Whether a late job may go ahead of its turn.
    pub(crate) fn has_floor(&self) -> bool {
        self.floor_budget >= 1.0
    }

    /// Items left an account of this weight.
    pub(crate) fn serve(&mut self, account: &AccountName, weight: u32, items: u32, served: Served) {
        let turn = self.turn(account);
        if served.in_turn {
            self.clock = self.clock.max(turn);
        }
        let cost = u64::from(items) * ITEM_COST / u64::from(weight.max(1));
        // Items ahead of the turn are charged too, so that a late job gets the floor or its fair
        // share, whichever is more, and tight due times earn nothing. The debt is bounded: it
        // must not starve the account once it's late no more.
        let after = match served.in_turn {
            true => turn + cost,
            false => turn.max((turn + cost).min(self.clock + MAX_DEBT)),
        };
        self.accounts.insert(account.clone(), after);
        let items = f64::from(items);
        match served.in_turn {
            true => {
                let earned = items * served.floor_share / (1.0 - served.floor_share).max(0.01);
                self.floor_budget = (self.floor_budget + earned).min(FLOOR_BURST);
            }
            false => self.floor_budget -= items,
        }
    }

    /// Forgets accounts without running jobs.
    pub(crate) fn retain(&mut self, running: impl Fn(&AccountName) -> bool) {
        self.accounts.retain(|account, _| running(account));
    }

    /// An item ended.
    pub(crate) fn count_end(&mut self) {
        self.ended += 1;
    }

    /// Ends the measuring window if it's `length` long.
    pub(crate) fn roll(&mut self, now: MonoTime, length: Duration) {
        let spent = now.since(self.window);
        if spent < length || spent.is_zero() {
            return;
        }
        let newest = f64::from(self.ended) / spent.as_secs_f64();
        self.window = now;
        let idle = self.ended == 0;
        self.ended = 0;
        self.rate = match self.rate {
            Some(rate) => Some(rate + RATE_GAIN * (newest - rate)),
            None if idle => None,
            None => Some(newest),
        };
    }

    /// Items a second.
    pub(crate) fn rate(&self) -> Option<f64> {
        self.rate.filter(|rate| *rate > 0.001)
    }
}

/// How items were chosen.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Served {
    /// Whether it was the account's turn; if not, the floor's budget pays.
    pub(crate) in_turn: bool,
    /// The floor's share of the target.
    pub(crate) floor_share: f64,
}
