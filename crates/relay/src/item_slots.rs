//! Slots for items of batch jobs: which gateway a home offers its free slots to, and when a gateway
//! starts items without an offer.
//!
//! It is designed for jobs that land on a few of many gateways while a third to a half of all slots
//! is free, with a peak of online requests every few seconds.

pub mod division;
pub mod forecast;
pub mod offers;
pub mod preemption;
pub mod waiting;

use std::{collections::VecDeque, time::Duration};

use notch_types::prelude::*;

use crate::item_slots::{
    division::{DivisibleSlots, DivisionRound, GivenSlots, own_limit, own_share},
    forecast::{OnlineForecast, OnlineLoad, ReservedSlots},
    waiting::{OwnWaiting, PeerWaiting, WaitingItems, WaitingReport},
};

/// How long a report of waiting items is valid; it is sent again at least twice in this time.
const REPORT_LIFETIME: Duration = Duration::from_millis(2_500);
/// Waiting time after which all homes together offer a gateway up to [`MIN_OFFERS`] slots on
/// average, even for fewer items: rounding at random may pass it over for several reports in a row.
const MIN_SHARE_AFTER: Duration = Duration::from_millis(200);
/// Average number of slots with which all homes pass a report over with a chance of at most one in
/// twenty (e^-3). One slot from each home would be hundreds of offers for one item in a large fleet,
/// each of which takes a slot until it is declined.
const MIN_OFFERS: u32 = 3;
/// Time after which the share of a gateway is computed anew without a new report. Reports of
/// changes are this far apart.
const SHARE_WINDOW: Duration = Duration::from_millis(100);
/// Waiting time without an offer after which items start without one. A home of a build or setting
/// without offers never sends any.
const UNSERVED_AFTER: Duration = Duration::from_millis(1_000);
/// Time from the end of a peak in which an item that waited for it starts, also by
/// [`UNSERVED_AFTER`].
const START_MARGIN: Duration = Duration::from_secs(1);
/// How long the load of a service is recorded after an item last waited for it.
const FORECAST_LIFETIME: Duration = Duration::from_secs(60);
/// Maximum number of services in one gateway's report; deployments have a few.
const MAX_SERVICES: usize = 64;
/// Maximum number of offers held between two passes. A gateway is offered at most the slots for the
/// items that it reported.
const MAX_RECEIVED: usize = 256;

/// Free slots of one service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FreeSlots {
    /// At targets whose home is this gateway.
    pub here: u32,
    /// At all targets, as far as reports tell.
    pub all: u32,
}

impl FreeSlots {
    fn less(self, reserved: ReservedSlots) -> Self {
        let here = self.here.saturating_sub(reserved.here);
        Self { here, all: self.all.saturating_sub(reserved.all) }
    }
}

/// Slots that a home gives to one gateway.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SlotShare {
    /// The gateway; `None` for this one.
    pub gateway: Option<VmName>,
    /// Number of slots; at least 1.
    pub count: u32,
}

/// An offer that another gateway sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReceivedOffer {
    /// The gateway that sent it.
    pub home: VmName,
    /// Id of the target.
    pub target: String,
}

/// Waiting items of all gateways, and the offers received since the last pass.
#[derive(Debug, Default)]
pub struct ItemSlotTable {
    peers: FastMap<VmName, PeerWaiting>,
    /// Items that wait here, by service.
    own: FastMap<String, OwnWaiting>,
    /// Offers in order of arrival. Invariant: at most [`MAX_RECEIVED`].
    received: VecDeque<ReceivedOffer>,
    /// Course of the online load, by service.
    forecasts: FastMap<String, ServiceForecast>,
}

/// Course of the online load of a service.
#[derive(Debug)]
struct ServiceForecast {
    forecast: OnlineForecast,
    /// When items last waited for the service.
    needed_at: MonoTime,
}

impl ItemSlotTable {
    /// Replaces another gateway's report of its waiting items. The report is complete. `draw` is a
    /// random number from 0 to 1 by which shares are rounded.
    pub fn take_report(
        &mut self,
        peer: &VmName,
        mut reports: Vec<WaitingReport>,
        draw: f64,
        now: MonoTime,
    ) {
        reports.truncate(MAX_SERVICES);
        if reports.is_empty() {
            self.peers.remove(peer);
            return;
        }
        let before = self.peers.remove(peer);
        self.peers.insert(peer.clone(), PeerWaiting::new(reports, before.as_ref(), draw, now));
    }

