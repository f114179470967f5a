//! A planner beside a fleet whose engines do every order: for measuring what placement costs and
//! what a loss moves. Virtual time, no store, no links.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use notch_messages::prelude::*;
use notch_types::{
    object::{ObjectVersion, StoreOp, StoreReply},
    prelude::*,
};

use crate::prelude::*;

/// Failure domains.
const DOMAINS: usize = 5;
/// Models.
const MODELS: usize = 5;
/// One target in this many is spare.
const SPARE: usize = 6;
/// How long a load takes, milliseconds.
const LOAD_MS: u64 = 60_000;

/// A fleet whose engines do every order; time passes in steps of a second.
pub struct ModelFleet {
    planner: PlacementPlanner,
    time: u64,
    /// What each target holds.
    pub reports: BTreeMap<VmName, TargetHoldings>,
    /// Orders at engines, by the time of their end.
    running: Vec<(u64, TargetOrder)>,
    written: u64,
    loads: usize,
    unloads: usize,
    /// The longest plan.
    pub slowest: Duration,
    /// Time spent in the planner, all events together.
    pub spent: Duration,
    /// Plans made.
    pub plans: u32,
}

impl ModelFleet {
    /// A fleet of `targets` targets that hold the models as wanted, one in six spare.
    pub fn new(targets: usize) -> Self {
        let held = |number: usize| {
            let model = number / DOMAINS % SPARE;
            (model < MODELS).then(|| HeldModel {
                model: TargetName::new(&format!("model-{model}")),
                version: "v1".to_owned(),
                adapters: vec![],
            })
        };
        let reports = (0..targets).map(|number| {
            let vm = VmName::new(&format!("target-{number:04}"));
            let report = TargetHoldings {
                vm: vm.clone(),
                domain: DomainName::new(&format!("domain-{}", number % DOMAINS)),
                incarnation: Incarnation(1),
                sequence: 0,
                up: true,
                leaving: false,
                slots: 1,
                role: "mixed".to_owned(),
                models: held(number).into_iter().collect(),
                epoch: None,
                ended_order: 0,
                busy: false,
            };
            (vm, report)
        });
        let mut fleet = Self {
            planner: PlacementPlanner::new(PlannerSettings::default()),
            time: 1_000,
            reports: reports.collect(),
            running: vec![],
            written: 0,
            loads: 0,
            unloads: 0,
            slowest: Duration::ZERO,
            spent: Duration::ZERO,
            plans: 0,
        };
        let replicas = (targets - targets / SPARE) / MODELS;
        let models = (0..MODELS).map(|number| ModelWanted {
            model: TargetName::new(&format!("model-{number}")),
            version: "v1".to_owned(),
            adapters: vec![],
            replicas: replicas as u32,
            min_replicas: (replicas * 7 / 10) as u32,
            role: "mixed".to_owned(),
        });
        fleet.tell(PlacementEvent::CatalogueModels(models.collect()));
        fleet.tell(PlacementEvent::Prefer(Some(0)));
        fleet
    }

