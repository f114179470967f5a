//! State shared by all tasks of a gateway.

mod targets;

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock, atomic::AtomicBool},
    time::Duration,
};

use async_channel::Receiver;
use event_listener::Event;
use notch_h1::prelude::ResponseHead;
use notch_relay::prelude::*;
use notch_settings::EntryConfig;
use notch_telemetry::prelude::*;
use notch_types::prelude::*;
use serde_json::value::RawValue;

use crate::{
    accounts::state::AccountState,
    batch::{
        failure_records::FailureRecords, job_registry::JobRegistry, limit_registry::LimitRegistry,
        read_latency::ReadLatencies,
    },
    clock::NodeClock,
    constants::{FIRST_LIST_TIMEOUT, PEER_STATE_TIMEOUT, STORE_WATCHERS},
    features::GatewayFeatures,
    front::connection_gate::ClientConnections,
    memory::HeldMemory,
    online::{
        crash_counts::CrashCounts, fairness::FairShareEdge, refusal_records::RefusalRecords,
        suspects::SuspectEdge, target_views::TargetConfirmation, version_records::VersionRecords,
    },
    peers::{
        catch_up::KnownVersions,
        eviction::{EvictionEdge, EvictionState},
        table::{OwnerLiveness, PeerTable},
        traffic::PeerTraffic,
    },
    stop::StopState,
    store::{
        call_counts::StoreCallCounts,
        client::StoreClient,
        configuration::{ConfigurationInForce, newer_configuration},
        forwarding::ForwardedCall,
        live_feeds::LiveFeeds,
        target::TargetFeed,
    },
    target::{
        connection::TargetConnection, ejections::EjectionExchange, pool::TargetPool,
        stream_pace::StreamPace,
    },
};

/// State shared by all tasks of a gateway. Locks are held only briefly, never across an await. Lock order: jobs,
/// targets, item slots, limits, intake.
#[derive(Debug)]
pub struct EntryNode {
    /// Settings as read at the start; a reload doesn't change them.
    pub config: EntryConfig,
    /// Optional features that the settings call for.
    pub features: GatewayFeatures,
    /// Identity of this process, VM name and incarnation, as recorded in the jobs that it owns.
    pub owner: String,
    /// Clocks of the process.
    pub clock: NodeClock,
    /// Event log.
    pub log: NodeLog,
    /// Exported metrics.
    pub metrics: Metrics,
    /// Client of the store.
    pub store: StoreClient,
    /// Whether this gateway watches the store itself.
    pub watch: LiveFeeds,
    /// This gateway's shares of the limits on waiting jobs.
    pub limits: LimitRegistry,
    /// State of client accounts.
    pub accounts: AccountState,
    /// Latency counts of job reads.
    pub reads: ReadLatencies,
    /// Memory held for clients and targets that read slowly.
    pub memory: Arc<HeldMemory>,
    /// Open connections of clients.
    pub clients: ClientConnections,
    /// Idle connections to targets.
    pub pool: TargetPool,
    /// What is known of the other gateways, and the links to them.
    pub peers: PeerTable,
    /// Evictions of other gateways and of this one.
    evictions: EvictionState,
    /// Progress of a graceful stop.
    pub stop: StopState,
    /// Notified when results were stored, a job ended or its owner became known.
    pub job_updates: Event,
    /// Notified when a job is being accepted.
    pub jobs_taken: Event,
    /// Notified when items may have become ready to run.
    pub runner_wake: Event,
    /// Notified when the configuration or a target changed.
    pub state_changed: Event,
    /// Notified when a target has restarted.
    pub target_restarts: Event,
    /// Notified when a decision waits for the store to confirm the configuration in force.
    pub confirmation_wanted: Event,
    /// Changes of refusals of requests that are to be recorded.
    pub refusal_records: RefusalRecords,
    /// Whether crashes under requests are to be recorded.
    pub crash_counts: CrashCounts,
    /// Failures of items that are to be recorded.
    pub failure_records: FailureRecords,
    /// What is known of the records of software versions.
    pub version_records: VersionRecords,
    /// When the view of the targets was confirmed.
    pub target_confirmation: TargetConfirmation,
    /// Whether a check of the ownership of all jobs is scheduled.
    pub is_verifying: AtomicBool,
    configuration: RwLock<Option<ConfigurationInForce>>,
    targets: Mutex<TargetTable>,
    target_feed: Mutex<TargetFeed>,
    jobs: Mutex<JobRegistry>,
    suspects: Mutex<SuspectTable>,
    stream_origins: Mutex<StreamOrigins>,
    retry_detector: Mutex<RetryDetector>,
    dropped_routes: Mutex<DroppedRoutes>,
    job_admission: Mutex<JobAdmissionTable>,
    item_slots: Mutex<ItemSlotTable>,
    shares: Mutex<FairShareTable>,
    report_order: Mutex<()>,
}

