//! Starts items at targets with free slots, preempts them for online requests, and stores results.

use std::{cmp::Reverse, fmt::Display, sync::Arc, time::Duration};

use async_std::{future::timeout, task};
use notch_platform_wire::target::item_prompt;
use notch_relay::prelude::*;
use notch_types::prelude::*;

use crate::{
    batch::{
        commits,
        commits::ListPlace,
        item_run::{item_suspect, item_suspects, run_item},
        item_slots::{ItemSlotPass, PassOutcome, StartedItem, item_use},
        job_registry::{ItemRunHandle, JobRegistry},
    },
    constants::{MIN_PASS_INTERVAL, PREEMPT_AGE, RESULT_DELAY, RUNNER_TICK, STARTS_PER_PASS},
    node::EntryNode,
};

/// Shortest and longest time for which an item that is refused waits until it is looked at again.
const MIN_DEFERRAL: Duration = Duration::from_millis(150);
const MAX_DEFERRAL: Duration = Duration::from_secs(1);
/// Maximum number of items, the most urgent ones, that are checked in a pass: many more than it starts.
const MAX_CHECKED_ITEMS: usize = 256;

/// Runs jobs until the process ends.
pub async fn run_jobs(node: Arc<EntryNode>) {
    loop {
        let listener = node.runner_wake.listen();
        let is_idle = node.jobs().table.is_idle();
        if is_idle && !needs_item_pass(&node) {
            listener.await;
        } else {
            // Waiting items and results also depend on time; a wake-up only makes the next pass
            // earlier.
            let _ = timeout(RUNNER_TICK, listener).await;
        }
        if node.features.item_slots {
            // Combines the slots that are freed within a short time; a pass looks at all waiting items.
            task::sleep(MIN_PASS_INTERVAL).await;
        }
        let now = node.clock.mono();
        give_up_items(&node, now);
        defer_refused_items(&node, now);
        if node.features.item_slots {
            run_item_pass(&node, now);
        } else {
            start_items(&node, now);
        }
        preempt_items(&node, now);
        store_results(&node, now);
    }
}

/// Gives up items whose lifetime is over or whose route was removed.
fn give_up_items(node: &EntryNode, now: MonoTime) {
    // Read first: the routes are then at least as new as what it proves.
    let proof = node.accounts.age().proof();
    let Some(routes) = node.routes() else { return };
    let mut is_unconfirmed = false;
    let mut registry = node.jobs();
    let JobRegistry { table, missing_routes, .. } = &mut *registry;
    for id in table.ids() {
        let Some(job) = table.get_mut(&id) else { continue };
        let spec = Arc::clone(job.spec());
        let is_present = routes.find(&spec.host, &spec.path).is_some();
        let state = missing_routes.judge(&id, is_present, proof, node.clock.boot());
        is_unconfirmed |= state == RouteState::Unconfirmed;
        let given_up = job.give_up_items(state == RouteState::Removed, now);
        if given_up > 0 {
            log_given_up(node, &id, state, (given_up, routes.version()));
            let suspects = node.suspects();
            for item in &spec.items {
                suspects.forget_item(item_suspect(&id, item));
            }
        }
    }
    missing_routes.retain(|job| table.get(job).is_some());
    if is_unconfirmed {
        node.confirmation_wanted.notify(usize::MAX);
    }
}

fn log_given_up(node: &EntryNode, job: &str, state: RouteState, (items, version): (usize, u64)) {
    let cause = match state {
        RouteState::Removed => "route_removed",
        RouteState::Present | RouteState::Unconfirmed => "expired",
    };
    let age = node.accounts.age().age(node.clock.boot());
    node.log.info(
        "items_given_up",
        &[
            ("job", &job),
            ("items", &items),
            ("cause", &cause),
            ("configuration", &version),
            ("age_ms", &age.map_or(-1, |age| age.as_millis() as i64)),
        ],
    );
    node.metrics.count(Counter::Event("jobs_with_items_given_up"));
}

/// Delays waiting items that crash targets themselves, and those with a prompt part that does, but for one at a time.
fn defer_refused_items(node: &EntryNode, now: MonoTime) {
    let suspects = node.suspects();
    if !suspects.table().has_refusals() {
        return;
    }
    let has_refused_parts = suspects.table().has_refused_parts();
    let mut registry = node.jobs();
    let waiting: Vec<(String, usize, Duration)> = {
        let items = registry.table.waiting_items(now).into_iter().take(MAX_CHECKED_ITEMS);
        let refused = items.filter_map(|WaitingItem { spec, index, .. }| {
            let item = &spec.items[index];
            let mut wait = suspects.item_hold(item_suspect(&spec.id, item));
            if wait.is_zero() && has_refused_parts {
                let prompt = item_prompt(item);
                wait = suspects.table().item_wait(item_suspects(&spec.id, item, &prompt), now);
            }
            (!wait.is_zero()).then(|| (spec.id.clone(), index, wait))
        });
        refused.collect()
    };
    for (job, index, left) in waiting {
        if let Some(owned) = registry.table.get_mut(&job) {
            owned.defer_item(index, now + left.clamp(MIN_DEFERRAL, MAX_DEFERRAL));
        }
    }
}

