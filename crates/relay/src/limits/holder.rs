//! One gateway's share of a limit that all gateways enforce together.
//!
//! It is designed for many jobs arriving at all gateways at once, against a limit that a few of
//! them fill. If each gateway counted only its own jobs, the limit could be exceeded by a factor of
//! the number of gateways; if the limit were split into fixed parts, jobs that fit would be
//! refused.

use std::time::Duration;

use notch_types::prelude::*;

use crate::limits::table::ShareTable;

/// Divisor, next to the number of holders, for the part of the free capacity that a holder reserves
/// beyond its need, so that the next jobs do not need a write. All holders together reserve at most
/// half of what is free.
const SPARE_DIVISOR: u64 = 2;
/// Divisor of the limit for the maximum that a holder reserves beyond its need. If the share of a
/// live holder is dropped, the limit can be exceeded by this amount: half of the tenth that is
/// usually tolerated.
const MAX_SPARE_DIVISOR: u64 = 20;

/// Divisor of the reserve that a holder may have: below this part of it, the holder writes to
/// reserve more.
const TOP_UP_DIVISOR: u64 = 2;
/// Divisor of the limit for the smallest reserve worth a write. Near the limit, each job requests
/// just what it needs.
const MIN_TOP_UP_DIVISOR: u64 = 200;

/// Amount that a holder may reserve beyond its need when `free` of `limit` is unallocated.
fn spare(free: u64, limit: u64, holders: u64) -> u64 {
    (free / (SPARE_DIVISOR * holders.max(1))).min(limit / MAX_SPARE_DIVISOR)
}

/// What a holder has to do before it may use more of the limit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ShareStep {
    /// The amount is within the holder's share and may be used.
    Granted,
    /// The proposal has to be written first.
    Write(ShareProposal),
    /// Not enough is free, but other holders may hold more than they use.
    Full {
        /// Amount that is missing.
        missing: u64,
    },
}

/// Whether a holder may use more of the limit, as far as it knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShareAvailability {
    /// The amount is within the holder's share and may be used, even while a write is in progress.
    Held,
    /// Enough is free, but it has to be allocated by a write.
    Free,
    /// Not enough is free, regardless of the outcome of a write in progress. Other holders may hold
    /// more than they use. The value is the missing amount.
    Missing(u64),
}

/// A share table to be written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShareProposal {
    /// The new table.
    pub table: ShareTable,
    /// Revision that the stored table must have; `None` if it must not exist yet.
    pub revision: Option<u64>,
    /// Share of the writer in the new table.
    lent: u64,
}

/// Share of a holder that has not been heard from.
#[derive(Debug, Clone, Copy)]
struct SilentShare {
    turn: u64,
    since: MonoTime,
}

/// One gateway's share of one limit.
#[derive(Debug)]
pub struct ShareHolder {
    /// Name of this gateway with its incarnation.
    name: String,
    /// The limit under which `lent` was allocated.
    limit: u64,
    /// Amount that may be used here. Invariant: at most this holder's share in the stored table.
    lent: u64,
    /// This holder's share in a table that is being written. The write may take effect at any time.
    /// Invariant: `lent` does not exceed it.
    proposed: Option<u64>,
    /// The part of `proposed` that is reserved for the job for which it is being written.
    pending: u64,
    /// Last known table. Holders may since have reported that they released part of their shares. A
    /// share only grows by a write, which makes this revision obsolete.
    table: ShareTable,
    revision: Option<u64>,
    /// Whether a newer table may exist in which others dropped this holder's share while it was out of contact. Nothing is
    /// used of the share until the store has confirmed the table.
    is_doubted: bool,
    /// Holders that have not been heard from.
    silent: FastMap<String, SilentShare>,
}

