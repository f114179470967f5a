//! Announces the work that waits here to the other gateways, and tracks the slots available for it.

use std::{sync::Arc, time::Duration};

use async_std::{future::timeout, task};
use notch_messages::prelude::*;
use notch_relay::prelude::*;
use notch_types::prelude::*;

use crate::{
    batch::deadline_admission,
    constants::{DEMAND_EVERY, DEMAND_IDLE, DEMAND_PAUSE},
    node::EntryNode,
};

/// Maximum number of parts that a service's demand is announced in.
const MAX_ANNOUNCED_PARTS: usize = 16;
/// Divisor of the last announced total: a change by more than a sixteenth of it is announced even without a new job.
const CHANGE_DIVISOR: u32 = 16;

/// The last announcement.
#[derive(Debug, Default)]
struct LastAnnouncement {
    total: Duration,
    at: MonoTime,
}

impl LastAnnouncement {
    /// Whether `total` should be announced now. While nothing waits, unchanged demand isn't repeated.
    fn is_due(&self, total: Duration, has_new_job: bool, now: MonoTime) -> bool {
        let is_more = has_new_job && total > self.total;
        let is_changed = total.abs_diff(self.total) > self.total / CHANGE_DIVISOR;
        let is_old = now.since(self.at) >= DEMAND_IDLE;
        is_more || is_changed || (is_old && !total.is_zero())
    }
}

/// Announces demand when it changes, and at intervals while work waits. Runs until the process ends.
pub async fn broadcast_demands(node: Arc<EntryNode>) {
    let mut last = LastAnnouncement::default();
    let mut has_new_job = false;
    loop {
        // Registered before the demand is read, so that no job is missed.
        let listener = node.jobs_taken.listen();
        let now = node.clock.mono();
        update_slots(&node, now);
        let demands = deadline_admission::local_demands(&node, now);
        let total = demands.values().map(WorkDemand::total).sum();
        if last.is_due(total, has_new_job, now) {
            node.peers.broadcast(&demand_message(&node, &demands, now));
            last = LastAnnouncement { total, at: now };
        }
        // Announces jobs that arrive together in one message.
        task::sleep(DEMAND_PAUSE).await;
        has_new_job = timeout(DEMAND_EVERY, listener).await.is_ok();
    }
}

/// The announcement for a gateway whose link has just been established. A gateway that knows of no demand would accept
/// any job.
pub fn demand(node: &EntryNode) -> PeerMessage {
    let now = node.clock.mono();
    demand_message(node, &deadline_admission::local_demands(node, now), now)
}

fn demand_message(
    node: &EntryNode,
    demands: &FastMap<String, WorkDemand>,
    now: MonoTime,
) -> PeerMessage {
    let report = |(service, demand): (&String, &WorkDemand)| ServiceDemandReport {
        service: service.clone(),
        works: demand
            .merged(MAX_ANNOUNCED_PARTS)
            .into_iter()
            .map(|work| work_report(work, now))
            .collect(),
    };
    let demands = demands.iter().map(report).collect();
    let pace = node.jobs().table.own_run_time().figures();
    PeerMessage::Demand { demands, pace }
}

fn work_report(work: DueWork, now: MonoTime) -> DueWorkReport {
    let due_in_ms = work.due.since(now).as_millis() as u64;
    DueWorkReport { due_in_ms, work_ms: work.work.as_millis() as u64 }
}

/// Applies another gateway's announcement. Due times are sent as the time left, as the clocks of two VMs differ.
pub fn apply_demand(
    node: &EntryNode,
    peer: &VmName,
    demands: Vec<ServiceDemandReport>,
    run_time: ItemRunTimeStats,
) {
    let now = node.clock.mono();
    let work = |received: DueWorkReport| DueWork {
        due: now + Duration::from_millis(received.due_in_ms),
        work: Duration::from_millis(received.work_ms),
    };
    let demands = demands.into_iter().map(|report| {
        let works = report.works.into_iter().map(work).collect();
        (report.service, WorkDemand::new(works))
    });
    node.job_admission().take_demand(peer, demands.collect(), run_time, now);
}

fn update_slots(node: &EntryNode, now: MonoTime) {
    let places = node.targets().item_slots(now);
    let mut registry = node.jobs();
    let mut admission = node.job_admission();
    for (service, places) in &places {
        admission.record_slots(service, *places, now);
    }
    admission.expire(|service| places.contains_key(service), now);
    let run_time = admission.run_time(registry.table.own_run_time().figures());
    registry.table.set_shared_run_time(run_time);
}
