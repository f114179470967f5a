//! Slots for items: free ones at own targets, offers of them to other gateways, and offers received.

use std::time::Duration;

use notch_types::prelude::*;

use crate::{
    item_slots::{FreeSlots, forecast::OnlineLoad},
    targets::{
        choice::{TargetChoice, TargetQuery, WorkKind},
        record::{TargetRecord, UseChange},
        table::{TIE_BREAK_RANGE, TargetTable},
    },
};

/// Time after the announced start of an item in which its end means that the offer was declined: both messages are sent
/// together.
const DECLINE_WINDOW: Duration = Duration::from_millis(50);
/// Time for which slots at a target are not offered to a gateway that declined one there, as it may avoid the target for
/// reasons of its own. Without it, each pass would offer the same slot again and no other.
const DECLINED_TIME: Duration = Duration::from_secs(1);

impl TargetTable {
    /// Sets whether slots for items are offered. The end of a revoked item is then counted once, by the
    /// revocation; counted twice, it would let the home grant a slot that is still in use.
    pub fn set_offers_items(&mut self, offers_items: bool) {
        self.offers_items = offers_items;
    }

    /// Whether targets are divided among several home gateways.
    pub fn has_homes(&self) -> bool {
        self.homes.is_shared()
    }

    /// Whether this gateway is the home of target `id`.
    pub fn is_home_of(&self, id: &str) -> bool {
        self.homes.is_own(id)
    }

    /// Free slots of a service at targets that accept requests.
    pub fn free_item_slots(&self, service: &str, now: MonoTime) -> FreeSlots {
        let mut slots = FreeSlots::default();
        for record in self.records.values() {
            if record.takes(service) && !record.is_avoided(now) {
                let free = record.free_slots();
                slots.all += free;
                if self.homes.is_own(&record.entry.id) {
                    slots.here += free;
                }
            }
        }
        slots
    }

    /// Online requests in progress and slots of a service at targets that accept requests.
    pub fn online_load(&self, service: &str) -> OnlineLoad {
        let mut load = OnlineLoad::default();
        let usable =
            |record: &&TargetRecord| record.takes(service) && !record.performance.is_excluded;
        for record in self.records.values().filter(usable) {
            let online = record.own.online + record.others.online;
            load.all += online;
            load.slots_all += record.entry.slots;
            if self.homes.is_own(&record.entry.id) {
                load.here += online;
                load.slots_here += record.entry.slots;
            }
        }
        load
    }

    /// Offers `peer` a free slot at an own target and counts it there until the peer answers or the
    /// offer expires. Returns the target's id.
    ///
    /// It is designed for items that wait at few gateways while slots are free at the targets of
    /// others.
    pub fn offer_slot(
        &mut self,
        peer: &VmName,
        service: &str,
        now: MonoTime,
        mut draw: impl FnMut() -> f64,
    ) -> Option<String> {
        self.declined.drop_older(DECLINED_TIME, now);
        let pace = self.pace_use(service);
        let able = self.own_records(service, now).filter(|record| {
            record.has_free_slot() && !self.declined.contains(peer, &record.entry.id)
        });
        let scored = able.map(|record| {
            let score = record.score(&self.domain, true, pace, now) + draw() * TIE_BREAK_RANGE;
            (score, record.entry.id.clone())
        });
        let best: Option<(f64, String)> = scored.min_by(|(a, _), (b, _)| a.total_cmp(b));
        let (_, id) = best?;
        self.offers.add(peer, &id, now);
        if let Some(record) = self.records.get_mut(&id) {
            record.others.batch += 1;
        }
        Some(id)
    }

    /// Counts an item at target `id`, at which `home` offered a slot. Returns `None` if the slot
    /// can't be used: the target is gone, avoided or has more requests than slots, or `home` is no
    /// longer its home, as after a freeze in which the offer was held up.
    pub fn take_offered(
        &mut self,
        query: &TargetQuery<'_>,
        home: &VmName,
        id: &str,
        now: MonoTime,
    ) -> Option<TargetChoice> {
        let is_home = self.homes.other_home(id) == Some(home);
        let record = self.records.get(id)?;
        // Reports of the other gateways are late, so a target that is just full may have a slot.
        let is_able =
            is_home && record.serves(query) && !record.is_avoided(now) && record.waiting() == 0;
        if !is_able {
            return None;
        }
        let choice =
            TargetChoice { has_free_slot: true, is_granted: true, ..self.choice_of(record) };
        self.take(query, choice)
    }

