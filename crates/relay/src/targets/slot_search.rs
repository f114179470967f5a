//! Search for a slot for one online request.
//!
//! It is designed for peaks in which nine tenths of all slots, or slightly more than all, are in
//! use. Gateways whose own targets are full then see the same few free slots, so a slot at a remote
//! target is requested from the target's home gateway, the only one that knows at once which slots
//! are taken.

use std::time::Duration;

use notch_types::prelude::*;

use crate::targets::{
    choice::{QueueLimit, TargetChoice, TargetQuery},
    grants::{PreemptedItem, QueueOffer},
    table::TargetTable,
};

/// Maximum number of gateways asked for a slot in one target selection.
const MAX_SLOT_REQUESTS: u32 = 8;
/// Maximum number of gateways asked before an item is preempted at an own target.
const MAX_REQUESTS_BEFORE_PREEMPTION: u32 = 2;
/// Time for which a home gateway without a free slot is not asked again.
const FULL_BACKOFF: Duration = Duration::from_millis(50);
/// Time for which a home gateway that did not answer is not asked again: it may be stopped or
/// unreachable.
const SILENT_BACKOFF: Duration = Duration::from_millis(500);

/// Next step of a slot search.
#[derive(Debug, PartialEq, Eq)]
pub enum SearchStep {
    /// The request is counted at this target. If an item has to be preempted there, its owner is
    /// given.
    Take(TargetChoice, Option<PreemptedItem>),
    /// Ask a gateway for a slot at one of its targets.
    Ask {
        /// The gateway to ask.
        home: VmName,
        /// Whether the gateway may preempt an item to free a slot.
        may_displace: bool,
    },
}

/// State of the slot search for one online request.
#[derive(Debug, Default)]
pub struct SlotSearch {
    asks: u32,
    /// Whether the request may probe an ejected target: a failure there costs it only a retry.
    may_probe: bool,
    /// Shortest queue offered by another gateway.
    offer: Option<QueueOffer>,
}

impl SlotSearch {
    /// A search for a request that may probe an ejected target if `may_probe`.
    pub fn probing(may_probe: bool) -> Self {
        Self { may_probe, ..Self::default() }
    }

    /// Number of gateways asked so far.
    pub fn asks(&self) -> u32 {
        self.asks
    }

    /// Returns the next step, in this order of preference: a free slot at an own target; a free
    /// slot at a remote target; a slot freed by preempting an item, first at an own and then at a
    /// remote target; the shortest known queue. Returns `None` if the request cannot be served in
    /// time anywhere.
    pub fn next_step(
        &mut self,
        targets: &mut TargetTable,
        query: &TargetQuery<'_>,
        now: MonoTime,
        mut draw: impl FnMut() -> f64,
    ) -> Option<SearchStep> {
        if self.may_probe
            && let Some(probe) = targets.pick_probe(query, now)
        {
            return targets.take(query, probe).map(|choice| SearchStep::Take(choice, None));
        }
        if let Some(own) = targets.pick_own(query, now, &mut draw) {
            return targets.take(query, own).map(|choice| SearchStep::Take(choice, None));
        }
        if let Some(ask) =
            self.ask(targets, query, MAX_REQUESTS_BEFORE_PREEMPTION, false, now, &mut draw)
        {
            return Some(ask);
        }
        if let Some((own, preempted)) = targets.pick_preemptible(query, now) {
            let choice = targets.take(query, TargetChoice { has_free_slot: true, ..own })?;
            return Some(SearchStep::Take(choice, Some(preempted)));
        }
        if let Some(ask) = self.ask(targets, query, MAX_SLOT_REQUESTS, true, now, &mut draw) {
            return Some(ask);
        }
        let offered = self.offer.as_ref();
        let offered = offered.and_then(|offer| targets.pick_offered(query, offer, now));
        let own = || targets.pick(query, now, &mut draw);
        let pick = offered.or_else(own).or_else(|| {
            // A target that has already failed this request is better than none.
            let query = TargetQuery { avoid: &[], ..*query };
            targets.pick(&query, now, &mut draw)
        });
        let is_last_chance = query.queue == QueueLimit::Any;
        // An ejected target is better than a refusal that the client cannot retry.
        let probe = || is_last_chance.then(|| targets.pick_probe(query, now)).flatten();
        let pick = pick.or_else(probe)?;
        let choice = targets.take(query, pick)?;
        let preempted = (!choice.has_free_slot).then_some(PreemptedItem::Own);
        Some(SearchStep::Take(choice, preempted))
    }

    fn ask(
        &mut self,
        targets: &TargetTable,
        query: &TargetQuery<'_>,
        max_asks: u32,
        may_displace: bool,
        now: MonoTime,
        draw: &mut impl FnMut() -> f64,
    ) -> Option<SearchStep> {
        if self.asks >= max_asks {
            return None;
        }
        let home = targets.home_to_ask(query, may_displace, now, draw)?;
        self.asks += 1;
        Some(SearchStep::Ask { home, may_displace })
    }

    /// Records that a home gateway has no slot but offers a queue.
    pub fn note_denied(
        &mut self,
        targets: &mut TargetTable,
        home: &VmName,
        offer: Option<QueueOffer>,
        now: MonoTime,
    ) {
        let known = self.offer.take().into_iter().chain(offer);
        self.offer = known.min_by_key(|offer| offer.waiting);
        targets.note_denied(home, now + FULL_BACKOFF);
    }

    /// Records that a home gateway did not answer in time.
    pub fn note_silent(&mut self, targets: &mut TargetTable, home: &VmName, now: MonoTime) {
        targets.note_denied(home, now + SILENT_BACKOFF);
    }
}
