//! A gateway as a value: started from settings and edges, stopped gracefully or at once.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::Arc,
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use async_std::{future::timeout, task};
use notch_catalogue::CatalogueNode;
use notch_http::prelude::*;
use notch_jobs::prelude::ShardService;
use notch_ledger::LedgerShard;
use notch_link::prelude::*;
use notch_membership::{MemberIdentity, MemberRoster, MemberTable};
use notch_placement::prelude::PlacementPlanner;
use notch_platform::{
    BudgetSettings, HttpObjects, HttpVms, HttpWeights, ObjectApi, ObjectsSettings, VmListing,
    WeightPermits,
};
use notch_routing::OnlineRouter;
use notch_settings::GatewayConfig;
use notch_telemetry::prelude::*;
use notch_types::prelude::*;
use rand::{SeedableRng, rngs::SmallRng};

use crate::{
    control::{
        core::ControlCore,
        entries_view::SharedView,
        event::ControlEvent,
        inbox::{ControlInbox, control_channel},
        link_desk::LinkDesk,
        online_desk::OnlineDesk,
        operator_desk::OperatorDesk,
        shard_desk::ShardDesk,
        shard_host::ShardHost,
        suspect_calls::SuspectCalls,
        thread as control_thread,
    },
    edge::{link_sink::link_sink, list_pace::ListPace, platform_calls::PlatformCalls, vm_poll},
    error::GatewayError,
    traffic::{answer_book::AnswerBook, front::TrafficFront},
    wiring,
};

/// How long stored answers of keyed online requests stay readable.
const ANSWER_RETENTION: Duration = Duration::from_secs(24 * 3_600);
/// Longest graceful stop.
const LEAVE_WAIT: Duration = Duration::from_secs(30);
/// What callers' connections get to finish after the last answer.
const CLOSE_GRACE: Duration = Duration::from_secs(2);

/// The platform as a gateway sees it.
#[derive(Clone)]
pub struct GatewayEdges {
    /// The object API.
    pub objects: Arc<dyn ObjectApi>,
    /// The VM list.
    pub vms: Arc<dyn VmListing>,
    /// The weight store.
    pub weights: Arc<dyn WeightPermits>,
}

impl GatewayEdges {
    /// The platform over HTTP, at the addresses of the settings.
    pub fn over_http(config: &GatewayConfig) -> Self {
        let platform = &config.platform;
        let rate = f64::from(platform.calls_per_s);
        let objects = ObjectsSettings {
            address: platform.objects.to_string(),
            time_limit: platform.call_timeout,
            budget: BudgetSettings { calls_per_second: rate, burst: rate * 2.0 },
        };
        let vms = HttpVms::new(&platform.vm_list.to_string(), platform.call_timeout);
        let weights = HttpWeights::new(&platform.weights.to_string(), platform.call_timeout);
        Self {
            objects: Arc::new(HttpObjects::new(objects)),
            vms: Arc::new(vms),
            weights: Arc::new(weights),
        }
    }
}

/// A running gateway.
pub struct GatewayHandle {
    callers: SocketAddr,
    links: SocketAddr,
    inbox: ControlInbox,
    metrics: Arc<Metrics>,
    view: Arc<SharedView>,
    server: ServerHandle,
    metrics_server: ServerHandle,
    listener: LinkListener,
    polling: task::JoinHandle<()>,
    control: Option<thread::JoinHandle<()>>,
}

impl GatewayHandle {
    /// Starts a gateway.
    ///
    /// # Errors
    /// See [`GatewayError`]; nothing runs on then.
    pub async fn start(config: GatewayConfig, edges: GatewayEdges) -> Result<Self, GatewayError> {
        let secret = config.links.read_secret()?;
        let node = &config.node;
        let metrics = Arc::new(Metrics::new(&node.vm, &node.domain));
        let answers = Arc::new(AnswerBook::default());
        let view = Arc::new(SharedView::default());
        let (inbox, queue) = control_channel();
        let sink = link_sink(inbox.clone(), Arc::clone(&answers));
        let link_settings = wiring::link_settings(&config, &secret);
        let listener =
            LinkListener::start(config.listen.links, link_settings.clone(), sink.clone())
                .await
                .map_err(|source| listen_error(config.listen.links, source))?;
        let links = listener.address();
        let list_pace = Arc::new(ListPace::new(config.platform.vm_list_every));
        let core = build_core(
            &config,
            &edges,
            CoreParts {
                metrics: Arc::clone(&metrics),
                answers,
                view: Arc::clone(&view),
                inbox: inbox.clone(),
                links: LinkDesk::new(link_settings, config.membership.subset as usize, sink),
                address: links,
                list_pace: Arc::clone(&list_pace),
            },
        )?;
        let front = Arc::new(TrafficFront::new(
            &config,
            Arc::clone(&edges.objects),
            Arc::clone(&view),
            inbox.clone(),
            Arc::clone(&metrics),
        ));
        let (server, metrics_server) = serve(&config, front).await?;
        let polling =
            vm_poll::start(Arc::clone(&edges.vms), list_pace, Arc::clone(&metrics), inbox.clone());
        let control = control_thread::spawn(core, queue).map_err(GatewayError::Thread)?;
        let callers = server.address();
        let control = Some(control);
        Ok(Self {
            callers,
            links,
            inbox,
            metrics,
            view,
            server,
            metrics_server,
            listener,
            polling,
            control,
        })
    }

    /// Where callers and operators reach it.
    pub fn callers(&self) -> SocketAddr {
        self.callers
    }

    /// Where links reach it.
    pub fn links(&self) -> SocketAddr {
        self.links
    }

    /// Its metrics.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Whether its catalogue was complete once.
    pub fn is_ready(&self) -> bool {
        self.view.get().ready
    }

