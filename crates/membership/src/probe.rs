//! A plain loop that hands messages round between member tables in virtual time: for tests, and
//! for measuring what membership costs against the number of gateways. No sockets, no clock.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use notch_messages::gossip::GossipMessage;
use notch_types::prelude::*;
use rand::{SeedableRng, rngs::SmallRng};

use crate::{
    effect::MembershipEffect,
    event::{ListedVm, MembershipEvent},
    rendezvous::{gateways_of, shard_ranks},
    roster::{MemberRoster, RosterMember},
    settings::{MemberIdentity, MembershipSettings},
    table::MemberTable,
};

/// Bytes of a message on the wire.
pub type MessageSize = fn(&GossipMessage) -> usize;

/// How a link treats a message: the delay, or `None` when it is lost.
pub type LinkRule<'a> = &'a mut dyn FnMut(&VmName, &VmName, MonoTime) -> Option<Duration>;

/// Delay of a link that has no other rule.
const USUAL_DELAY: Duration = Duration::from_millis(1);
/// Virtual time that a fleet gets to know itself before it is measured.
const SETTLING: Duration = Duration::from_secs(120);
/// Incarnation of every first start.
const FIRST_INCARNATION: u64 = 1_000;

/// Messages on their way, in the order in which they arrive.
#[derive(Debug)]
pub struct MessageQueue<M> {
    messages: BTreeMap<(MonoTime, u64), (VmName, VmName, M)>,
    sent: u64,
}

impl<M> Default for MessageQueue<M> {
    fn default() -> Self {
        Self { messages: BTreeMap::new(), sent: 0 }
    }
}

impl<M> MessageQueue<M> {
    /// Puts a message on its way.
    pub fn send(&mut self, at: MonoTime, from: &VmName, to: &VmName, message: M) {
        self.messages.insert((at, self.sent), (from.clone(), to.clone(), message));
        self.sent += 1;
    }

    /// When the next message arrives.
    pub fn next_at(&self) -> Option<MonoTime> {
        self.messages.first_key_value().map(|((at, _), _)| *at)
    }

    /// Takes the next message: sender, receiver, message.
    pub fn pop(&mut self) -> Option<(VmName, VmName, M)> {
        self.messages.pop_first().map(|(_, message)| message)
    }
}

/// What a fleet sent, by all its nodes together.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SentFigures {
    /// Messages.
    pub messages: u64,
    /// Their bytes.
    pub bytes: u64,
}

/// An effect other than a message: when, where, what.
pub type ToldEffect = (MonoTime, VmName, MembershipEffect);

/// Member tables and the messages between them.
pub struct ProbeFleet {
    now: MonoTime,
    tables: BTreeMap<VmName, MemberTable>,
    wakes: BTreeSet<(MonoTime, VmName)>,
    due: BTreeMap<VmName, MonoTime>,
    /// Processes that don't run until then; what arrives meanwhile waits.
    paused: BTreeMap<VmName, MonoTime>,
    queue: MessageQueue<GossipMessage>,
    size: MessageSize,
    sent: SentFigures,
    told: Vec<ToldEffect>,
}

impl ProbeFleet {
    /// A fleet without gateways at time zero.
    pub fn new(size: MessageSize) -> Self {
        Self {
            now: MonoTime::default(),
            tables: BTreeMap::new(),
            wakes: BTreeSet::new(),
            due: BTreeMap::new(),
            paused: BTreeMap::new(),
            queue: MessageQueue::default(),
            size,
            sent: SentFigures::default(),
            told: Vec::new(),
        }
    }

    /// Starts a gateway, or starts it anew without anything that it knew.
    pub fn start(&mut self, identity: MemberIdentity, settings: &MembershipSettings) {
        let seed = stable_hash64(&[identity.vm.as_str().as_bytes()]) ^ identity.incarnation.0;
        let random = SmallRng::seed_from_u64(seed);
        let vm = identity.vm.clone();
        let table = MemberTable::new(identity, settings.clone(), random);
        self.tables.insert(vm.clone(), table);
        self.plan(&vm);
    }

