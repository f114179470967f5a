//! Items that wait for a slot, as each gateway reports them.

use std::time::Duration;

use notch_types::prelude::*;

use crate::item_slots::{
    FreeSlots, MIN_OFFERS, MIN_SHARE_AFTER, SHARE_WINDOW,
    division::{DivisibleSlots, DivisionRound},
};

/// Change of the slack, beyond the passing of time, that is worth a report: an offer that comes
/// this much too late still leaves the order among gateways nearly right.
const SLACK_TOLERANCE_MS: u64 = 250;

/// Waiting items of one service that may start now.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WaitingItems {
    /// Number of items.
    pub count: u32,
    /// Slack of the item that starts first, milliseconds: the least of those that can still be in
    /// time, else the negative slack of a late one.
    pub slack_ms: i64,
    /// Number of items that would be late if they waited until the next peak of online requests has
    /// passed, without those that are late anyway. `None` if it is not known: the load is irregular,
    /// or the gateway's build does not report it.
    pub urgent: Option<u32>,
}

impl WaitingItems {
    /// Sums up items by their slack in milliseconds, in the order in which they start. An item with
    /// less slack than `peak_slack` is urgent.
    pub fn of(slacks: impl Iterator<Item = i64>, peak_slack: Option<Duration>) -> Self {
        let mut items = Self { urgent: peak_slack.map(|_| 0), ..Self::default() };
        for slack_ms in slacks {
            items.add(slack_ms);
            if let (Some(urgent), Some(peak_slack)) = (&mut items.urgent, peak_slack) {
                let is_urgent = slack_ms >= 0 && (slack_ms as u128) < peak_slack.as_millis();
                *urgent += u32::from(is_urgent);
            }
        }
        items
    }

    /// Adds an item. Items are added in the order in which they start.
    pub fn add(&mut self, slack_ms: i64) {
        if self.count == 0 {
            self.slack_ms = slack_ms;
        } else if slack_ms >= 0 {
            self.slack_ms = self.slack_ms.min(slack_ms);
        }
        self.count += 1;
    }

    /// Whether none of the items can be in time.
    pub fn is_late(&self) -> bool {
        self.slack_ms < 0
    }

    /// Number of items that may take any free slot, also one that the next peak will take: all if
    /// the number of urgent ones is not known. Late items have no time to wait for either.
    pub(super) fn pressing(&self) -> u32 {
        match self.urgent {
            Some(urgent) if !self.is_late() => urgent.min(self.count),
            Some(_) | None => self.count,
        }
    }
}

/// Waiting items of one service in a report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WaitingReport {
    /// The service.
    pub service: String,
    /// Its waiting items.
    pub items: WaitingItems,
}

/// Whether waiting items have changed since the report `last`, which was sent `age` ago. The slack
/// of waiting items decreases with time, which the receiver knows.
pub fn has_changed(last: &[WaitingReport], new: &[WaitingReport], age: Duration) -> bool {
    let is_same = |(last, new): (&WaitingReport, &WaitingReport)| {
        let expected = last.items.slack_ms.saturating_sub(age.as_millis() as i64);
        last.service == new.service
            && last.items.count == new.items.count
            && last.items.urgent == new.items.urgent
            && expected.abs_diff(new.items.slack_ms) <= SLACK_TOLERANCE_MS
    };
    last.len() != new.len() || !last.iter().zip(new).all(is_same)
}

/// Items of one service that wait at this gateway.
#[derive(Debug)]
pub(super) struct OwnWaiting {
    pub(super) items: WaitingItems,
    /// When a slot was last given to this gateway, or when items began to wait.
    pub(super) served_at: MonoTime,
}

impl OwnWaiting {
    pub(super) fn new(items: WaitingItems, now: MonoTime) -> Self {
        Self { items, served_at: now }
    }

    /// Replaces the items. While all of them have time, no offer is expected.
    pub(super) fn note(&mut self, items: WaitingItems, now: MonoTime) {
        if items.pressing() == 0 {
            self.served_at = now;
        }
        self.items = items;
    }
}

