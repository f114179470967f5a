//! The gate's admission against a naive one that keeps plain lists and looks at all of them.

mod common;

use std::collections::BTreeSet;

use common::*;
use notch_gate::prelude::*;
use notch_messages::prelude::*;
use notch_types::prelude::*;
use proptest::{prelude::*, test_runner::RngSeed};

const LIMIT: usize = 4;
const QUEUE: usize = 3;

#[derive(Debug, Clone)]
enum Step {
    Offer { number: u64, deadline_ms: u64 },
    Lot { first: u32, count: u32 },
    EndOldest,
    ConfirmStop,
    Cancel { number: u64 },
    Pass { millis: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (1..60_u64, 300..3_000_u64)
            .prop_map(|(number, deadline_ms)| Step::Offer { number, deadline_ms }),
        2 => (0..200_u32, 1..4_u32).prop_map(|(first, count)| Step::Lot { first, count }),
        3 => Just(Step::EndOldest),
        3 => Just(Step::ConfirmStop),
        1 => (1..60_u64).prop_map(|number| Step::Cancel { number }),
        2 => (1..200_u64).prop_map(|millis| Step::Pass { millis }),
    ]
}

/// What runs and waits, by the rules in their plainest form.
#[derive(Debug, Default)]
struct NaiveGate {
    known: BTreeSet<AttemptId>,
    /// Online, waiting: (deadline, run).
    waiting: Vec<(u64, AttemptId)>,
    pending: Vec<AttemptId>,
    online: Vec<AttemptId>,
    /// Batch, running: (started at, run).
    batch: Vec<(u64, AttemptId)>,
    stopping: Vec<AttemptId>,
}

impl NaiveGate {
    fn taken(&self) -> usize {
        self.online.len() + self.batch.len() + self.stopping.len()
    }

    /// Applies the rules until nothing changes: online first by deadline, batch in what is left,
    /// the youngest batch stopped where online would wait.
    fn settle(&mut self, now: u64) {
        self.waiting.sort();
        while self.taken() < LIMIT && !self.waiting.is_empty() {
            let (_, run) = self.waiting.remove(0);
            self.online.push(run);
        }
        while !self.batch.is_empty()
            && self.waiting.len() + self.online.len() + self.batch.len() > LIMIT
            && !self.waiting.is_empty()
        {
            let youngest = self
                .batch
                .iter()
                .enumerate()
                .max_by_key(|(_, (started, run))| (*started, std::cmp::Reverse(*run)))
                .map(|(index, _)| index)
                .expect("not empty");
            let (_, run) = self.batch.remove(youngest);
            self.stopping.push(run);
        }
        while self.taken() < LIMIT && self.waiting.is_empty() && !self.pending.is_empty() {
            let run = self.pending.remove(0);
            self.batch.push((now, run));
        }
    }
}

/// Gate and naive gate side by side.
struct Pair {
    bench: Bench,
    naive: NaiveGate,
    lots: u64,
}

impl Pair {
    fn new() -> Self {
        let policy = TargetPolicy {
            queue_length: QUEUE as u32,
            queue_wait: std::time::Duration::from_secs(60),
            floor_share: 0.0,
            ..fixed(LIMIT as u32)
        };
        let settings = GateSettings {
            item_wait: std::time::Duration::from_secs(600),
            stop_grace: std::time::Duration::from_secs(600),
            ..still()
        };
        Self { bench: Bench::new(settings, policy), naive: NaiveGate::default(), lots: 0 }
    }

