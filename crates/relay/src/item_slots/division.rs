//! Division of a home's free slots among gateways: the rounds, and the slots given in each.

use notch_types::prelude::*;

use crate::item_slots::{FreeSlots, SlotShare, waiting::WaitingItems};

/// Slots of one service that a home may give to items.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DivisibleSlots {
    /// All of them, for items that must not wait for the end of the next peak.
    pub free: FreeSlots,
    /// Those that the next peak of online requests will not take, for items that have time. Never
    /// more than `free`.
    pub beyond_peak: FreeSlots,
}

impl DivisibleSlots {
    /// Whether slots here are kept for the next peak.
    pub(super) fn keeps_for_peak(self) -> bool {
        self.beyond_peak.here < self.free.here
    }
}

impl From<FreeSlots> for DivisibleSlots {
    /// Slots without a forecast.
    fn from(free: FreeSlots) -> Self {
        Self { free, beyond_peak: free }
    }
}

/// Which of a gateway's items are given slots.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum DivisionRound {
    /// Those that may take any free slot.
    Pressing,
    /// Also those that have time until the end of the next peak.
    Patient,
}

/// Slots that are given in one division.
#[derive(Debug)]
pub(super) struct GivenSlots {
    slots: DivisibleSlots,
    pub(super) shares: Vec<SlotShare>,
    /// Sum of the shares. Invariant: at most the free slots here.
    count: u32,
}

impl GivenSlots {
    pub(super) fn new(slots: DivisibleSlots) -> Self {
        Self { slots, shares: Vec::new(), count: 0 }
    }

    /// Slots given to this gateway.
    pub(super) fn own(&self) -> u32 {
        let own = self.shares.iter().find(|share| share.gateway.is_none());
        own.map_or(0, |share| share.count)
    }

    /// Gives up to `wanted` of the slots that are left in this round, and returns their number.
    pub(super) fn give(
        &mut self,
        gateway: Option<&VmName>,
        wanted: u32,
        round: DivisionRound,
    ) -> u32 {
        let slots = match round {
            DivisionRound::Pressing => self.slots.free,
            DivisionRound::Patient => self.slots.beyond_peak,
        };
        let count = wanted.min(slots.here.saturating_sub(self.count));
        if count == 0 {
            return 0;
        }
        self.count += count;
        match self.shares.iter_mut().find(|share| share.gateway.as_ref() == gateway) {
            Some(share) => share.count += count,
            None => self.shares.push(SlotShare { gateway: gateway.cloned(), count }),
        }
        count
    }
}

/// Own items that may start in this round or the one before.
pub(super) fn own_limit(items: WaitingItems, round: DivisionRound) -> u32 {
    match round {
        DivisionRound::Pressing => items.pressing(),
        DivisionRound::Patient => items.count,
    }
}

/// Own items that a home starts before it offers slots to less urgent gateways, in this round and
/// the one before: its share, rounded up.
pub(super) fn own_share(items: WaitingItems, slots: DivisibleSlots, round: DivisionRound) -> u32 {
    let part = |count: u32, slots: FreeSlots| {
        (f64::from(count) * f64::from(slots.here) / f64::from(slots.all.max(1))).ceil() as u32
    };
    let pressing = items.pressing();
    let share = match round {
        DivisionRound::Pressing => part(pressing, slots.free),
        DivisionRound::Patient => {
            part(pressing, slots.free) + part(items.count - pressing, slots.beyond_peak)
        }
    };
    share.min(own_limit(items, round))
}