    /// Takes whatever the planner wants at once; permits are never denied.
    fn tell(&mut self, event: PlacementEvent) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            let mut effects = Vec::new();
            let started = Instant::now();
            let is_tick = event == PlacementEvent::Tick;
            self.planner.handle(Now::at_millis(self.time), event, &mut effects);
            if is_tick {
                self.slowest = self.slowest.max(started.elapsed());
                self.plans += 1;
            }
            self.spent += started.elapsed();
            for effect in effects {
                self.carry_out(effect, &mut events);
            }
        }
    }

    fn carry_out(&mut self, effect: PlacementEffect, events: &mut Vec<PlacementEvent>) {
        match effect {
            PlacementEffect::Call(call) => {
                let reply = match call.op {
                    StoreOp::Put { .. } => {
                        self.written += 1;
                        StoreReply::Written(ObjectVersion(self.written))
                    }
                    _ => StoreReply::Object(None),
                };
                events.push(PlacementEvent::StoreAnswer { call: call.call, result: Ok(reply) });
            }
            PlacementEffect::WantPermit { epoch, order, .. } => {
                events.push(PlacementEvent::PermitGranted { epoch, order });
            }
            PlacementEffect::Order(order) => {
                let is_load = matches!(order.action, OrderAction::Load { .. });
                let known = self.running.iter().any(|(_, open)| open.order == order.order);
                if !known {
                    let length = if is_load { LOAD_MS } else { 1_000 };
                    self.running.push((self.time + length, order));
                }
            }
            PlacementEffect::EpochKnown(epoch) => {
                self.reports.values_mut().for_each(|report| report.epoch = Some(epoch));
            }
            PlacementEffect::TellEpoch { vm, epoch } => {
                if let Some(report) = self.reports.get_mut(&vm) {
                    report.epoch = Some(epoch);
                }
            }
            PlacementEffect::Count(_) | PlacementEffect::Note(_) => {}
        }
    }

    /// Every target that is up reports once.
    pub fn report_all(&mut self) {
        for vm in self.reports.keys().cloned().collect::<Vec<_>>() {
            if let Some(report) = self.reports.get_mut(&vm).filter(|report| report.up) {
                report.sequence += 1;
                let report = report.clone();
                self.tell(PlacementEvent::TargetSeen(report));
            }
        }
    }

    fn step(&mut self) {
        self.time += 1_000;
        let (ended, running) = self.running.drain(..).partition(|(at, _)| *at <= self.time);
        self.running = running;
        let ended: Vec<(u64, TargetOrder)> = ended;
        for (_, order) in ended {
            self.finish(&order);
        }
        if self.time.is_multiple_of(5_000) {
            self.report_all();
        }
        self.tell(PlacementEvent::Tick);
    }

    fn finish(&mut self, order: &TargetOrder) {
        let Some(report) = self.reports.get_mut(&order.vm).filter(|report| report.up) else {
            return;
        };
        report.ended_order = report.ended_order.max(order.order);
        match order.action.clone() {
            OrderAction::Load { model, version, adapters } => {
                self.loads += 1;
                report.models = vec![HeldModel { model, version, adapters }];
            }
            OrderAction::Unload { .. } => {
                self.unloads += 1;
                report.models.clear();
            }
            OrderAction::Role { role } => report.role = role,
        }
        let (vm, epoch, order) = (order.vm.clone(), order.epoch, order.order);
        let outcome = OrderOutcome::Done;
        self.tell(PlacementEvent::OrderEnded { vm, epoch, order, outcome });
    }

    /// Runs until nothing has been at work for two minutes; tells when the last order ended,
    /// seconds after now.
    pub fn settle(&mut self) -> u64 {
        let began = self.time;
        let mut last = self.time;
        while self.time < last + 120_000 {
            self.step();
            if !self.running.is_empty() {
                last = self.time;
            }
        }
        (last - began) / 1_000
    }

    /// Loses the targets that `lost` picks.
    pub fn lose(&mut self, lost: impl Fn(&TargetHoldings) -> bool) {
        for report in self.reports.values_mut().filter(|report| lost(report)) {
            report.up = false;
            report.models.clear();
        }
        let gone = self.reports.values().filter(|report| !report.up);
        for vm in gone.map(|report| report.vm.clone()).collect::<Vec<_>>() {
            self.tell(PlacementEvent::TargetGone { vm });
        }
    }

    /// Loads and unloads done since the last time of asking.
    pub fn moves(&mut self) -> (usize, usize) {
        (std::mem::take(&mut self.loads), std::mem::take(&mut self.unloads))
    }

    /// Has the planner plan `count` times while nothing changes.
    pub fn plan_times(&mut self, count: usize) {
        (self.slowest, self.spent, self.plans) = (Duration::ZERO, Duration::ZERO, 0);
        for _ in 0..count {
            self.time += 1_000;
            self.tell(PlacementEvent::Tick);
        }
    }

    /// Brings the lost targets back, restarted and empty.
    pub fn bring_back(&mut self) {
        for report in self.reports.values_mut().filter(|report| !report.up) {
            report.up = true;
            report.incarnation = Incarnation(2);
            (report.sequence, report.ended_order, report.epoch) = (0, 0, None);
        }
    }
}
