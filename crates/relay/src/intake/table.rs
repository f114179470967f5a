//! What is known of work and places when a job comes.

use std::time::Duration;

use notch_types::prelude::*;

use crate::{
    intake::{demand::WorkDemand, place_mean::PlaceMean},
    jobs::pace::ItemPace,
};

/// What another gateway tells counts for this long; it is told anew at least twice as often.
const DEMAND_LIFETIME: Duration = Duration::from_millis(2_500);

/// What another gateway told last.
#[derive(Debug)]
struct PeerDemand {
    at: MonoTime,
    /// By service.
    demands: FastMap<String, WorkDemand>,
    pace: ItemPace,
}

/// Work at the other gateways, and places that items find.
#[derive(Debug, Default)]
pub struct IntakeTable {
    peers: FastMap<VmName, PeerDemand>,
    /// By service.
    places: FastMap<String, PlaceMean>,
}

impl IntakeTable {
    /// Another gateway tells what waits there, whole, and how long items take.
    pub fn take_demand(
        &mut self,
        peer: &VmName,
        demands: FastMap<String, WorkDemand>,
        pace: ItemPace,
        now: MonoTime,
    ) {
        self.peers.insert(peer.clone(), PeerDemand { at: now, demands, pace });
    }

    /// So many places of a service are left to items now.
    pub fn note_places(&mut self, service: &str, places: u32, now: MonoTime) {
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

    /// What waits for a service at the other gateways.
    pub fn demand(&self, service: &str) -> WorkDemand {
        let mut all = WorkDemand::default();
        for demand in self.peers.values().filter_map(|peer| peer.demands.get(service)) {
            all.extend(demand);
        }
        all
    }

    /// Places of a service that items find, in the mean; 0 when nothing is known.
    pub fn places(&self, service: &str) -> f64 {
        self.places.get(service).map_or(0.0, PlaceMean::value)
    }

    /// How long items take at a gateway that knows it; for one where none has ended yet.
    pub fn pace(&self) -> ItemPace {
        let known = self.peers.values().filter(|peer| peer.pace.is_known());
        known.max_by_key(|peer| peer.at).map(|peer| peer.pace).unwrap_or_default()
    }

    /// Age of the oldest word that counts.
    pub fn oldest(&self, now: MonoTime) -> Duration {
        self.peers.values().map(|peer| now.since(peer.at)).max().unwrap_or_default()
    }
}
