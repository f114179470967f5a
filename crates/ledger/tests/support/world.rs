//! Nodes, one store and virtual time.

use std::collections::{BTreeMap, BTreeSet};

use notch_ledger::{
    AppendTicket, AppendUrgency, LedgerShard, ObjectKey, Seq, SeqRange, ShardEffect, ShardEvent,
    ShardStanding, SweepId, probe::MapStore,
};
use notch_types::{
    object::{StoreCall, StoreFailure, StoreOp, StoreReply, StoreResult},
    prelude::*,
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};

use super::faults::Happening;
pub use super::faults::{CallFilter, Fault, Node, Weather};
use super::{
    SHARD,
    naive::{Append, Fate, NaiveLedger, chunk_of},
    small,
};

pub struct World {
    pub now: u64,
    pub store: MapStore,
    pub naive: NaiveLedger,
    pub nodes: Vec<Node>,
    pub weather: Weather,
    /// Faults to be met by the next calls, before the weather's.
    pub script: Vec<Fault>,
    /// Faults for calls that fit: the first match is taken.
    pub aimed: Vec<(CallFilter, Fault)>,
    /// Whether nodes give snapshots when asked.
    pub snapshots: bool,
    pub ops: BTreeMap<&'static str, u64>,
    pub tune: fn(&mut notch_ledger::ShardSettings),
    /// Node 0 crashes at its call of this number; whether that call still gets out.
    pub crash_at: Option<(u64, bool)>,
    pub calls_of_first: u64,
    queue: BTreeMap<(u64, u64), Happening>,
    serial: u64,
    next_ticket: u64,
    rng: SmallRng,
}

impl World {
    pub fn new(nodes: usize, seed: u64) -> Self {
        Self::tuned(nodes, seed, |_| {})
    }

    pub fn tuned(nodes: usize, seed: u64, tune: fn(&mut notch_ledger::ShardSettings)) -> Self {
        let node = || Node {
            shard: None,
            life: 0,
            paused_until: 0,
            state: Vec::new(),
            owned: None,
            lost: BTreeSet::new(),
            observed: None,
            counts: BTreeMap::new(),
        };
        let mut world = Self {
            now: 1_000_000,
            store: MapStore::default(),
            naive: NaiveLedger::default(),
            nodes: (0..nodes).map(|_| node()).collect(),
            weather: Weather::Fair,
            script: Vec::new(),
            aimed: Vec::new(),
            snapshots: true,
            ops: BTreeMap::new(),
            tune,
            crash_at: None,
            calls_of_first: 0,
            queue: BTreeMap::new(),
            serial: 0,
            next_ticket: 0,
            rng: SmallRng::seed_from_u64(seed),
        };
        for index in 0..nodes {
            world.start(index);
        }
        world
    }

    /// Starts a new process on a node.
    pub fn start(&mut self, index: usize) {
        let life = self.nodes[index].life + 1;
        let mut settings = small(index, life);
        (self.tune)(&mut settings);
        settings.check().expect("sound settings");
        let node = &mut self.nodes[index];
        node.life = life;
        node.paused_until = 0;
        node.shard = Some(LedgerShard::new(settings, 1));
        let standing = match index {
            0 => ShardStanding::Preferred,
            rank => ShardStanding::Standby(rank as u8),
        };
        self.tell(index, ShardEvent::Stand(standing));
    }

    /// Ends a node's process; its calls on the way stay on their way.
    pub fn crash(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        node.shard = None;
        node.owned = None;
        let mine = |ticket: u64| ticket % 16 == index as u64;
        for (ticket, append) in &mut self.naive.appends {
            if mine(*ticket) && append.fate == Fate::Open {
                append.fate = Fate::Orphan;
            }
        }
    }

    pub fn restart(&mut self, index: usize) {
        self.crash(index);
        self.start(index);
    }

    pub fn pause(&mut self, index: usize, millis: u64) {
        self.nodes[index].paused_until = self.now + millis * 1_000;
    }

    fn clock(&self, index: usize) -> Now {
        let offset = index as u64 * 77_000_000;
        let wobble = (self.now / 300_000) % 5 * 50_000;
        Now { mono: MonoTime(self.now + offset), wall: WallTime(self.now / 1_000 + wobble) }
    }

    fn plan(&mut self, at: u64, happening: Happening) {
        self.serial += 1;
        self.queue.insert((at, self.serial), happening);
    }

    /// Hands an event to a node, at once.
    pub fn tell(&mut self, index: usize, event: ShardEvent) {
        let now = self.clock(index);
        let mut effects = Vec::new();
        let Some(shard) = &mut self.nodes[index].shard else { return };
        shard.handle(now, event, &mut effects);
        for effect in effects {
            let calls = index == 0 && matches!(effect, ShardEffect::Call(_));
            self.calls_of_first += u64::from(calls);
            let dies = self.crash_at.filter(|(number, _)| calls && *number == self.calls_of_first);
            if dies.is_none_or(|(_, sent)| sent) {
                self.carry(index, effect);
            }
            if dies.is_some() {
                self.crash(index);
                return;
            }
        }
        self.check_leases();
    }

