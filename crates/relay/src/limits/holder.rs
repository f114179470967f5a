//! One gateway's part in a limit that all keep together.
//!
//! The load that it answers: many jobs at once at all gateways, against a limit that a few of them
//! fill. Counted by each gateway alone the limit would be exceeded by as many times as there are
//! gateways; split into fixed parts it would refuse jobs that fit.

use std::time::Duration;

use notch_types::prelude::*;

use crate::limits::table::ShareTable;

/// Divisor of what is free of a limit, beside the number of holders: what a holder takes beyond its
/// need, so that the next jobs need no write. All together then hold at most half of what is free.
const SPARE_DIVISOR: u64 = 2;
/// Divisor of the limit for the most that a holder takes beyond its need. Were a holder's share
/// dropped though it lives, this is by how much the limit could be exceeded: half of the tenth that
/// is usually allowed.
const SPARE_LIMIT_DIVISOR: u64 = 20;

/// Divisor of what a holder may hold beyond its need, below which it writes to hold more.
const TOP_UP_DIVISOR: u64 = 2;
/// Divisor of a limit for the least that is worth a write: near the limit a job asks for what it needs.
const TOP_UP_LEAST_DIVISOR: u64 = 200;

/// What a holder may take beyond its need when `free` of `limit` is lent to nobody.
fn spare(free: u64, limit: u64, holders: u64) -> u64 {
    (free / (SPARE_DIVISOR * holders.max(1))).min(limit / SPARE_LIMIT_DIVISOR)
}

/// What a holder should do to use more.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ShareStep {
    /// It is within its share: use it.
    Granted,
    /// Write this; once that is done it may be used.
    Write(ShareProposal),
    /// Not enough is free: others may hold more than they use.
    Full {
        /// How much is missing.
        missing: u64,
    },
}

/// Whether a holder may use more, as far as it knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShareAvailability {
    /// It is within its share, also while a write is under way: use it.
    Held,
    /// Enough is free; it has to be lent by a write.
    Free,
    /// Not enough is free, whatever becomes of a write under way: others may hold more than they use.
    Missing(u64),
}

/// A table to be written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShareProposal {
    /// The table.
    pub table: ShareTable,
    /// The revision that the stored one must have; `None` where there must be none yet.
    pub revision: Option<u64>,
    /// The writer's share in it.
    lent: u64,
}

/// A share that nobody has been heard to use.
#[derive(Debug, Clone, Copy)]
struct SilentShare {
    turn: u64,
    since: MonoTime,
}

/// One gateway's part in one limit.
#[derive(Debug)]
pub struct ShareHolder {
    /// This gateway with its incarnation.
    name: String,
    /// The limit for which `lent` was lent.
    limit: u64,
    /// What may be used here. Invariant: at most this holder's share in the stored table.
    lent: u64,
    /// Share in a table that is being written: it may be in force already. Invariant: `lent` is not
    /// above it, as the write may come to be in force at any time.
    proposed: Option<u64>,
    /// What of `proposed` is for the use for which it is being written.
    pending: u64,
    /// The table as last heard of. Shares in it may have been given back since by word of their
    /// holders; each rises only by a write, after which this revision is an old one.
    table: ShareTable,
    revision: Option<u64>,
    /// Holders of whom nothing was heard.
    silent: FastMap<String, SilentShare>,
}