fn start_items(node: &Arc<EntryNode>, now: MonoTime) {
    if node.stop.is_handing_over() {
        return;
    }
    let Some(routes) = node.routes() else { return };
    let mut starts = 0;
    while starts < STARTS_PER_PASS {
        let mut registry = node.jobs();
        let Some((job, index)) = registry.table.next_item(now) else { return };
        let Some(owned) = registry.table.get(&job) else { return };
        let left_ms = (owned.due().0 as i64 - now.0 as i64) / 1_000;
        let spec = Arc::clone(owned.spec());
        let path = &spec.items[index].path;
        let Some(route) = routes.find(&spec.host, path) else {
            // It waits for its route while others go on.
            if let Some(owned) = registry.table.get_mut(&job) {
                owned.defer_item(index, now + MIN_DEFERRAL);
            }
            continue;
        };
        let service = route.service_for(rand::random());
        let prompt = item_prompt(&spec.items[index]);
        let query = TargetQuery {
            service,
            work: WorkKind::Batch,
            avoid: &[],
            queue: QueueLimit::Any,
            version: owned.item_version(index),
            prompt: &prompt,
        };
        let anew = TargetQuery { version: None, ..query };
        let choice = {
            let mut targets = node.targets();
            let continued = targets.choose(&query, now, EntryNode::draw);
            // Where its version has no free slot, the item starts anew, as it would hold up those behind it.
            continued.or_else(|| targets.choose(&anew, now, EntryNode::draw))
        };
        let Some(choice) = choice else { return };
        let version = &choice.software_version;
        let Some(start) = registry.table.start_item(&job, index, version) else { return };
        let (cancel, cancelled) = async_channel::bounded(1);
        let target = choice.id.clone();
        let run = registry.add_run(ItemRunHandle {
            job,
            index,
            target,
            since: now,
            cancel,
            is_probe: false,
        });
        drop(registry);
        log_start(node, &start, &choice, left_ms);
        task::spawn(run_item(Arc::clone(node), run, start, choice, cancelled));
        starts += 1;
    }
}

/// Logs the event from which a restarted run continues and the time left to the deadline, so that
/// both are known even if the job's former gateway is gone.
pub(super) fn log_start(node: &EntryNode, start: &ItemStart, choice: &TargetChoice, left_ms: i64) {
    let after = start.last_event.map_or(-1, |id| id as i64);
    let slot = match &choice.home {
        _ if choice.is_granted => "offered",
        Some(_) => "unoffered",
        None => "own",
    };
    let mut fields: Vec<(&str, &dyn Display)> = vec![
        ("job", &start.job),
        ("item", &start.item.id),
        ("target", &choice.id),
        ("software", &choice.software_version),
        ("after", &after),
        ("due_ms", &left_ms),
    ];
    if node.features.item_slots {
        fields.push(("slot", &slot));
    }
    node.log.info("item_run_started", &fields);
}

/// Preempts items at targets with more requests than slots. Engines serve requests first come, first
/// served, so online requests may wait behind them.
fn preempt_items(node: &EntryNode, now: MonoTime) {
    let registry = node.jobs();
    let targets = node.targets();
    let mut runs: FastMap<&str, Vec<&ItemRunHandle>> = FastMap::default();
    for run in registry.runs.values().filter(|run| run.is_preemptible()) {
        runs.entry(&run.target).or_default().push(run);
    }
    for (target, mut list) in runs {
        let count = targets.items_to_preempt(target, EntryNode::draw) as usize;
        list.retain(|run| now.since(run.since) >= PREEMPT_AGE);
        if count == 0 {
            continue;
        }
        list.sort_by_cached_key(|run| Reverse(preemption_order(node, &registry, run, now)));
        for run in list.into_iter().take(count) {
            run.cancel.close();
        }
    }
}

/// Order of preemption, the highest first: by slack where slots are offered to the most urgent items,
/// else the run that began last.
fn preemption_order(
    node: &EntryNode,
    registry: &JobRegistry,
    run: &ItemRunHandle,
    now: MonoTime,
) -> (Option<PreemptionRank>, MonoTime) {
    let rank = || registry.table.preemption_rank(&run.job, run.index, run.since, now);
    (node.features.item_slots.then(rank).flatten(), run.since)
}