    fn take(&mut self, step: &Step) {
        let now = self.bench.now;
        match step {
            Step::Offer { number, deadline_ms } => {
                let run = attempt(*number);
                let effects = self.bench.say(SidecarMessage::Offer(offer(*number, *deadline_ms)));
                if self.naive.known.insert(run) {
                    let is_full = self.naive.waiting.len() >= QUEUE;
                    let told = refusals(&effects).iter().any(|(refused, _)| *refused == run);
                    assert_eq!(told, is_full, "refused exactly when the queue is full");
                    if !is_full {
                        self.naive.waiting.push((now + deadline_ms, run));
                    }
                }
            }
            Step::Lot { first, count } => {
                self.lots += 1;
                let keys: Vec<ItemKey> = (0..*count).map(|i| item(1, first + i)).collect();
                self.bench.say(SidecarMessage::Lot(lot(self.lots, &keys)));
                for key in keys {
                    let run = item_run(key);
                    let is_live = self.naive.pending.contains(&run)
                        || self.naive.batch.iter().any(|(_, live)| *live == run)
                        || self.naive.stopping.contains(&run);
                    if !is_live && self.naive.pending.len() < 64 {
                        self.naive.pending.push(run);
                    }
                }
            }
            Step::EndOldest => {
                let Some(run) = self.naive.online.first().copied() else { return };
                self.naive.online.remove(0);
                self.bench.end(run, RunEnd::Complete { status: 200 });
            }
            Step::ConfirmStop => {
                let Some(run) = self.naive.stopping.first().copied() else { return };
                self.naive.stopping.remove(0);
                self.bench.end(run, RunEnd::Stopped);
            }
            Step::Cancel { number } => {
                let run = attempt(*number);
                self.bench.say(SidecarMessage::Cancel { attempt: run });
                self.naive.known.insert(run);
                self.naive.waiting.retain(|(_, waiting)| *waiting != run);
                if let Some(index) = self.naive.online.iter().position(|live| *live == run) {
                    self.naive.online.remove(index);
                    self.naive.stopping.push(run);
                }
            }
            Step::Pass { millis } => {
                // The gate acts at each deadline; so does the naive one, in order.
                let until = now + millis;
                loop {
                    let next = self
                        .naive
                        .waiting
                        .iter()
                        .map(|(deadline, _)| *deadline)
                        .chain(self.naive_deadlines())
                        .filter(|deadline| *deadline <= until)
                        .min();
                    let Some(next) = next else { break };
                    self.expire(next);
                    self.naive.settle(next);
                }
                self.bench.pass(*millis);
            }
        }
        self.naive.settle(self.bench.now);
    }

    /// Deadlines of running online work, as offered.
    fn naive_deadlines(&self) -> Vec<u64> {
        self.deadlines().into_iter().map(|(deadline, _)| deadline).collect()
    }

    fn deadlines(&self) -> Vec<(u64, AttemptId)> {
        let running = |run: &AttemptId| self.naive.online.contains(run);
        self.bench.offered.iter().filter(|(_, run)| running(run)).copied().collect()
    }

    fn expire(&mut self, at: u64) {
        self.naive.waiting.retain(|(deadline, _)| *deadline > at);
        let over: Vec<AttemptId> = self
            .deadlines()
            .into_iter()
            .filter(|(deadline, _)| *deadline <= at)
            .map(|(_, run)| run)
            .collect();
        for run in over {
            self.naive.online.retain(|live| *live != run);
            self.naive.stopping.push(run);
        }
    }

    fn compare(&self) {
        let running: BTreeSet<AttemptId> = self
            .bench
            .in_flight
            .iter()
            .filter(|(_, stopped)| !**stopped)
            .map(|(run, _)| *run)
            .collect();
        let stopping: BTreeSet<AttemptId> = self
            .bench
            .in_flight
            .iter()
            .filter(|(_, stopped)| **stopped)
            .map(|(run, _)| *run)
            .collect();
        let naive_running = self.naive.online.iter().copied();
        let naive_running: BTreeSet<AttemptId> =
            naive_running.chain(self.naive.batch.iter().map(|(_, run)| *run)).collect();
        assert_eq!(running, naive_running, "what runs");
        assert_eq!(stopping, self.naive.stopping.iter().copied().collect(), "what was stopped");
        let load = self.bench.load();
        assert_eq!(load.online_waiting as usize, self.naive.waiting.len(), "who waits");
        assert_eq!(load.online_running as usize, self.naive.online.len(), "online running");
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(41),
        cases: 400,
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn admission_is_the_naive_gates(steps in proptest::collection::vec(step(), 1..120)) {
        let mut pair = Pair::new();
        for step in &steps {
            pair.take(step);
            pair.compare();
        }
    }
}
