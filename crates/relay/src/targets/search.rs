//! The search for a place for one online request.
//!
//! The load that it answers: crests in which nine tenths of all places are taken, or a little more than all.
//! Whoever finds its own targets full sees the same few free places as everybody else, so a place at
//! another gateway's target is asked for; only its home knows at once which places are gone.

use std::time::Duration;

use notch_types::prelude::*;

use crate::targets::{
    choice::{TargetChoice, TargetQuery},
    places::{PreemptedItem, QueueOffer},
    table::TargetTable,
};

/// Gateways asked for a place for one choice of a target, at most.
const PLACE_ASKS: u32 = 8;
/// The same before an item yields its place at an own target.
const FREE_ASKS: u32 = 2;
/// A home without a free place isn't asked again for so long.
const FULL_PAUSE: Duration = Duration::from_millis(50);
/// The same for a home that doesn't answer: it may be stopped, or cut off.
const SILENT_PAUSE: Duration = Duration::from_millis(500);

/// What comes next in the search for a place.
#[derive(Debug, PartialEq, Eq)]
pub enum SlotSearchStep {
    /// The request is counted at this target. Where an item has to yield its place there, whose.
    Take(TargetChoice, Option<PreemptedItem>),
    /// Ask a gateway for a place at one of its targets; with `may_displace` also for one that an item has.
    Ask {
        /// The gateway.
        home: VmName,
        /// Whether an item may yield its place.
        may_displace: bool,
    },
}

/// The search for a place for one online request.
#[derive(Debug, Default)]
pub struct SlotSearch {
    asks: u32,
    /// The shortest queue that another gateway offered.
    offer: Option<QueueOffer>,
}

impl SlotSearch {
    /// Gateways asked so far.
    pub fn asks(&self) -> u32 {
        self.asks
    }

    /// The next step: a free own place, else one that another gateway has, else one that an item yields at an
    /// own target, then elsewhere; else a place in the shortest queue known. `None` when the request can't be
    /// in time anywhere.
    pub fn next_step(
        &mut self,
        targets: &mut TargetTable,
        query: &TargetQuery<'_>,
        now: MonoTime,
        mut draw: impl FnMut() -> f64,
    ) -> Option<SlotSearchStep> {
        if let Some(own) = targets.pick_own(query, now, &mut draw) {
            return targets.take(query, own).map(|choice| SlotSearchStep::Take(choice, None));
        }
        if let Some(ask) = self.ask(targets, query, FREE_ASKS, false, now, &mut draw) {
            return Some(ask);
        }
        if let Some((own, preempted)) = targets.pick_yielding(query, now) {
            let choice = targets.take(query, TargetChoice { has_free_slot: true, ..own })?;
            return Some(SlotSearchStep::Take(choice, Some(preempted)));
        }
        if let Some(ask) = self.ask(targets, query, PLACE_ASKS, true, now, &mut draw) {
            return Some(ask);
        }
        let offered = self.offer.as_ref();
        let offered = offered.and_then(|offer| targets.pick_offered(query, offer, now));
        let own = || targets.pick(query, now, &mut draw);
        let pick = offered.or_else(own).or_else(|| {
            // Better a target that has failed it than none.
            let query = TargetQuery { avoid: &[], ..*query };
            targets.pick(&query, now, &mut draw)
        })?;
        let choice = targets.take(query, pick)?;
        let preempted = (!choice.has_free_slot).then_some(PreemptedItem::Own);
        Some(SlotSearchStep::Take(choice, preempted))
    }

    fn ask(
        &mut self,
        targets: &TargetTable,
        query: &TargetQuery<'_>,
        most: u32,
        may_displace: bool,
        now: MonoTime,
        draw: &mut impl FnMut() -> f64,
    ) -> Option<SlotSearchStep> {
        if self.asks >= most {
            return None;
        }
        let home = targets.home_to_ask(query, may_displace, now, draw)?;
        self.asks += 1;
        Some(SlotSearchStep::Ask { home, may_displace })
    }

    /// A home has no place, but the queue that it offers.
    pub fn note_denied(
        &mut self,
        targets: &mut TargetTable,
        home: &VmName,
        offer: Option<QueueOffer>,
        now: MonoTime,
    ) {
        let known = self.offer.take().into_iter().chain(offer);
        self.offer = known.min_by_key(|offer| offer.waiting);
        targets.note_denied(home, now + FULL_PAUSE);
    }

    /// A home didn't answer in time.
    pub fn note_silent(&mut self, targets: &mut TargetTable, home: &VmName, now: MonoTime) {
        targets.note_denied(home, now + SILENT_PAUSE);
    }
}