/// Preempts an item at `target`, for an online request sent there that finds no free slot. Waiting
/// for the next pass would add up to [`RUNNER_TICK`] to its first event.
pub fn preempt_item(node: &EntryNode, target: &str) {
    let now = node.clock.mono();
    let registry = node.jobs();
    let runs = registry.runs.values().filter(|run| run.target == target && run.is_preemptible());
    if let Some(run) = runs.max_by_key(|run| preemption_order(node, &registry, run, now)) {
        run.cancel.close();
    }
}

fn store_results(node: &Arc<EntryNode>, now: MonoTime) {
    let bytes = node.store.object_bytes();
    let mut registry = node.jobs();
    for id in registry.table.ids() {
        if registry.is_busy(&id) {
            continue;
        }
        let Some(job) = registry.table.get_mut(&id) else { continue };
        if let Some(write) = job.take_pending(RESULT_DELAY, bytes, now) {
            let place = ListPlace { position: job.results().len(), fences: job.fences() };
            task::spawn(commits::store(Arc::clone(node), id, place, write));
        }
    }
}

/// Records the online load of the services that items wait for from time to time, and frees slots
/// whose offers were not answered. Called at regular intervals, as passes are rare while nothing
/// waits.
pub fn maintain_item_slots(node: &EntryNode, now: MonoTime) {
    if !node.features.item_slots {
        return;
    }
    let mut targets = node.targets();
    let mut slots = node.item_slots();
    for peer in targets.expire_offers(now) {
        slots.note_unanswered(&peer);
        note_unanswered(node, &peer);
    }
    for service in slots.forecast_services() {
        slots.note_online(&service, targets.online_load(&service), now);
    }
    slots.expire(now);
}

/// Whether a pass is needed although this gateway has no jobs. Items that waited here until then are
/// no longer reported.
fn needs_item_pass(node: &EntryNode) -> bool {
    if !node.features.item_slots {
        return false;
    }
    let mut slots = node.item_slots();
    slots.needs_pass() || {
        slots.set_own(&FastMap::default(), node.clock.mono());
        false
    }
}

/// Runs one pass, then starts its items and sends its messages.
fn run_item_pass(node: &Arc<EntryNode>, now: MonoTime) {
    let Some(routes) = node.routes() else { return };
    let _order = node.report_order();
    let is_handing_over = node.stop.is_handing_over();
    let mut registry = node.jobs();
    let mut targets = node.targets();
    let mut slots = node.item_slots();
    let outcome = ItemSlotPass {
        registry: &mut registry,
        targets: &mut targets,
        slots: &mut slots,
        routes: &routes,
        recipients: &|| node.peers.successor_vms(),
        linked: &|| node.peers.linked_vms(),
        is_stopping: is_handing_over || node.stop.is_stopping(),
        is_handing_over,
        draw: EntryNode::draw,
        now,
    }
    .run();
    drop((registry, targets, slots));
    carry_out(node, outcome);
}

fn carry_out(node: &Arc<EntryNode>, outcome: PassOutcome) {
    let PassOutcome { starts, messages, offered, kept, declined, unoffered, unanswered } = outcome;
    let counts = [
        ("item_slots_offered", offered),
        ("item_slots_kept_for_peak", kept),
        ("item_slot_offers_declined", declined),
        ("items_started_unoffered", unoffered),
    ];
    for (name, count) in counts {
        (0..count).for_each(|_| node.metrics.count(Counter::Event(name)));
    }
    unanswered.iter().for_each(|peer| note_unanswered(node, peer));
    for (home, message) in messages {
        node.peers.send(&home, message);
    }
    for StartedItem { run, start, choice, cancelled, left_ms } in starts {
        log_start(node, &start, &choice, left_ms);
        task::spawn(run_item(Arc::clone(node), run, start, choice, cancelled));
    }
}

fn note_unanswered(node: &EntryNode, peer: &VmName) {
    node.log.warn("item_slot_offer_unanswered", &[("gateway", peer)]);
    node.metrics.count(Counter::Event("item_slot_offers_unanswered"));
}

/// Handles slots offered by another gateway.
pub fn receive_slot_offer(node: &EntryNode, home: &VmName, targets: Vec<String>) {
    let excess = if node.features.item_slots {
        node.item_slots().note_offers(home, targets)
    } else {
        let declined = targets.into_iter();
        declined.map(|target| ReceivedOffer { home: home.clone(), target }).collect()
    };
    for ReceivedOffer { home, target } in excess {
        node.peers.send(&home, item_use(&target, UseChange::Begin));
        node.peers.send(&home, item_use(&target, UseChange::End));
        node.metrics.count(Counter::Event("item_slot_offers_declined"));
    }
    node.runner_wake.notify(usize::MAX);
}

/// Handles the revocation of a slot at `target` by its home: an offer that no item has used yet is
/// dropped, else an item is preempted.
pub fn revoke_item_slot(node: &EntryNode, home: &VmName, target: &str) {
    if !node.item_slots().drop_received(home, target) {
        preempt_item(node, target);
    }
}