    /// Keeps a gateway's process from running until `until`; messages to it wait.
    pub fn pause(&mut self, vm: &VmName, until: MonoTime) {
        self.paused.insert(vm.clone(), until);
        self.plan(vm);
    }

    /// Ends a gateway's process without a word.
    pub fn stop(&mut self, vm: &VmName) {
        self.tables.remove(vm);
        self.paused.remove(vm);
        if let Some(due) = self.due.remove(vm) {
            self.wakes.remove(&(due, vm.clone()));
        }
    }

    /// Tells a gateway something; messages go out by `link`.
    pub fn tell(&mut self, vm: &VmName, event: MembershipEvent, link: LinkRule<'_>) {
        let Some(table) = self.tables.get_mut(vm) else { return };
        let mut effects = Vec::new();
        let now = Now { mono: self.now, wall: WallTime(self.now.0 / 1_000) };
        table.handle(now, event, &mut effects);
        for effect in effects {
            self.carry_out(vm, effect, link);
        }
        self.plan(vm);
    }

    /// Goes on until `until`.
    pub fn run_until(&mut self, until: MonoTime, link: LinkRule<'_>) {
        while let Some(at) = self.next_at().filter(|at| *at <= until) {
            self.now = self.now.max(at);
            if self.queue.next_at() == Some(at) {
                self.deliver(link);
            } else if let Some((_, vm)) = self.wakes.pop_first() {
                self.due.remove(&vm);
                self.tell(&vm, MembershipEvent::Tick, link);
            }
        }
        self.now = until;
    }

    fn deliver(&mut self, link: LinkRule<'_>) {
        let Some((from, vm, message)) = self.queue.pop() else { return };
        match self.paused.get(&vm).copied().filter(|until| *until > self.now) {
            Some(until) => self.queue.send(until, &from, &vm, message),
            None => self.tell(&vm, MembershipEvent::Received { from, message }, link),
        }
    }

    /// Virtual time.
    pub fn now(&self) -> MonoTime {
        self.now
    }

    /// A running gateway's table.
    pub fn table(&self, vm: &VmName) -> Option<&MemberTable> {
        self.tables.get(vm)
    }

    /// The running gateways, by name.
    pub fn running(&self) -> impl Iterator<Item = (&VmName, &MemberTable)> {
        self.tables.iter()
    }

    /// What was sent since the last time of asking.
    pub fn take_sent(&mut self) -> SentFigures {
        std::mem::take(&mut self.sent)
    }

    /// Effects other than messages since the last time of asking.
    pub fn take_told(&mut self) -> Vec<ToldEffect> {
        std::mem::take(&mut self.told)
    }

    fn next_at(&self) -> Option<MonoTime> {
        let wake = self.wakes.first().map(|(at, _)| *at);
        [wake, self.queue.next_at()].into_iter().flatten().min()
    }

    fn carry_out(&mut self, from: &VmName, effect: MembershipEffect, link: LinkRule<'_>) {
        let MembershipEffect::Send { to, message } = effect else {
            self.told.push((self.now, from.clone(), effect));
            return;
        };
        self.sent.messages += 1;
        self.sent.bytes += (self.size)(&message) as u64;
        if let Some(delay) = link(from, &to, self.now) {
            self.queue.send(self.now + delay, from, &to, message);
        }
    }

    fn plan(&mut self, vm: &VmName) {
        let wake = self.tables.get(vm).and_then(MemberTable::next_wake).unwrap_or(self.now);
        let wake = wake.max(self.paused.get(vm).copied().unwrap_or_default());
        if let Some(old) = self.due.insert(vm.clone(), wake) {
            self.wakes.remove(&(old, vm.clone()));
        }
        self.wakes.insert((wake, vm.clone()));
    }
}

