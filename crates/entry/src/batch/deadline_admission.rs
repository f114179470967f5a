//! Refuses jobs on arrival that cannot be done before their deadline.

use std::{sync::Arc, time::Duration};

use notch_relay::prelude::*;
use notch_types::prelude::*;

use crate::{batch::job_registry::JobRegistry, constants::DEMAND_SYNC_TIME, node::EntryNode};

/// Refuses any job on a route for which not even one item could be done in time. Returns when to
/// retry. Called before a job is decoded, as in a burst refused jobs come back again and again.
pub fn refusal(node: &EntryNode, route: &Route, due: Duration) -> Option<Duration> {
    let now = node.clock.mono();
    let registry = node.jobs();
    let item = DueWork { due: now + due, work: registry.table.run_time().expected_or_default(0) };
    refusal_of(node, &registry, route, item, now)
}

/// Admits a job if it can be done in time beside those accepted before, and counts its work.
/// Otherwise returns when to retry.
///
/// Without this, in a burst of many times the usual load all jobs are accepted, nearly all end late
/// or never, and readers are not served. The symptom is `item_run_started` with a `due_ms` far
/// below 0.
pub fn admit(node: &EntryNode, route: &Route, spec: &Arc<JobSpec>) -> Result<(), Duration> {
    let now = node.clock.mono();
    let mut registry = node.jobs();
    let job = DueWork { due: now + spec.terms.due, work: registry.table.estimated_work(spec) };
    if let Some(wait) = refusal_of(node, &registry, route, job, now) {
        return Err(wait);
    }
    registry.note_pending_work(&spec.id, &route.name, job);
    drop(registry);
    node.jobs_taken.notify(usize::MAX);
    Ok(())
}

fn refusal_of(
    node: &EntryNode,
    registry: &JobRegistry,
    route: &Route,
    job: DueWork,
    now: MonoTime,
) -> Option<Duration> {
    let works = registry.works(now);
    route.parts().find_map(|(service, part)| {
        let own = local_demand(node, &works, service);
        let mut admission = node.job_admission();
        let demand = WorkDemand::joined(admission.demands(service).chain([&own]));
        let places = admission.mean_free_slots(service) * capacity_share(node, now);
        let job = DueWork { work: job.work.mul_f64(part), ..job };
        let wait = JobAdmissionForecast { demand: &demand, slots: places }.refusal(job, now)?;
        // One line per refusal would be thousands a second.
        if admission.may_log(now) {
            node.log.info(
                "jobs_without_time",
                &[
                    ("route", &route.name),
                    ("service", &service),
                    ("work_ms", &job.work.as_millis()),
                    ("due_ms", &job.due.since(now).as_millis()),
                    ("places", &format_args!("{places:.1}")),
                    ("waiting_here_ms", &own.total().as_millis()),
                    ("waiting_ms", &demand.total().as_millis()),
                    ("oldest_word_ms", &admission.oldest_report_age(now).as_millis()),
                    ("wait_ms", &wait.as_millis()),
                ],
            );
        }
        Some(wait)
    })
}

/// The share of the slots that this gateway may fill: all of them, as it knows the work waiting at
/// the other gateways. One that has just started does not know it yet, and would accept too much.
fn capacity_share(node: &EntryNode, now: MonoTime) -> f64 {
    let is_new =
        now.since(MonoTime::default()) < DEMAND_SYNC_TIME && !node.peers.hears_all_peers(now);
    if is_new { 1.0 / (node.peers.known_count() + 1) as f64 } else { 1.0 }
}

/// Work waiting here for a service: of owned jobs and of jobs being accepted.
fn local_demand(node: &EntryNode, works: &[(&str, DueWork)], service: &str) -> WorkDemand {
    let Some(routes) = node.routes() else { return WorkDemand::default() };
    let part_of = |name: &str| {
        let route = routes.routes().find(|route| route.name == name)?;
        route.parts().find(|(known, _)| *known == service).map(|(_, part)| part)
    };
    // Jobs of one route mostly follow each other, so each route is looked up once.
    let mut parts: FastMap<&str, Option<f64>> = FastMap::default();
    let works = works.iter().filter_map(|(route, work)| {
        let part = (*parts.entry(*route).or_insert_with(|| part_of(route)))?;
        Some(DueWork { work: work.work.mul_f64(part), ..*work })
    });
    WorkDemand::new(works.collect())
}

/// Work waiting here for each service that a batch route names.
pub fn local_demands(node: &EntryNode, now: MonoTime) -> FastMap<String, WorkDemand> {
    let Some(routes) = node.routes() else { return FastMap::default() };
    let registry = node.jobs();
    let works = registry.works(now);
    if works.is_empty() {
        return FastMap::default();
    }
    let batch = routes.routes().filter(|route| route.kind == RouteKind::Batch);
    let services: FastSet<&str> =
        batch.flat_map(|route| route.parts().map(|(service, _)| service)).collect();
    let demands = services
        .into_iter()
        .map(|service| (service.to_owned(), local_demand(node, &works, service)));
    demands.filter(|(_, demand)| !demand.works().is_empty()).collect()
}
