//! The planner: keeps the lease, listens to the fleet, orders while it holds the lease.

mod answers;

use std::collections::BTreeMap;

use notch_types::prelude::*;

use crate::{
    demand::DemandTracker,
    effect::PlacementEffect,
    event::PlacementEvent,
    fleet::FleetView,
    lease::{LeaseEffect, LeaseEvent, LeaseHolder},
    model::ModelWanted,
    orders::OrderBook,
    plan::{PlanMemory, PlanPass},
    settings::PlannerSettings,
};

/// Decides which target holds which model, adapter and version, and in which role.
///
/// Invariants, whatever the fleet reports and however long this process was paused:
/// - nothing is ordered unless the lease surely runs on the own clock;
/// - no order takes a copy down unless as many others as the model's least number, and at least
///   one, are confirmed to serve: reported under the own epoch, with no order at work;
/// - one order a VM is open at a time.
#[derive(Debug)]
pub struct PlacementPlanner {
    settings: PlannerSettings,
    lease: LeaseHolder,
    /// By name; at most `max_models`.
    wanted: BTreeMap<TargetName, ModelWanted>,
    fleet: FleetView,
    orders: OrderBook,
    demand: DemandTracker,
    memory: PlanMemory,
    /// When the next plan is due; `None` while the lease isn't held.
    plan_at: Option<MonoTime>,
}

impl PlacementPlanner {
    /// A planner that knows nothing yet.
    pub fn new(settings: PlannerSettings) -> Self {
        Self {
            lease: LeaseHolder::new(settings.lease.clone()),
            settings,
            wanted: BTreeMap::new(),
            fleet: FleetView::default(),
            orders: OrderBook::default(),
            demand: DemandTracker::default(),
            memory: PlanMemory::default(),
            plan_at: None,
        }
    }

    /// Takes one event and appends what is to be done, in order.
    pub fn handle(&mut self, now: Now, event: PlacementEvent, effects: &mut Vec<PlacementEffect>) {
        match event {
            PlacementEvent::StoreAnswer { call, result } => {
                self.tell_lease(now, LeaseEvent::Answer { call, result }, effects);
            }
            PlacementEvent::Prefer(rank) => {
                self.tell_lease(now, LeaseEvent::Prefer(rank), effects);
            }
            PlacementEvent::Leave => self.tell_lease(now, LeaseEvent::Leave, effects),
            PlacementEvent::CatalogueModels(models) => self.take_models(models, effects),
            PlacementEvent::TargetSeen(report) => self.take_report(now, report, effects),
            PlacementEvent::TargetGone { vm } => self.fleet.take_gone(now, &vm),
            PlacementEvent::TargetLeaving { vm, leaving } => {
                self.fleet.take_leaving(&vm, leaving, self.settings.max_targets);
            }
            PlacementEvent::LoadSeen { vm, load } => {
                if let Some(target) = self.fleet.get_mut(&vm) {
                    target.take_load(now, &load);
                }
            }
            PlacementEvent::OrderEnded { vm, epoch, order, outcome } => {
                self.take_outcome(now, &vm, epoch, order, outcome, effects);
            }
            PlacementEvent::PermitGranted { epoch, order } => {
                self.take_permit(now, epoch, order, effects);
            }
            PlacementEvent::PermitDenied { epoch, order, retry_after } => {
                self.take_denial(now, epoch, order, retry_after, effects);
            }
            PlacementEvent::Tick => self.tick(now, effects),
        }
    }

    /// When the next `Tick` is due.
    pub fn next_wake(&self) -> Option<MonoTime> {
        let wakes = [self.lease.next_wake(), self.plan_at];
        wakes.into_iter().flatten().min()
    }

    /// The epoch under which orders may be given now; for the daemon's status and its gauge.
    pub fn valid_epoch(&self, now: Now) -> Option<Epoch> {
        self.lease.valid_epoch(now.mono)
    }

    /// The epoch of the lease while it is held, also while nothing may be ordered under it because
    /// its last renewal took too long: reports are wanted here all the same.
    pub fn held_epoch(&self) -> Option<Epoch> {
        self.lease.held_epoch()
    }

