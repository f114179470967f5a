//! Sharing of a service's slots among accounts: which requests a gateway refuses because their
//! account uses more than its fair share.
//!
//! It is designed for more requests than all slots hold, of which one account sends most, beside
//! tens of accounts that need little. Without it, requests are served in order of arrival, and the
//! accounts with little use are refused as often as the one that causes the load.

pub mod key;
pub mod level;
pub mod refusals;
pub mod share_use;
pub mod verdict;
pub mod weight;

use std::{cmp::Reverse, time::Duration};

use notch_types::prelude::*;

use crate::fairness::{
    key::MAX_KEY_BYTES,
    level::{ShareDemand, ShareLevel},
    refusals::RefusalWindow,
    share_use::ShareUse,
    verdict::{FairSlots, FairVerdict},
};

/// How long a report is valid; it is sent again at least twice in this time.
const REPORT_LIFETIME: Duration = Duration::from_millis(2_500);
/// Maximum number of keys of one service in a report. Only keys with much use have to be known.
const MAX_REPORTED_PER_SERVICE: usize = 8;
/// Maximum number of keys in a report.
const MAX_REPORTED: usize = 64;
/// Maximum number of keys counted at this gateway; deployments have tens. The use of other keys is
/// remaining use.
const MAX_OWN_KEYS: usize = 4_096;
/// Multiple of the fair share up to which requests are admitted whose clients can't retry. The
/// excess is at most the headroom: most requests of a flood are retries, and a quarter of a large
/// share would take the slots of the others.
const SINGLE_CHANCE_FACTOR: f64 = 1.25;
/// Maximum factor by which the use of a key is taken to have grown since the last reports.
const MAX_GROWTH: f64 = 4.0;
/// Keys are not refused whose use is that of an even division and at most this many standard
/// deviations of random arrivals more. Otherwise peaks in which no key uses more than the others have
/// requests refused that the headroom would hold.
const EVEN_DEVIATIONS: f64 = 3.0;
/// Multiple of its share from which on the demand of a key is a flood.
const FLOOD_FACTOR: f64 = 1.25;

/// Use of one share key at this gateway.
#[derive(Debug)]
struct OwnShare {
    /// Requests in progress or queued.
    online: u32,
    refusals: RefusalWindow,
    weight: f64,
    /// Demand at the last report of this gateway, which is as old as the others' reports.
    reported: u64,
}

/// What another gateway reported.
#[derive(Debug)]
struct PeerShares {
    at: MonoTime,
    /// Invariant: at most [`MAX_REPORTED`], at most [`MAX_REPORTED_PER_SERVICE`] of a service.
    shares: Vec<ShareUse>,
}

/// Sum of the reports of the other gateways for one key.
#[derive(Debug, Clone, Copy)]
struct ReportedShare {
    online: u64,
    refused: u64,
    weight: f64,
    /// Number of reports that name the key.
    reports: usize,
    /// `online` at the last two reports of this gateway, the latest first.
    earlier: [u64; 2],
}

/// Use of a service's slots by share key, at this gateway and as other gateways reported it.
#[derive(Debug, Default)]
pub struct FairShareTable {
    /// By service and key. Invariant: at most [`MAX_OWN_KEYS`] keys.
    own: FastMap<String, FastMap<String, OwnShare>>,
    peers: FastMap<VmName, PeerShares>,
    /// By service and key. Invariant: the sum of `peers`.
    reported: FastMap<String, FastMap<String, ReportedShare>>,
}

impl FairShareTable {
    /// Replaces the report of `peer`. Keys that it no longer lists count as unused. Entries beyond
    /// the allowed number, with a key that is too long or listed before are ignored.
    pub fn note_report(&mut self, peer: &VmName, shares: Vec<ShareUse>, now: MonoTime) {
        let shares = bounded(shares);
        let former = self.peers.remove(peer);
        // The new report is added first, so that the course of a key that only it lists is kept.
        for share in &shares {
            self.add(share);
        }
        if let Some(PeerShares { shares, .. }) = former {
            self.subtract(&shares);
        }
        if !shares.is_empty() {
            self.peers.insert(peer.clone(), PeerShares { at: now, shares });
        }
    }

    /// Drops the report of a gateway whose link has ended.
    pub fn forget(&mut self, peer: &VmName) {
        if let Some(PeerShares { shares, .. }) = self.peers.remove(peer) {
            self.subtract(&shares);
        }
    }

    fn add(&mut self, share: &ShareUse) {
        let keys = match self.reported.get_mut(&share.service) {
            Some(keys) => keys,
            None => self.reported.entry(share.service.clone()).or_default(),
        };
        let earlier = [u64::from(share.online); 2];
        let weight = share.weight;
        let new = ReportedShare { online: 0, refused: 0, weight, reports: 0, earlier };
        let sum = keys.entry(share.key.clone()).or_insert(new);
        sum.online += u64::from(share.online);
        sum.refused += u64::from(share.refused);
        sum.weight = weight;
        sum.reports += 1;
    }