impl EntryNode {
    /// Creates a node without any state, and the queue of store calls to be forwarded through another gateway.
    pub fn new(config: EntryConfig) -> (Self, Receiver<ForwardedCall>) {
        let clock = NodeClock::start();
        let log = NodeLog::new(&config.node.vm, &config.node.domain);
        let metrics = Metrics::new(&config.node.vm, &config.node.domain);
        let calls = metrics.pair_counter(
            "store_calls_total",
            "Calls to the store by kind of object and cause",
            ["kind", "cause"],
        );
        let calls = StoreCallCounts::new(Some(calls));
        let opened = metrics.pair_counter(
            "connections_opened_total",
            "New connections to targets by cause and by whether the request can be repeated",
            ["cause", "request"],
        );
        let features = GatewayFeatures::of(&config);
        let traffic = PeerTraffic::new(&metrics);
        let owner = format!("{}#{:016x}", config.node.vm, rand::random::<u64>());
        let domain = config.node.domain.as_str().to_owned();
        let (store, detours) = StoreClient::new(config.store.clone(), clock, log.clone(), calls);
        let mut targets = TargetTable::new(&domain);
        targets.set_offers_items(features.item_slots);
        if features.performance {
            targets.learn_performance();
        }
        let node = Self {
            store,
            owner,
            clock,
            log,
            metrics,
            watch: LiveFeeds::default(),
            limits: LimitRegistry::default(),
            accounts: AccountState::new(&config.accounts),
            reads: ReadLatencies::default(),
            memory: Arc::new(HeldMemory::new(config.memory.limit())),
            clients: ClientConnections::new(config.connections.max_clients()),
            pool: TargetPool::new(features.keep_connections, Some(opened)),
            peers: PeerTable::new(traffic),
            evictions: EvictionState::default(),
            stop: StopState::new(StopSchedule::within(config.stop.grace)),
            job_updates: Event::new(),
            jobs_taken: Event::new(),
            runner_wake: Event::new(),
            state_changed: Event::new(),
            target_restarts: Event::new(),
            confirmation_wanted: Event::new(),
            refusal_records: RefusalRecords::default(),
            crash_counts: CrashCounts::default(),
            failure_records: FailureRecords::default(),
            version_records: VersionRecords::default(),
            target_confirmation: TargetConfirmation::default(),
            is_verifying: AtomicBool::new(false),
            configuration: RwLock::new(None),
            targets: Mutex::new(targets),
            target_feed: Mutex::default(),
            jobs: Mutex::default(),
            suspects: Mutex::default(),
            stream_origins: Mutex::default(),
            retry_detector: Mutex::default(),
            dropped_routes: Mutex::default(),
            job_admission: Mutex::default(),
            item_slots: Mutex::default(),
            shares: Mutex::default(),
            report_order: Mutex::default(),
            features,
            config,
        };
        (node, detours)
    }