    /// At most one node believes in its lease at any moment.
    fn check_leases(&self) {
        let holds = |index: &usize| {
            let shard = self.nodes[*index].shard.as_ref();
            shard.is_some_and(|shard| shard.lease_held(self.clock(*index)))
        };
        let holders = (0..self.nodes.len()).filter(holds).collect::<Vec<_>>();
        assert!(holders.len() <= 1, "two leases are held: {holders:?}");
        for shard in self.nodes.iter().filter_map(|node| node.shard.as_ref()) {
            assert!(
                shard.queued_bytes() <= shard.settings().max_queue_bytes,
                "queue over its bound"
            );
        }
    }

    fn carry(&mut self, index: usize, effect: ShardEffect) {
        let life = self.nodes[index].life;
        match effect {
            ShardEffect::Call(call) => {
                let fault = self.fault(&call.op);
                let travel = self.rng.random_range(500..4_000);
                let kind = match &call.op {
                    StoreOp::Get { .. } => "get",
                    StoreOp::Put { .. } => "put",
                    StoreOp::Delete { .. } => "delete",
                    StoreOp::List { .. } => "list",
                    StoreOp::Watch { .. } => "watch",
                };
                *self.ops.entry(kind).or_default() += 1;
                self.plan(self.now + travel, Happening::Arrive { node: index, life, call, fault });
            }
            ShardEffect::Restore { state, upto } => {
                let node = &mut self.nodes[index];
                node.state = if state.is_empty() {
                    Vec::new()
                } else {
                    ciborium::from_reader(state.as_slice()).expect("a state of ours")
                };
                assert_eq!(node.state.len() as u64, upto.0);
                assert_eq!(node.state[..], self.naive.list[..node.state.len()], "restored wrongly");
            }
            ShardEffect::Apply { seq, record } => {
                let node = &mut self.nodes[index];
                assert_eq!(seq.0, node.state.len() as u64, "applied out of order");
                assert_eq!(record, self.naive.list[seq.0 as usize], "applied another record");
                node.state.push(record);
            }
            ShardEffect::Owned { epoch } => self.nodes[index].owned = Some(epoch),
            ShardEffect::Lost { epoch } => {
                let node = &mut self.nodes[index];
                assert!(node.owned.is_none_or(|owned| owned == epoch));
                assert!(node.lost.insert(epoch), "an epoch is lost twice");
                node.owned = None;
            }
            ShardEffect::Observed { epoch, owner } => {
                self.nodes[index].observed = Some((epoch, owner));
            }
            ShardEffect::Committed { ticket, first_seq } => {
                let append = self.naive.appends.get_mut(&ticket.0).expect("known ticket");
                assert_eq!(append.fate, Fate::Open, "ended twice");
                append.fate = Fate::Committed(first_seq);
                let places = first_seq.0 as usize..first_seq.0 as usize + append.records.len();
                assert_eq!(self.naive.list[places], append.records[..], "not committed");
            }
            ShardEffect::Rejected { ticket, certainty, .. } => {
                let append = self.naive.appends.get_mut(&ticket.0).expect("known ticket");
                assert_eq!(append.fate, Fate::Open, "ended twice");
                append.fate = Fate::Rejected(certainty);
            }
            ShardEffect::SnapshotWanted => {
                if self.snapshots {
                    let wait = self.rng.random_range(0..30_000);
                    self.plan(self.now + wait, Happening::Snapshot { node: index, life });
                }
            }
            ShardEffect::SweepChunks { sweep, keys } => self.sweep(index, sweep, keys),
            ShardEffect::Count(counter) => {
                *self.nodes[index].counts.entry(counter).or_default() += 1;
            }
            ShardEffect::Note(_) => {}
        }
    }

    fn sweep(&mut self, index: usize, sweep: SweepId, keys: Vec<String>) {
        let node = &self.nodes[index];
        let named = |key: &String| node.state.iter().any(|record| chunk_of(record) == Some(key));
        let unused = keys.into_iter().filter(|key| !named(key)).collect();
        let event = ShardEvent::SweepAnswered { sweep, unused };
        let (life, wait) = (node.life, self.rng.random_range(0..20_000));
        self.plan(self.now + wait, Happening::Event { node: index, life, event });
    }

