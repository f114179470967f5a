//! Startup, maintenance and graceful stop of a gateway.

use std::{net::SocketAddr, path::PathBuf, sync::Arc, time::Duration};

use async_std::{stream::StreamExt, task};
use notch_link::prelude::{LinkListener, LinkSecret, LinkSettings};
use notch_messages::prelude::{NodeRole, PeerMessage};
use notch_platform_wire::store::{CONFIGURATION_KIND, TARGET_KIND};
use notch_relay::prelude::{ConfigurationProof, HeldProgress, OwnedJob};
use notch_settings::EntryConfig;
use notch_telemetry::prelude::*;
use notch_types::prelude::FastSet;
use signal_hook::consts::SIGHUP;
use signal_hook_async_std::Signals;

use crate::{
    accounts::{credit, freshness},
    batch::{ends, failure_records, failures, limits, retention, runner, takeover},
    constants::{EJECTION_TICK, MAX_PEER_MESSAGE_BYTES},
    error::EntryError,
    front::{
        connection::serve_client,
        connection_gate,
        endpoints::{serve_metrics, serve_ready},
        listener::{listen, listen_admitting},
    },
    node::EntryNode,
    online::{crash_counts, refusal_records, version_records},
    peers::{demands, links, pushes, reports, store_forwarding},
    retirements,
    route_cleanup::forget_routes,
    store::{
        feed::{FeedPlan, FeedStart, follow},
        feed_event::FeedEvent,
    },
    target::liveness,
};

/// Interval at which a stop checks whether it is complete.
const STOP_TICK: Duration = Duration::from_millis(100);
/// Interval at which the counts of store calls are logged if there were any: one line per gateway, few
/// compared to one for each request.
const COUNT_LOG_INTERVAL: Duration = Duration::from_secs(10);
/// Interval of the maintenance task, which drops idle connections and expired entries.
const MAINTENANCE_TICK: Duration = Duration::from_millis(500);

/// Runs the gateway until a signal to stop, then stops it gracefully.
///
/// # Errors
/// The gateway can't be started, see [`start`].
pub async fn run(
    config: EntryConfig,
    path: PathBuf,
    mut signals: Signals,
) -> Result<(), EntryError> {
    let node = start(config).await?;
    node.log.info(
        "started",
        &[
            ("owner", &node.owner),
            ("clients", &node.config.listen.clients),
            ("links", &node.config.listen.links),
            ("store", &node.config.store.address),
        ],
    );
    while let Some(signal) = signals.next().await {
        if signal == SIGHUP {
            reload(&node, &path);
            let node = Arc::clone(&node);
            task::spawn(async move { refusal_records::lift_deleted(&node).await });
        } else {
            break;
        }
    }
    stop(&node).await;
    Ok(())
}

/// Announces ejections of targets until the process ends.
async fn announce_ejections(node: Arc<EntryNode>) {
    loop {
        task::sleep(EJECTION_TICK).await;
        if node.ejections().announce() {
            node.runner_wake.notify(usize::MAX);
        }
    }
}

/// Starts a gateway's tasks and listeners; they run until the process ends.
///
/// # Errors
/// A listener's address can't be bound, or the links' secret can't be read.
pub async fn start(config: EntryConfig) -> Result<Arc<EntryNode>, EntryError> {
    let secret = config.links.read_secret().map_err(EntryError::Settings)?;
    let settings = link_settings(&config, &secret);
    let (node, forwarded) = EntryNode::new(config);
    let node = Arc::new(node);
    start_tasks(&node, &settings);
    task::spawn(store_forwarding::forward_calls(Arc::clone(&node), forwarded));
    start_listeners(&node, settings).await?;
    Ok(node)
}

fn link_settings(config: &EntryConfig, secret: &[u8]) -> LinkSettings {
    LinkSettings {
        vm: config.node.vm.clone(),
        role: NodeRole::Gateway,
        secret: LinkSecret::new(secret),
        heartbeat: config.links.heartbeat,
        silence: config.links.silence,
        redial_max: Duration::from_millis(500),
        handshake_timeout: Duration::from_millis(1_000),
        ..LinkSettings::default()
    }
}

