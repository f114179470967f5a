//! The fleet, its network and what must always hold.

use std::{collections::BTreeMap, time::Duration};

use notch_messages::prelude::*;
use notch_placement::prelude::*;
use notch_types::prelude::*;

use super::{Dice, fast_settings, sidecar::FakeSidecar, store::FakeStore};

/// Length of a step, milliseconds.
pub(crate) const STEP: u64 = 50;
/// Time between two reports of a sidecar, milliseconds.
const REPORT: u64 = 500;
/// Longest time that a message is held up, milliseconds: several leases.
const HELD_UP: u64 = 10_000;

/// Something on its way.
#[derive(Debug, Clone)]
enum Mail {
    ToNode(usize, Box<PlacementEvent>),
    /// From a node to a sidecar's incarnation: a link doesn't outlive the process.
    Order(usize, u64, TargetOrder),
    Epoch(VmName, u64, Epoch),
}

pub(crate) struct FakeNode {
    pub(crate) planner: PlacementPlanner,
    /// While paused nothing is handled; mail waits.
    pub(crate) paused: bool,
    /// Added to its monotonic clock: clocks are never compared.
    offset: u64,
    waiting: Vec<PlacementEvent>,
    pub(crate) orders: Vec<TargetOrder>,
    pub(crate) wishes: Vec<(u64, VmName)>,
    pub(crate) counts: BTreeMap<Counter, u64>,
    pub(crate) notes: Vec<DecisionNote>,
}

/// What the network and the weight store do.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct WorldMood {
    /// Longest delay of a message, milliseconds.
    pub(crate) delay: u64,
    /// In a hundred orders, answers and told epochs, those that are lost.
    pub(crate) lost: u64,
    /// In a hundred of them, and of orders at work, those held up for up to [`HELD_UP`].
    pub(crate) held_up: u64,
    /// In a hundred wishes for a permit, those denied.
    pub(crate) denied: u64,
}

pub(crate) struct World {
    pub(crate) time: u64,
    pub(crate) store: FakeStore,
    pub(crate) nodes: Vec<FakeNode>,
    pub(crate) sidecars: BTreeMap<VmName, FakeSidecar>,
    pub(crate) wanted: Vec<ModelWanted>,
    pub(crate) mood: WorldMood,
    pub(crate) dice: Dice,
    mail: BTreeMap<(u64, u64), Mail>,
    sent: u64,
    /// Copies taken down although too few others served: must stay empty.
    pub(crate) breaches: Vec<String>,
    /// Whether VMs may be lost: then a copy can be the last through nobody's fault.
    pub(crate) lossy: bool,
    /// Most loads at engines at once.
    pub(crate) most_loads: usize,
    pub(crate) wishes: u64,
    /// A sidecar that hears nothing from this node; its own reports get through.
    pub(crate) deaf: Option<(VmName, usize)>,
    /// Whether no sidecar reports.
    pub(crate) silent: bool,
}

impl World {
    pub(crate) fn new(
        nodes: usize,
        sidecars: Vec<FakeSidecar>,
        wanted: Vec<ModelWanted>,
        seed: u64,
    ) -> Self {
        let names = (0..nodes as u64).map(|number| (number, format!("gateway-{number}")));
        let nodes = names.map(|(number, name)| FakeNode {
            planner: PlacementPlanner::new(fast_settings(&name, number + 1)),
            paused: false,
            offset: 1_000_000 * number,
            waiting: Vec::new(),
            orders: Vec::new(),
            wishes: Vec::new(),
            counts: BTreeMap::new(),
            notes: Vec::new(),
        });
        let mut world = Self {
            time: 1_000,
            store: FakeStore::default(),
            nodes: nodes.collect(),
            sidecars: sidecars.into_iter().map(|s| (s.vm.clone(), s)).collect(),
            wanted: Vec::new(),
            mood: WorldMood { delay: 2 * STEP, ..WorldMood::default() },
            dice: Dice(seed << 32),
            mail: BTreeMap::new(),
            sent: 0,
            breaches: Vec::new(),
            lossy: false,
            most_loads: 0,
            wishes: 0,
            deaf: None,
            silent: false,
        };
        world.set_wanted(wanted);
        for node in 0..world.nodes.len() {
            // One after the other, so that the first one holds the lease.
            world.tell(node, PlacementEvent::Prefer(Some(node as u32)));
            world.run(1_000);
        }
        world
    }

