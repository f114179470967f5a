//! Allocation of a limit to its holders.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// One holder's share of a limit.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderShare {
    /// Amount that the holder may use without asking others.
    pub lent: u64,
    /// Incremented by each write of the holder itself; a change shows that it is alive.
    pub turn: u64,
}

/// Shares of all holders of one limit. It is stored as one object that is only changed by writes
/// conditional on its revision. Invariant: no holder uses more than its share here.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareTable {
    /// Shares by holder name including the incarnation.
    holders: BTreeMap<String, HolderShare>,
}

impl ShareTable {
    /// The share of a holder; zero if it has none.
    pub fn share(&self, holder: &str) -> HolderShare {
        self.holders.get(holder).copied().unwrap_or_default()
    }

    /// Shares of all holders.
    pub fn shares(&self) -> impl Iterator<Item = (&str, HolderShare)> {
        self.holders.iter().map(|(holder, share)| (holder.as_str(), *share))
    }

    /// Sum of the shares of all holders except `holder`.
    pub fn lent_to_others(&self, holder: &str) -> u64 {
        let others = self.holders.iter().filter(|(name, _)| *name != holder);
        others.fold(0, |sum, (_, share)| sum.saturating_add(share.lent))
    }

    /// Sets the share of the holder that is about to write the table.
    pub fn write_own(&mut self, holder: &str, lent: u64) {
        let share = self.holders.entry(holder.to_owned()).or_default();
        share.lent = lent;
        share.turn += 1;
    }

    /// Lowers a holder's share to `lent`. A holder with an empty share is removed.
    pub fn lower_share(&mut self, holder: &str, lent: u64) {
        let Some(share) = self.holders.get_mut(holder) else { return };
        share.lent = share.lent.min(lent);
        if share.lent == 0 {
            self.holders.remove(holder);
        }
    }

    /// Lowers the shares of all holders except `own` to those in `heard`, a table of the same
    /// revision.
    pub fn lower_others(&mut self, own: &str, heard: &Self) {
        for (holder, share) in &mut self.holders {
            if holder != own {
                share.lent = share.lent.min(heard.share(holder).lent);
            }
        }
        self.holders.retain(|holder, share| holder == own || share.lent > 0);
    }
}
