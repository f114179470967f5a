//! Catalogue nodes and the messages between them.

use std::collections::{BTreeMap, BTreeSet};

use notch_membership::{
    MemberRoster, RosterMember, partners_of,
    probe::{LinkRule, MessageQueue, MessageSize, SentFigures, listed_fleet},
};
use notch_messages::{entry::EntryKey, gossip::GossipMessage};
use notch_types::{object::StoreResult, prelude::*};
use rand::{SeedableRng, rngs::SmallRng};

use super::store::{MemoryStore, StoreAnswer, StoreRule};
use crate::{
    effect::CatalogueEffect, event::CatalogueEvent, node::CatalogueNode,
    settings::CatalogueSettings,
};

/// Rings that partners come from, as in the usual membership.
const RINGS: u8 = 4;

/// What is on its way to a node.
#[derive(Debug)]
enum Arrival {
    Gossip(GossipMessage),
    Store(CallId, StoreResult),
}

/// An effect other than a message or a call: when, where, what.
pub type ToldEffect = (MonoTime, VmName, CatalogueEffect);

/// Catalogue nodes, a store, and what is on its way between them. All know at once who runs:
/// membership is measured by itself.
pub struct CatalogueFleet {
    now: MonoTime,
    /// The store.
    pub store: MemoryStore,
    settings: CatalogueSettings,
    /// All nodes, running or not.
    roster: MemberRoster,
    /// Whether nodes started or stopped since the others were told.
    moved: bool,
    nodes: BTreeMap<VmName, CatalogueNode>,
    starts: BTreeMap<VmName, u64>,
    wakes: BTreeSet<(MonoTime, VmName)>,
    due: BTreeMap<VmName, MonoTime>,
    queue: MessageQueue<Arrival>,
    size: MessageSize,
    sent: SentFigures,
    told: Vec<ToldEffect>,
}

impl CatalogueFleet {
    /// A fleet none of whose nodes runs, beside an empty store.
    pub fn new(
        count: usize,
        domains: usize,
        settings: &CatalogueSettings,
        size: MessageSize,
    ) -> Self {
        let list = listed_fleet(count, domains);
        let seats = list.iter().map(|listed| RosterMember::new(&listed.vm, &listed.domain));
        let roster = MemberRoster::new(seats.collect());
        Self {
            now: MonoTime::default(),
            store: MemoryStore::default(),
            settings: settings.clone(),
            roster,
            moved: false,
            nodes: BTreeMap::new(),
            starts: BTreeMap::new(),
            wakes: BTreeSet::new(),
            due: BTreeMap::new(),
            queue: MessageQueue::default(),
            size,
            sent: SentFigures::default(),
            told: Vec::new(),
        }
    }

    /// The names of all nodes, running or not.
    pub fn names(&self) -> Vec<VmName> {
        self.roster.members().iter().map(|member| member.vm.clone()).collect()
    }

    /// Virtual time.
    pub fn now(&self) -> MonoTime {
        self.now
    }

    /// Starts all nodes.
    pub fn start_all(&mut self) {
        for vm in self.names() {
            self.start(&vm);
        }
    }

    /// Starts a node with nothing in force.
    pub fn start(&mut self, vm: &VmName) {
        let Some(member) = self.roster.get(vm) else { return };
        let start = self.starts.entry(vm.clone()).or_default();
        *start += 1;
        let random = SmallRng::seed_from_u64(member.hash() ^ *start);
        let node = CatalogueNode::new(vm, &member.domain, self.settings.clone(), random);
        self.nodes.insert(vm.clone(), node);
        self.moved = true;
        self.plan(vm);
    }

    /// Ends a node's process without a word.
    pub fn stop(&mut self, vm: &VmName) {
        self.nodes.remove(vm);
        self.moved = true;
        if let Some(due) = self.due.remove(vm) {
            self.wakes.remove(&(due, vm.clone()));
        }
    }

    /// A running node.
    pub fn node(&self, vm: &VmName) -> Option<&CatalogueNode> {
        self.nodes.get(vm)
    }

    /// The running nodes, by name.
    pub fn running(&self) -> impl Iterator<Item = (&VmName, &CatalogueNode)> {
        self.nodes.iter()
    }

    /// Running nodes that have this version, or a newer one, in force.
    pub fn in_force(&self, key: &EntryKey, version: EntryVersion) -> usize {
        let held = self.nodes.values().filter_map(|node| node.table().record(key));
        held.filter(|record| record.version >= version).count()
    }

