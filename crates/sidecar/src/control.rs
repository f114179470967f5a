//! The control thread: owns the gate and the entries in force, and carries out effects.

mod events;
mod served;

use std::{
    sync::{Arc, mpsc::RecvTimeoutError},
    time::{Duration, Instant},
};

use async_channel::Sender;
use async_std::task;
use notch_catalogue::{Adoption, EntryTable};
use notch_gate::prelude::*;
use notch_link::prelude::*;
use notch_messages::prelude::*;
use notch_target::prelude::CacheReport;
use notch_telemetry::prelude::*;
use notch_types::{class::WorkClass, prelude::*};

pub(crate) use self::events::{ControlEvent, EventQueue, EventSender, event_queue};
use self::served::ServedTargets;
use crate::{
    clock::ProcessClock,
    settings::SidecarSettings,
    status::ServingStatus,
    traffic::{RunContext, run_call},
};

/// Time between two looks at timings, warm prompt heads and gauges.
const TICK: Duration = Duration::from_millis(200);
/// Most prompt heads told to gateways.
const WARM_HEADS: usize = 16;
/// Most catalogue entries held.
const MAX_ENTRIES: usize = 65_536;

/// What the control thread works with.
pub(crate) struct ControlParts {
    pub(crate) settings: SidecarSettings,
    pub(crate) incarnation: Incarnation,
    pub(crate) seed: u64,
    pub(crate) context: RunContext,
    pub(crate) status: Arc<ServingStatus>,
    /// Wakes the prober.
    pub(crate) probes: Sender<()>,
    pub(crate) orders: Sender<TargetOrder>,
    /// Closed when the sidecar has left.
    pub(crate) drained: Sender<()>,
}

/// The control thread's state.
pub(crate) struct ControlLoop {
    parts: ControlParts,
    gate: AdmissionGate,
    clock: ProcessClock,
    entries: EntryTable,
    served: ServedTargets,
    notes: NoteHistory,
    log: NodeLog,
    /// Ends a run's task; one for each run that was started and hasn't ended.
    stops: FastMap<AttemptId, Sender<()>>,
    /// Kept over events so that it isn't allocated anew.
    effects: Vec<GateEffect>,
    last_tick: Instant,
    /// Whether a catalogue entry says that this VM leaves.
    leaves_by_entry: bool,
    /// Whether the process itself was told to end.
    leaves_for_good: bool,
}

impl ControlLoop {
    pub(crate) fn new(parts: ControlParts) -> Self {
        let node = &parts.settings.config.node;
        let gate_settings = parts.settings.gate_settings(parts.incarnation, parts.seed);
        Self {
            log: NodeLog::new(&node.vm, &node.domain),
            gate: AdmissionGate::new(gate_settings),
            clock: ProcessClock::new(),
            entries: EntryTable::new(MAX_ENTRIES),
            served: ServedTargets::new(&parts.settings),
            notes: NoteHistory::new(NoteHistorySettings::default()),
            stops: FastMap::default(),
            effects: Vec::new(),
            last_tick: Instant::now(),
            leaves_by_entry: false,
            leaves_for_good: false,
            parts,
        }
    }

    /// Runs until told to end or every sender is gone.
    pub(crate) fn run(mut self, queue: EventQueue) {
        self.refresh_targets();
        loop {
            match queue.recv_timeout(self.wait()) {
                Ok(ControlEvent::End) => return,
                Ok(event) => self.take(event),
                Err(RecvTimeoutError::Timeout) => self.feed(GateEvent::Wake),
                Err(RecvTimeoutError::Disconnected) => return,
            }
            if self.last_tick.elapsed() >= TICK {
                self.tick();
            }
        }
    }

    /// Time until the gate's next timer or the next tick.
    fn wait(&self) -> Duration {
        let tick = TICK.saturating_sub(self.last_tick.elapsed());
        let now = self.clock.now().mono;
        self.gate.next_wake().map_or(tick, |wake| wake.since(now).min(tick))
    }