impl ShareHolder {
    /// Creates a holder without a share or a known table.
    pub fn new(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            limit: 0,
            lent: 0,
            proposed: None,
            pending: 0,
            table: ShareTable::default(),
            revision: None,
            is_doubted: false,
            silent: FastMap::default(),
        }
    }

    /// Last known table.
    pub fn table(&self) -> &ShareTable {
        &self.table
    }

    /// Checks whether `amount` can be used in addition to `used`, also while a write is in
    /// progress.
    ///
    /// While the store is slow, a write of shares can take as long as a client waits. Jobs that
    /// arrive in the meantime use what is held, except for the part reserved for the job that the
    /// write is for. `is_in_touch` tells whether all other gateways are heard from. Otherwise
    /// this gateway may have lost its share without noticing, so it must allocate by a write.
    pub fn availability(
        &mut self,
        used: u64,
        amount: u64,
        limit: u64,
        is_in_touch: bool,
    ) -> ShareAvailability {
        self.apply_limit(limit, used);
        let needed = used.saturating_add(amount);
        let others = self.table.lent_to_others(&self.name);
        // If the limit was lowered below the allocated amount, usage that ends must not be
        // replaced.
        let is_within = others.saturating_add(self.lent) <= limit;
        let is_known = self.revision.is_some() && !self.is_doubted;
        let is_held = is_within && is_known && needed <= self.lent;
        let is_unreserved =
            self.proposed.is_none_or(|share| needed.saturating_add(self.pending) <= share);
        if is_in_touch && is_held && is_unreserved {
            return ShareAvailability::Held;
        }
        let all = others.saturating_add(needed);
        if all > limit { ShareAvailability::Missing(all - limit) } else { ShareAvailability::Free }
    }

    /// Determines what to do to use `amount` in addition to `used` while no write is in progress.
    /// `holders` is the number of gateways.
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

    /// Returns the write that reserves more for the next jobs, or `None` if the reserve suffices.
    /// Writing ahead of need keeps the jobs from waiting for the store, which would make each of
    /// them late if it took a quarter of a second to answer.
    pub fn top_up(&mut self, used: u64, limit: u64, holders: u64) -> Option<ShareProposal> {
        self.apply_limit(limit, used);
        let needed = self.table.lent_to_others(&self.name).saturating_add(used);
        let wanted = spare(limit.checked_sub(needed)?, limit, holders);
        let held = self.lent.saturating_sub(used);
        let is_enough = self.revision.is_some() && held >= wanted / TOP_UP_DIVISOR;
        if is_enough || wanted < limit / MIN_TOP_UP_DIVISOR {
            return None;
        }
        Some(self.propose(self.table.clone(), used.saturating_add(wanted)))
    }

    /// Returns the write that must precede taking over work of other holders; `used` already
    /// includes that work. The work has been accepted before, so it is allocated even beyond the
    /// limit.
    pub fn propose_for_takeover(&mut self, used: u64) -> ShareProposal {
        let lent = self.lent.max(used);
        self.propose(self.table.clone(), lent)
    }

    /// Returns the write that follows a takeover: it reduces the shares of the former holders by
    /// the amounts taken over.
    pub fn propose_after_takeover(&mut self, taken: &[(String, u64)]) -> ShareProposal {
        let mut table = self.table.clone();
        for (holder, amount) in taken.iter().filter(|(holder, _)| *holder != self.name) {
            let left = table.share(holder).lent.saturating_sub(*amount);
            table.lower_share(holder, left);
        }
        self.propose(table, self.lent)
    }

    fn propose(&mut self, mut table: ShareTable, lent: u64) -> ShareProposal {
        table.write_own(&self.name, lent);
        self.proposed = Some(lent);
        self.pending = 0;
        // Stop using what the write releases, before it takes effect.
        self.lent = self.lent.min(lent);
        ShareProposal { table, revision: self.revision, lent }
    }

    /// Records that a proposal was written.
    pub fn written(&mut self, proposal: ShareProposal, revision: u64) {
        self.not_written();
        self.is_doubted = false;
        self.lent = proposal.lent;
        let mut table = proposal.table;
        if self.revision == proposal.revision {
            // No other write came in between, so releases reported during the write remain valid.
            table.lower_others(&self.name, &self.table);
        }
        self.adopt(table, revision);
    }

    /// Records that a proposal was not written or that the outcome of the write is unknown.
    pub fn not_written(&mut self) {
        self.proposed = None;
        self.pending = 0;
    }

    /// Adopts a table received from another gateway or the store if it is newer. What it no longer allocates to this
    /// holder has been given away.
    pub fn adopt(&mut self, table: ShareTable, revision: u64) {
        if self.revision.is_none_or(|known| known < revision) {
            self.lent = self.lent.min(table.share(&self.name).lent);
            self.table = table;
            self.revision = Some(revision);
        }
    }

    /// Records that others may have dropped this holder's share, as contact with one of them was interrupted.
    pub fn doubt(&mut self) {
        self.is_doubted = self.lent > 0;
    }

    /// Records that the store has answered with the known table, or with a newer one that was adopted.
    pub fn confirm(&mut self) {
        self.is_doubted = false;
    }

    /// Forgets the known table because the stored one is gone.
    pub fn forget_table(&mut self) {
        self.table = ShareTable::default();
        self.revision = None;
    }

    /// Releases the unused part of the share. Returns the amount that may still be used here.
    pub fn release_unused(&mut self, used: u64) -> u64 {
        let kept = used.max(self.proposed.unwrap_or(0));
        self.lent = self.lent.min(kept);
        kept
    }

    /// Records that another holder lowered its share to `lent`, in answer to a request made when
    /// `revision` of the table was known here.
    pub fn lowered(&mut self, holder: &str, lent: u64, revision: Option<u64>) {
        // In a table of a later revision, the holder may have increased its share again.
        if self.revision == revision {
            self.table.lower_share(holder, lent);
        }
    }

    /// Usage of all gateways together, as far as known; `used` is this gateway's part.
    pub fn used_by_all(&self, used: u64) -> u64 {
        self.table.lent_to_others(&self.name).saturating_add(used)
    }

    /// Revision of the last known table.
    pub fn revision(&self) -> Option<u64> {
        self.revision
    }

    /// Returns the holders whose shares have been unchanged for `timeout` while `is_alive` reported
    /// them as gone.
    pub fn silent_holders(
        &mut self,
        is_alive: impl Fn(&str) -> bool,
        timeout: Duration,
        now: MonoTime,
    ) -> Vec<String> {
        let mut expired = Vec::new();
        let mut silent = FastMap::default();
        for (holder, share) in self.table.shares() {
            if holder == self.name || is_alive(holder) {
                continue;
            }
            let known = self.silent.get(holder).filter(|known| known.turn == share.turn);
            let since = known.map_or(now, |known| known.since);
            if now.since(since) >= timeout {
                expired.push(holder.to_owned());
            }
            silent.insert(holder.to_owned(), SilentShare { turn: share.turn, since });
        }
        self.silent = silent;
        expired
    }

    /// Applies a changed limit: the reserve allocated under the former limit is no longer valid.
    fn apply_limit(&mut self, limit: u64, used: u64) {
        if limit != self.limit {
            self.lent = self.lent.min(used);
            self.limit = limit;
        }
    }
}
