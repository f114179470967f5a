//! The catalogue of a fleet against one variable: the newest valid text of each entry.

use std::{collections::BTreeMap, time::Duration};

use notch_catalogue::{
    CatalogueEvent, CatalogueSettings, check,
    probe::{CatalogueFleet, StoreFate, usual_store},
};
use notch_messages::{
    entry::{EntryKey, EntryKind, EntryRecord},
    gossip::GossipMessage,
};
use notch_types::{
    object::{StoreFailure, StoreOp},
    prelude::*,
};
use proptest::{prelude::*, test_runner::RngSeed};
use rand::{RngExt, SeedableRng, rngs::SmallRng};

const ENTRIES: usize = 6;

/// How the store is.
#[derive(Debug, Clone, Copy)]
enum StoreState {
    Well,
    Down,
    /// Watches never answer; everything else does.
    Hanging,
    /// Half of all calls fail, or their answers are lost.
    Flapping,
}

#[derive(Debug, Clone)]
enum Step {
    Edit(usize),
    EditInvalid(usize),
    Retire(usize),
    /// Gives a node an old version that was in the store once, as if it had been on its way.
    Replay(usize, usize),
    Stop(usize),
    Start(usize),
    Store(StoreState),
    Part(u16),
    Loss(u8),
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let states = prop_oneof![
        Just(StoreState::Well),
        Just(StoreState::Down),
        Just(StoreState::Hanging),
        Just(StoreState::Flapping)
    ];
    prop_oneof![
        5 => (0..ENTRIES).prop_map(Step::Edit),
        2 => (0..ENTRIES).prop_map(Step::EditInvalid),
        1 => (0..ENTRIES).prop_map(Step::Retire),
        3 => (0_usize..9, 0_usize..64).prop_map(|(node, old)| Step::Replay(node, old)),
        2 => (0_usize..9).prop_map(Step::Stop),
        2 => (0_usize..9).prop_map(Step::Start),
        2 => states.prop_map(Step::Store),
        1 => any::<u16>().prop_map(Step::Part),
        1 => (0_u8..40).prop_map(Step::Loss),
        6 => (1_u64..3_000).prop_map(|ms| Step::Wait(ms * 3)),
    ]
}

struct Trial {
    fleet: CatalogueFleet,
    names: Vec<VmName>,
    random: SmallRng,
    state: StoreState,
    parted: u16,
    loss: u8,
    /// Every record that ever was in the store.
    history: Vec<EntryRecord>,
    edits: u64,
    /// What each node had in force at the last look.
    seen: BTreeMap<(VmName, EntryKey), EntryVersion>,
}

impl Trial {
    fn new(count: usize, seed: u64) -> Self {
        let mut fleet = CatalogueFleet::new(count, 3, &CatalogueSettings::default(), |_| 1);
        fleet.start_all();
        Self {
            names: fleet.names(),
            fleet,
            random: SmallRng::seed_from_u64(seed),
            state: StoreState::Well,
            parted: 0,
            loss: 0,
            history: Vec::new(),
            edits: 0,
            seen: BTreeMap::new(),
        }
    }