/// The gateways of a fleet of `count` in `domains` domains, as the VM list tells them.
pub fn listed_fleet(count: usize, domains: usize) -> Vec<ListedVm> {
    let listed = |number: usize| ListedVm {
        vm: VmName::new(&format!("gw-{number:03}")),
        address: format!("10.0.{}.{}:7000", number / 250, number % 250),
        domain: DomainName::new(&format!("domain-{}", number % domains.max(1))),
        leaving: false,
    };
    (0..count).map(listed).collect()
}

/// The identity of a listed gateway at its `start`th start.
pub fn identity_of(listed: &ListedVm, start: u64) -> MemberIdentity {
    MemberIdentity {
        vm: listed.vm.clone(),
        address: listed.address.clone(),
        domain: listed.domain.clone(),
        incarnation: Incarnation(FIRST_INCARNATION * (start + 1)),
    }
}

/// A fleet of `count` gateways in `domains` domains that know each other.
pub fn settled_fleet(
    count: usize,
    domains: usize,
    settings: &MembershipSettings,
    size: MessageSize,
) -> ProbeFleet {
    let list = listed_fleet(count, domains);
    let mut fleet = ProbeFleet::new(size);
    for listed in &list {
        fleet.start(identity_of(listed, 0), settings);
        fleet.tell(&listed.vm, MembershipEvent::VmListed(list.clone()), &mut usual_link);
    }
    let until = fleet.now() + SETTLING;
    fleet.run_until(until, &mut usual_link);
    fleet.take_sent();
    fleet.take_told();
    fleet
}

/// A link that loses nothing.
pub fn usual_link(_from: &VmName, _to: &VmName, _at: MonoTime) -> Option<Duration> {
    Some(USUAL_DELAY)
}

/// What membership costs a node, and how soon a death is known.
#[derive(Debug, Clone, PartialEq)]
pub struct MembershipFigures {
    /// Gateways.
    pub nodes: usize,
    /// Messages a second and node that it sends when nothing changes.
    pub messages_per_s: f64,
    /// Bytes a second and node that it sends when nothing changes.
    pub bytes_per_s: f64,
    /// Bytes that a node sends for one death and one return, all told.
    pub bytes_per_restart: f64,
    /// Time from a silent death until no other node's roster has it.
    pub death_known: Duration,
    /// Time from a leave until no node's roster has it.
    pub leave_known: Duration,
}

/// Measures a fleet of `nodes` over `seconds` of virtual time.
pub fn measure(nodes: usize, domains: usize, seconds: u64, size: MessageSize) -> MembershipFigures {
    let settings = MembershipSettings::default();
    let mut fleet = settled_fleet(nodes, domains, &settings, size);
    let list = listed_fleet(nodes, domains);
    let span = Duration::from_secs(seconds);
    let until = fleet.now() + span;
    fleet.run_until(until, &mut usual_link);
    let quiet = fleet.take_sent();
    let per_node = |total: u64| total as f64 / nodes as f64;

    let victim = &list[nodes / 2];
    fleet.stop(&victim.vm);
    let death_known = run_until_gone(&mut fleet, &victim.vm);
    fleet.start(identity_of(victim, 1), &settings);
    fleet.tell(&victim.vm, MembershipEvent::VmListed(list.clone()), &mut usual_link);
    let since = fleet.now();
    fleet.run_until(since + span, &mut usual_link);
    let restart = fleet.take_sent();
    let restart_s = (death_known + span).as_secs_f64();
    let quiet_bytes = quiet.bytes as f64 / seconds as f64 * restart_s;

    let leaver = &list[0];
    fleet.tell(&leaver.vm, MembershipEvent::Leave, &mut usual_link);
    let leave_known = run_until_gone(&mut fleet, &leaver.vm);
    MembershipFigures {
        nodes,
        messages_per_s: per_node(quiet.messages) / seconds as f64,
        bytes_per_s: per_node(quiet.bytes) / seconds as f64,
        bytes_per_restart: (restart.bytes as f64 - quiet_bytes).max(0.0) / nodes as f64,
        death_known,
        leave_known,
    }
}

