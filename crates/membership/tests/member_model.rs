//! Member tables against the truth: whatever happened, once the network is whole again every
//! gateway's roster is the set of gateways that run and don't leave.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use notch_membership::{
    ListedVm, MembershipEffect, MembershipEvent, MembershipSettings,
    probe::{ProbeFleet, identity_of, listed_fleet},
};
use notch_messages::gossip::MemberState;
use notch_types::prelude::*;
use proptest::{prelude::*, test_runner::RngSeed};
use rand::{RngExt, SeedableRng, rngs::SmallRng};

/// A fault, or time.
#[derive(Debug, Clone)]
enum Step {
    Stop(usize),
    Start(usize),
    Pause(usize, u64),
    Leave(usize),
    /// Parts the fleet: gateways whose bit is set lose the others.
    Part(u16),
    Heal,
    /// Per cent of messages lost, and greatest delay in milliseconds.
    Weather(u8, u64),
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        2 => (0_usize..12).prop_map(Step::Stop),
        3 => (0_usize..12).prop_map(Step::Start),
        2 => (0_usize..12, 1_u64..30).prop_map(|(node, seconds)| Step::Pause(node, seconds)),
        1 => (0_usize..12).prop_map(Step::Leave),
        2 => any::<u16>().prop_map(Step::Part),
        1 => Just(Step::Heal),
        1 => (0_u8..40, 1_u64..400).prop_map(|(loss, delay)| Step::Weather(loss, delay)),
        5 => (1_u64..40).prop_map(Step::Wait),
    ]
}

/// The fleet and the truth beside it.
struct Trial {
    fleet: ProbeFleet,
    list: Vec<ListedVm>,
    starts: BTreeMap<VmName, u64>,
    leaving: BTreeSet<VmName>,
    parted: u16,
    loss: u8,
    delay_ms: u64,
    random: SmallRng,
    /// The newest (incarnation, state) that each gateway told of each other since its start.
    told: BTreeMap<(VmName, VmName), (Incarnation, MemberState)>,
}

impl Trial {
    fn new(count: usize, seed: u64) -> Self {
        let list = listed_fleet(count, 3);
        let mut trial = Self {
            fleet: ProbeFleet::new(|_| 1),
            starts: BTreeMap::new(),
            leaving: BTreeSet::new(),
            parted: 0,
            loss: 0,
            delay_ms: 5,
            random: SmallRng::seed_from_u64(seed),
            told: BTreeMap::new(),
            list,
        };
        for node in 0..count {
            trial.start(node);
        }
        trial.wait(20);
        trial
    }

    fn apply(&mut self, step: &Step) {
        let count = self.list.len();
        match step {
            Step::Stop(node) => self.stop(node % count),
            Step::Start(node) => self.start(node % count),
            Step::Pause(node, seconds) => {
                let until = self.fleet.now() + Duration::from_secs(*seconds);
                self.fleet.pause(&self.list[node % count].vm.clone(), until);
            }
            Step::Leave(node) => {
                let vm = self.list[node % count].vm.clone();
                if self.fleet.table(&vm).is_some() {
                    self.tell(&vm, MembershipEvent::Leave);
                    self.leaving.insert(vm);
                }
            }
            Step::Part(bits) => self.parted = *bits,
            Step::Heal => self.parted = 0,
            Step::Weather(loss, delay_ms) => (self.loss, self.delay_ms) = (*loss, *delay_ms),
            Step::Wait(seconds) => self.wait(*seconds),
        }
    }

    fn stop(&mut self, node: usize) {
        let vm = self.list[node].vm.clone();
        self.fleet.stop(&vm);
        self.leaving.remove(&vm);
        self.told.retain(|(teller, _), _| *teller != vm);
    }

    fn start(&mut self, node: usize) {
        let listed = self.list[node].clone();
        if self.fleet.table(&listed.vm).is_some() {
            return;
        }
        let start = self.starts.entry(listed.vm.clone()).or_default();
        self.fleet.start(identity_of(&listed, *start), &MembershipSettings::default());
        *start += 1;
        let list = self.list.clone();
        self.tell(&listed.vm, MembershipEvent::VmListed(list));
    }

    fn tell(&mut self, vm: &VmName, event: MembershipEvent) {
        let (parted, loss, delay_ms) = (self.parted, self.loss, self.delay_ms);
        let (list, random) = (&self.list, &mut self.random);
        let mut link =
            |from: &VmName, to: &VmName, _| weather(list, random, parted, loss, delay_ms, from, to);
        self.fleet.tell(vm, event, &mut link);
    }

    fn wait(&mut self, seconds: u64) {
        let until = self.fleet.now() + Duration::from_secs(seconds);
        let (parted, loss, delay_ms) = (self.parted, self.loss, self.delay_ms);
        let (list, random) = (&self.list, &mut self.random);
        let mut link =
            |from: &VmName, to: &VmName, _| weather(list, random, parted, loss, delay_ms, from, to);
        self.fleet.run_until(until, &mut link);
        self.check_forward_only();
    }

    /// What a gateway tells of another never goes back.
    fn check_forward_only(&mut self) {
        for (_, teller, effect) in self.fleet.take_told() {
            let MembershipEffect::Changed(updates) = effect else { continue };
            for update in updates {
                let news = (update.incarnation, update.state);
                let old = self.told.insert((teller.clone(), update.vm.clone()), news);
                assert!(old.is_none_or(|old| old < news), "{teller}: {old:?} then {update:?}");
            }
        }
    }

    fn truth(&self) -> BTreeSet<VmName> {
        let running = self.fleet.running().map(|(vm, _)| vm.clone());
        running.filter(|vm| !self.leaving.contains(vm)).collect()
    }
}

fn weather(
    list: &[ListedVm],
    random: &mut SmallRng,
    parted: u16,
    loss: u8,
    delay_ms: u64,
    from: &VmName,
    to: &VmName,
) -> Option<Duration> {
    let side = |vm: &VmName| {
        let place = list.iter().position(|listed| listed.vm == *vm).expect("a listed VM");
        parted & (1 << place) != 0
    };
    let lost = side(from) != side(to) || random.random_range(0..100) < loss;
    let delay = Duration::from_millis(random.random_range(1..=delay_ms));
    (!lost).then_some(delay)
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(23), cases: 400, failure_persistence: None,
        max_shrink_iters: 200, ..ProptestConfig::default()
    })]

    #[test]
    fn rosters_come_to_the_truth(
        count in 2_usize..12,
        seed in any::<u64>(),
        steps in prop::collection::vec(step(), 1..25),
    ) {
        let mut trial = Trial::new(count, seed);
        for step in &steps {
            trial.apply(step);
        }
        trial.apply(&Step::Heal);
        trial.apply(&Step::Weather(0, 5));
        trial.wait(90);
        let truth = trial.truth();
        for (vm, table) in trial.fleet.running() {
            let roster: BTreeSet<VmName> =
                table.roster().members().iter().map(|member| member.vm.clone()).collect();
            prop_assert_eq!(&roster, &truth, "as {} sees it", vm);
        }
    }
}