    fn apply(&mut self, step: &Step) {
        let count = self.names.len();
        match step {
            Step::Edit(entry) => self.edit(*entry, r#"{"owner":"N"}"#),
            Step::EditInvalid(entry) => self.edit(*entry, r#"{"owner":"N","limits":{"queue":-1}}"#),
            Step::Retire(entry) => self.edit(*entry, r#"{"owner":"N","retired":true}"#),
            Step::Replay(node, old) => self.replay(node % count, *old),
            Step::Stop(node) => {
                let vm = self.names[node % count].clone();
                self.fleet.stop(&vm);
                self.seen.retain(|(node, _), _| *node != vm);
            }
            Step::Start(node) => {
                let vm = self.names[node % count].clone();
                if self.fleet.node(&vm).is_none() {
                    self.fleet.start(&vm);
                }
            }
            Step::Store(state) => self.state = *state,
            Step::Part(bits) => self.parted = *bits,
            Step::Loss(loss) => self.loss = *loss,
            Step::Wait(millis) => self.wait(*millis),
        }
        self.check();
    }

    fn edit(&mut self, entry: usize, text: &str) {
        self.edits += 1;
        let text = text.replace('N', &self.edits.to_string());
        let key = EntryKey { kind: EntryKind::Target, name: format!("t-{entry}") };
        let version = self.fleet.store.put(self.fleet.now(), &key, &text);
        let body = Payload::from(text.as_str());
        self.history.push(EntryRecord { key, version, body });
    }

    fn replay(&mut self, node: usize, old: usize) {
        if self.history.is_empty() {
            return;
        }
        let record = self.history[old % self.history.len()].clone();
        let message = GossipMessage::Entries { entries: vec![record], covers: vec![] };
        let from = self.names[0].clone();
        let vm = self.names[node].clone();
        let event = CatalogueEvent::Received { from, message };
        self.run(|fleet, link, rule| fleet.tell(&vm, event, link, rule));
    }

    fn wait(&mut self, millis: u64) {
        let until = self.fleet.now() + Duration::from_millis(millis);
        self.run(|fleet, link, rule| fleet.run_until(until, link, rule));
    }

    fn run(
        &mut self,
        act: impl FnOnce(
            &mut CatalogueFleet,
            notch_membership::probe::LinkRule<'_>,
            notch_catalogue::probe::StoreRule<'_>,
        ),
    ) {
        let (parted, loss, state) = (self.parted, self.loss, self.state);
        let names = self.names.clone();
        let mut weather = SmallRng::seed_from_u64(self.random.random());
        let mut store_weather = SmallRng::seed_from_u64(self.random.random());
        let mut link = |from: &VmName, to: &VmName, _| {
            let side = |vm: &VmName| {
                names.iter().position(|name| name == vm).is_some_and(|n| parted & (1 << n) != 0)
            };
            let lost = side(from) != side(to) || weather.random_range(0..100) < loss;
            (!lost).then(|| Duration::from_millis(weather.random_range(1..40)))
        };
        let mut rule = |from: &VmName, op: &StoreOp, at| {
            let flap = store_weather.random_range(0..4);
            let late = Duration::from_millis(store_weather.random_range(1..400));
            match state {
                StoreState::Down => StoreFate::Fail(late, StoreFailure::Unavailable),
                StoreState::Hanging if matches!(op, StoreOp::Watch { .. }) => StoreFate::Hang,
                StoreState::Flapping if flap == 0 => StoreFate::Fail(late, StoreFailure::Unknown),
                StoreState::Flapping if flap == 1 => StoreFate::Hang,
                _ => usual_store(from, op, at),
            }
        };
        act(&mut self.fleet, &mut link, &mut rule);
    }

    /// At any time: nothing goes back, and nothing invalid is in force.
    fn check(&mut self) {
        for (vm, node) in self.fleet.running() {
            for (record, _) in node.table().entries() {
                assert!(check(record.key.kind, &record.key.name, &record.body).is_ok());
                assert!(self.history.contains(record), "{vm} has {record:?}, which never was");
                let place = (vm.clone(), record.key.clone());
                let old = self.seen.insert(place, record.version);
                assert!(
                    old.is_none_or(|old| old <= record.version),
                    "{vm} went back on {record:?}"
                );
            }
        }
        for (vm, key) in self.seen.keys() {
            let node = self.fleet.node(vm).expect("seen nodes run");
            assert!(node.table().record(key).is_some(), "{vm} lost {key:?}");
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(41), cases: 300, failure_persistence: None,
        max_shrink_iters: 300, ..ProptestConfig::default()
    })]

    #[test]
    fn a_fleet_holds_what_one_variable_would(
        count in 1_usize..9,
        seed in any::<u64>(),
        steps in prop::collection::vec(step(), 1..40),
    ) {
        let mut trial = Trial::new(count, seed);
        for step in &steps {
            trial.apply(step);
        }
        for step in [Step::Store(StoreState::Well), Step::Part(0), Step::Loss(0)] {
            trial.apply(&step);
        }
        trial.wait(60_000);
        trial.check();
        let newest: BTreeMap<EntryKey, EntryRecord> =
            trial.history.iter().map(|record| (record.key.clone(), record.clone())).collect();
        let running: Vec<_> = trial.fleet.running().collect();
        for (vm, node) in &running {
            prop_assert!(node.is_ready(), "{} is not ready", vm);
            prop_assert_eq!(node.table().root(), running[0].1.table().root(), "{} differs", vm);
            for (key, record) in &newest {
                if check(key.kind, &key.name, &record.body).is_ok() {
                    prop_assert_eq!(node.table().record(key), Some(record), "at {}", vm);
                }
            }
        }
    }
}