    /// Table of targets, from which requests and items choose.
    pub fn targets(&self) -> MutexGuard<'_, TargetTable> {
        self.targets.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What the exchange of ejections needs.
    pub fn ejections(&self) -> EjectionExchange<'_> {
        EjectionExchange {
            targets: &self.targets,
            peers: &self.peers,
            clock: self.clock,
            log: &self.log,
            metrics: &self.metrics,
        }
    }

    /// What the sharing of slots among accounts needs; `None` where slots are not shared.
    pub fn fair_shares(&self) -> Option<FairShareEdge<'_>> {
        self.features.fair_shares.then_some(FairShareEdge {
            shares: &self.shares,
            targets: &self.targets,
            clock: self.clock,
            log: &self.log,
            metrics: &self.metrics,
        })
    }

    /// Measures the pace of a stream from target `id`, where paces are learned.
    pub fn stream_pace<'a>(&'a self, id: &'a str) -> StreamPace<'a> {
        StreamPace::new(self.features.performance.then_some(&self.targets), id, self.clock)
    }

    /// Target entries as the store has them, by revision.
    pub fn target_feed(&self) -> MutexGuard<'_, TargetFeed> {
        self.target_feed.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Jobs that this gateway owns, runs or keeps copies of.
    pub fn jobs(&self) -> MutexGuard<'_, JobRegistry> {
        self.jobs.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What the detection of requests and prompt parts that crash targets needs.
    pub fn suspects(&self) -> SuspectEdge<'_> {
        SuspectEdge {
            table: &self.suspects,
            records: &self.refusal_records,
            counts: &self.crash_counts,
            own: &self.config.node.vm,
            peers: &self.peers,
            clock: self.clock,
            log: &self.log,
            metrics: &self.metrics,
        }
    }

    /// Where recent streams began.
    pub fn stream_origins(&self) -> MutexGuard<'_, StreamOrigins> {
        self.stream_origins.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Client deadlines seen on each route, by which retries are recognized.
    pub fn retry_detector(&self) -> MutexGuard<'_, RetryDetector> {
        self.retry_detector.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Routes that the configuration in force no longer contains.
    pub fn dropped_routes(&self) -> MutexGuard<'_, DroppedRoutes> {
        self.dropped_routes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waiting work and available slots, by which jobs are admitted.
    pub fn job_admission(&self) -> MutexGuard<'_, JobAdmissionTable> {
        self.job_admission.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Items that wait at all gateways, by which slots are offered.
    pub fn item_slots(&self) -> MutexGuard<'_, ItemSlotTable> {
        self.item_slots.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Held while a report of uses is read and queued, and while answers to offers are. A home counts an offer until it
    /// is answered, so a report that overtakes the answer to an offer would count its item twice. Taken before all
    /// other locks.
    pub fn report_order(&self) -> MutexGuard<'_, ()> {
        self.report_order.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Has the runner offer a slot that became free at an own target, if items wait anywhere.
    pub fn note_slot_freed(&self) {
        if self.features.item_slots && self.item_slots().has_waiting() {
            self.runner_wake.notify(usize::MAX);
        }
    }

    /// The routes of the configuration in force; `None` until a first one is known.
    pub fn routes(&self) -> Option<Arc<RouteTable>> {
        let current = self.configuration.read().unwrap_or_else(PoisonError::into_inner);
        current.as_ref().map(|c| Arc::clone(&c.routes))
    }

    /// The configuration in force as the store holds it, with its version.
    pub fn configuration_text(&self) -> Option<(u64, Arc<str>)> {
        let current = self.configuration.read().unwrap_or_else(PoisonError::into_inner);
        current.as_ref().map(|c| (c.routes.version(), Arc::clone(&c.text)))
    }

    /// Version of the configuration in force; 0 for none.
    pub fn configuration_version(&self) -> u64 {
        self.routes().map_or(0, |routes| routes.version())
    }

    /// Versions of the configuration and the targets known here.
    pub fn known_versions(&self) -> KnownVersions {
        let configuration = self.configuration_version();
        let feed = self.target_feed();
        KnownVersions { configuration, targets: feed.known_since(), digest: feed.digest() }
    }

    /// Whether this VM should receive new connections: it isn't stopping, and its state is current.
    pub fn is_ready(&self) -> bool {
        !self.stop.is_stopping() && self.is_synced()
    }

    /// Whether the state that requests need is current: the whole target list and the configuration, which must not be
    /// too old where there are accounts.
    pub fn is_synced(&self) -> bool {
        let Some(routes) = self.routes() else { return false };
        let is_fresh =
            routes.accounts().is_none() || self.accounts.age().is_fresh(self.clock.boot());
        is_fresh && self.target_feed().is_whole()
    }

    /// Whether the state that requests need has been complete once. If the configuration has become too old since,
    /// requests are refused at once: waiting would only delay their retry at another gateway.
    pub fn was_synced(&self) -> bool {
        let Some(routes) = self.routes() else { return false };
        let was_proved = routes.accounts().is_none() || {
            let age = self.accounts.age();
            age.bound().is_none() || age.proof().is_some()
        };
        was_proved && self.target_feed().is_whole()
    }

    /// Records a proof that the configuration in force is the newest one. False when it is of no use here.
    pub fn note_proof(&self, proof: ConfigurationProof) -> bool {
        let in_force = self.configuration_version();
        self.accounts.age().note_proof(proof, in_force)
    }

    /// The gateway to ask for a configuration proof; `None` when this one has to ask the store.
    pub fn proof_source(&self) -> Option<VmName> {
        let is_follower = self.watch.is_watching();
        self.peers.proof_source(&self.config.node.vm, is_follower, Self::draw())
    }

    /// Adopts a configuration if it is newer than the one in force; `source` is for the log. Returns the version then
    /// in force, or `None` when `spec` is invalid.
    pub fn take_configuration(&self, spec: &RawValue, source: &str) -> Option<u64> {
        let mut current = self.configuration.write().unwrap_or_else(PoisonError::into_inner);
        match newer_configuration(current.as_ref(), spec) {
            Ok(None) => current.as_ref().map(|current| current.routes.version()),
            Ok(Some(newer)) => {
                let before = current.as_ref().map_or(0, |c| c.routes.version());
                let version = newer.routes.version();
                *current = Some(newer);
                drop(current);
                self.log.info(
                    "configuration_adopted",
                    &[("version", &version), ("before", &before), ("source", &source)],
                );
                self.metrics.count(Counter::Event("configurations_adopted"));
                self.state_changed.notify(usize::MAX);
                self.runner_wake.notify(usize::MAX);
                Some(version)
            }
            Err(error) => {
                self.log.error("configuration_refused", &[("reason", &error), ("source", &source)]);
                None
            }
        }
    }

    /// Returns a connection to the pool after the answer with `head` was read to its end, unless the target closes
    /// the connection.
    pub fn give_back(&self, target: &str, connection: TargetConnection, head: &ResponseHead) {
        if !head.keep_alive {
            self.targets().note_closing(target, self.clock.mono());
        }
        self.pool.give_back(target, connection, head);
    }

    /// Whether this gateway has to watch the store itself, as too few of those ranked before it do.
    ///
    /// After the start, those whose entries are known are expected to watch, as their reports are still on the way.
    /// Otherwise gateways that start together would all list and watch everything.
    pub fn must_watch(&self) -> bool {
        let up = self.clock.mono().since(MonoTime::default());
        if up < FIRST_LIST_TIMEOUT && !self.peers.has_entries() {
            return false;
        }
        self.peers.watchers_before(&self.config.node.vm, up) < STORE_WATCHERS
    }

    /// How long followers must have been too few before this gateway begins to follow the store.
    pub fn watch_delay(&self) -> Duration {
        takeover_delay(self.peers.linked_before(&self.config.node.vm), STORE_WATCHERS)
    }

    /// Whether the state that requests need hasn't come from the gateways that follow the store.
    pub fn lacks_state(&self) -> bool {
        let up = self.clock.mono().since(MonoTime::default());
        let span = expectation_span(self.peers.known_count() + 1);
        up >= span.max(PEER_STATE_TIMEOUT) && !self.was_synced()
    }

    /// What evictions need of this gateway; `None` where gateways aren't evicted.
    pub fn eviction(&self) -> Option<EvictionEdge<'_>> {
        self.features.eviction.then(|| self.eviction_edge())
    }

    /// What evictions need of this gateway.
    pub fn eviction_edge(&self) -> EvictionEdge<'_> {
        EvictionEdge {
            vm: &self.config.node.vm,
            owner: &self.owner,
            state: &self.evictions,
            peers: &self.peers,
            store: &self.store,
            clock: self.clock,
            log: &self.log,
            metrics: &self.metrics,
        }
    }

    /// Whether the owner `owner` is alive. An earlier incarnation of this gateway is not.
    pub fn liveness(&self, owner: &str, now: MonoTime) -> OwnerLiveness {
        if owner == self.owner {
            return OwnerLiveness::Alive;
        }
        let is_own_vm =
            owner.split_once('#').is_some_and(|(vm, _)| vm == self.config.node.vm.as_str());
        if is_own_vm { OwnerLiveness::Gone } else { self.peers.liveness(owner, now) }
    }

    /// Draws a random number in [0, 1).
    pub fn draw() -> f64 {
        rand::random()
    }
}
