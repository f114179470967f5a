//! Work and slots at all gateways, for the admission of jobs.

use std::time::Duration;

use notch_types::prelude::*;

use crate::{
    job_admission::{demand::WorkDemand, slot_average::SlotAverage},
    jobs::run_time::{ItemRunTime, ItemRunTimeStats},
};

/// How long a report of another gateway is valid; it is sent again at least twice in this time.
const REPORT_LIFETIME: Duration = Duration::from_millis(2_500);

/// Minimum interval between two logged refusals: the logged values change little faster.
const LOG_INTERVAL: Duration = Duration::from_millis(100);

/// Last report of another gateway.
#[derive(Debug)]
struct PeerDemand {
    at: MonoTime,
    /// By service.
    demands: FastMap<String, WorkDemand>,
    run_time: ItemRunTimeStats,
}

/// Work waiting at the other gateways, and slots available to items.
#[derive(Debug, Default)]
pub struct JobAdmissionTable {
    peers: FastMap<VmName, PeerDemand>,
    /// By service.
    slots: FastMap<String, SlotAverage>,
    /// When a refusal was last logged.
    logged_at: Option<MonoTime>,
}

impl JobAdmissionTable {
    /// Replaces the reported demand and item run time of another gateway. The report is complete.
    pub fn take_demand(
        &mut self,
        peer: &VmName,
        demands: FastMap<String, WorkDemand>,
        run_time: ItemRunTimeStats,
        now: MonoTime,
    ) {
        self.peers.insert(peer.clone(), PeerDemand { at: now, demands, run_time });
    }

    /// Records the number of a service's slots that are currently available to items.
    pub fn record_slots(&mut self, service: &str, slots: u32, now: MonoTime) {
        match self.slots.get_mut(service) {
            Some(mean) => mean.note(slots, now),
            None => {
                self.slots.insert(service.to_owned(), SlotAverage::new(slots, now));
            }
        }
    }

    /// Drops the reports of gateways that have not been heard from for too long, and the slots of
    /// services without targets.
    pub fn expire(&mut self, is_served: impl Fn(&str) -> bool, now: MonoTime) {
        self.peers.retain(|_, peer| now.since(peer.at) <= REPORT_LIFETIME);
        self.slots.retain(|service, _| is_served(service));
    }

    /// Demand for a service at each other gateway.
    pub fn demands<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a WorkDemand> {
        self.peers.values().filter_map(move |peer| peer.demands.get(service))
    }

    /// Average number of slots of a service available to items; 0 if unknown.
    pub fn mean_free_slots(&self, service: &str) -> f64 {
        self.slots.get(service).map_or(0.0, SlotAverage::value)
    }

    /// Run time of items as learned at all gateways, including this one.
    pub fn run_time(&self, own: ItemRunTimeStats) -> ItemRunTime {
        let reported = self.peers.values().map(|peer| peer.run_time);
        ItemRunTime::mean_of(reported.chain([own]))
    }

    /// Whether a refusal may be logged now; if so, it counts as logged.
    pub fn may_log(&mut self, now: MonoTime) -> bool {
        let is_due = self.logged_at.is_none_or(|at| now.since(at) >= LOG_INTERVAL);
        if is_due {
            self.logged_at = Some(now);
        }
        is_due
    }

    /// Age of the oldest valid report.
    pub fn oldest_report_age(&self, now: MonoTime) -> Duration {
        self.peers.values().map(|peer| now.since(peer.at)).max().unwrap_or_default()
    }
}
