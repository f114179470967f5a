//! Counters that a simulation run reports.

use serde::Serialize;

/// Online requests at the targets of a fault and at the others.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct FaultTraffic {
    /// Targets of the fault.
    pub targets: u64,
    /// All other targets.
    pub other_targets: u64,
    /// Requests at a target of the fault from 1 s after its second failure until the fault ends, without probes.
    pub failing: u64,
    /// Probes there in that time.
    pub probes: u64,
    /// Requests at the other targets in that time, summed over the targets of the fault.
    pub failing_others: u64,
    /// Requests at the targets of the fault from 2 s after its end.
    pub recovered: u64,
    /// Requests at the other targets in that time.
    pub recovered_others: u64,
}

impl FaultTraffic {
    /// Requests at an average failing target, as a share of those at an average other one.
    pub fn failing_share(&self) -> f64 {
        self.failing as f64 * self.other_targets as f64 / self.failing_others.max(1) as f64
    }

    /// Requests at an average recovered target, as a share of those at an average other one.
    pub fn recovered_share(&self) -> f64 {
        let ratio = self.recovered as f64 / self.recovered_others.max(1) as f64;
        ratio * self.other_targets as f64 / self.targets.max(1) as f64
    }
}

/// Online requests by account, where the pattern has accounts.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct AccountTraffic {
    /// Requests of the light accounts, without retries.
    pub light: u64,
    /// Those of them that were answered in time and had not been refused before.
    pub light_in_time: u64,
    /// Requests and retries refused because their account used more than its share.
    pub over_share: u64,
    /// Slots that the heavy account used, summed over samples during the flood.
    pub heavy_slots: u64,
    /// Slots that the light accounts used in these samples.
    pub light_slots: u64,
    /// All slots in these samples.
    pub all_slots: u64,
}

impl AccountTraffic {
    /// Share of the light accounts' requests that were refused or late.
    pub fn light_missed_share(&self) -> f64 {
        1.0 - self.light_in_time as f64 / self.light.max(1) as f64
    }

    /// Slots that the heavy account used, as a share of those that the light ones left.
    pub fn heavy_share_of_rest(&self) -> f64 {
        self.heavy_slots as f64 / (self.all_slots - self.light_slots).max(1) as f64
    }
}

/// Counters of one simulation run.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct SimOutcome {
    /// Online requests that arrived.
    pub online: u64,
    /// Online requests whose first event arrived within the latency objective.
    pub in_time: u64,
    /// Other late requests: every slot was taken, or queued for, when the target was selected.
    pub late_all_taken: u64,
    /// Late requests that were sent to a full target while another target had a free slot.
    pub late_place_free: u64,
    /// Late requests that had first failed at another target.
    pub late_target_failed: u64,
    /// Online requests rejected because no target could serve them in time, or given up after the last attempt.
    pub refused: u64,
    /// Online requests that a target failed and that must not run twice.
    pub lost: u64,
    /// Most targets that a gateway left out at a time.
    pub max_excluded: u64,
    /// Traffic during and after a fault of some targets.
    pub fault: FaultTraffic,
    /// Requests of light accounts and of the heavy one.
    pub accounts: AccountTraffic,
    /// Slot requests sent to home gateways.
    pub asks: u64,
    /// Job items that arrived.
    pub items: u64,
    /// Items completed before their deadline.
    pub items_in_time: u64,
    /// Item runs preempted in favour of online requests.
    pub cut_runs: u64,
    /// Slots at samples at which an item had waited for longer than offers of slots take.
    pub sampled_slots: u64,
    /// Those of them that were free.
    pub sampled_free: u64,
    /// Offers of slots that were declined.
    pub declined_offers: u64,
}

impl SimOutcome {
    /// Share of online requests that met the latency objective.
    pub fn online_share(&self) -> f64 {
        self.in_time as f64 / self.online.max(1) as f64
    }

    /// Share of items completed before their deadline.
    pub fn item_share(&self) -> f64 {
        self.items_in_time as f64 / self.items.max(1) as f64
    }

    /// Items not completed before their deadline.
    pub fn late_items(&self) -> f64 {
        (self.items - self.items_in_time) as f64
    }

    /// Share of slots that were free while an item waited.
    pub fn free_while_waiting_share(&self) -> f64 {
        self.sampled_free as f64 / self.sampled_slots.max(1) as f64
    }

    /// Share of online requests that were late although another target had a free slot.
    pub fn free_slot_missed_share(&self) -> f64 {
        self.late_place_free as f64 / self.online.max(1) as f64
    }

    /// Slot requests to home gateways per online request.
    pub fn slot_requests_per_request(&self) -> f64 {
        self.asks as f64 / self.online.max(1) as f64
    }
}