    fn fault(&mut self, op: &StoreOp) -> Fault {
        if let Some(aim) = self.aimed.iter().position(|(fits, _)| fits(op)) {
            return self.aimed.remove(aim).1;
        }
        if !self.script.is_empty() {
            return self.script.remove(0);
        }
        match self.weather {
            Weather::Fair => Fault::None,
            Weather::Outage => Fault::Unavailable,
            Weather::Mute if self.rng.random_bool(0.5) => Fault::UnknownApplied,
            Weather::Mute => Fault::UnknownNotApplied,
            Weather::Foul => match self.rng.random_range(0..20) {
                0 => Fault::Unavailable,
                1 => Fault::Throttled,
                2 => Fault::UnknownApplied,
                3 => Fault::UnknownNotApplied,
                4 => Fault::AppliedLate(self.rng.random_range(1..7_000)),
                5 | 6 => Fault::Slow(self.rng.random_range(1..1_500)),
                7 => Fault::Silent,
                _ => Fault::None,
            },
        }
    }

    fn arrive(&mut self, node: usize, life: u64, call: StoreCall, fault: Fault) {
        let StoreCall { call, op } = call;
        let back = self.now + self.rng.random_range(500..4_000);
        let unknown = Err(StoreFailure::Unknown);
        let (at, result) = match fault {
            Fault::None => (back, self.take_effect(op)),
            Fault::Unavailable => (back, Err(StoreFailure::Unavailable)),
            Fault::Throttled => (back, Err(StoreFailure::Throttled { retry_after_ms: 30 })),
            Fault::UnknownNotApplied => (back, unknown),
            Fault::UnknownApplied => {
                let _ = self.take_effect(op);
                (back, unknown)
            }
            Fault::AppliedLate(millis) => {
                let late = StoreCall { call: CallId(u64::MAX), op };
                let happening = Happening::Arrive { node, life, call: late, fault: Fault::None };
                self.plan(self.now + millis * 1_000, happening);
                (back, unknown)
            }
            Fault::Slow(millis) => {
                let later = StoreCall { call, op };
                let happening = Happening::Arrive { node, life, call: later, fault: Fault::None };
                self.plan(self.now + millis * 1_000, happening);
                return;
            }
            Fault::Silent => {
                let _ = self.take_effect(op);
                return;
            }
        };
        self.plan(at, Happening::Answer { node, life, call, result });
    }

    /// The moment at which the store does what it's asked: all that must never happen is checked
    /// here, against what is in force at this very moment.
    fn take_effect(&mut self, op: StoreOp) -> StoreResult {
        self.store.clock = WallTime(self.now / 1_000);
        let head_key = ObjectKey { shard: SHARD }.head();
        if let StoreOp::Delete { key, .. } = &op {
            assert!(!NaiveLedger::head_names(&self.store, key), "deleted {key}, named by the head");
            assert!(!self.naive.names_chunk(key), "deleted {key}, named by a record");
        }
        let writes_head = matches!(&op, StoreOp::Put { key, .. } if *key == head_key);
        let result = self.store.apply(op);
        if writes_head && matches!(result, Ok(StoreReply::Written(_))) {
            self.naive.absorb(&self.store);
        }
        result
    }

    fn happen(&mut self, happening: Happening) {
        let (node, life) = match &happening {
            Happening::Arrive { .. } => (usize::MAX, 0),
            Happening::Answer { node, life, .. }
            | Happening::Event { node, life, .. }
            | Happening::Snapshot { node, life } => (*node, *life),
        };
        if let Some(target) = self.nodes.get(node) {
            if target.life != life || target.shard.is_none() {
                return;
            }
            if target.paused_until > self.now {
                let until = target.paused_until;
                self.plan(until, happening);
                return;
            }
        }
        match happening {
            Happening::Arrive { node, life, call, fault } => self.arrive(node, life, call, fault),
            Happening::Answer { node, call, result, .. } => {
                self.tell(node, ShardEvent::StoreAnswered { call, result });
            }
            Happening::Event { node, event, .. } => self.tell(node, event),
            Happening::Snapshot { node, .. } => self.give_snapshot(node),
        }
    }

    /// The node's whole state; the last third of the places before it stays needed.
    pub fn give_snapshot(&mut self, index: usize) {
        let mut state = Vec::new();
        ciborium::into_writer(&self.nodes[index].state, &mut state).expect("encodes");
        let upto = Seq(self.nodes[index].state.len() as u64);
        let needed = vec![SeqRange { from: Seq(needed_from(upto.0)), until: upto }];
        self.tell(index, ShardEvent::SnapshotTaken { upto, state, needed });
    }

    /// Lets `millis` pass.
    pub fn run(&mut self, millis: u64) {
        let end = self.now + millis * 1_000;
        let mut steps = 0;
        loop {
            let wake = (0..self.nodes.len()).filter_map(|index| self.wake(index)).min();
            let planned = self.queue.first_key_value().map(|((at, _), _)| *at);
            let next = planned.into_iter().chain(wake.map(|(at, _)| at)).min();
            let Some(next) = next.filter(|next| *next <= end) else { break };
            self.now = self.now.max(next);
            steps += 1;
            assert!(steps < 200_000, "no end of work without time passing");
            if planned == Some(next) {
                let (_, happening) = self.queue.pop_first().expect("planned");
                self.happen(happening);
            } else if let Some((_, index)) = wake {
                self.tell(index, ShardEvent::Tick);
            }
        }
        self.now = end;
    }

