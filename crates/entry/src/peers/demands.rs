//! Tells the other gateways what work waits here, and keeps count of the places that it finds.

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

/// Parts in which a service's demand is told, at most.
const TOLD_PARTS: usize = 16;
/// Divisor of what was told last, for a change that is told without a new job.
const CHANGE_DIVISOR: u32 = 16;

/// What was told last.
#[derive(Debug, Default)]
struct LastTold {
    total: Duration,
    at: MonoTime,
}

impl LastTold {
    /// Whether the others should be told of `total`. Nothing is told while nothing waits.
    fn is_due(&self, total: Duration, has_new_job: bool, now: MonoTime) -> bool {
        let is_more = has_new_job && total > self.total;
        let is_changed = total.abs_diff(self.total) > self.total / CHANGE_DIVISOR;
        let is_old = now.since(self.at) >= DEMAND_IDLE;
        is_more || is_changed || (is_old && !total.is_zero())
    }
}

/// Tells the others when something changed, and now and then while work waits.
pub async fn tell_demands(node: Arc<EntryNode>) {
    let mut last = LastTold::default();
    let mut has_new_job = false;
    loop {
        // Listened for from before the look, so that no job is taken in unheard.
        let listener = node.jobs_taken.listen();
        let now = node.clock.mono();
        note_places(&node, now);
        let demands = deadline_admission::local_demands(&node, now);
        let total = demands.values().map(WorkDemand::total).sum();
        if last.is_due(total, has_new_job, now) {
            node.peers.broadcast(&message(&node, &demands, now));
            last = LastTold { total, at: now };
        }
        // Jobs that come together are told together.
        task::sleep(DEMAND_PAUSE).await;
        has_new_job = timeout(DEMAND_EVERY, listener).await.is_ok();
    }
}

/// What work waits here now, for a gateway that has just come: one that knows of none would take any job in.
pub fn demand(node: &EntryNode) -> PeerMessage {
    let now = node.clock.mono();
    message(node, &deadline_admission::local_demands(node, now), now)
}

fn message(node: &EntryNode, demands: &FastMap<String, WorkDemand>, now: MonoTime) -> PeerMessage {
    let report = |(service, demand): (&String, &WorkDemand)| ServiceDemandReport {
        service: service.clone(),
        works: demand.merged(TOLD_PARTS).into_iter().map(|work| told_work(work, now)).collect(),
    };
    let demands = demands.iter().map(report).collect();
    let pace = node.jobs().table.own_run_time().figures();
    PeerMessage::Demand { demands, pace }
}

fn told_work(work: DueWork, now: MonoTime) -> DueWorkReport {
    let due_in_ms = work.due.since(now).as_millis() as u64;
    DueWorkReport { due_in_ms, work_ms: work.work.as_millis() as u64 }
}

/// Takes what another gateway tells. Due times are told as the time left: clocks of two VMs differ.
pub fn take_demand(
    node: &EntryNode,
    peer: &VmName,
    demands: Vec<ServiceDemandReport>,
    pace: ItemRunTimeStats,
) {
    let now = node.clock.mono();
    let work = |told: DueWorkReport| DueWork {
        due: now + Duration::from_millis(told.due_in_ms),
        work: Duration::from_millis(told.work_ms),
    };
    let demands = demands.into_iter().map(|report| {
        let works = report.works.into_iter().map(work).collect();
        (report.service, WorkDemand::new(works))
    });
    node.intake().take_demand(peer, demands.collect(), pace, now);
}

fn note_places(node: &EntryNode, now: MonoTime) {
    let places = node.targets().item_slots(now);
    let mut registry = node.jobs();
    let mut intake = node.intake();
    for (service, places) in &places {
        intake.record_slots(service, *places, now);
    }
    intake.expire(|service| places.contains_key(service), now);
    let pace = intake.run_time(registry.table.own_run_time().figures());
    registry.table.set_shared_run_time(pace);
}
