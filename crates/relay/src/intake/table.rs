//! What is known of work and places when a job comes.

use std::time::Duration;

use notch_types::prelude::*;

use crate::{
    intake::{demand::WorkDemand, place_mean::PlaceMean},
    jobs::pace::{ItemRunTime, ItemRunTimeStats},
};

/// What another gateway tells counts for this long; it is told anew at least twice as often.
const DEMAND_LIFETIME: Duration = Duration::from_millis(2_500);

/// Between two logged refusals: the figures in them change little faster.
const LOG_EVERY: Duration = Duration::from_millis(100);

/// What another gateway told last.
#[derive(Debug)]
struct PeerDemand {
    at: MonoTime,
    /// By service.
    demands: FastMap<String, WorkDemand>,
    pace: ItemRunTimeStats,
}

/// Work at the other gateways, and places that items find.
#[derive(Debug, Default)]
pub struct JobAdmissionTable {
    peers: FastMap<VmName, PeerDemand>,
    /// By service.
    places: FastMap<String, PlaceMean>,
    /// When a refusal was logged last.
    logged_at: Option<MonoTime>,
}

impl JobAdmissionTable {
    /// Another gateway tells what waits there, whole, and how long items take.
    pub fn take_demand(
        &mut self,
        peer: &VmName,
        demands: FastMap<String, WorkDemand>,
        pace: ItemRunTimeStats,
        now: MonoTime,
    ) {
        self.peers.insert(peer.clone(), PeerDemand { at: now, demands, pace });
    }

    /// So many places of a service are left to items now.
    pub fn record_slots(&mut self, service: &str, places: u32, now: MonoTime) {
        match self.places.get_mut(service) {
            Some(mean) => mean.note(places, now),
            None => {
                self.places.insert(service.to_owned(), PlaceMean::new(places, now));
            }
        }
    }

    /// Forgets gateways that weren't heard of for long, and services without targets.
    pub fn expire(&mut self, is_served: impl Fn(&str) -> bool, now: MonoTime) {
        self.peers.retain(|_, peer| now.since(peer.at) <= DEMAND_LIFETIME);
        self.places.retain(|service, _| is_served(service));
    }

    /// What waits for a service at each other gateway.
    pub fn demands<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a WorkDemand> {
        self.peers.values().filter_map(move |peer| peer.demands.get(service))
    }

    /// Places of a service that items find, in the mean; 0 when nothing is known.
    pub fn mean_free_slots(&self, service: &str) -> f64 {
        self.places.get(service).map_or(0.0, PlaceMean::value)
    }

    /// How long items take at all gateways, this one among them.
    pub fn run_time(&self, own: ItemRunTimeStats) -> ItemRunTime {
        let told = self.peers.values().map(|peer| peer.pace);
        ItemRunTime::mean_of(told.chain([own]))
    }

    /// Whether a refusal may be logged now; counts it as logged.
    pub fn may_log(&mut self, now: MonoTime) -> bool {
        let is_due = self.logged_at.is_none_or(|at| now.since(at) >= LOG_EVERY);
        if is_due {
            self.logged_at = Some(now);
        }
        is_due
    }

    /// Age of the oldest word that counts.
    pub fn oldest_report_age(&self, now: MonoTime) -> Duration {
        self.peers.values().map(|peer| now.since(peer.at)).max().unwrap_or_default()
    }
}