fn start_tasks(node: &Arc<EntryNode>, settings: &LinkSettings) {
    task::spawn(follow_configuration(Arc::clone(node)));
    task::spawn(follow_targets(Arc::clone(node)));
    task::spawn(links::follow_gateways(Arc::clone(node), settings.clone()));
    task::spawn(ends::follow_ends(Arc::clone(node)));
    task::spawn(reports::broadcast_uses(Arc::clone(node)));
    task::spawn(pushes::push_changes(Arc::clone(node)));
    task::spawn(demands::broadcast_demands(Arc::clone(node)));
    task::spawn(runner::run_jobs(Arc::clone(node)));
    task::spawn(takeover::watch_owners(Arc::clone(node)));
    task::spawn(liveness::probe_silent(Arc::clone(node)));
    if node.features.performance {
        task::spawn(announce_ejections(Arc::clone(node)));
    }
    task::spawn(limits::maintain_headroom(Arc::clone(node)));
    task::spawn(freshness::keep_fresh(Arc::clone(node)));
    task::spawn(freshness::confirm_on_demand(Arc::clone(node)));
    task::spawn(refusal_records::keep_records(Arc::clone(node)));
    task::spawn(crash_counts::keep_counts(Arc::clone(node)));
    task::spawn(failure_records::keep_records(Arc::clone(node)));
    task::spawn(version_records::keep_records(Arc::clone(node)));
    task::spawn(retention::delete_old_jobs(Arc::clone(node)));
    task::spawn(retirements::answer_retirements(Arc::clone(node)));
    task::spawn(log_counts(Arc::clone(node)));
    task::spawn(connection_gate::measure_lag(Arc::clone(node)));
    task::spawn(maintain(Arc::clone(node)));
}

async fn start_listeners(node: &Arc<EntryNode>, settings: LinkSettings) -> Result<(), EntryError> {
    let listen_at = &node.config.listen;
    let listener = LinkListener::start(listen_at.links, settings, links::link_sink(node)).await;
    // The link listener has to live as long as the process.
    std::mem::forget(listener.map_err(|e| EntryError::Listen("links", e))?);
    let shared = Arc::clone(node);
    listen(listen_at.ready, move |stream| serve_ready(Arc::clone(&shared), stream))
        .await
        .map_err(|e| EntryError::Listen("readiness", e))?;
    start_metrics(node, listen_at.metrics).await;
    let shared = Arc::clone(node);
    let gated = Arc::clone(node);
    let admits = move || connection_gate::admits(&gated);
    listen_admitting(listen_at.clients, admits, move |stream| {
        let open = shared.clients.enter();
        serve_client(Arc::clone(&shared), stream, open)
    })
    .await
    .map_err(|e| EntryError::Listen("clients", e))?;
    Ok(())
}

/// Starts the metrics endpoint. A failure is only logged, as the gateway can serve clients without it.
async fn start_metrics(node: &Arc<EntryNode>, address: SocketAddr) {
    let shared = Arc::clone(node);
    let listening = listen(address, move |stream| serve_metrics(Arc::clone(&shared), stream)).await;
    if let Err(error) = listening {
        node.log.error("metrics_unavailable", &[("address", &address), ("reason", &error)]);
    }
}

async fn follow_configuration(node: Arc<EntryNode>) {
    let plan =
        FeedPlan { watcher: Some(&node), start: FeedStart::UnlessPassedOn, ..FeedPlan::default() };
    follow(&node.store, CONFIGURATION_KIND, plan, |event| {
        let (objects, listed) = match &event {
            FeedEvent::Snapshot { objects, asked, .. } => (objects.as_slice(), Some(*asked)),
            FeedEvent::Changed { object } => (std::slice::from_ref(*object), None),
            FeedEvent::Deleted { .. } | FeedEvent::Complete { .. } => (&[][..], None),
        };
        for spec in objects.iter().filter_map(|object| object.spec.as_ref()) {
            let version = node.take_configuration(spec, "store");
            // Only a list proves that this is the newest version; a watch may have missed changes.
            if let (Some(version), Some(as_of)) = (version, listed) {
                node.note_proof(ConfigurationProof { version, as_of });
            }
        }
    })
    .await;
}

async fn follow_targets(node: Arc<EntryNode>) {
    let plan = FeedPlan {
        watcher: Some(&node),
        start: FeedStart::UnlessPassedOn,
        view_clock: Some(&node.target_confirmation.clock),
        ..FeedPlan::default()
    };
    follow(&node.store, TARGET_KIND, plan, |event| node.apply_target_event(event)).await;
}

/// Logs the counts of store calls and job reads at intervals, so that few are lost when the gateway is killed.
async fn log_counts(node: Arc<EntryNode>) {
    loop {
        task::sleep(COUNT_LOG_INTERVAL).await;
        node.store.calls().log(&node.log);
        node.reads.log(&node.log);
    }
}

