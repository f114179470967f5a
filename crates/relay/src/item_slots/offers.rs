//! Offers of a home that their receivers have not answered yet.

use std::time::Duration;

use notch_types::prelude::*;

/// Time after which an unanswered offer no longer counts: the time-out of a heartbeat and one
/// report, by which a start would have been reported.
pub const OFFER_TIMEOUT: Duration = Duration::from_millis(1_100);

/// Time in which an offer is answered: several round trips and a pass of a receiver that is short of
/// processor time. A receiver that takes longer may be lost, and further offers would keep the slots
/// from others.
const ANSWER_TIME: Duration = Duration::from_millis(200);

/// A slot that was offered and not answered.
#[derive(Debug)]
struct SlotOffer {
    peer: VmName,
    target: String,
    at: MonoTime,
}

/// Offers of a home that have not been answered, oldest first.
///
/// Messages on a link stay in order, and a receiver announces the start of an item before any report
/// that contains it. So reports that arrive before the answer do not contain the item, and reports
/// that arrive after it do: while an offer is listed here, it counts in addition to its receiver's
/// report.
#[derive(Debug, Default)]
pub struct OfferLedger {
    offers: Vec<SlotOffer>,
}

impl OfferLedger {
    /// Adds an offer sent at `now`.
    pub fn add(&mut self, peer: &VmName, target: &str, now: MonoTime) {
        self.offers.push(SlotOffer { peer: peer.clone(), target: target.to_owned(), at: now });
    }

    /// Removes the oldest offer of a slot at `target` to `peer`, which answered it. Returns false if
    /// there is none.
    pub fn settle(&mut self, peer: &VmName, target: &str) -> bool {
        let found =
            self.offers.iter().position(|offer| offer.peer == *peer && offer.target == target);
        found.map(|index| self.offers.remove(index)).is_some()
    }

    /// Removes the newest offer of a slot at `target` and returns its receiver.
    pub fn withdraw(&mut self, target: &str) -> Option<VmName> {
        let index = self.offers.iter().rposition(|offer| offer.target == target)?;
        Some(self.offers.remove(index).peer)
    }

    /// Removes offers without an answer and returns the receiver and the target of each.
    pub fn expire(&mut self, now: MonoTime) -> Vec<(VmName, String)> {
        let is_over = |offer: &mut SlotOffer| now.since(offer.at) >= OFFER_TIMEOUT;
        self.offers.extract_if(.., is_over).map(|offer| (offer.peer, offer.target)).collect()
    }

    /// Removes offers that are older than `age`.
    pub fn drop_older(&mut self, age: Duration, now: MonoTime) {
        self.offers.retain(|offer| now.since(offer.at) < age);
    }

    /// Whether a slot at `target` was offered to `peer`.
    pub fn contains(&self, peer: &VmName, target: &str) -> bool {
        self.offers.iter().any(|offer| offer.peer == *peer && offer.target == target)
    }

    /// Whether an answer of `peer` is overdue.
    pub fn is_overdue(&self, peer: &VmName, now: MonoTime) -> bool {
        let mut offers = self.offers.iter().filter(|offer| offer.peer == *peer);
        offers.any(|offer| now.since(offer.at) >= ANSWER_TIME)
    }

    /// Removes all offers of slots at a target whose entry is gone.
    pub fn remove_target(&mut self, target: &str) {
        self.offers.retain(|offer| offer.target != target);
    }

    /// Removes all offers to a gateway.
    pub fn remove_peer(&mut self, peer: &VmName) {
        self.offers.retain(|offer| offer.peer != *peer);
    }

    /// Number of offers to `peer` at targets for which `is_counted` holds.
    pub fn count(&self, peer: &VmName, is_counted: impl Fn(&str) -> bool) -> u32 {
        let offers = self.offers.iter().filter(|offer| offer.peer == *peer);
        offers.filter(|offer| is_counted(&offer.target)).count() as u32
    }
}