    fn take(&mut self, event: ControlEvent) {
        match event {
            ControlEvent::Link(event) => self.take_link(event),
            ControlEvent::Gate(event) => {
                if let GateEvent::RunEnded { run, .. } = &event {
                    self.stops.remove(run);
                }
                self.feed(event);
            }
            ControlEvent::TargetUp { instance } => {
                self.feed(GateEvent::TargetAnswers(true));
                for target in self.served.names() {
                    self.feed(GateEvent::TargetUp { target, instance });
                }
            }
            ControlEvent::TargetDown { cause } => {
                self.feed(GateEvent::TargetAnswers(false));
                self.parts.context.warm.clear();
                for target in self.served.names() {
                    self.feed(GateEvent::TargetDown { target, cause });
                }
            }
            ControlEvent::Holdings(holdings) => {
                let models = holdings.models.iter().map(|held| held.model.clone()).collect();
                if self.served.set_models(models) {
                    self.refresh_targets();
                }
                self.feed(GateEvent::Holdings(holdings));
            }
            ControlEvent::Cache(report) => self.take_cache(&report),
            ControlEvent::Leave => {
                self.leaves_for_good = true;
                self.feed(GateEvent::Leave);
            }
            ControlEvent::Explain { subject, answer } => {
                // The asker may be gone; nothing to do then.
                let _ = answer.try_send(self.notes.explain(&subject));
            }
            ControlEvent::End => {}
        }
    }

    fn take_link(&mut self, event: LinkEvent) {
        let links = Arc::clone(&self.parts.context.links);
        match event {
            LinkEvent::Up { peer, link } if peer.role == NodeRole::Gateway => {
                self.log.info("link_up", &[("gateway", &peer.vm)]);
                links.put(peer.vm.clone(), link);
                self.feed(GateEvent::GatewayUp { gateway: peer.vm });
            }
            LinkEvent::Up { link, .. } => link.close(),
            LinkEvent::Heartbeat { .. } => {}
            LinkEvent::Message { peer, link, message, .. } => {
                if !links.is_current(&peer.vm, link) {
                    return self.count(Counter::Event("messages_of_old_links"));
                }
                match message {
                    LinkMessage::ToSidecar(SidecarMessage::Entries(records)) => {
                        self.take_entries(&peer.vm, records);
                    }
                    LinkMessage::ToSidecar(SidecarMessage::Stay) => self.take_stay(),
                    LinkMessage::ToSidecar(message) => {
                        self.feed(GateEvent::Message { gateway: peer.vm, message });
                    }
                    _ => self.count(Counter::Dropped(DropReason::Undecodable)),
                }
            }
            LinkEvent::Down { peer, link, .. } => {
                if links.remove(&peer.vm, link) {
                    self.log.info("link_down", &[("gateway", &peer.vm)]);
                    self.feed(GateEvent::GatewayDown { gateway: peer.vm });
                }
            }
        }
    }

    /// A gateway saw that the VM is to stay after all. Without this a drain that the VM list
    /// alone had asked for would last until the next start.
    fn take_stay(&mut self) {
        if !self.leaves_by_entry && !self.leaves_for_good {
            self.feed(GateEvent::Stay);
        }
    }

    /// Puts newer entries in force and tells the gateway all that is in force: it holds whatever
    /// the report leaves out as lacking.
    fn take_entries(&mut self, gateway: &VmName, records: Vec<EntryRecord>) {
        let mut is_changed = false;
        for record in records {
            match self.entries.adopt(record) {
                Adoption::Adopted(_) => is_changed = true,
                Adoption::Stale => self.count(Counter::Dropped(DropReason::StaleEntry)),
                Adoption::Invalid { .. } => {
                    self.count(Counter::Refused(RefusalReason::InvalidEntry))
                }
                Adoption::Full => self.count(Counter::Dropped(DropReason::BufferFull)),
            }
        }
        let in_force = self.entries.entries().map(|(record, _)| record.stamp());
        let message = GatewayMessage::EntriesInForce(in_force.collect());
        self.send(gateway, message);
        if is_changed {
            self.apply_entries();
        }
    }

    fn apply_entries(&mut self) {
        let policy = self.entries.policy();
        self.feed(GateEvent::Weights(PolicyWeights {
            latency_weight: policy.latency_weight,
            reserve_share: policy.online_reserve,
        }));
        self.refresh_targets();
        let is_leaving = self.entries.leaving_vms().contains(&self.parts.settings.config.node.vm);
        let was_leaving = std::mem::replace(&mut self.leaves_by_entry, is_leaving);
        if is_leaving && !was_leaving {
            self.feed(GateEvent::Leave);
        }
        if was_leaving && !is_leaving && !self.leaves_for_good {
            self.feed(GateEvent::Stay);
        }
    }

    /// Tells the gate of targets that came, went or changed.
    fn refresh_targets(&mut self) {
        for event in self.served.refresh(&self.entries) {
            self.feed(event);
        }
    }

    fn take_cache(&mut self, report: &CacheReport) {
        for (head, is_held) in &report.events {
            if !is_held {
                self.parts.context.warm.drop_head(*head);
            }
        }
    }