    pub(crate) fn set_wanted(&mut self, wanted: Vec<ModelWanted>) {
        self.wanted = wanted;
        for node in 0..self.nodes.len() {
            self.tell(node, PlacementEvent::CatalogueModels(self.wanted.clone()));
        }
    }

    pub(crate) fn sidecar(&mut self, vm: &str) -> &mut FakeSidecar {
        self.sidecars.get_mut(&VmName::new(vm)).expect("a VM of this world")
    }

    /// Nodes that may order now.
    pub(crate) fn holders(&self) -> Vec<(usize, Epoch)> {
        let valid = |(number, node): (usize, &FakeNode)| {
            Some((number, node.planner.valid_epoch(self.now(number))?))
        };
        self.nodes.iter().enumerate().filter_map(valid).collect()
    }

    pub(crate) fn serving(&self, model: &str) -> usize {
        let model = TargetName::new(model);
        self.sidecars.values().filter(|sidecar| sidecar.serves(&model)).count()
    }

    pub(crate) fn run(&mut self, millis: u64) {
        for _ in 0..millis / STEP {
            self.step();
        }
    }

    pub(crate) fn step(&mut self) {
        self.time += STEP;
        self.deliver();
        self.run_engines();
        for number in 0..self.nodes.len() {
            let due = self.nodes[number].planner.next_wake();
            if due.is_some_and(|due| due <= self.now(number).mono) {
                self.tell(number, PlacementEvent::Tick);
            }
        }
    }

    pub(crate) fn pause(&mut self, node: usize) {
        self.nodes[node].paused = true;
    }

    pub(crate) fn wake(&mut self, node: usize) {
        self.nodes[node].paused = false;
        for event in std::mem::take(&mut self.nodes[node].waiting) {
            self.tell(node, event);
        }
    }

    pub(crate) fn tell(&mut self, node: usize, event: PlacementEvent) {
        if self.nodes[node].paused {
            if event != PlacementEvent::Tick {
                self.nodes[node].waiting.push(event);
            }
            return;
        }
        let mut effects = Vec::new();
        let now = self.now(node);
        self.nodes[node].planner.handle(now, event, &mut effects);
        for effect in effects {
            self.carry_out(node, effect);
        }
    }

    fn now(&self, node: usize) -> Now {
        let mono = MonoTime::from_millis(self.time + self.nodes[node].offset);
        Now { mono, wall: WallTime(self.time) }
    }

    fn carry_out(&mut self, node: usize, effect: PlacementEffect) {
        match effect {
            PlacementEffect::Call(call) => {
                let result = self.store.answer(&call.op, &mut self.dice);
                self.post(Mail::ToNode(
                    node,
                    Box::new(PlacementEvent::StoreAnswer { call: call.call, result }),
                ));
            }
            PlacementEffect::Order(order) => {
                assert!(self.nodes[node].planner.valid_epoch(self.now(node)) == Some(order.epoch));
                self.nodes[node].orders.push(order.clone());
                if self.deaf == Some((order.vm.clone(), node)) {
                    return;
                }
                let to = self.sidecars[&order.vm].incarnation;
                self.post_lossy(Mail::Order(node, to, order));
            }
            PlacementEffect::WantPermit { epoch, order, vm, .. } => {
                self.wishes += 1;
                self.nodes[node].wishes.push((order, vm));
                let retry_after = Duration::from_millis(400);
                let event = match self.dice.roll(100) < self.mood.denied {
                    true => PlacementEvent::PermitDenied { epoch, order, retry_after },
                    false => PlacementEvent::PermitGranted { epoch, order },
                };
                self.post(Mail::ToNode(node, Box::new(event)));
            }
            PlacementEffect::EpochKnown(epoch) => {
                for vm in self.sidecars.keys().cloned().collect::<Vec<_>>() {
                    self.carry_out(node, PlacementEffect::TellEpoch { vm, epoch });
                }
            }
            PlacementEffect::TellEpoch { vm, epoch } => {
                if self.deaf == Some((vm.clone(), node)) {
                    return;
                }
                let to = self.sidecars[&vm].incarnation;
                self.post_lossy(Mail::Epoch(vm, to, epoch));
            }
            PlacementEffect::Count(counter) => {
                *self.nodes[node].counts.entry(counter).or_default() += 1
            }
            PlacementEffect::Note(note) => self.nodes[node].notes.push(note),
        }
    }

