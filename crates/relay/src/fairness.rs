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
/// Multiple of the fair share up to which requests are admitted whose clients can't retry.
const SINGLE_CHANCE_FACTOR: f64 = 1.25;

/// Use of one share key at this gateway.
#[derive(Debug)]
struct OwnShare {
    /// Requests in progress or queued.
    online: u32,
    refusals: RefusalWindow,
    weight: f64,
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
        self.forget(peer);
        let shares = bounded(shares);
        if shares.is_empty() {
            return;
        }
        for share in &shares {
            let keys = match self.reported.get_mut(&share.service) {
                Some(keys) => keys,
                None => self.reported.entry(share.service.clone()).or_default(),
            };
            let new = ReportedShare { online: 0, refused: 0, weight: share.weight, reports: 0 };
            let sum = keys.entry(share.key.clone()).or_insert(new);
            sum.online += u64::from(share.online);
            sum.refused += u64::from(share.refused);
            sum.weight = share.weight;
            sum.reports += 1;
        }
        self.peers.insert(peer.clone(), PeerShares { at: now, shares });
    }

    /// Drops the report of a gateway whose link has ended.
    pub fn forget(&mut self, peer: &VmName) {
        let Some(PeerShares { shares, .. }) = self.peers.remove(peer) else { return };
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
    /// It refuses nothing while at least a twentieth of the slots is free, and never a request whose
    /// key uses less than its share.
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
        let used = self.used(service, key);
        let share = weight * self.level(service, (key, weight), slots, now).per_weight;
        let bound = if can_retry { share } else { share * SINGLE_CHANCE_FACTOR };
        if (used as f64) < bound {
            return FairVerdict::Admit;
        }
        if let Some(own) = self.own_share(service, key, weight) {
            own.refusals.note(now);
        }
        FairVerdict::Refuse { used, share }
    }

    /// The keys with the most use at this gateway, as they are to be reported.
    pub fn own_shares(&self, now: MonoTime) -> Vec<ShareUse> {
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

    /// The water-filling level of a service at which one more request of the key `newcomer`, given
    /// with its weight, arrives.
    pub fn level(
        &self,
        service: &str,
        (newcomer, weight): (&str, f64),
        slots: FairSlots,
        now: MonoTime,
    ) -> ShareLevel {
        let mut demands: FastMap<&str, ShareDemand> = FastMap::default();
        demands.insert(newcomer, ShareDemand { slots: 1.0, weight });
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
            let new = OwnShare { online: 0, refusals: RefusalWindow::default(), weight };
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