    fn tick(&mut self) {
        self.last_tick = Instant::now();
        for (target, sample) in self.parts.context.timings.take() {
            self.feed(GateEvent::Timings { target, sample });
        }
        self.feed(GateEvent::WarmPrefixes(self.parts.context.warm.newest(WARM_HEADS)));
        self.show();
    }

    /// Puts the gate's state into gauges and health pages.
    fn show(&self) {
        let loads = self.gate.loads();
        let sum = |of: fn(&TargetLoad) -> u32| loads.iter().map(|load| i64::from(of(load))).sum();
        let metrics = &self.parts.context.metrics;
        metrics.set(Gauge::OnlineRunning, sum(|load| load.online_running));
        metrics.set(Gauge::OnlineWaiting, sum(|load| load.online_waiting));
        metrics.set(Gauge::BatchRunning, sum(|load| load.batch_running));
        metrics.set(Gauge::AdmissionLimit, sum(|load| load.limit));
        metrics.set(Gauge::TargetsUp, sum(|load| u32::from(load.up)));
        metrics.set(Gauge::EntriesInForce, self.entries.len() as i64);
        metrics.set(Gauge::GatewayLinks, self.parts.context.links.len() as i64);
        metrics.set(Gauge::ResultBufferBytes, self.gate.result_bytes() as i64);
        metrics.set(Gauge::Leaving, i64::from(self.gate.is_leaving()));
        let is_up = loads.iter().any(|load| load.up);
        self.parts.status.set(is_up, self.gate.is_leaving());
    }

    /// Lets the gate decide, and carries out what it wants.
    fn feed(&mut self, event: GateEvent) {
        let begun = Instant::now();
        let now = self.clock.now();
        let mut effects = std::mem::take(&mut self.effects);
        self.gate.handle(now, event, &mut effects);
        for effect in effects.drain(..) {
            self.carry_out(now, effect);
        }
        self.effects = effects;
        self.parts.context.metrics.observe(Timing::ControlStep, begun.elapsed());
    }

    fn carry_out(&mut self, now: Now, effect: GateEffect) {
        match effect {
            GateEffect::Send { gateway, message } => self.send(&gateway, message),
            GateEffect::Start(request) => self.start(request),
            GateEffect::Stop { run } => {
                // A missing one has just ended by itself: its end is in the queue.
                if let Some(stop) = self.stops.remove(&run) {
                    stop.close();
                }
            }
            GateEffect::Replay { run, gateway, offset } => {
                if let Some(buffer) = self.parts.context.board.get(run) {
                    buffer.replay(&gateway, offset, &self.parts.context.links);
                }
            }
            GateEffect::ForgetOutput { run } => self.parts.context.board.forget(run),
            GateEffect::Probe { .. } => {
                // Full means that a probe is due anyway.
                let _ = self.parts.probes.try_send(());
            }
            GateEffect::Order(order) => {
                let key = (order.epoch, order.order);
                if self.parts.orders.try_send(order).is_err() {
                    let detail = "an order is still at the engine".to_owned();
                    self.parts.context.events.gate(GateEvent::OrderEnded {
                        epoch: key.0,
                        order: key.1,
                        outcome: OrderOutcome::Failed { detail },
                    });
                }
            }
            GateEffect::Count(counter) => self.count(counter),
            GateEffect::Note(note) => {
                self.log.decision(&note);
                self.notes.record(now, note);
            }
            GateEffect::Drained => {
                self.log.info("drained", &[]);
                if self.leaves_for_good {
                    self.parts.drained.close();
                }
            }
        }
    }

    fn start(&mut self, request: Box<RunRequest>) {
        let gateway = match request.class {
            WorkClass::Online => Some(request.gateway.clone()),
            WorkClass::Batch => None,
        };
        let run = request.run;
        let buffer = self.parts.context.board.open(run, gateway);
        let (stop, stopped) = async_channel::bounded(1);
        self.stops.insert(run, stop);
        task::spawn(run_call(self.parts.context.clone(), request, buffer, stopped));
    }

    /// Sends, or closes a link that takes nothing: a gateway that reads so slowly gets everything
    /// again over its next link, where a message lost unseen would never be made up for.
    fn send(&self, gateway: &VmName, message: GatewayMessage) {
        if !self.parts.context.links.send(gateway, message) {
            self.count(Counter::Event("link_sends_failed"));
            self.parts.context.links.close(gateway);
        }
    }

    fn count(&self, counter: Counter) {
        self.parts.context.metrics.count(counter);
    }
}