/// Runs until no running gateway's roster holds `vm`; the time it took, at most two minutes.
pub fn run_until_gone(fleet: &mut ProbeFleet, vm: &VmName) -> Duration {
    const STEP: Duration = Duration::from_millis(50);
    const MOST: Duration = Duration::from_secs(120);
    let start = fleet.now();
    while fleet.now().since(start) < MOST {
        let held = fleet.running().any(|(_, table)| table.roster().contains(vm));
        if !held {
            break;
        }
        let until = fleet.now() + STEP;
        fleet.run_until(until, &mut usual_link);
    }
    fleet.now().since(start)
}

/// Shares of assignments that move when one of `gateways` gateways goes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MovedShares {
    /// Links between sidecars and gateways, as a share of all.
    pub sidecar_links: f64,
    /// Preferred owners of shards, as a share of all.
    pub shard_owners: f64,
    /// Most links a gateway holds against the mean.
    pub most_to_mean: f64,
}

/// Measures how much moves when one gateway goes, on average over `trials` of them.
pub fn measure_moves(
    gateways: usize,
    domains: usize,
    sidecars: usize,
    subset: usize,
    shards: u16,
    trials: usize,
) -> MovedShares {
    let list = listed_fleet(gateways, domains);
    let names: Vec<VmName> =
        (0..sidecars).map(|n| VmName::new(&format!("target-{n:04}"))).collect();
    let seats: Vec<RosterMember> =
        list.iter().map(|listed| RosterMember::new(&listed.vm, &listed.domain)).collect();
    let before = Assignments::of(&MemberRoster::new(seats.clone()), &names, subset, shards);
    let (mut links, mut owners) = (0.0, 0.0);
    for trial in 0..trials {
        let mut left = seats.clone();
        left.remove(trial * gateways / trials);
        let after = Assignments::of(&MemberRoster::new(left), &names, subset, shards);
        links += before.moved_links(&after);
        owners += before.moved_owners(&after);
    }
    MovedShares {
        sidecar_links: links / trials as f64,
        shard_owners: owners / trials as f64,
        most_to_mean: before.most_to_mean(gateways),
    }
}

/// All assignments of one roster.
struct Assignments {
    subsets: Vec<Vec<VmName>>,
    owners: Vec<Vec<VmName>>,
}

impl Assignments {
    fn of(roster: &MemberRoster, sidecars: &[VmName], subset: usize, shards: u16) -> Self {
        let subsets = sidecars.iter().map(|sidecar| gateways_of(sidecar, roster, subset)).collect();
        let owners = (0..shards).map(|shard| shard_ranks(ShardId(shard), roster, 1)).collect();
        Self { subsets, owners }
    }

    fn moved_links(&self, after: &Self) -> f64 {
        let pairs = self.subsets.iter().zip(&after.subsets);
        let moved: usize =
            pairs.map(|(old, new)| new.iter().filter(|vm| !old.contains(vm)).count()).sum();
        moved as f64 / self.subsets.iter().map(Vec::len).sum::<usize>() as f64
    }

    fn moved_owners(&self, after: &Self) -> f64 {
        let moved = self.owners.iter().zip(&after.owners).filter(|(old, new)| old != new).count();
        moved as f64 / self.owners.len() as f64
    }

    fn most_to_mean(&self, gateways: usize) -> f64 {
        let mut held: BTreeMap<&VmName, usize> = BTreeMap::new();
        for vm in self.subsets.iter().flatten() {
            *held.entry(vm).or_default() += 1;
        }
        let total: usize = held.values().sum();
        let most = held.values().max().copied().unwrap_or_default();
        most as f64 * gateways as f64 / total as f64
    }
}