async fn maintain(node: Arc<EntryNode>) {
    loop {
        task::sleep(MAINTENANCE_TICK).await;
        let now = node.clock.mono();
        let (expired, revision) = {
            let mut feed = node.target_feed();
            (feed.expire(now), feed.revision())
        };
        node.apply_expired(expired, revision);
        node.targets().expire_reports(now);
        node.store.set_can_forward(node.peers.follower(0.0).is_some());
        assign_home_gateways(&node);
        forget_routes(&node, now);
        node.peers.note_lost(now);
        credit::refresh_view(&node, now);
        node.accounts.credits().forget_idle(now);
        let known: FastSet<String> = node.targets().ids().map(str::to_owned).collect();
        node.pool.clean(|id| known.contains(id));
        node.metrics.set(Gauge::GatewayLinks, node.peers.link_count() as i64);
        node.metrics.set(Gauge::TargetsUp, node.targets().ready_count() as i64);
        node.metrics.set(Gauge::StoreUp, i64::from(node.store.outage().is_up()));
        node.metrics.set(Gauge::BatchRunning, node.jobs().runs.len() as i64);
    }
}

fn assign_home_gateways(node: &EntryNode) {
    let own = node.config.node.vm.as_str();
    let mut gateways = node.peers.live_domains();
    gateways.push((own.to_owned(), node.config.node.domain.as_str().to_owned()));
    node.targets().assign_homes(own, &gateways);
}

fn reload(node: &EntryNode, path: &std::path::Path) {
    match EntryConfig::load(path) {
        Ok(config) => {
            set_log_level(level_filter(config.logging.level));
            node.store.reload(config.store.clone());
            node.log.info(
                "reloaded",
                &[("store", &config.store.address), ("level", &config.logging.level.as_str())],
            );
        }
        Err(errors) => node.log.error("reload_refused", &[("reason", &errors)]),
    }
}

/// Stops gracefully. The gateway reports itself not ready at once, serves the requests that can end before it does and
/// refuses the others, closes idle connections, and hands its jobs over to the other gateways.
pub async fn stop(node: &Arc<EntryNode>) {
    node.stop.begin(node.clock.mono());
    node.metrics.set(Gauge::Leaving, 1);
    node.log.info("stopping", &[("active", &node.stop.active())]);
    node.peers.broadcast(&PeerMessage::Stopping);
    let schedule = *node.stop.schedule();
    let mut has_handed_over = false;
    loop {
        task::sleep(STOP_TICK).await;
        // Hands the remaining credit of accounts over to their new limiters.
        credit::refresh_view(node, node.clock.mono());
        let age = node.stop.elapsed(node.clock.mono());
        let has_successors = !node.peers.successor_vms().is_empty();
        let is_due = age >= schedule.handover_alone || (has_successors && age >= schedule.handover);
        // A job whose submission came before the handover may have been stored after it.
        let has_jobs = !has_handed_over || !node.jobs().table.is_idle();
        if is_due && has_jobs {
            hand_over_jobs(node).await;
            has_handed_over = true;
        }
        if age >= schedule.idle_close {
            node.stop.close_idle();
        }
        let is_drained =
            node.stop.active() == 0 && (has_handed_over || node.jobs().table.is_idle());
        if is_drained && age >= schedule.min_stop {
            node.stop.refuse_all();
        }
        if age >= schedule.exit
            || (is_drained && age >= schedule.min_stop && node.stop.active() == 0)
        {
            break;
        }
    }
    node.stop.end();
    node.store.calls().log(&node.log);
    node.reads.log(&node.log);
    node.log.info("stopped", &[("active", &node.stop.active())]);
    // Gives the log thread time to write the last lines.
    task::sleep(STOP_TICK).await;
}

/// Hands the jobs over to the other gateways, which take them over at once instead of after
/// [`PEER_DEAD_AFTER`](crate::constants::PEER_DEAD_AFTER), and resume the items' runs from their progress so far.
pub async fn hand_over_jobs(node: &EntryNode) {
    node.stop.begin_handover();
    let jobs = {
        let mut registry = node.jobs();
        let jobs = registry.table.ids();
        for job in &jobs {
            registry.cancel_runs(job);
        }
        jobs
    };
    // The cancelled runs report their progress meanwhile.
    task::sleep(STOP_TICK).await;
    for job in &jobs {
        let (progress, failures) = {
            let registry = node.jobs();
            let owned = registry.table.get(job);
            let progress = owned.map(OwnedJob::progress).unwrap_or_default();
            (progress, owned.map(OwnedJob::failures).unwrap_or_default())
        };
        failures::tell(node, job, failures);
        if let Some(successor) = takeover::preferred_successor(node, job) {
            for items in HeldProgress::fitting(progress, MAX_PEER_MESSAGE_BYTES) {
                node.peers.send(&successor, PeerMessage::JobProgress { job: job.clone(), items });
            }
        }
        node.jobs().give_up_job(job, node.clock.mono());
    }
    node.peers.broadcast(&PeerMessage::Leaving);
    node.log.info("jobs_left", &[("count", &jobs.len())]);
}
