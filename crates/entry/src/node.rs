//! What all tasks of a gateway share.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock, atomic::AtomicBool};

use async_channel::Receiver;
use event_listener::Event;
use notch_h1::prelude::ResponseHead;
use notch_platform_wire::{
    prelude::{DecodeError, StoreObject},
    store::ObjectMetadata,
    target::decode_entry,
};
use notch_relay::prelude::*;
use notch_settings::EntryConfig;
use notch_telemetry::prelude::*;
use notch_types::prelude::*;
use serde_json::value::RawValue;

use crate::{
    accounts::state::AccountState,
    batch::{
        job_registry::JobRegistry, limit_registry::LimitRegistry, read_latency::ReadLatencies,
    },
    clock::NodeClock,
    constants::STORE_WATCHERS,
    peers::{
        catch_up::KnownVersions,
        table::{OwnerLiveness, PeerTable},
        traffic::PeerTraffic,
    },
    stop::StopState,
    store::{
        call_counts::StoreCallCounts,
        client::StoreClient,
        configuration::{ConfigurationInForce, newer_configuration},
        feed_event::FeedEvent,
        forwarding::ForwardedCall,
        live_feeds::LiveFeeds,
        target::{TargetChange, TargetFeed},
    },
    target::{connection::TargetConnection, pool::TargetPool},
};

/// What all tasks of a gateway share. Locks are held for moments, never across an await; where two
/// are taken, jobs come before targets, before limits and before the intake.
#[derive(Debug)]
pub struct EntryNode {
    /// The settings at the start.
    pub config: EntryConfig,
    /// This process: its VM with its incarnation, as it stands in jobs that it owns.
    pub owner: String,
    /// Both clocks.
    pub clock: NodeClock,
    /// The log.
    pub log: NodeLog,
    /// The metrics.
    pub metrics: Metrics,
    /// The store.
    pub store: StoreClient,
    /// Whether this gateway follows the store.
    pub watch: LiveFeeds,
    /// This gateway's part in limits on waiting jobs.
    pub limits: LimitRegistry,
    /// Client accounts.
    pub accounts: AccountState,
    /// How long reads of jobs took.
    pub reads: ReadLatencies,
    /// Idle connections to targets.
    pub pool: TargetPool,
    /// The other gateways.
    pub peers: PeerTable,
    /// Whether the process is stopping.
    pub stop: StopState,
    /// Told when results were stored or a job ended.
    pub job_updates: Event,
    /// Told when a job is being taken in.
    pub jobs_taken: Event,
    /// Told when items may have become ready to run.
    pub runner_wake: Event,
    /// Told when the configuration or a target changed.
    pub state_changed: Event,
    /// Told when a target has started again.
    pub target_restarts: Event,
    /// Whether all jobs are about to be checked for their owner.
    pub is_verifying: AtomicBool,
    configuration: RwLock<Option<ConfigurationInForce>>,
    targets: Mutex<TargetTable>,
    target_feed: Mutex<TargetFeed>,
    jobs: Mutex<JobRegistry>,
    crashes: Mutex<CrashTable>,
    patience: Mutex<RetryDetector>,
    dropped_routes: Mutex<DroppedRoutes>,
    intake: Mutex<JobAdmissionTable>,
}