/// Items of one service that wait at another gateway.
#[derive(Debug)]
struct ServiceWaiting {
    report: WaitingReport,
    /// Since when its reports contain waiting items of the service.
    since: MonoTime,
    /// Slots offered to it since `window_start`. They may be missing in its report.
    offered: u32,
}

/// Waiting items of another gateway.
#[derive(Debug)]
pub(super) struct PeerWaiting {
    /// When the report arrived.
    pub(super) at: MonoTime,
    /// When the shares were last rounded.
    window_start: MonoTime,
    /// Random number by which shares are rounded. A new one for each pass would raise the sum of
    /// all offers.
    draw: f64,
    services: Vec<ServiceWaiting>,
}

impl PeerWaiting {
    pub(super) fn new(
        reports: Vec<WaitingReport>,
        before: Option<&Self>,
        draw: f64,
        now: MonoTime,
    ) -> Self {
        let services = reports.into_iter().map(|report| {
            let known = before.and_then(|before| before.service(&report.service));
            let since = known.map_or(now, |known| known.since);
            ServiceWaiting { report, since, offered: 0 }
        });
        Self { at: now, window_start: now, draw, services: services.collect() }
    }

    pub(super) fn services(&self) -> impl Iterator<Item = &str> {
        self.services.iter().map(|waiting| waiting.report.service.as_str())
    }

    /// Waiting items of a service, with the slack that is left at `now`.
    pub(super) fn items(&self, service: &str, now: MonoTime) -> Option<WaitingItems> {
        let items = self.service(service)?.report.items;
        let slack_ms = items.slack_ms.saturating_sub(now.since(self.at).as_millis() as i64);
        Some(WaitingItems { slack_ms, ..items })
    }

    /// Number of slots to be offered to it now, if its items were the most urgent ones. `round` tells
    /// which of its items are offered slots.
    pub(super) fn quota(
        &mut self,
        service: &str,
        slots: DivisibleSlots,
        round: DivisionRound,
        in_flight: u32,
        now: MonoTime,
    ) -> u32 {
        let is_new_window = now.since(self.window_start) >= SHARE_WINDOW;
        if is_new_window {
            self.window_start = now;
            for waiting in &mut self.services {
                waiting.offered = 0;
            }
        }
        let draw = self.draw;
        let found = self.services.iter().find(|waiting| waiting.report.service == service);
        let Some(waiting) = found else { return 0 };
        let items = waiting.report.items;
        let is_passed_over = now.since(waiting.since) >= MIN_SHARE_AFTER;
        let min_offers = if is_passed_over { MIN_OFFERS } else { 0 };
        let part = |count: u32, slots: FreeSlots| match count {
            0 => 0.0,
            count => {
                let here = f64::from(slots.here + waiting.offered);
                let all = f64::from(slots.all.max(slots.here) + waiting.offered);
                f64::from(count.max(min_offers)) * here / all.max(1.0)
            }
        };
        let pressing = items.pressing();
        let (count, share) = match round {
            DivisionRound::Pressing => (pressing, part(pressing, slots.free)),
            DivisionRound::Patient => {
                let patient = part(items.count - pressing, slots.beyond_peak);
                (items.count, part(pressing, slots.free) + patient)
            }
        };
        // Offers that it has not answered may have started items that its report still contains.
        let offered = in_flight.max(waiting.offered);
        ((share + draw) as u32).min(count).saturating_sub(offered)
    }

    pub(super) fn note_offered(&mut self, service: &str, count: u32) {
        let found = self.services.iter_mut().find(|waiting| waiting.report.service == service);
        if let Some(waiting) = found {
            waiting.offered = waiting.offered.saturating_add(count);
        }
    }

    fn service(&self, service: &str) -> Option<&ServiceWaiting> {
        self.services.iter().find(|waiting| waiting.report.service == service)
    }
}