    /// Undoes [`add`](Self::add) for the entries of a former report.
    fn subtract(&mut self, shares: &[ShareUse]) {
        for share in shares {
            let Some(keys) = self.reported.get_mut(&share.service) else { continue };
            if let Some(sum) = keys.get_mut(&share.key) {
                sum.online -= u64::from(share.online);
                sum.refused -= u64::from(share.refused);
                sum.reports -= 1;
                if sum.reports == 0 {
                    keys.remove(&share.key);
                }
            }
            if keys.is_empty() {
                self.reported.remove(&share.service);
            }
        }
    }

    /// Counts a request that begins. Returns false if it is not counted, as too many keys are in
    /// use; [`end`](Self::end) must then not be called for it.
    #[must_use]
    pub fn begin(&mut self, service: &str, key: &str, weight: f64) -> bool {
        let Some(own) = self.own_share(service, key, weight) else { return false };
        own.online += 1;
        true
    }

    /// Counts the end of a request for which [`begin`](Self::begin) returned true.
    pub fn end(&mut self, service: &str, key: &str) {
        let own = self.own.get_mut(service).and_then(|keys| keys.get_mut(key));
        if let Some(own) = own {
            own.online = own.online.saturating_sub(1);
        }
    }

    /// Decides on a request that arrives at this gateway, and counts it if it is refused. `weight`
    /// is that of its key, above 0; `can_retry` tells whether its client can retry.
    ///
    /// It refuses nothing while at least a quarter of the slots is free, and never a request whose
    /// key's [estimated use](Self::estimated_use) is less than its share. The estimate may be above the
    /// known use, so a refusal may state a use below the share.
    ///
    /// The division keeps the headroom free. Above that, only requests of clients that can't retry
    /// are admitted, and those of keys whose use is close to an even division.
    pub fn admit(
        &mut self,
        service: &str,
        key: &str,
        weight: f64,
        slots: FairSlots,
        can_retry: bool,
        now: MonoTime,
    ) -> FairVerdict {
        if !slots.is_under_pressure() {
            return FairVerdict::Admit;
        }
        if !self.has_competition(service, key, slots, now) {
            return FairVerdict::Admit;
        }
        let used = self.used(service, key);
        let level = self.level(service, (key, weight), slots, now);
        let share = weight * level.per_weight;
        let excess = (share * (SINGLE_CHANCE_FACTOR - 1.0)).min(slots.headroom() as f64);
        let bound = if can_retry { share } else { share + excess };
        let even = weight * level.even;
        let bound = bound.max(even + EVEN_DEVIATIONS * even.sqrt());
        if self.estimated_use(service, key, share, now) < bound {
            return FairVerdict::Admit;
        }
        if let Some(own) = self.own_share(service, key, weight) {
            own.refusals.note(now);
        }
        FairVerdict::Refuse { used, share }
    }

    /// The keys with the most use at this gateway, as they are to be reported to all gateways now.
    pub fn own_shares(&mut self, now: MonoTime) -> Vec<ShareUse> {
        for own in self.own.values_mut().flat_map(|keys| keys.values_mut()) {
            own.reported = u64::from(own.online) + u64::from(own.refusals.count(now));
        }
        for sum in self.reported.values_mut().flat_map(|keys| keys.values_mut()) {
            sum.earlier = [sum.online, sum.earlier[0]];
        }
        self.current_shares(now)
    }

    /// The keys with the most use at this gateway. Unlike [`own_shares`](Self::own_shares) it does not
    /// count as a report to all gateways, by which the growth of use is measured.
    pub fn current_shares(&self, now: MonoTime) -> Vec<ShareUse> {
        let mut services: Vec<&String> = self.own.keys().collect();
        services.sort();
        let mut shares = Vec::new();
        for service in services {
            let keys = self.own[service].iter().map(|(key, own)| ShareUse {
                service: service.clone(),
                key: key.clone(),
                online: own.online,
                refused: own.refusals.count(now),
                weight: own.weight,
            });
            let mut keys: Vec<ShareUse> = keys.filter(|share| share.demand() > 0).collect();
            keys.sort_by(|a, b| (Reverse(a.demand()), &a.key).cmp(&(Reverse(b.demand()), &b.key)));
            keys.truncate(MAX_REPORTED_PER_SERVICE);
            shares.extend(keys);
        }
        if shares.len() > MAX_REPORTED {
            shares.sort_by_key(|share| Reverse(share.demand()));
            shares.truncate(MAX_REPORTED);
        }
        shares
    }

    /// Drops reports that are too old, and keys without use.
    pub fn expire(&mut self, now: MonoTime) {
        let is_old = |report: &PeerShares| now.since(report.at) > REPORT_LIFETIME;
        let old = self.peers.iter().filter(|(_, report)| is_old(report));
        let old: Vec<VmName> = old.map(|(peer, _)| peer.clone()).collect();
        for peer in &old {
            self.forget(peer);
        }
        for keys in self.own.values_mut() {
            keys.retain(|_, own| own.online > 0 || own.refusals.count(now) > 0);
        }
        self.own.retain(|_, keys| !keys.is_empty());
    }

