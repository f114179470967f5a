//! Simulated gateways that share a limit, and the stored object with their shares.

#![allow(dead_code, unreachable_pub, reason = "each test binary uses a part of it")]

use notch_relay::prelude::*;

/// Simulates the stored object, which accepts writes conditional on its revision.
#[derive(Debug, Default)]
pub struct StoredTable {
    pub revision: Option<u64>,
    pub table: ShareTable,
}

impl StoredTable {
    pub fn write(&mut self, proposal: &ShareProposal) -> bool {
        let matches = self.revision == proposal.revision;
        if matches {
            self.revision = Some(self.revision.unwrap_or(0) + 1);
            self.table = proposal.table.clone();
        }
        matches
    }
}

/// Gateways with the amount that each of them uses.
pub struct Fleet {
    pub stored: StoredTable,
    pub holders: Vec<ShareHolder>,
    pub used: Vec<u64>,
    pub limit: u64,
}

/// Result of an attempt to use more of the limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    Admitted,
    Refused,
    /// The store could not be reached.
    Unsure,
}

impl Fleet {
    pub fn new(count: usize, limit: u64) -> Self {
        let holders = (0..count).map(|n| ShareHolder::new(&format!("g-{n}#1"))).collect();
        Self { stored: StoredTable::default(), holders, used: vec![0; count], limit }
    }

    pub fn total(&self) -> u64 {
        self.used.iter().sum()
    }

    /// Simulates the arrival of a job at a gateway. `links` tells which gateways it hears from,
    /// `has_store` whether it reaches the store.
    pub fn admit(&mut self, at: usize, amount: u64, links: &[bool], has_store: bool) -> Admission {
        let in_touch = links.iter().enumerate().all(|(n, link)| *link || n == at);
        let mut has_asked = false;
        for _ in 0..8 {
            let count = self.holders.len() as u64;
            let holder = &mut self.holders[at];
            match holder.step(self.used[at], amount, self.limit, count, in_touch) {
                ShareStep::Granted => {
                    self.used[at] += amount;
                    return Admission::Admitted;
                }
                ShareStep::Write(proposal) => {
                    if !has_store {
                        holder.not_written();
                        return Admission::Unsure;
                    }
                    if self.stored.write(&proposal) {
                        holder.written(proposal, self.stored.revision.unwrap_or(0));
                        self.used[at] += amount;
                        return Admission::Admitted;
                    }
                    holder.not_written();
                    holder.adopt(self.stored.table.clone(), self.stored.revision.unwrap_or(0));
                    has_asked = false;
                }
                ShareStep::Full { .. } if has_asked => return Admission::Refused,
                ShareStep::Full { .. } => {
                    has_asked = true;
                    if has_store && let Some(revision) = self.stored.revision {
                        holder.adopt(self.stored.table.clone(), revision);
                    }
                    let revision = holder.revision();
                    for other in (0..self.holders.len()).filter(|n| *n != at && links[*n]) {
                        let kept = self.holders[other].release_unused(self.used[other]);
                        self.holders[at].lowered(&format!("g-{other}#1"), kept, revision);
                    }
                }
            }
        }
        Admission::Refused
    }
}

/// A write of shares that is in progress.
pub struct SlowWrite {
    pub proposal: ShareProposal,
    /// Amount that the write is for.
    pub amount: u64,
    /// Whether the store accepted the write; `None` until the write has reached it.
    pub done: Option<bool>,
}

/// Single steps, for tests with slow writes.
impl Fleet {
    pub fn use_held(&mut self, at: usize, amount: u64, in_touch: bool) {
        let availability =
            self.holders[at].availability(self.used[at], amount, self.limit, in_touch);
        if availability == ShareAvailability::Held {
            self.used[at] += amount;
        }
    }

    pub fn begin_write(&mut self, at: usize, amount: u64, in_touch: bool) -> Option<SlowWrite> {
        let holder = &mut self.holders[at];
        holder.not_written();
        match holder.step(self.used[at], amount, self.limit, 3, in_touch) {
            ShareStep::Write(proposal) => Some(SlowWrite { proposal, amount, done: None }),
            ShareStep::Granted => {
                self.used[at] += amount;
                None
            }
            ShareStep::Full { .. } => None,
        }
    }

    /// Delivers the answer to a write.
    pub fn end_write(&mut self, at: usize, write: SlowWrite) {
        let revision = write.proposal.revision.unwrap_or(0) + 1;
        let is_done = write.done.unwrap_or_else(|| self.stored.write(&write.proposal));
        if is_done {
            self.holders[at].written(write.proposal, revision);
            self.used[at] += write.amount;
        } else {
            self.holders[at].not_written();
            self.refresh(at);
        }
    }

    pub fn refresh(&mut self, at: usize) {
        if let Some(revision) = self.stored.revision {
            self.holders[at].adopt(self.stored.table.clone(), revision);
        }
    }

    pub fn ask(&mut self, at: usize) {
        self.refresh(at);
        let revision = self.holders[at].revision();
        for other in (0..self.holders.len()).filter(|n| *n != at) {
            let kept = self.holders[other].release_unused(self.used[other]);
            self.holders[at].lowered(&format!("g-{other}#1"), kept, revision);
        }
    }
}