    /// Orders without an answer.
    pub fn open_orders(&self) -> usize {
        self.orders.open.len()
    }

    fn tick(&mut self, now: Now, effects: &mut Vec<PlacementEffect>) {
        self.tell_lease(now, LeaseEvent::Tick, effects);
        if self.plan_at.is_some_and(|at| at <= now.mono) {
            self.plan_at = Some(now.mono + self.settings.plan_every);
            // Without a valid lease nothing is ordered, not even again.
            if self.lease.valid_epoch(now.mono) == Some(self.orders.epoch()) {
                self.fleet.expire(now, &self.settings);
                self.forget_orders();
                self.retry(now, effects);
                self.plan(now, effects);
            }
        }
    }

    fn plan(&mut self, now: Now, effects: &mut Vec<PlacementEffect>) {
        self.demand.update(now, &self.wanted, &self.fleet, &self.settings);
        let (wanted, fleet, orders) = (&self.wanted, &self.fleet, &self.orders);
        let wants = PlanPass::wants(wanted, &self.demand, fleet, orders);
        let mut pass = PlanPass {
            now,
            settings: &self.settings,
            wanted: &self.wanted,
            wants,
            fleet: &mut self.fleet,
            orders: &mut self.orders,
            memory: &mut self.memory,
            effects,
        };
        pass.run();
    }

    fn tell_lease(&mut self, now: Now, event: LeaseEvent, effects: &mut Vec<PlacementEffect>) {
        let mut found = Vec::new();
        self.lease.handle(now, event, &mut found);
        for effect in found {
            match effect {
                LeaseEffect::Call(call) => effects.push(PlacementEffect::Call(call)),
                LeaseEffect::Count(counter) => effects.push(PlacementEffect::Count(counter)),
                LeaseEffect::EpochKnown(epoch) => effects.push(PlacementEffect::EpochKnown(epoch)),
                LeaseEffect::Gained(epoch) => self.begin(now, epoch, effects),
                LeaseEffect::Lost(epoch) => self.end(epoch, effects),
            }
        }
    }

    fn begin(&mut self, now: Now, epoch: Epoch, effects: &mut Vec<PlacementEffect>) {
        self.orders.begin(epoch);
        self.memory = PlanMemory::default();
        for target in self.fleet.targets.values_mut() {
            target.reserved = None;
        }
        self.plan_at = Some(now.mono + self.settings.settle);
        self.note_lease("placement_lease_taken", epoch, effects);
    }

    fn end(&mut self, epoch: Epoch, effects: &mut Vec<PlacementEffect>) {
        self.orders.begin(Epoch::default());
        self.plan_at = None;
        self.note_lease("placement_lease_lost", epoch, effects);
    }

    fn note_lease(&self, code: &'static str, epoch: Epoch, effects: &mut Vec<PlacementEffect>) {
        let vm = &self.settings.lease.vm;
        let note = DecisionNote::new(NoteSubject::Vm(vm.clone()), code, format!("epoch {epoch}"));
        effects.push(PlacementEffect::Count(Counter::Event(code)));
        effects.push(PlacementEffect::Note(note.with_vm(vm)));
    }

    fn take_models(&mut self, models: Vec<ModelWanted>, effects: &mut Vec<PlacementEffect>) {
        let before = std::mem::take(&mut self.wanted);
        for wanted in models.into_iter().map(ModelWanted::normalized) {
            if self.wanted.len() >= self.settings.max_models {
                effects.push(PlacementEffect::Count(Counter::Dropped(DropReason::BufferFull)));
                continue;
            }
            let known = before.get(&wanted.model);
            if known.is_none_or(|known| known.load_action() != wanted.load_action()) {
                self.memory.rollouts.remove(&wanted.model);
                self.memory.blocked.remove(&wanted.model);
            }
            self.wanted.insert(wanted.model.clone(), wanted);
        }
        self.memory.keep(&self.wanted);
    }
}