    /// Drops reports of gateways that have not been heard from for too long, and forecasts that no
    /// item has needed for long.
    pub fn expire(&mut self, now: MonoTime) {
        self.peers.retain(|_, peer| now.since(peer.at) <= REPORT_LIFETIME);
        self.forecasts.retain(|_, known| now.since(known.needed_at) <= FORECAST_LIFETIME);
    }

    /// Services whose online load is to be recorded, as items have waited for them.
    pub fn forecast_services(&self) -> Vec<String> {
        self.forecasts.keys().cloned().collect()
    }

    /// Records the online load of a service.
    pub fn note_online(&mut self, service: &str, load: OnlineLoad, now: MonoTime) {
        if let Some(known) = self.forecasts.get_mut(service) {
            known.forecast.note(load, now);
        }
    }

    /// The free slots of a service less those that the next peak of online requests will soon take,
    /// and less all those that it will take. From the first call on, the load of the service is to be recorded.
    pub fn unreserved(
        &mut self,
        service: &str,
        slots: FreeSlots,
        load: OnlineLoad,
        now: MonoTime,
    ) -> DivisibleSlots {
        let Some(known) = self.forecasts.get_mut(service) else {
            let (forecast, needed_at) = (OnlineForecast::default(), now);
            self.forecasts.insert(service.to_owned(), ServiceForecast { forecast, needed_at });
            return slots.into();
        };
        known.needed_at = now;
        let free = slots.less(known.forecast.reserved(load, now));
        let FreeSlots { here, all } = slots.less(known.forecast.peak_reserved(load, now));
        let beyond_peak = FreeSlots { here: here.min(free.here), all: all.min(free.all) };
        DivisibleSlots { free, beyond_peak }
    }

    /// Slack below which an item of `service` cannot wait until the next peak has passed; `None`
    /// while the load is irregular.
    pub fn peak_slack(&self, service: &str, now: MonoTime) -> Option<Duration> {
        let forecast = &self.forecasts.get(service)?.forecast;
        Some(forecast.peak_ends_in(now)? + START_MARGIN)
    }

    /// Records that another gateway did not answer an offer. It is offered nothing until its next
    /// report, which a lost gateway does not send.
    pub fn note_unanswered(&mut self, peer: &VmName) {
        self.peers.remove(peer);
    }

    /// Whether items wait at another gateway or offers have arrived.
    pub fn needs_pass(&self) -> bool {
        !self.peers.is_empty() || !self.received.is_empty()
    }

    /// Sets the items that wait here, by service.
    pub fn set_own(&mut self, waiting: &FastMap<String, WaitingItems>, now: MonoTime) {
        self.own.retain(|service, _| waiting.contains_key(service));
        for (service, items) in waiting {
            match self.own.get_mut(service) {
                Some(own) => own.note(*items, now),
                None => drop(self.own.insert(service.clone(), OwnWaiting::new(*items, now))),
            }
        }
    }

    /// The items that wait here, by service.
    pub fn own_waiting(&self) -> Vec<WaitingReport> {
        let reports = self
            .own
            .iter()
            .map(|(service, own)| WaitingReport { service: service.clone(), items: own.items });
        let mut reports: Vec<WaitingReport> = reports.collect();
        reports.sort_by(|a, b| a.service.cmp(&b.service));
        reports
    }

    /// Whether items wait anywhere.
    pub fn has_waiting(&self) -> bool {
        !self.own.is_empty() || !self.peers.is_empty()
    }

    /// Services for which items wait anywhere.
    pub fn services(&self) -> FastSet<&str> {
        let own = self.own.keys().map(String::as_str);
        own.chain(self.peers.values().flat_map(PeerWaiting::services)).collect()
    }

    /// Records slots offered by another gateway. Returns the offers that exceed the limit, which are
    /// to be declined.
    pub fn note_offers(&mut self, home: &VmName, targets: Vec<String>) -> Vec<ReceivedOffer> {
        let offers = targets.into_iter().map(|target| ReceivedOffer { home: home.clone(), target });
        let mut offers: Vec<ReceivedOffer> = offers.collect();
        let excess = offers.split_off(offers.len().min(MAX_RECEIVED - self.received.len()));
        self.received.extend(offers);
        excess
    }