impl ShareHolder {
    /// A holder that knows nothing yet.
    pub fn new(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            limit: 0,
            lent: 0,
            proposed: None,
            pending: 0,
            table: ShareTable::default(),
            revision: None,
            silent: FastMap::default(),
        }
    }

    /// The table as last heard of.
    pub fn table(&self) -> &ShareTable {
        &self.table
    }

    /// Whether `amount` may be used beside `used`, while a write may be under way. The load that it
    /// answers: jobs that come while the store is slow, so that a write of shares lasts as long as a
    /// client waits. What is held is used meanwhile; what the write is for stays set aside. `is_in_touch`
    /// tells whether all others are heard of: one out of touch may have lost its share unheard, so only
    /// what it has written counts.
    pub fn availability(
        &mut self,
        used: u64,
        amount: u64,
        limit: u64,
        is_in_touch: bool,
    ) -> ShareAvailability {
        self.take_limit(limit, used);
        let needed = used.saturating_add(amount);
        let others = self.table.lent_to_others(&self.name);
        // Where a limit was lowered below what is lent, what ends must not be used again.
        let is_within = others.saturating_add(self.lent) <= limit;
        let is_held = is_within && self.revision.is_some() && needed <= self.lent;
        let is_left =
            self.proposed.is_none_or(|share| needed.saturating_add(self.pending) <= share);
        if is_in_touch && is_held && is_left {
            return ShareAvailability::Held;
        }
        let all = others.saturating_add(needed);
        if all > limit { ShareAvailability::Missing(all - limit) } else { ShareAvailability::Free }
    }

    /// What to do to use `amount` beside `used`, while no write is under way. `holders` is how many
    /// gateways there are.
    pub fn step(
        &mut self,
        used: u64,
        amount: u64,
        limit: u64,
        holders: u64,
        is_in_touch: bool,
    ) -> ShareStep {
        match self.availability(used, amount, limit, is_in_touch) {
            ShareAvailability::Held => return ShareStep::Granted,
            ShareAvailability::Missing(missing) => return ShareStep::Full { missing },
            ShareAvailability::Free => {}
        }
        let needed = used.saturating_add(amount);
        let all = self.table.lent_to_others(&self.name).saturating_add(needed);
        let spare = if is_in_touch { spare(limit.saturating_sub(all), limit, holders) } else { 0 };
        let proposal = self.propose(self.table.clone(), needed.saturating_add(spare));
        self.pending = amount;
        ShareStep::Write(proposal)
    }

    /// The write that makes room here for what comes next, while there is much less than there may be;
    /// `None` when nothing needs to be written. Done ahead, the next jobs don't wait for the store: one
    /// that answers in a quarter of a second would make each of them late.
    pub fn top_up(&mut self, used: u64, limit: u64, holders: u64) -> Option<ShareProposal> {
        self.take_limit(limit, used);
        let needed = self.table.lent_to_others(&self.name).saturating_add(used);
        let wanted = spare(limit.checked_sub(needed)?, limit, holders);
        let held = self.lent.saturating_sub(used);
        let is_enough = self.revision.is_some() && held >= wanted / TOP_UP_DIVISOR;
        if is_enough || wanted < limit / TOP_UP_LEAST_DIVISOR {
            return None;
        }
        Some(self.propose(self.table.clone(), used.saturating_add(wanted)))
    }

    /// The write that must be done before work of other holders is taken over, which `used` counts
    /// already: it waits anyway, so it counts whatever the limit is.
    pub fn propose_for_takeover(&mut self, used: u64) -> ShareProposal {
        let lent = self.lent.max(used);
        self.propose(self.table.clone(), lent)
    }

    /// The write after work was taken over: its former holders hold that much less.
    pub fn propose_after_takeover(&mut self, taken: &[(String, u64)]) -> ShareProposal {
        let mut table = self.table.clone();
        for (holder, amount) in taken.iter().filter(|(holder, _)| *holder != self.name) {
            let left = table.share(holder).lent.saturating_sub(*amount);
            table.give_back(holder, left);
        }
        self.propose(table, self.lent)
    }

    fn propose(&mut self, mut table: ShareTable, lent: u64) -> ShareProposal {
        table.write_own(&self.name, lent);
        self.proposed = Some(lent);
        self.pending = 0;
        // What the write gives back isn't used from now on.
        self.lent = self.lent.min(lent);
        ShareProposal { table, revision: self.revision, lent }
    }

    /// A proposal was written.
    pub fn written(&mut self, proposal: ShareProposal, revision: u64) {
        self.not_written();
        self.lent = proposal.lent;
        let mut table = proposal.table;
        if self.revision == proposal.revision {
            // Nobody else wrote in between, so what was given back while it was written stays so.
            table.lower_others(&self.name, &self.table);
        }
        self.adopt(table, revision);
    }

    /// A proposal was not written, or nobody can say.
    pub fn not_written(&mut self) {
        self.proposed = None;
        self.pending = 0;
    }

    /// The table as another gateway or the store tells it.
    pub fn adopt(&mut self, table: ShareTable, revision: u64) {
        if self.revision.is_none_or(|known| known < revision) {
            self.table = table;
            self.revision = Some(revision);
        }
    }

    /// The stored table is gone.
    pub fn forget_table(&mut self) {
        self.table = ShareTable::default();
        self.revision = None;
    }

    /// Gives back what isn't used; what may still be used here.
    pub fn release_unused(&mut self, used: u64) -> u64 {
        let kept = used.max(self.proposed.unwrap_or(0));
        self.lent = self.lent.min(kept);
        kept
    }

    /// Another holder gave back all above `lent`, after `revision` of the table was known here.
    pub fn lowered(&mut self, holder: &str, lent: u64, revision: Option<u64>) {
        // A table of a later revision may hold a share that it took after that.
        if self.revision == revision {
            self.table.give_back(holder, lent);
        }
    }

    /// What all use together, `used` of it here, as far as is known.
    pub fn used_by_all(&self, used: u64) -> u64 {
        self.table.lent_to_others(&self.name).saturating_add(used)
    }

    /// Revision of the table as last heard of.
    pub fn revision(&self) -> Option<u64> {
        self.revision
    }

    /// Holders whose share stood unchanged since before `patience`, while `is_alive` said that they
    /// aren't there.
    pub fn silent_holders(
        &mut self,
        is_alive: impl Fn(&str) -> bool,
        patience: Duration,
        now: MonoTime,
    ) -> Vec<String> {
        let mut long = Vec::new();
        let mut silent = FastMap::default();
        for (holder, share) in self.table.shares() {
            if holder == self.name || is_alive(holder) {
                continue;
            }
            let known = self.silent.get(holder).filter(|known| known.turn == share.turn);
            let since = known.map_or(now, |known| known.since);
            if now.since(since) >= patience {
                long.push(holder.to_owned());
            }
            silent.insert(holder.to_owned(), SilentShare { turn: share.turn, since });
        }
        self.silent = silent;
        long
    }

    /// Another limit is in force: what was lent beyond use under the former one no longer counts.
    fn take_limit(&mut self, limit: u64, used: u64) {
        if limit != self.limit {
            self.lent = self.lent.min(used);
            self.limit = limit;
        }
    }
}