    /// Ledger shards that it owns.
    pub fn shards_owned(&self) -> i64 {
        self.metrics.value(Gauge::ShardsOwned)
    }

    /// Sidecars that it has a link to.
    pub fn sidecars_linked(&self) -> i64 {
        self.metrics.value(Gauge::SidecarLinks)
    }

    /// Stops gracefully: new work is refused as not run, callers get their answers, shards are
    /// handed over. Ends after a bounded time whatever happens; says whether all was done.
    pub async fn stop(self) -> bool {
        let (done, finished) = async_channel::bounded(1);
        self.inbox.send(ControlEvent::Leave(done));
        let graceful = timeout(LEAVE_WAIT, finished.recv()).await.is_ok();
        let Self { server, metrics_server, listener, polling, inbox, mut control, .. } = self;
        server.stop(CLOSE_GRACE).await;
        metrics_server.stop(Duration::ZERO).await;
        inbox.send(ControlEvent::Stop);
        polling.cancel().await;
        listener.stop().await;
        join(control.take()).await;
        graceful
    }

    /// Stops at once, as when its VM is lost: nothing is handed over and nobody is told.
    pub async fn kill(self) {
        let Self { server, metrics_server, listener, polling, inbox, mut control, .. } = self;
        inbox.send(ControlEvent::Stop);
        polling.cancel().await;
        listener.stop().await;
        server.stop(Duration::ZERO).await;
        metrics_server.stop(Duration::ZERO).await;
        join(control.take()).await;
    }
}

async fn join(control: Option<thread::JoinHandle<()>>) {
    if let Some(control) = control {
        let _ = task::spawn_blocking(move || control.join()).await;
    }
}

async fn serve(
    config: &GatewayConfig,
    front: Arc<TrafficFront>,
) -> Result<(ServerHandle, ServerHandle), GatewayError> {
    let limits = wiring::server_limits(config);
    let callers = config.listen.callers;
    let traffic = Arc::clone(&front);
    let server = HttpServer::bind(&callers.to_string(), limits.clone(), move |request| {
        let front = Arc::clone(&traffic);
        Box::pin(async move { front.serve(request).await })
    })
    .await
    .map_err(|source| listen_error(callers, source))?;
    let address = config.listen.metrics;
    let metrics = HttpServer::bind(&address.to_string(), limits, move |request| {
        let front = Arc::clone(&front);
        Box::pin(async move { front.serve_health(&request) })
    })
    .await
    .map_err(|source| listen_error(address, source))?;
    Ok((server, metrics))
}

struct CoreParts {
    metrics: Arc<Metrics>,
    answers: Arc<AnswerBook>,
    view: Arc<SharedView>,
    inbox: ControlInbox,
    links: LinkDesk,
    address: SocketAddr,
    list_pace: Arc<ListPace>,
}

fn build_core(
    config: &GatewayConfig,
    edges: &GatewayEdges,
    parts: CoreParts,
) -> Result<ControlCore, GatewayError> {
    let node = &config.node;
    let started = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let incarnation = Incarnation(started.as_millis() as u64);
    let seed: u64 = rand::random();
    let router = OnlineRouter::new(wiring::router_settings(config), seed);
    let shards = config.ledger.shards;
    let online = OnlineDesk::new(router, shards, ANSWER_RETENTION, parts.answers);
    let identity = MemberIdentity {
        vm: node.vm.clone(),
        address: parts.address.to_string(),
        domain: node.domain.clone(),
        incarnation,
    };
    let random = || SmallRng::seed_from_u64(rand::random());
    let platform = PlatformCalls::new(
        Arc::clone(&edges.objects),
        Arc::clone(&edges.weights),
        Arc::clone(&parts.metrics),
        parts.inbox,
    );
    Ok(ControlCore {
        vm: node.vm.clone(),
        view: parts.view,
        metrics: parts.metrics,
        log: NodeLog::new(&node.vm, &node.domain),
        notes: NoteHistory::new(NoteHistorySettings::default()),
        online,
        shards: ShardDesk::new(&node.vm, build_hosts(config, incarnation)?),
        roster: MemberRoster::default(),
        members: MemberTable::new(identity, wiring::membership_settings(config), random()),
        catalogue: CatalogueNode::new(
            &node.vm,
            &node.domain,
            wiring::catalogue_settings(config),
            random(),
        ),
        placement: PlacementPlanner::new(wiring::planner_settings(config, incarnation)),
        links: parts.links,
        operators: OperatorDesk::default(),
        platform,
        steps: VecDeque::new(),
        leaving: None,
        listed_leaving: Vec::new(),
        domain: node.domain.clone(),
        list_pace: parts.list_pace,
        gauges_due: MonoTime::default(),
        drained: FastSet::default(),
        suspect_calls: SuspectCalls::default(),
    })
}

fn build_hosts(
    config: &GatewayConfig,
    incarnation: Incarnation,
) -> Result<Vec<ShardHost>, GatewayError> {
    let vm = &config.node.vm;
    let jobs = wiring::job_settings(config);
    (0..config.ledger.shards)
        .map(|shard| {
            let shard = ShardId(shard);
            let settings = wiring::shard_settings(config, shard, incarnation);
            settings
                .check()
                .map_err(|fault| GatewayError::Part { detail: format!("[ledger] {fault}") })?;
            let ledger = LedgerShard::new(settings, rand::random());
            let service = ShardService::new(shard, jobs.clone());
            Ok(ShardHost::new(shard, vm, ledger, service))
        })
        .collect()
}

fn listen_error(address: SocketAddr, source: std::io::Error) -> GatewayError {
    GatewayError::Listen { address, source }
}