    /// Whether every running node is ready and all have the same in force.
    pub fn is_settled(&self) -> bool {
        let roots: BTreeSet<u64> = self.nodes.values().map(|node| node.table().root()).collect();
        self.nodes.values().all(CatalogueNode::is_ready) && roots.len() <= 1
    }

    /// Writes an entry; watchers are told by the store.
    pub fn edit(
        &mut self,
        key: &EntryKey,
        text: &str,
        link: LinkRule<'_>,
        rule: StoreRule<'_>,
    ) -> EntryVersion {
        let version = self.store.put(self.now, key, text);
        self.answer_watches();
        self.run_until(self.now, link, rule);
        version
    }

    /// Tells a node something.
    pub fn tell(
        &mut self,
        vm: &VmName,
        event: CatalogueEvent,
        link: LinkRule<'_>,
        rule: StoreRule<'_>,
    ) {
        let Some(node) = self.nodes.get_mut(vm) else { return };
        let mut effects = Vec::new();
        node.handle(Now { mono: self.now, wall: WallTime::default() }, event, &mut effects);
        for effect in effects {
            self.carry_out(vm, effect, link, rule);
        }
        self.plan(vm);
    }

    /// Goes on until `until`.
    pub fn run_until(&mut self, until: MonoTime, link: LinkRule<'_>, rule: StoreRule<'_>) {
        self.tell_members(link, rule);
        while let Some(at) = self.next_at().filter(|at| *at <= until) {
            self.now = self.now.max(at);
            self.answer_watches();
            if self.queue.next_at() == Some(at) {
                let Some((from, vm, arrival)) = self.queue.pop() else { continue };
                let event = match arrival {
                    Arrival::Gossip(message) => CatalogueEvent::Received { from, message },
                    Arrival::Store(call, result) => CatalogueEvent::StoreAnswered { call, result },
                };
                self.tell(&vm, event, link, rule);
            } else if self.wakes.first().is_some_and(|(wake, _)| *wake <= at) {
                let Some((_, vm)) = self.wakes.pop_first() else { continue };
                self.due.remove(&vm);
                self.tell(&vm, CatalogueEvent::Tick, link, rule);
            }
        }
        self.now = until;
    }

    /// What was sent since the last time of asking.
    pub fn take_sent(&mut self) -> SentFigures {
        std::mem::take(&mut self.sent)
    }

    /// Effects other than messages and calls since the last time of asking.
    pub fn take_told(&mut self) -> Vec<ToldEffect> {
        std::mem::take(&mut self.told)
    }

    /// Tells every node who runs, as membership would a little later.
    fn tell_members(&mut self, link: LinkRule<'_>, rule: StoreRule<'_>) {
        if !std::mem::take(&mut self.moved) {
            return;
        }
        let running =
            self.roster.members().iter().filter(|member| self.nodes.contains_key(&member.vm));
        let roster = MemberRoster::new(running.cloned().collect());
        for (vm, partners) in partners_of(&roster, RINGS) {
            let event = CatalogueEvent::Members { roster: roster.clone(), partners };
            self.tell(&vm, event, link, rule);
        }
    }

    fn next_at(&self) -> Option<MonoTime> {
        let wake = self.wakes.first().map(|(at, _)| *at);
        [wake, self.queue.next_at(), self.store.next_at()].into_iter().flatten().min()
    }

    fn answer_watches(&mut self) {
        for answer in self.store.ripe(self.now) {
            self.send_answer(answer);
        }
    }

    fn send_answer(&mut self, (at, vm, call, result): StoreAnswer) {
        self.queue.send(at, &vm, &vm, Arrival::Store(call, result));
    }

    fn carry_out(
        &mut self,
        from: &VmName,
        effect: CatalogueEffect,
        link: LinkRule<'_>,
        rule: StoreRule<'_>,
    ) {
        match effect {
            CatalogueEffect::Send { to, message } => {
                self.sent.messages += 1;
                self.sent.bytes += (self.size)(&message) as u64;
                if let Some(delay) = link(from, &to, self.now) {
                    self.queue.send(self.now + delay, from, &to, Arrival::Gossip(message));
                }
            }
            CatalogueEffect::Call(call) => {
                if let Some(answer) = self.store.call(self.now, from, call, rule) {
                    self.send_answer(answer);
                }
            }
            effect => self.told.push((self.now, from.clone(), effect)),
        }
    }

    fn plan(&mut self, vm: &VmName) {
        let wake = self.nodes.get(vm).and_then(CatalogueNode::next_wake).unwrap_or(self.now);
        if let Some(old) = self.due.insert(vm.clone(), wake) {
            self.wakes.remove(&(old, vm.clone()));
        }
        self.wakes.insert((wake, vm.clone()));
    }
}
