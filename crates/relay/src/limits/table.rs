//! What is lent of one limit, and to whom.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// One holder's share of a limit.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderShare {
    /// What the holder may use without asking.
    pub lent: u64,
    /// Rises with each write by the holder itself: one that writes is alive.
    pub turn: u64,
}

/// All shares of one limit: one object of the store, which only a write under the condition of its
/// revision changes. Invariant: what a holder uses is never above its share here.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareTable {
    /// By the holder's name with its incarnation.
    holders: BTreeMap<String, HolderShare>,
}

impl ShareTable {
    /// A holder's share.
    pub fn share(&self, holder: &str) -> HolderShare {
        self.holders.get(holder).copied().unwrap_or_default()
    }

    /// Every holder's share.
    pub fn shares(&self) -> impl Iterator<Item = (&str, HolderShare)> {
        self.holders.iter().map(|(holder, share)| (holder.as_str(), *share))
    }

    /// What is lent to all but `holder`.
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

    /// A holder has given back all above `lent`; one that holds nothing is left out.
    pub fn give_back(&mut self, holder: &str, lent: u64) {
        let Some(share) = self.holders.get_mut(holder) else { return };
        share.lent = share.lent.min(lent);
        if share.lent == 0 {
            self.holders.remove(holder);
        }
    }

    /// Lowers each share but that of `own` to what it is in `heard`, a table of the same revision.
    pub fn lower_others(&mut self, own: &str, heard: &Self) {
        for (holder, share) in &mut self.holders {
            if holder != own {
                share.lent = share.lent.min(heard.share(holder).lent);
            }
        }
        self.holders.retain(|holder, share| holder == own || share.lent > 0);
    }
}
