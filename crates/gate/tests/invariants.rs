//! Long random histories with faults, watched by an observer that only writes down what it saw.

mod common;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use common::*;
use notch_gate::prelude::*;
use notch_messages::prelude::*;
use notch_types::prelude::*;
use proptest::{prelude::*, test_runner::RngSeed};

const LIMIT: u32 = 5;

#[derive(Debug, Clone)]
enum Step {
    Offer {
        number: u64,
        deadline_ms: u64,
        idempotent: bool,
        alone: bool,
    },
    Seal {
        number: u64,
    },
    Cancel {
        number: u64,
    },
    Resume {
        number: u64,
    },
    Lot {
        first: u32,
        count: u32,
        epoch: u64,
        idempotent: bool,
    },
    CancelJob {
        job: u128,
    },
    Settle,
    /// Ends one run in flight; the choice and the way by number.
    End {
        choice: usize,
        way: u8,
    },
    TargetDown {
        frozen: bool,
    },
    TargetUp,
    GatewayDown {
        number: u8,
    },
    GatewayUp {
        number: u8,
    },
    Quarantine {
        number: u64,
    },
    Pass {
        millis: u64,
    },
    Leave,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        20 => (1..80_u64, 50..5_000_u64, any::<bool>(), 0..12_u8).prop_map(
            |(number, deadline_ms, idempotent, alone)| Step::Offer {
                number, deadline_ms, idempotent, alone: alone == 0,
            }
        ),
        4 => (1..80_u64).prop_map(|number| Step::Seal { number }),
        4 => (1..80_u64).prop_map(|number| Step::Cancel { number }),
        3 => (1..80_u64).prop_map(|number| Step::Resume { number }),
        8 => (0..300_u32, 1..6_u32, 4..7_u64, 0..4_u8).prop_map(|(first, count, epoch, once)| {
            Step::Lot { first, count, epoch, idempotent: once != 0 }
        }),
        1 => (0..3_u128).prop_map(|job| Step::CancelJob { job }),
        3 => Just(Step::Settle),
        20 => (0..16_usize, 0..10_u8).prop_map(|(choice, way)| Step::End { choice, way }),
        1 => any::<bool>().prop_map(|frozen| Step::TargetDown { frozen }),
        3 => Just(Step::TargetUp),
        1 => (1..3_u8).prop_map(|number| Step::GatewayDown { number }),
        2 => (1..3_u8).prop_map(|number| Step::GatewayUp { number }),
        1 => (1..80_u64).prop_map(|number| Step::Quarantine { number }),
        8 => (1..800_u64).prop_map(|millis| Step::Pass { millis }),
    ]
}

/// How an attempt or item was told to be over.
#[derive(Debug, Clone, PartialEq)]
enum FirstWord {
    Refused(RefusalReason),
    Sealed,
    Ended(u64, AttemptOutcome),
}

/// Writes down what it sees; every rule is one look at the notes.
#[derive(Default)]
struct Observer {
    offered: BTreeSet<AttemptId>,
    started: BTreeSet<AttemptId>,
    never_starts: BTreeSet<AttemptId>,
    first_words: BTreeMap<AttemptId, FirstWord>,
    /// By item: lots it came in, and answers given.
    lots: BTreeMap<ItemKey, u32>,
    /// Items with a result or return.
    accounted: BTreeSet<ItemKey>,
    buffered: BTreeSet<ItemKey>,
    ended_totals: BTreeMap<AttemptId, u64>,
}

impl Observer {
    fn watch(&mut self, effects: &[GateEffect], limit: u32, in_flight: usize) {
        let mut started = 0;
        for effect in effects {
            match effect {
                GateEffect::Start(request) => {
                    started += 1;
                    assert!(self.started.insert(request.run), "started twice: {}", request.run);
                    assert!(!self.never_starts.contains(&request.run), "started after all");
                }
                GateEffect::Send { message, .. } => self.hear(message),
                _ => {}
            }
        }
        if started > 0 {
            assert!(in_flight <= limit as usize, "{in_flight} in flight over {limit}");
        }
    }

    fn hear(&mut self, message: &GatewayMessage) {
        match message {
            GatewayMessage::Refused(refusal) => {
                assert!(!self.started_and_sent(refusal.attempt), "refused what had run");
                self.never_starts.insert(refusal.attempt);
                let reason = refusal.reason;
                self.word(refusal.attempt, FirstWord::Refused(reason));
            }
            GatewayMessage::Sealed { attempt, verdict: SealVerdict::NeverStarted } => {
                assert!(!self.started_and_sent(*attempt), "sealed what had run");
                self.never_starts.insert(*attempt);
                self.first_words.entry(*attempt).or_insert(FirstWord::Sealed);
            }
            GatewayMessage::Ended { attempt, total, outcome } => {
                assert!(self.started.contains(attempt), "ended what never ran");
                assert_eq!(self.ended_totals.get(attempt), Some(total), "total as produced");
                self.word(*attempt, FirstWord::Ended(*total, outcome.clone()));
            }
            GatewayMessage::ItemsDone { results, .. } => {
                for result in results {
                    self.accounted.insert(result.key);
                    self.buffered.insert(result.key);
                }
            }
            GatewayMessage::ItemsReturned { returns, .. } => {
                self.accounted.extend(returns.iter().map(|back| back.key));
            }
            _ => {}
        }
    }