    fn wake(&self, index: usize) -> Option<(u64, usize)> {
        let node = &self.nodes[index];
        let offset = index as u64 * 77_000_000;
        let wake = node.shard.as_ref()?.next_wake()?;
        Some((wake.0.saturating_sub(offset).max(node.paused_until).max(self.now), index))
    }

    /// Appends `count` records of about `size` bytes at a node.
    pub fn append(&mut self, index: usize, count: usize, size: usize) -> u64 {
        let urgency =
            if self.rng.random_bool(0.5) { AppendUrgency::Prompt } else { AppendUrgency::Relaxed };
        self.append_with(index, count, size, urgency, None)
    }

    pub fn append_with(
        &mut self,
        index: usize,
        count: usize,
        size: usize,
        urgency: AppendUrgency,
        chunk: Option<String>,
    ) -> u64 {
        let ticket = self.next_ticket * 16 + index as u64;
        self.next_ticket += 1;
        let suffix = chunk.as_ref().map_or(String::new(), |chunk| format!("@{chunk}"));
        let record = |place: usize| {
            let mut bytes = format!("t{ticket}-{place}-").into_bytes();
            bytes.resize(bytes.len().max(size), b'x');
            bytes.extend_from_slice(suffix.as_bytes());
            Payload(bytes)
        };
        let records = (0..count).map(record).collect::<Vec<_>>();
        let append = Append { records: records.clone(), fate: Fate::Open };
        self.naive.appends.insert(ticket, append);
        let chunks = chunk.into_iter().collect();
        let event = ShardEvent::Append { ticket: AppendTicket(ticket), records, urgency, chunks };
        let node = &self.nodes[index];
        if node.shard.is_none() {
            self.naive.appends.remove(&ticket);
        } else if node.paused_until > self.now {
            // It wakes to this, and perhaps doesn't know yet what has happened meanwhile.
            let (life, until) = (node.life, node.paused_until);
            self.plan(until, Happening::Event { node: index, life, event });
        } else {
            self.tell(index, event);
        }
        ticket
    }

    /// Writes a chunk as an intake does.
    pub fn write_chunk(&mut self) -> String {
        self.serial += 1;
        let key = format!("chunk/{:04x}/j{:06}", SHARD.0, self.serial);
        self.store.clock = WallTime(self.now / 1_000);
        let value = Payload::from("chunk");
        let condition = notch_types::object::WriteCondition::Always;
        self.store.apply(StoreOp::Put { key: key.clone(), value, condition }).expect("fair");
        key
    }

    pub fn fate(&self, ticket: u64) -> Fate {
        self.naive.appends[&ticket].fate
    }

    pub fn count(&self, index: usize, event: &'static str) -> u64 {
        self.nodes[index].counts.get(&Counter::Event(event)).copied().unwrap_or(0)
    }

    /// A node that takes itself for the owner, whether it's right or not; `other` when none does.
    pub fn believer(&self, other: usize) -> usize {
        let mut nodes = (0..self.nodes.len()).map(|step| (other + step) % self.nodes.len());
        nodes.find(|index| self.nodes[*index].owned.is_some()).unwrap_or(other)
    }

    pub fn owner(&self) -> Option<usize> {
        (0..self.nodes.len()).find(|index| {
            let shard = self.nodes[*index].shard.as_ref();
            shard.is_some_and(|shard| shard.lease_held(self.clock(*index)))
        })
    }

    /// Fair weather at last: someone must own the shard, know the whole list, and take appends.
    pub fn finish(&mut self) {
        self.weather = Weather::Fair;
        self.script.clear();
        self.aimed.clear();
        for index in 0..self.nodes.len() {
            self.nodes[index].paused_until = 0;
            if self.nodes[index].shard.is_none() {
                self.start(index);
            }
        }
        self.run(12_000);
        let owner = self.owner().expect("someone owns the shard in the end");
        let last = self.append(owner, 2, 10);
        self.run(1_000);
        assert!(matches!(self.fate(last), Fate::Committed(_)), "the ledger goes on");
        assert_eq!(self.nodes[owner].state, self.naive.list, "the owner knows every record");
        let open = self.naive.appends.values().filter(|append| append.fate == Fate::Open).count();
        assert_eq!(open, 0, "appends without an end");
        self.naive.settle();
        self.check_reads();
    }
}

/// Where the needed places begin, by the rule of these tests.
pub fn needed_from(upto: u64) -> u64 {
    upto - upto / 3
}