    /// Whether there is a target for items without offers: one whose home, if it is another gateway,
    /// is open, or that has no home.
    pub fn has_unoffered(&self, is_open: impl Fn(&VmName) -> bool) -> bool {
        self.records.keys().any(|id| self.is_unoffered(id, &is_open))
    }

    /// Selects a target for an item that starts without an offer, by the former rule, among those of
    /// [`has_unoffered`](Self::has_unoffered), and counts it there.
    pub fn choose_unoffered(
        &mut self,
        query: &TargetQuery<'_>,
        is_open: impl Fn(&VmName) -> bool,
        now: MonoTime,
        draw: impl FnMut() -> f64,
    ) -> Option<TargetChoice> {
        let closed = self.records.keys().filter(|id| !self.is_unoffered(id, &is_open));
        let closed: Vec<String> = closed.cloned().collect();
        self.choose(&TargetQuery { avoid: &closed, ..*query }, now, draw)
    }

    fn is_unoffered(&self, id: &str, is_open: &impl Fn(&VmName) -> bool) -> bool {
        match self.homes.other_home(id) {
            Some(home) => is_open(home),
            None => !(self.homes.is_shared() && self.homes.is_own(id)),
        }
    }

    /// Service of a target.
    pub fn service_of(&self, id: &str) -> Option<&str> {
        self.records.get(id).map(|record| record.entry.service.as_str())
    }

    /// Software version of a target.
    pub fn version_of(&self, id: &str) -> Option<&str> {
        self.records.get(id).map(|record| record.entry.software_version.as_str())
    }

    /// Number of unanswered offers to `peer` of slots of a service.
    pub fn offers_in_flight(&self, peer: &VmName, service: &str) -> u32 {
        self.offers.count(peer, |id| self.service_of(id) == Some(service))
    }

    /// Whether an answer of `peer` to an offer is overdue, so that it gets no further offers.
    pub fn owes_answer(&self, peer: &VmName, now: MonoTime) -> bool {
        self.offers.is_overdue(peer, now)
    }

    /// Frees the slots whose offers were not answered in time. Returns the receiver of each.
    pub fn expire_offers(&mut self, now: MonoTime) -> Vec<VmName> {
        let expired = self.offers.expire(now);
        for (_, id) in &expired {
            self.uncount_offer(id);
        }
        expired.into_iter().map(|(peer, _)| peer).collect()
    }

    /// Handles an answer to an offer: the receiver announces its item, which from then on counts as
    /// its use, or ends a use that it never announced, which declines the offer.
    pub(super) fn settle_offer(
        &mut self,
        peer: &VmName,
        id: &str,
        work: WorkKind,
        change: UseChange,
        now: MonoTime,
    ) {
        self.answered.drop_older(DECLINE_WINDOW, now);
        let is_end = work == WorkKind::Batch && change == UseChange::End;
        if is_end && self.answered.settle(peer, id) {
            self.declined.add(peer, id, now);
        }
        let announced = || self.reports.get(peer).and_then(|report| report.uses.get(id));
        let is_answer = work == WorkKind::Batch
            && match change {
                UseChange::Begin => true,
                UseChange::End => announced().is_none_or(|used| used.batch == 0),
            };
        if is_answer && self.offers.settle(peer, id) {
            self.uncount_offer(id);
            if is_end {
                self.declined.add(peer, id, now);
            } else {
                self.answered.add(peer, id, now);
            }
        }
    }

    /// Records that an item of `peer` at `id` was revoked and is no longer counted.
    pub(super) fn note_revoked(&mut self, peer: &VmName, id: &str, now: MonoTime) {
        if self.offers_items {
            self.revoked.add(peer, id, now);
        }
    }

    /// Whether a change is the end of an item that its revocation has already counted.
    pub(super) fn is_revoked_end(
        &mut self,
        peer: &VmName,
        id: &str,
        work: WorkKind,
        change: UseChange,
    ) -> bool {
        work == WorkKind::Batch && change == UseChange::End && self.revoked.settle(peer, id)
    }

    /// Withdraws the newest unanswered offer of a slot at `id` and returns its receiver. An item
    /// that has not started loses no work.
    pub(super) fn withdraw_offer(&mut self, id: &str) -> Option<VmName> {
        let peer = self.offers.withdraw(id)?;
        self.uncount_offer(id);
        Some(peer)
    }

    fn uncount_offer(&mut self, id: &str) {
        if let Some(record) = self.records.get_mut(id) {
            record.others.batch = record.others.batch.saturating_sub(1);
        }
    }
}