    /// A run that the target surely never saw counts as not started.
    fn started_and_sent(&self, run: AttemptId) -> bool {
        self.started.contains(&run) && self.ended_totals.get(&run) != Some(&UNREACHED)
    }

    /// One end for each attempt: later words may only repeat the first. A sealed attempt that is
    /// offered again may be refused besides; both say the same.
    fn word(&mut self, attempt: AttemptId, word: FirstWord) {
        let first = self.first_words.entry(attempt).or_insert_with(|| word.clone());
        let agrees = match (&*first, &word) {
            (FirstWord::Sealed, FirstWord::Refused(_)) => true,
            (first, word) => first == word,
        };
        assert!(agrees, "two ends of {attempt}: {first:?} and {word:?}");
    }
}

/// The total that marks a run as never sent.
const UNREACHED: u64 = u64::MAX;

struct World {
    bench: Bench,
    observer: Observer,
    lots: u64,
    tries: u64,
}

impl World {
    fn new() -> Self {
        let policy = TargetPolicy {
            queue_length: 4,
            queue_wait: Duration::from_millis(1_500),
            floor_share: 0.0,
            ..fixed(LIMIT)
        };
        let settings = GateSettings {
            isolation_wait: Duration::from_millis(700),
            isolation_pause: Duration::from_millis(300),
            output_retention: Duration::from_secs(600),
            orphan_grace: Duration::from_millis(900),
            // The make-believe target confirms when the history says so, however late.
            stop_grace: Duration::from_secs(3_600),
            lot_items: 4,
            result_count: 20,
            ..still()
        };
        let bench = Bench::new(settings, policy);
        Self { bench, observer: Observer::default(), lots: 0, tries: 0 }
    }

    fn watch(&mut self, effects: &[GateEffect]) {
        let in_flight = self.bench.in_flight.len();
        self.observer.watch(effects, LIMIT, in_flight);
        self.online_never_waits_behind_batch();
    }

    /// Nobody waits while batch runs on in a slot that online could have.
    fn online_never_waits_behind_batch(&self) {
        let Some(load) = self.bench.gate.loads().into_iter().next() else { return };
        let is_calm = load.up && !self.bench.gate.is_leaving() && load.online_waiting > 0;
        if !is_calm || self.is_isolating() {
            return;
        }
        let stoppable = self.stoppable_batch();
        let free = LIMIT.saturating_sub(load.online_running + load.batch_running);
        assert!(
            stoppable == 0 || free >= load.online_waiting,
            "{} wait while {stoppable} batch run",
            load.online_waiting
        );
    }

    fn is_isolating(&self) -> bool {
        let count = |name| {
            self.bench
                .seen
                .iter()
                .filter(|effect| **effect == GateEffect::Count(Counter::Event(name)))
                .count()
        };
        // A suspect that waits for its turn is meant to wait; so look only while there is none.
        count("isolations_begun") > 0 || self.bench.sent_alone
    }

    fn stoppable_batch(&self) -> u32 {
        let running = self.bench.in_flight.iter().filter(|(_, stopped)| !**stopped);
        running.filter(|(run, _)| self.bench.repeatable_items.contains(*run)).count() as u32
    }