    /// Removes a received offer of a slot at `target` that its home revokes. Returns false if there
    /// is none.
    pub fn drop_received(&mut self, home: &VmName, target: &str) -> bool {
        let found =
            self.received.iter().position(|offer| offer.home == *home && offer.target == target);
        found.is_some_and(|index| self.received.remove(index).is_some())
    }

    /// Takes the offers received since the last pass.
    pub fn take_received(&mut self) -> Vec<ReceivedOffer> {
        self.received.drain(..).collect()
    }

    /// Records that an item of `service` starts at a slot that a home gave to this gateway.
    pub fn note_served(&mut self, service: &str, now: MonoTime) {
        if let Some(own) = self.own.get_mut(service) {
            own.served_at = now;
        }
    }

    /// Whether items of `service` have waited here for so long without an offer that they start
    /// without one.
    pub fn is_unserved(&self, service: &str, now: MonoTime) -> bool {
        self.own.get(service).is_some_and(|own| now.since(own.served_at) >= UNSERVED_AFTER)
    }

    /// Divides the free slots of `service` at this gateway's targets. Items that cannot wait for the
    /// end of the next peak come first, then those that have time, which get only slots that the
    /// peak leaves; those that will be late come last. Among each of them, the gateway whose items
    /// have the least slack comes first. Each gets the share of its items that this home has of all
    /// free slots; what is left goes to this gateway, which knows its own items exactly.
    /// `may_receive` tells which gateways take offers, this one being `None`, and `in_flight` how
    /// many offers of this home a gateway has not answered yet.
    ///
    /// It is designed for a dozen homes that read the same report and see the same waiting items:
    /// together they offer about as many slots as items wait.
    pub fn divide(
        &mut self,
        service: &str,
        slots: DivisibleSlots,
        may_receive: impl Fn(Option<&VmName>) -> bool,
        in_flight: impl Fn(&VmName) -> u32,
        now: MonoTime,
    ) -> Vec<SlotShare> {
        let own = self.own.get(service).filter(|_| may_receive(None)).map(|own| own.items);
        let mut order: Vec<(WaitingItems, Option<VmName>)> = Vec::new();
        order.extend(own.map(|items| (items, None)));
        for (peer, waiting) in &self.peers {
            if let Some(items) = waiting.items(service, now)
                && may_receive(Some(peer))
            {
                order.push((items, Some(peer.clone())));
            }
        }
        order.sort_by(|(a, a_name), (b, b_name)| (a.slack_ms, a_name).cmp(&(b.slack_ms, b_name)));
        let has_peers = order.iter().any(|(_, gateway)| gateway.is_some());
        let mut given = GivenSlots::new(slots);
        for (round, is_late) in [
            (DivisionRound::Pressing, false),
            (DivisionRound::Patient, false),
            (DivisionRound::Pressing, true),
        ] {
            for (items, gateway) in order.iter().filter(|(items, _)| items.is_late() == is_late) {
                let wanted = match gateway {
                    None if has_peers => own_share(*items, slots, round),
                    None => own_limit(*items, round),
                    Some(peer) => {
                        let in_flight = in_flight(peer);
                        let waiting = self.peers.get_mut(peer);
                        waiting.map_or(0, |waiting| {
                            waiting.quota(service, slots, round, in_flight, now)
                        })
                    }
                };
                // The quota of another gateway is what it is offered in addition to earlier offers.
                let wanted = match gateway {
                    None => wanted.saturating_sub(given.own()),
                    Some(_) => wanted,
                };
                let count = given.give(gateway.as_ref(), wanted, round);
                if let Some(waiting) = gateway.as_ref().and_then(|peer| self.peers.get_mut(peer)) {
                    waiting.note_offered(service, count);
                }
            }
            // Own items that cannot wait take their rest of the slots before items that have time, which
            // otherwise would leave fewer slots to the peak.
            if round == DivisionRound::Pressing && !is_late && slots.keeps_for_peak() {
                let rest = own.filter(|items| !items.is_late()).map_or(0, |own| own.pressing());
                given.give(None, rest.saturating_sub(given.own()), round);
            }
        }
        for round in [DivisionRound::Pressing, DivisionRound::Patient] {
            let rest = own.map_or(0, |items| own_limit(items, round));
            given.give(None, rest.saturating_sub(given.own()), round);
        }
        given.shares
    }
}