    /// Requests of a key in progress or queued, over all gateways as far as is known.
    pub fn used(&self, service: &str, key: &str) -> u64 {
        let own = self.own.get(service).and_then(|keys| keys.get(key));
        let reported = self.reported.get(service).and_then(|keys| keys.get(key));
        own.map_or(0, |own| u64::from(own.online)) + reported.map_or(0, |sum| sum.online)
    }

    /// Whether other keys need slots. Use that no report lists counts if it exceeds the headroom:
    /// below that it may be requests of the key itself that reports do not include yet.
    fn has_competition(&self, service: &str, key: &str, slots: FairSlots, now: MonoTime) -> bool {
        let own = self.own.get(service).into_iter().flatten();
        let mut own = own.filter(|(other, _)| *other != key);
        let reported = self.reported.get(service).into_iter().flatten();
        reported.clone().any(|(other, _)| other != key)
            || own.any(|(_, own)| own.online > 0 || own.refusals.count(now) > 0)
            || slots.online > self.used(service, key) + slots.headroom()
    }

    /// Use of a key over all gateways, with the growth since the last reports, which are up to 100 ms
    /// old. Without it, a flood takes all slots before the reports tell of it, and all gateways that
    /// hear of a free slot admit a request to it.
    ///
    /// What the others report is taken to go on rising as it did. If the demand is far above
    /// `share`, so that each gateway has refused requests, this gateway's use may be at most its part
    /// of the share, by its part of the demand. With less demand that would refuse requests that
    /// fit, as gateways get uneven numbers of them.
    pub fn estimated_use(&self, service: &str, key: &str, share: f64, now: MonoTime) -> f64 {
        let used = self.used(service, key) as f64;
        let Some(reported) = self.reported.get(service).and_then(|keys| keys.get(key)) else {
            return used;
        };
        let rise = reported.online.saturating_sub(reported.earlier[1]) as f64;
        let own = self.own.get(service).and_then(|keys| keys.get(key));
        let refused = own.map_or(0, |own| u64::from(own.refusals.count(now))) + reported.refused;
        let grown = match own {
            Some(own) if used + refused as f64 > share * FLOOD_FACTOR => {
                let part = own.reported.max(1) as f64;
                let others = (reported.online + reported.refused) as f64;
                (f64::from(own.online) + 1.0) * (part + others) / part
            }
            _ => 0.0,
        };
        (used + rise).max(grown).min(used * MAX_GROWTH)
    }

    /// The water-filling level of a service if the key `newcomer`, given with its weight, asked for
    /// all slots: what it may use without taking from keys with less use.
    pub fn level(
        &self,
        service: &str,
        (newcomer, weight): (&str, f64),
        slots: FairSlots,
        now: MonoTime,
    ) -> ShareLevel {
        let mut demands: FastMap<&str, ShareDemand> = FastMap::default();
        demands.insert(newcomer, ShareDemand { slots: slots.shared() + 1.0, weight });
        let mut known = 0;
        for (key, sum) in self.reported.get(service).into_iter().flatten() {
            known += sum.online;
            let new = ShareDemand { slots: 0.0, weight: sum.weight };
            demands.entry(key).or_insert(new).slots += (sum.online + sum.refused) as f64;
        }
        for (key, own) in self.own.get(service).into_iter().flatten() {
            known += u64::from(own.online);
            let new = ShareDemand { slots: 0.0, weight: own.weight };
            let refused = own.refusals.count(now);
            demands.entry(key).or_insert(new).slots += f64::from(own.online) + f64::from(refused);
        }
        let remaining = slots.online.saturating_sub(known);
        ShareLevel::of(demands.into_values().collect(), remaining as f64, slots.shared())
    }

    /// The count of a key at this gateway; `None` if too many keys are in use.
    fn own_share(&mut self, service: &str, key: &str, weight: f64) -> Option<&mut OwnShare> {
        let is_known = self.own.get(service).is_some_and(|keys| keys.contains_key(key));
        if !is_known {
            let count: usize = self.own.values().map(FastMap::len).sum();
            if count >= MAX_OWN_KEYS {
                return None;
            }
            let new =
                OwnShare { online: 0, refusals: RefusalWindow::default(), weight, reported: 0 };
            self.own.entry(service.to_owned()).or_default().insert(key.to_owned(), new);
        }
        let own = self.own.get_mut(service)?.get_mut(key)?;
        own.weight = weight;
        Some(own)
    }
}

/// The entries of a report that are taken into account.
fn bounded(shares: Vec<ShareUse>) -> Vec<ShareUse> {
    let mut taken: Vec<ShareUse> = Vec::new();
    for share in shares.into_iter().take(MAX_REPORTED) {
        let of_service = taken.iter().filter(|other| other.service == share.service);
        let is_listed = of_service.clone().any(|other| other.key == share.key);
        let is_full = of_service.count() >= MAX_REPORTED_PER_SERVICE;
        if !is_listed && !is_full && share.key.len() <= MAX_KEY_BYTES {
            taken.push(share);
        }
    }
    taken
}