    fn take(&mut self, step: &Step) {
        let effects = match step {
            Step::Offer { number, deadline_ms, idempotent, alone } => {
                self.observer.offered.insert(attempt(*number));
                self.bench.sent_alone |= *alone;
                self.bench.say(SidecarMessage::Offer(AttemptOffer {
                    idempotent: *idempotent,
                    alone: *alone,
                    ..offer(*number, *deadline_ms)
                }))
            }
            Step::Seal { number } => {
                self.bench.say(SidecarMessage::Seal { attempt: attempt(*number) })
            }
            Step::Cancel { number } => {
                self.bench.say(SidecarMessage::Cancel { attempt: attempt(*number) })
            }
            Step::Resume { number } => {
                self.bench.say(SidecarMessage::Resume { attempt: attempt(*number), offset: 0 })
            }
            Step::Lot { first, count, epoch, idempotent } => {
                self.lot(*first, *count, *epoch, *idempotent)
            }
            Step::CancelJob { job: number } => {
                let epoch = Epoch(0);
                self.bench.say(SidecarMessage::CancelJob { job: job(*number), epoch })
            }
            Step::Settle => {
                let keys = std::mem::take(&mut self.observer.buffered);
                self.bench.say(SidecarMessage::ItemsSettled(keys.into_iter().collect()))
            }
            Step::End { choice, way } => self.end(*choice, *way),
            Step::TargetDown { frozen } => {
                let cause = if *frozen { DownCause::Frozen } else { DownCause::Crashed };
                self.bench.sent_alone = true;
                self.bench.feed(GateEvent::TargetDown { target: target(), cause })
            }
            Step::TargetUp => {
                self.bench.feed(GateEvent::TargetUp { target: target(), instance: None })
            }
            Step::GatewayDown { number } => {
                self.bench.feed(GateEvent::GatewayDown { gateway: gateway(*number) })
            }
            Step::GatewayUp { number } => {
                self.bench.feed(GateEvent::GatewayUp { gateway: gateway(*number) })
            }
            Step::Quarantine { number } => {
                self.bench.say(SidecarMessage::Quarantined(vec![fingerprint(*number)]))
            }
            Step::Pass { millis } => self.bench.pass(*millis),
            Step::Leave => self.bench.feed(GateEvent::Leave),
        };
        self.watch(&effects);
    }

    fn lot(&mut self, first: u32, count: u32, epoch: u64, idempotent: bool) -> Vec<GateEffect> {
        self.lots += 1;
        self.tries += 1;
        let keys: Vec<ItemKey> =
            (0..count).map(|index| item(u128::from(first % 3), first + index)).collect();
        let mut grant = LotGrant { epoch: Epoch(epoch), idempotent, ..lot(self.lots, &keys) };
        for item in &mut grant.items {
            item.attempt = self.tries;
            let LotItem { key, attempt, .. } = item;
            if idempotent {
                let run = AttemptId::for_item(key.job, key.item, *attempt, OWN);
                self.bench.repeatable_items.insert(run);
            }
        }
        let effects = self.bench.say(SidecarMessage::Lot(grant));
        let is_stale =
            effects.contains(&GateEffect::Count(Counter::Dropped(DropReason::StaleEpoch)));
        if !is_stale {
            for key in keys {
                *self.observer.lots.entry(key).or_default() += 1;
            }
        }
        effects
    }

    fn end(&mut self, choice: usize, way: u8) -> Vec<GateEffect> {
        let runs: Vec<(AttemptId, bool)> =
            self.bench.in_flight.iter().map(|(run, stopped)| (*run, *stopped)).collect();
        if runs.is_empty() {
            return Vec::new();
        }
        let (run, stopped) = runs[choice % runs.len()];
        let end = match way {
            0 => RunEnd::Cut,
            1 => RunEnd::Failed { status: 503, retryable: true },
            2 if !stopped => RunEnd::Unreached,
            _ if stopped && way < 8 => RunEnd::Stopped,
            _ => RunEnd::Complete { status: 200 },
        };
        let total = if end == RunEnd::Unreached { UNREACHED } else { u64::from(way) };
        self.observer.ended_totals.insert(run, total);
        self.bench.feed(GateEvent::RunEnded { run, end, total, output: None })
    }

    /// Lets everything come to its end.
    fn come_to_rest(&mut self) {
        for number in 1..3 {
            self.take(&Step::GatewayUp { number });
        }
        self.take(&Step::TargetUp);
        for _ in 0..200 {
            while !self.bench.in_flight.is_empty() {
                self.take(&Step::End { choice: 0, way: 9 });
            }
            self.take(&Step::TargetUp);
            self.take(&Step::Settle);
            self.take(&Step::Pass { millis: 500 });
        }
    }

    fn check_rest(&self) {
        for attempt in &self.observer.offered {
            assert!(self.observer.first_words.contains_key(attempt), "no end of {attempt}");
        }
        for key in self.observer.lots.keys() {
            assert!(self.observer.accounted.contains(key), "no end of item {key:?}");
        }
        let load = self.bench.load();
        assert_eq!((load.online_running, load.online_waiting, load.batch_running), (0, 0, 0));
        assert_eq!(self.bench.gate.result_bytes(), 0, "everything is settled");
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(42),
        cases: 1_500,
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn every_promise_is_kept(
        steps in proptest::collection::vec(step(), 1..250),
        leaves in any::<bool>(),
    ) {
        let mut world = World::new();
        for step in &steps {
            world.take(step);
        }
        if leaves {
            world.take(&Step::Leave);
        }
        world.come_to_rest();
        world.check_rest();
        if leaves {
            prop_assert!(world.bench.seen.contains(&GateEffect::Drained));
        }
    }
}
