//! Sharing of slots among accounts: counts online requests, refuses those over their share, and exchanges use with the
//! other gateways.

use std::sync::{Mutex, MutexGuard, PoisonError};

use notch_messages::prelude::ShareUseReport;
use notch_relay::prelude::*;
use notch_telemetry::prelude::*;
use notch_types::prelude::*;

use crate::{clock::NodeClock, online::request::OnlineRequest};

/// Weight of a key that is not an account: a route, or an account that this gateway does not know.
const ROUTE_WEIGHT: f64 = 1.0;

/// The account of a request uses more than its fair share of the slots.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OverFairShare;

/// What the sharing of slots needs.
#[derive(Debug, Clone, Copy)]
pub struct FairShareEdge<'a> {
    /// Use by share key.
    pub shares: &'a Mutex<FairShareTable>,
    /// Targets with their slots.
    pub targets: &'a Mutex<TargetTable>,
    /// Clocks of the process.
    pub clock: NodeClock,
    /// Event log.
    pub log: &'a NodeLog,
    /// Exported metrics.
    pub metrics: &'a Metrics,
}

impl<'a> FairShareEdge<'a> {
    /// Counts a request until the returned lease is dropped. An error means that its key uses more than its share, so
    /// that the request is to be refused. `can_retry` tells whether its client can retry.
    pub fn admit(
        &self,
        request: &OnlineRequest,
        service: &str,
        routes: Option<&RouteTable>,
        can_retry: bool,
    ) -> Result<ShareLease<'a>, OverFairShare> {
        let key = share_key(request.account.account.as_deref(), &request.route.name);
        let weight = weight_of(&key, routes);
        let now = self.clock.mono();
        let slots = self.targets().fair_slots(service, now);
        let mut shares = self.shares();
        match shares.admit(service, &key, weight, slots, can_retry, now) {
            FairVerdict::Admit => {
                let is_counted = shares.begin(service, &key, weight);
                let (service, key) = (service.to_owned(), key.into_owned());
                Ok(ShareLease { shares: self.shares, service, key, is_counted })
            }
            FairVerdict::Refuse { used, share } => {
                drop(shares);
                self.metrics.count(Counter::Event("requests_over_fair_share"));
                self.log.info(
                    "request_over_fair_share",
                    &[
                        ("id", &request.attempt().unwrap_or("-")),
                        ("service", &service),
                        ("key", &key),
                        ("used", &used),
                        ("share", &(share as u64)),
                        ("slots", &slots.all),
                        ("free", &slots.free),
                    ],
                );
                Err(OverFairShare)
            }
        }
    }

    /// The use to report to all gateways now.
    pub fn own_report(&self) -> Vec<ShareUseReport> {
        encode(self.shares().own_shares(self.clock.mono()))
    }

    /// The use to report to a single gateway, to which a link has come up.
    pub fn first_report(&self) -> Vec<ShareUseReport> {
        encode(self.shares().current_shares(self.clock.mono()))
    }

    /// Applies another gateway's report.
    pub fn apply_report(
        &self,
        peer: &VmName,
        reports: Vec<ShareUseReport>,
        routes: Option<&RouteTable>,
    ) {
        let decode = |report: ShareUseReport| {
            let ShareUseReport { service, key, online, refused } = report;
            let weight = weight_of(&key, routes);
            ShareUse { service, key, online, refused, weight }
        };
        let uses = reports.into_iter().map(decode).collect();
        self.shares().note_report(peer, uses, self.clock.mono());
    }

    /// Drops what a gateway reported whose link has ended.
    pub fn forget(&self, peer: &VmName) {
        self.shares().forget(peer);
    }

    /// Drops reports that are too old, and keys without use.
    pub fn expire(&self) {
        self.shares().expire(self.clock.mono());
    }

    fn shares(&self) -> MutexGuard<'a, FairShareTable> {
        self.shares.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn targets(&self) -> MutexGuard<'a, TargetTable> {
        self.targets.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn encode(shares: Vec<ShareUse>) -> Vec<ShareUseReport> {
    let report = |ShareUse { service, key, online, refused, .. }| ShareUseReport {
        service,
        key,
        online,
        refused,
    };
    shares.into_iter().map(report).collect()
}

/// Weight of a share key by the priority of its account.
fn weight_of(key: &str, routes: Option<&RouteTable>) -> f64 {
    let accounts = routes.and_then(RouteTable::accounts);
    let account = accounts.and_then(|accounts| accounts.with_share_key(key));
    account.map_or(ROUTE_WEIGHT, |account| share_weight(account.priority))
}

/// Counts a request as use of its share key. The count ends when this is dropped, however the request ends, even if its
/// task is dropped because the client closed its connection.
#[derive(Debug)]
pub struct ShareLease<'a> {
    shares: &'a Mutex<FairShareTable>,
    service: String,
    key: String,
    /// False if the request is not counted, as too many keys are in use.
    is_counted: bool,
}

impl Drop for ShareLease<'_> {
    fn drop(&mut self) {
        if self.is_counted {
            let mut shares = self.shares.lock().unwrap_or_else(PoisonError::into_inner);
            shares.end(&self.service, &self.key);
        }
    }
}
