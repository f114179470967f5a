//! Measures a shard in virtual time: what it asks of the store, and how long commits take.

mod store;

use std::{collections::BTreeMap, time::Duration};

use notch_types::{
    object::{StoreCall, StoreOp, StoreResult},
    prelude::*,
};

pub use self::store::MapStore;
use crate::{
    effect::ShardEffect,
    event::{AppendTicket, AppendUrgency, ShardEvent, ShardStanding},
    head::LedgerHead,
    keys::ObjectKey,
    seq::Seq,
    settings::ShardSettings,
    shard::LedgerShard,
};

/// A steady load.
#[derive(Debug, Clone, PartialEq)]
pub struct ProbeLoad {
    /// Records appended a second, one an append, evenly spread.
    pub records_per_second: u64,
    /// Bytes of each.
    pub record_bytes: usize,
    /// One in this many is prompt, the others are relaxed; 0 for none.
    pub prompt_every: u64,
    /// Length of the run, virtual time.
    pub length: Duration,
    /// Time of a store call, there and back.
    pub store_delay: Duration,
    /// Size of the user's state, as snapshots see it.
    pub state_bytes: usize,
}

impl Default for ProbeLoad {
    fn default() -> Self {
        Self {
            records_per_second: 100,
            record_bytes: 256,
            prompt_every: 1,
            length: Duration::from_secs(60),
            store_delay: Duration::from_millis(5),
            state_bytes: 200_000,
        }
    }
}

/// Calls by kind.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ProbeCalls {
    /// Writes of the head.
    pub heads: u64,
    /// Writes of segments.
    pub segments: u64,
    /// Writes of snapshot parts.
    pub snapshots: u64,
    /// Reads.
    pub gets: u64,
    /// Listings.
    pub lists: u64,
    /// Deletions.
    pub deletes: u64,
}

impl ProbeCalls {
    /// All of them.
    pub fn total(&self) -> u64 {
        self.heads + self.segments + self.snapshots + self.gets + self.lists + self.deletes
    }

    fn add(&mut self, op: &StoreOp) {
        let kind = match op {
            StoreOp::Put { key, .. } if key.contains("/seg/") => &mut self.segments,
            StoreOp::Put { key, .. } if key.contains("/snap/") => &mut self.snapshots,
            StoreOp::Put { .. } => &mut self.heads,
            StoreOp::Delete { .. } => &mut self.deletes,
            StoreOp::List { .. } => &mut self.lists,
            StoreOp::Get { .. } | StoreOp::Watch { .. } => &mut self.gets,
        };
        *kind += 1;
    }
}

/// What a run has shown.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ProbeReport {
    /// Calls in the run.
    pub calls: ProbeCalls,
    /// Records committed.
    pub committed: u64,
    /// Appends rejected.
    pub rejected: u64,
    /// Time from append to commit of each prompt append, in order of length.
    pub prompt_delays: Vec<Duration>,
    /// The same for relaxed ones.
    pub relaxed_delays: Vec<Duration>,
    /// Bytes of the largest head written.
    pub largest_head: usize,
    /// Bytes written in all.
    pub bytes_written: u64,
}

/// The delay that `share` (0 to 1) of the appends didn't exceed; zero when there are none.
pub fn delay_at(delays: &[Duration], share: f64) -> Duration {
    let index = (delays.len() as f64 * share) as usize;
    let last = delays.len().saturating_sub(1);
    delays.get(index.min(last)).copied().unwrap_or_default()
}

/// One shard and its store, in virtual time.
#[derive(Debug)]
pub struct ShardProbe {
    /// The store; stays when the owner is replaced.
    pub store: MapStore,
    shard: LedgerShard,
    now: MonoTime,
    store_delay: Duration,
    state_bytes: usize,
    answers: BTreeMap<(MonoTime, CallId), StoreResult>,
    sent: BTreeMap<AppendTicket, (MonoTime, AppendUrgency)>,
    applied: Seq,
    report: ProbeReport,
}

impl ShardProbe {
    /// A shard over a store, owned by nobody.
    pub fn new(settings: ShardSettings, store: MapStore, load: &ProbeLoad) -> Self {
        let mut probe = Self {
            store,
            shard: LedgerShard::new(settings, 1),
            now: MonoTime(0),
            store_delay: load.store_delay,
            state_bytes: load.state_bytes,
            answers: BTreeMap::new(),
            sent: BTreeMap::new(),
            applied: Seq(0),
            report: ProbeReport::default(),
        };
        probe.tell(ShardEvent::Stand(ShardStanding::Preferred));
        probe
    }