impl EntryNode {
    /// A node that knows nothing yet, and the calls to the store that another gateway should make
    /// for it.
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
        let traffic = PeerTraffic::new(&metrics);
        let owner = format!("{}#{:016x}", config.node.vm, rand::random::<u64>());
        let domain = config.node.domain.as_str().to_owned();
        let (store, detours) = StoreClient::new(config.store.clone(), clock, log.clone(), calls);
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
            pool: TargetPool::default(),
            peers: PeerTable::new(traffic),
            stop: StopState::default(),
            job_updates: Event::new(),
            jobs_taken: Event::new(),
            runner_wake: Event::new(),
            state_changed: Event::new(),
            target_restarts: Event::new(),
            is_verifying: AtomicBool::new(false),
            configuration: RwLock::new(None),
            targets: Mutex::new(TargetTable::new(&domain)),
            target_feed: Mutex::default(),
            jobs: Mutex::default(),
            crashes: Mutex::default(),
            patience: Mutex::default(),
            dropped_routes: Mutex::default(),
            intake: Mutex::default(),
            config,
        };
        (node, detours)
    }

    /// The targets.
    pub fn targets(&self) -> MutexGuard<'_, TargetTable> {
        self.targets.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The targets' entries by revision.
    pub fn target_feed(&self) -> MutexGuard<'_, TargetFeed> {
        self.target_feed.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The jobs.
    pub fn jobs(&self) -> MutexGuard<'_, JobRegistry> {
        self.jobs.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Requests that crash targets.
    pub fn crashes(&self) -> MutexGuard<'_, CrashTable> {
        self.crashes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// How long clients wait.
    pub fn patience(&self) -> MutexGuard<'_, RetryDetector> {
        self.patience.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Routes that the configuration in force doesn't name any more.
    pub fn dropped_routes(&self) -> MutexGuard<'_, DroppedRoutes> {
        self.dropped_routes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What is known of work and places when a job comes.
    pub fn intake(&self) -> MutexGuard<'_, JobAdmissionTable> {
        self.intake.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The configuration in force; `None` until a first one is known.
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

    /// Versions of what is known from the store.
    pub fn known_versions(&self) -> KnownVersions {
        let configuration = self.configuration_version();
        let feed = self.target_feed();
        KnownVersions { configuration, targets: feed.known_since(), digest: feed.digest() }
    }

    /// Whether this VM should take new connections: it knows the configuration and every target.
    pub fn is_ready(&self) -> bool {
        !self.stop.is_stopping() && self.is_informed()
    }

    /// Whether requests can be served by what is known: the configuration, which mustn't be too old where
    /// there are accounts, and every target.
    pub fn is_informed(&self) -> bool {
        let Some(routes) = self.routes() else { return false };
        let is_fresh =
            routes.accounts().is_none() || self.accounts.age().is_fresh(self.clock.boot());
        is_fresh && self.target_feed().is_whole()
    }

    /// Whether everything that requests are served by was known once. What is too old since then is told at once;
    /// a wait for it would only make its clients late elsewhere.
    pub fn has_begun(&self) -> bool {
        let Some(routes) = self.routes() else { return false };
        let was_proved = routes.accounts().is_none() || {
            let age = self.accounts.age();
            age.bound().is_none() || age.proof().is_some()
        };
        was_proved && self.target_feed().is_whole()
    }

    /// Takes a proof that the configuration in force is the newest one; whether it could be used.
    pub fn note_proof(&self, proof: ConfigurationProof) -> bool {
        let in_force = self.configuration_version();
        self.accounts.age().note_proof(proof, in_force)
    }

    /// The gateway to ask for a proof; `None` when this one has to ask the store.
    pub fn proving_gateway(&self) -> Option<VmName> {
        let is_follower = self.watch.is_watching();
        self.peers.proving_gateway(&self.config.node.vm, is_follower, Self::draw())
    }

    /// Takes a configuration if it is newer; `source` is for the log. The version now in force, unless the
    /// configuration can't be read.
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

    /// A target's answer `head` was read to its end: its connection is kept, unless the target
    /// closes it.
    pub fn give_back(&self, target: &str, connection: TargetConnection, head: &ResponseHead) {
        if !head.keep_alive {
            self.targets().note_closing(target, self.clock.mono());
        }
        self.pool.give_back(target, connection, head);
    }

    /// Takes what the store tells of targets.
    pub fn take_target_event(&self, event: FeedEvent<'_>) {
        let now = self.clock.mono();
        let lapsed_until = self.store.outage().lapsed_until();
        let mut feed = self.target_feed();
        let changes = match event {
            FeedEvent::Snapshot { objects, as_of, .. } => {
                let mut changes = Vec::new();
                let mut entries = Vec::new();
                for object in &objects {
                    match decode_target(object) {
                        Ok(entry) => entries.push((entry, object.metadata.revision)),
                        Err(error) => changes.extend(self.refuse_target(&mut feed, object, &error)),
                    }
                }
                changes.extend(feed.apply_list(entries, as_of, lapsed_until, now));
                changes
            }
            FeedEvent::Changed { object } => {
                let change = match decode_target(object) {
                    Ok(entry) => feed.put(entry, object.metadata.revision),
                    Err(error) => self.refuse_target(&mut feed, object, &error),
                };
                change.into_iter().collect()
            }
            FeedEvent::Deleted { object, as_of } => {
                let id = &object.metadata.name;
                feed.remove(id, as_of, lapsed_until, now).into_iter().collect()
            }
        };
        let revision = feed.revision();
        drop(feed);
        self.apply_target_changes(changes, "store", revision);
    }

    /// Brings changes into the table that choices are made from.
    pub fn apply_target_changes(&self, changes: Vec<TargetChange>, source: &str, revision: u64) {
        for change in changes {
            match change {
                TargetChange::Put(entry) => self.put_target(entry, source, revision),
                TargetChange::Restart { before, entry } => {
                    self.targets().remove_restarted(&before);
                    let runs = self.jobs().cancel_runs_at(&before);
                    self.log.warn(
                        "target_restarted",
                        &[("target", &entry.id), ("before", &before), ("item_runs", &runs)],
                    );
                    self.metrics.count(Counter::Event("targets_restarted"));
                    self.put_target(entry, source, revision);
                    self.target_restarts.notify(usize::MAX);
                }
                TargetChange::Remove(id) => {
                    self.log.info(
                        "target_gone",
                        &[("target", &id), ("source", &source), ("revision", &revision)],
                    );
                    self.targets().remove(&id);
                }
            }
        }
        self.state_changed.notify(usize::MAX);
        self.runner_wake.notify(usize::MAX);
    }

    fn put_target(&self, entry: TargetEntry, source: &str, revision: u64) {
        let state = match entry.state {
            TargetState::Ready => "ready",
            TargetState::Draining => "draining",
        };
        self.log.info(
            "target_known",
            &[
                ("target", &entry.id),
                ("address", &entry.address),
                ("service", &entry.service),
                ("state", &state),
                ("source", &source),
                ("revision", &revision),
            ],
        );
        self.targets().put(entry, self.clock.mono());
    }

    /// Whether this gateway has to follow the store itself: too few before it do.
    pub fn must_watch(&self) -> bool {
        self.peers.watchers_before(&self.config.node.vm) < STORE_WATCHERS
    }

    /// Whether the gateway that `owner` names is there; an earlier incarnation of this one isn't.
    pub fn liveness(&self, owner: &str, now: MonoTime) -> OwnerLiveness {
        if owner == self.owner {
            return OwnerLiveness::Alive;
        }
        let is_own_vm =
            owner.split_once('#').is_some_and(|(vm, _)| vm == self.config.node.vm.as_str());
        if is_own_vm { OwnerLiveness::Gone } else { self.peers.liveness(owner, now) }
    }

    /// Entries that lapsed in an outage and didn't come back are gone.
    pub fn apply_lapsed(&self, changes: Vec<TargetChange>, revision: u64) {
        if !changes.is_empty() {
            self.apply_target_changes(changes, "lapsed", revision);
        }
    }

    /// A random number from 0 to 1.
    pub fn draw() -> f64 {
        rand::random()
    }

    /// Notes an entry that can't be read: logged once for each change of it.
    fn refuse_target(
        &self,
        feed: &mut TargetFeed,
        object: &StoreObject,
        error: &DecodeError,
    ) -> Option<TargetChange> {
        let ObjectMetadata { name, revision } = &object.metadata;
        let (is_news, change) = feed.refuse(name, *revision);
        if is_news {
            self.log.error(
                "target_entry_refused",
                &[("target", name), ("revision", revision), ("reason", error)],
            );
            self.metrics.count(Counter::Event("target_entries_refused"));
        }
        change
    }
}

fn decode_target(object: &StoreObject) -> Result<TargetEntry, DecodeError> {
    let spec = object.spec.as_ref().ok_or(DecodeError::Field("spec"))?;
    decode_entry(&object.metadata.name, spec)
}