    fn post_lossy(&mut self, mail: Mail) {
        if self.dice.roll(100) >= self.mood.lost {
            let held_up = self.dice.roll(100) < self.mood.held_up;
            let delay = if held_up { self.dice.roll(HELD_UP) } else { 0 };
            self.post_after(delay, mail);
        }
    }

    fn post(&mut self, mail: Mail) {
        self.post_after(0, mail);
    }

    fn post_after(&mut self, delay: u64, mail: Mail) {
        self.sent += 1;
        let at = self.time + 1 + delay + self.dice.roll(self.mood.delay);
        self.mail.insert((at, self.sent), mail);
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.mail.first_entry().filter(|entry| entry.key().0 <= self.time) {
            match entry.remove() {
                Mail::ToNode(node, event) => self.tell(node, *event),
                Mail::Order(node, to, order) => self.give(node, to, order),
                Mail::Epoch(vm, to, epoch) => {
                    let sidecar = self.sidecars.get_mut(&vm);
                    if let Some(sidecar) = sidecar.filter(|s| s.up && s.incarnation == to) {
                        sidecar.learn(epoch);
                    }
                }
            }
        }
    }

    fn give(&mut self, node: usize, to: u64, order: TargetOrder) {
        let slow = self.dice.roll(100) < self.mood.held_up;
        let until = self.time + 100 + self.dice.roll(if slow { HELD_UP } else { 500 });
        let sidecar = self.sidecars.get_mut(&order.vm);
        let Some(sidecar) = sidecar.filter(|s| s.up && s.incarnation == to) else { return };
        match sidecar.take(order.clone(), node, until) {
            Ok(down) => {
                for model in down {
                    self.check_take_down(&order, &model);
                }
            }
            Err(outcome) => self.answer(node, &order, outcome),
        }
    }

    /// The rule that the whole crate is for, seen from the engines.
    fn check_take_down(&mut self, order: &TargetOrder, model: &TargetName) {
        let Some(wanted) = self.wanted.iter().find(|wanted| wanted.model == *model) else { return };
        let floor = if wanted.replicas == 0 { 0 } else { wanted.min_replicas.max(1) };
        let others = self.sidecars.values().filter(|s| s.vm != order.vm && s.serves(model));
        let others = others.count() as u32;
        if others < floor && !self.lossy {
            let text = format!("{} ms: {order:?} leaves {others} of {floor}", self.time);
            self.breaches.push(text);
        }
    }

    fn answer(&mut self, node: usize, order: &TargetOrder, outcome: OrderOutcome) {
        let (vm, epoch, order) = (order.vm.clone(), order.epoch, order.order);
        let event = PlacementEvent::OrderEnded { vm, epoch, order, outcome };
        self.post_lossy(Mail::ToNode(node, Box::new(event)));
    }

    fn run_engines(&mut self) {
        let is_load = |s: &&FakeSidecar| {
            s.busy.as_ref().is_some_and(|(o, _, _)| matches!(o.action, OrderAction::Load { .. }))
        };
        self.most_loads = self.most_loads.max(self.sidecars.values().filter(is_load).count());
        for vm in self.sidecars.keys().cloned().collect::<Vec<_>>() {
            let Some(sidecar) = self.sidecars.get_mut(&vm).filter(|s| s.up) else { continue };
            let ended = sidecar.finish(self.time);
            // Each sidecar reads its engine at a time of its own, and reports when it likes.
            let beat = self.time + STEP * (stable_hash64(&[vm.as_str().as_bytes()]) % 10);
            if beat.is_multiple_of(REPORT) {
                sidecar.read_engine();
            }
            if !self.silent && (beat.is_multiple_of(REPORT / 2) || ended.is_some()) {
                let report = sidecar.report();
                for node in 0..self.nodes.len() {
                    let event = PlacementEvent::TargetSeen(report.clone());
                    self.post(Mail::ToNode(node, Box::new(event)));
                }
            }
            if let Some((order, node, outcome)) = ended {
                self.answer(node, &order, outcome);
            }
        }
    }
}