    /// Lets time pass until the shard is owned; the calls and the time that took. `None` when it
    /// isn't within `limit`.
    pub fn own(&mut self, limit: Duration) -> Option<(ProbeCalls, Duration)> {
        let began = self.now;
        let calls = self.report.calls;
        while self.shard.owned_epoch().is_none() {
            if self.now.since(began) > limit || !self.step(began + limit) {
                return None;
            }
        }
        let mut taken = self.report.calls;
        taken.gets -= calls.gets;
        taken.heads -= calls.heads;
        Some((taken, self.now.since(began)))
    }

    /// Puts a load on the owned shard, and reports on just that.
    pub fn run(&mut self, load: &ProbeLoad) -> ProbeReport {
        self.report = ProbeReport::default();
        let began = self.now;
        let end = began + load.length;
        let gap = Duration::from_micros(1_000_000 / load.records_per_second.max(1));
        let mut next = began;
        let mut number = 0;
        while next < end {
            while self.step(next) {}
            self.now = next;
            let ticket = AppendTicket(number);
            number += 1;
            let prompt = load.prompt_every > 0 && number % load.prompt_every == 0;
            let urgency = if prompt { AppendUrgency::Prompt } else { AppendUrgency::Relaxed };
            self.sent.insert(ticket, (self.now, urgency));
            self.tell(ShardEvent::Append {
                ticket,
                records: vec![Payload(vec![b'r'; load.record_bytes])],
                urgency,
                chunks: Vec::new(),
            });
            next = next + gap;
        }
        while self.step(end) {}
        self.now = end;
        let mut report = std::mem::take(&mut self.report);
        report.prompt_delays.sort_unstable();
        report.relaxed_delays.sort_unstable();
        self.sent.clear();
        report
    }

    /// The head in force.
    pub fn head(&self) -> Option<LedgerHead> {
        let key = ObjectKey { shard: self.shard.settings().shard }.head();
        self.store.value(&key).and_then(|value| LedgerHead::decode(value).ok())
    }

    /// Does the next thing due until `limit`; whether there was one.
    fn step(&mut self, limit: MonoTime) -> bool {
        let answer = self.answers.first_key_value().map(|((at, _), _)| *at);
        let wake = self.shard.next_wake();
        let Some(next) = answer.into_iter().chain(wake).min().filter(|next| *next <= limit) else {
            return false;
        };
        self.now = self.now.max(next);
        if answer == Some(next) {
            if let Some(((_, call), result)) = self.answers.pop_first() {
                self.tell(ShardEvent::StoreAnswered { call, result });
            }
        } else {
            self.tell(ShardEvent::Tick);
        }
        true
    }

    fn tell(&mut self, event: ShardEvent) {
        let now = Now { mono: self.now, wall: WallTime(self.now.0 / 1_000) };
        let mut effects = Vec::new();
        self.shard.handle(now, event, &mut effects);
        let mut wanted = false;
        for effect in effects {
            wanted |= effect == ShardEffect::SnapshotWanted;
            self.carry(effect);
        }
        if wanted {
            let state = vec![0; self.state_bytes];
            let upto = self.applied;
            self.tell(ShardEvent::SnapshotTaken { upto, state, needed: Vec::new() });
        }
    }

    fn carry(&mut self, effect: ShardEffect) {
        match effect {
            ShardEffect::Call(StoreCall { call, op }) => {
                self.report.calls.add(&op);
                if let StoreOp::Put { key, value, .. } = &op {
                    self.report.bytes_written += value.len() as u64;
                    if key.ends_with("/head") {
                        self.report.largest_head = self.report.largest_head.max(value.len());
                    }
                }
                self.store.clock = WallTime(self.now.0 / 1_000);
                let result = self.store.apply(op);
                self.answers.insert((self.now + self.store_delay, call), result);
            }
            ShardEffect::Restore { upto, .. } => self.applied = upto,
            ShardEffect::Apply { seq, .. } => self.applied = seq.plus(1),
            ShardEffect::Committed { ticket, .. } => {
                self.report.committed += 1;
                let Some((sent, urgency)) = self.sent.remove(&ticket) else { return };
                let delays = match urgency {
                    AppendUrgency::Prompt => &mut self.report.prompt_delays,
                    AppendUrgency::Relaxed => &mut self.report.relaxed_delays,
                };
                delays.push(self.now.since(sent));
            }
            ShardEffect::Rejected { ticket, .. } => {
                self.report.rejected += 1;
                self.sent.remove(&ticket);
            }
            ShardEffect::Owned { .. }
            | ShardEffect::Lost { .. }
            | ShardEffect::Observed { .. }
            | ShardEffect::SnapshotWanted
            | ShardEffect::SweepChunks { .. }
            | ShardEffect::Count(_)
            | ShardEffect::Note(_) => {}
        }
    }
}
