//! Sharing of slots among accounts: use over all gateways, water-filling, and the bounds of reports.

use std::time::Duration;

use notch_relay::{
    fairness::{
        key::MAX_KEY_BYTES,
        level::{ShareDemand, ShareLevel},
    },
    prelude::*,
};
use notch_types::prelude::*;
use proptest::prelude::*;
use rstest::rstest;

const SERVICE: &str = "llm";

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

fn vm(name: &str) -> VmName {
    VmName::new(name)
}

/// All of 100 slots in use.
const FULL: FairSlots = FairSlots { all: 100, free: 0, online: 100 };

fn share(key: &str, online: u32, refused: u32) -> ShareUse {
    ShareUse { service: SERVICE.to_owned(), key: key.to_owned(), online, refused, weight: 1.0 }
}

/// A table with `count` requests of each key at this gateway.
fn table_of(keys: &[(&str, u32)]) -> FairShareTable {
    let mut table = FairShareTable::default();
    for (key, count) in keys {
        for _ in 0..*count {
            assert!(table.begin(SERVICE, key, 1.0));
        }
    }
    table
}

fn admits(table: &mut FairShareTable, key: &str, slots: FairSlots) -> bool {
    table.admit(SERVICE, key, 1.0, slots, true, at(0)) == FairVerdict::Admit
}

// Guards against refusals while slots are free.
#[test]
fn nothing_is_refused_while_a_quarter_is_free() {
    let mut table = table_of(&[("heavy", 95), ("light", 1)]);
    let slots = |free| FairSlots { all: 100, free, online: 100 - free };
    assert!(admits(&mut table, "heavy", slots(25)));
    assert!(!admits(&mut table, "heavy", slots(24)));
    let mut table = table_of(&[("heavy", 9), ("light", 1)]);
    assert!(admits(&mut table, "heavy", FairSlots { all: 4, free: 1, online: 10 }));
    assert!(!admits(&mut table, "heavy", FairSlots { all: 4, free: 0, online: 10 }));
}

// Guards against refusals that help nobody: one account or route has all requests.
#[test]
fn a_key_without_competition_is_not_refused() {
    let mut table = table_of(&[("heavy", 300)]);
    let slots = |online| FairSlots { online, ..FULL };
    assert!(admits(&mut table, "heavy", slots(305)));
    assert!(!admits(&mut table, "heavy", slots(306)), "more than the headroom is used by others");
    table.note_report(&vm("g-2"), vec![share("other", 0, 1)], at(0));
    assert!(!admits(&mut table, "heavy", slots(300)));
}

// Guards against refusals in peaks in which no account uses more than the others.
#[test]
fn chance_variations_of_an_even_use_are_not_refused() {
    let mut table = table_of(&[("a", 70), ("b", 40)]);
    assert!(!admits(&mut table, "a", FULL));
    table.end(SERVICE, "a");
    table.end(SERVICE, "a");
    // An even part is 47.5, of which 20.7 are three standard deviations.
    assert!(admits(&mut table, "a", FULL));
}

// Guards against a flood that takes the slots of accounts with little use.
#[test]
fn only_the_account_over_its_share_is_refused() {
    let mut table = table_of(&[("heavy", 80), ("light", 20)]);
    let verdict = table.admit(SERVICE, "heavy", 1.0, FULL, true, at(0));
    assert_eq!(verdict, FairVerdict::Refuse { used: 80, share: 75.0 });
    assert!(admits(&mut table, "light", FULL));
    assert!(admits(&mut table, "new", FULL));
}

// Guards against shares by the requests of one gateway, of which each sees a part.
#[test]
fn use_is_counted_over_all_gateways() {
    let mut table = table_of(&[("light", 20)]);
    table.note_report(&vm("g-2"), vec![share("heavy", 40, 0)], at(0));
    table.note_report(&vm("g-3"), vec![share("heavy", 40, 0)], at(0));
    assert_eq!(table.used(SERVICE, "heavy"), 80);
    assert!(!admits(&mut table, "heavy", FULL));
    // A new report replaces the former one.
    table.note_report(&vm("g-3"), vec![share("light", 5, 0)], at(10));
    assert_eq!(table.used(SERVICE, "heavy"), 40);
    assert_eq!(table.used(SERVICE, "light"), 25);
}

// Guards against use of gateways that are gone or cut off.
#[test]
fn reports_expire_and_end_with_the_link() {
    let mut table = FairShareTable::default();
    table.note_report(&vm("g-2"), vec![share("heavy", 40, 3)], at(0));
    table.note_report(&vm("g-3"), vec![share("heavy", 30, 0)], at(1_000));
    table.expire(at(2_500));
    assert_eq!(table.used(SERVICE, "heavy"), 70);
    table.expire(at(2_501));
    assert_eq!(table.used(SERVICE, "heavy"), 30);
    table.forget(&vm("g-3"));
    assert_eq!(table.used(SERVICE, "heavy"), 0);
}

// Guards against an account whose refused demand is forgotten, so that its share seems unused.
#[test]
fn refusals_count_as_demand_for_a_second() {
    let mut table = table_of(&[("heavy", 70), ("other", 70)]);
    assert!(!admits(&mut table, "heavy", FULL));
    assert_eq!(table.own_shares(at(0))[0], share("heavy", 70, 1));
    let mut refused =
        |now| table.own_shares(at(now)).iter().map(|share| share.refused).sum::<u32>();
    assert_eq!([refused(900), refused(1_000)], [1, 0]);
}

// Guards against refusing a client that cannot come back as soon as one that can, and against such
// clients taking more than the headroom.
#[test]
fn a_request_without_a_retry_is_refused_at_a_higher_use() {
    let verdict = |used, can_retry| {
        let mut table = table_of(&[("heavy", used), ("light", 20)]);
        table.admit(SERVICE, "heavy", 1.0, FairSlots { online: 0, ..FULL }, can_retry, at(0))
    };
    assert_eq!(verdict(74, true), FairVerdict::Admit);
    assert_eq!(verdict(75, true), FairVerdict::Refuse { used: 75, share: 75.0 });
    assert_eq!(verdict(79, false), FairVerdict::Admit);
    assert_eq!(verdict(80, false), FairVerdict::Refuse { used: 80, share: 75.0 });

    // With a small share, the excess is a quarter of it.
    let verdict = |used| {
        let mut table = table_of(&[("heavy", used)]);
        for number in 0..40 {
            let key = format!("k{number}");
            assert!((0..2).all(|_| table.begin(SERVICE, &key, 1.0)));
        }
        table.admit(SERVICE, "heavy", 1.0, FairSlots { online: 0, ..FULL }, false, at(0))
    };
    assert_eq!(verdict(18), FairVerdict::Admit);
    assert_eq!(verdict(19), FairVerdict::Refuse { used: 19, share: 15.0 });
}

// Guards against a flood that takes all slots before the reports tell of it.
#[test]
fn reported_use_is_taken_to_go_on_rising() {
    let mut table = table_of(&[("heavy", 10)]);
    let estimated = |table: &FairShareTable| table.estimated_use(SERVICE, "heavy", 100.0, at(0));
    assert_eq!(estimated(&table), 10.0);
    table.note_report(&vm("g-2"), vec![share("heavy", 10, 0)], at(0));
    assert_eq!(estimated(&table), 20.0);
    drop(table.own_shares(at(0)));
    table.note_report(&vm("g-2"), vec![share("heavy", 25, 0)], at(100));
    table.note_report(&vm("g-3"), vec![share("heavy", 5, 0)], at(100));
    assert_eq!(estimated(&table), 60.0, "the sum of the reports rose from 10 to 30");
    drop(table.own_shares(at(0)));
    assert_eq!(estimated(&table), 60.0, "also after one more report of this gateway");
    drop(table.own_shares(at(0)));
    assert_eq!(estimated(&table), 40.0, "no longer after two");
    table.note_report(&vm("g-2"), vec![share("heavy", 0, 0)], at(200));
    assert_eq!(estimated(&table), 15.0, "never less than is known");
    table.note_report(&vm("g-2"), vec![share("heavy", 900, 0)], at(200));
    assert_eq!(estimated(&table), 915.0 + 875.0);
}

// Guards against a rise that is forgotten when links come up, each of which gets a report of its own.
#[test]
fn a_report_to_a_single_gateway_leaves_the_estimate() {
    let mut table = table_of(&[("heavy", 10)]);
    table.note_report(&vm("g-2"), vec![share("heavy", 10, 0)], at(0));
    drop(table.own_shares(at(0)));
    table.note_report(&vm("g-2"), vec![share("heavy", 30, 0)], at(100));
    let estimated = |table: &FairShareTable| table.estimated_use(SERVICE, "heavy", 100.0, at(100));
    assert_eq!(estimated(&table), 60.0);
    for _ in 0..3 {
        assert_eq!(table.current_shares(at(100)), [share("heavy", 10, 0)]);
    }
    assert_eq!(estimated(&table), 60.0);
}

// Guards against all gateways filling the same free slots before they hear of each other's requests.
#[test]
fn in_a_flood_each_gateway_admits_its_part() {
    let flood = |own| {
        let mut table = table_of(&[("heavy", 10)]);
        drop(table.own_shares(at(0)));
        for peer in ["g-2", "g-3", "g-4"] {
            table.note_report(&vm(peer), vec![share("heavy", 10, 0)], at(0));
        }
        drop([table.own_shares(at(0)), table.own_shares(at(100))]);
        for _ in 10..own {
            assert!(table.begin(SERVICE, "heavy", 1.0));
        }
        table
    };
    let estimated = |own, share| flood(own).estimated_use(SERVICE, "heavy", share, at(0));
    assert_eq!(estimated(12, 40.0), 42.0, "a demand of 42 is no flood for a share of 40");
    assert_eq!(estimated(12, 32.0), 52.0);
    assert_eq!(estimated(10, 31.0), 44.0);
    assert_eq!(estimated(200, 32.0), 804.0);
}

#[rstest]
#[case(0, 1.0)]
#[case(1, 0.5)]
#[case(2, 0.25)]
#[case(4, 0.0625)]
#[case(u32::MAX, 0.0625)]
fn each_priority_has_half_the_weight_down_to_a_sixteenth(
    #[case] priority: u32,
    #[case] weight: f64,
) {
    assert_eq!(share_weight(priority), weight);
}

#[test]
fn a_share_grows_with_the_weight() {
    let mut table = FairShareTable::default();
    for _ in 0..60 {
        assert!(table.begin(SERVICE, "first", share_weight(0)));
        assert!(table.begin(SERVICE, "second", share_weight(1)));
    }
    let verdict = table.admit(SERVICE, "first", share_weight(0), FULL, true, at(0));
    assert_eq!(verdict, FairVerdict::Admit);
    let verdict = table.admit(SERVICE, "second", share_weight(1), FULL, true, at(0));
    let FairVerdict::Refuse { share, .. } = verdict else { panic!("{verdict:?}") };
    // At a level of 63.3 the first one gets all of its 60 slots, which leaves 35 of 95.
    assert!((share - 35.0).abs() < 1e-9, "{share}");
}

// Guards against use by gateways of the previous build, and by keys that no report lists, being given
// to other keys, and against the known keys being refused everything on its behalf.
#[test]
fn remaining_use_is_served_first_up_to_half() {
    let table = table_of(&[("heavy", 60)]);
    let level = |online| {
        let slots = FairSlots { online, ..FULL };
        table.level(SERVICE, ("heavy", 1.0), slots, at(0)).per_weight
    };
    assert_eq!([level(60), level(100), level(400)], [95.0, 55.0, 47.5]);
}

// Guards against hostile reports and numbers of keys that grow the state or the messages.
#[test]
fn reports_and_state_are_bounded() {
    let mut table = FairShareTable::default();
    let long = "k".repeat(MAX_KEY_BYTES + 1);
    let mut shares = vec![share(&long, 9, 0), share("k0", 5, 0), share("k0", 7, 0)];
    shares.extend((1..100).map(|number| share(&format!("k{number}"), 1, 0)));
    table.note_report(&vm("g-2"), shares, at(0));
    assert_eq!(table.used(SERVICE, &long), 0);
    assert_eq!(table.used(SERVICE, "k0"), 5, "a key counts once");
    assert_eq!([table.used(SERVICE, "k7"), table.used(SERVICE, "k8")], [1, 0]);

    let mut table = FairShareTable::default();
    let begun = (0..5_000).filter(|number| table.begin(SERVICE, &format!("k{number}"), 1.0));
    assert_eq!(begun.count(), 4_096);
    assert_eq!(table.own_shares(at(0)).len(), 8);
    let mut table = FairShareTable::default();
    for number in 0..200 {
        assert!(table.begin(&format!("s{}", number % 20), &format!("k{number}"), 1.0));
    }
    assert_eq!(table.own_shares(at(0)).len(), 64);
}

#[test]
fn the_keys_with_the_most_use_are_reported() {
    let keys: Vec<(String, u32)> = (1..=12).map(|n| (format!("k{n:02}"), n)).collect();
    let keys: Vec<(&str, u32)> = keys.iter().map(|(key, count)| (key.as_str(), *count)).collect();
    let mut table = table_of(&keys);
    let listed = |table: &mut FairShareTable| {
        let shares = table.own_shares(at(0)).into_iter();
        shares.map(|share| (share.key, share.online)).collect::<Vec<_>>()
    };
    let first = listed(&mut table);
    assert_eq!((first.len(), &first[0], &first[7]), (8, &("k12".into(), 12), &("k05".into(), 5)));
    for _ in 0..12 {
        table.end(SERVICE, "k12");
    }
    assert_eq!(listed(&mut table)[0], ("k11".into(), 11));
    table.expire(at(0));
    assert_eq!(listed(&mut table).len(), 8);
}

#[test]
fn a_long_name_is_replaced_by_a_hash() {
    let name = "n".repeat(MAX_KEY_BYTES);
    assert_eq!(share_key(Some(&name), "route"), name);
    let long = format!("{name}n");
    let key = share_key(Some(&long), "route");
    assert_eq!(key.len(), 32);
    assert!(key.bytes().all(|byte| byte.is_ascii_hexdigit()));
    assert_ne!(key, share_key(Some(&format!("{name}m")), "route"));
    assert_eq!(share_key(None, "route"), "route");
    assert_eq!(share_key(Some(""), "route"), "route", "an anonymous caller");
}

// Guards against an account of low priority that has the highest weight, as its share key is a hash of
// its name.
#[rstest]
#[case::short("batch-reports".to_owned())]
#[case::long("n".repeat(MAX_KEY_BYTES + 1))]
fn an_account_is_found_by_its_share_key(#[case] name: String) {
    let account = ClientAccount { name: AccountName::new(&name), priority: 3, limit: None };
    let table = AccountTable::new(vec![AccountEntry { account, keys: Vec::new() }]);
    let found = table.with_share_key(&share_key(Some(&name), "route"));
    assert_eq!(found.map(|account| account.priority), Some(3));
    assert_eq!(table.with_share_key("route"), None);
}

fn entry(id: &str, state: TargetState) -> TargetEntry {
    TargetEntry {
        id: id.to_owned(),
        name: id.to_owned(),
        born: 0,
        software_version: "v1".to_owned(),
        service: SERVICE.to_owned(),
        address: ([127, 0, 0, 1], 9).into(),
        domain: "a".to_owned(),
        slots: 8,
        state,
        cold_left: Duration::ZERO,
    }
}

// Guards against slots of targets that take no requests, full targets that vanish from the capacity,
// and queues at one target that hide free slots at another.
#[test]
fn slots_are_those_of_usable_targets() {
    let mut table = TargetTable::new("a");
    table.put(entry("t1", TargetState::Ready), at(0));
    table.put(entry("t2", TargetState::Ready), at(0));
    table.put(entry("t3", TargetState::Draining), at(0));
    let used = |online, batch| TargetUse { online, batch };
    let uses = [("t1", used(20, 0)), ("t2", used(2, 6)), ("t3", used(1, 0))];
    let uses = uses.into_iter().map(|(id, used)| (id.to_owned(), used));
    table.take_report(&vm("g-2"), uses.collect(), at(0));
    let slots = table.fair_slots(SERVICE, at(0));
    assert_eq!(slots, FairSlots { all: 16, free: 6, online: 23 });
    assert_eq!(table.fair_slots("other", at(0)), FairSlots::default());
}

// Guards against refusals by this rule where there are no slots at all.
#[test]
fn without_slots_nothing_is_refused() {
    let mut table = table_of(&[("key", 5)]);
    assert!(admits(&mut table, "key", FairSlots::default()));
    assert!(admits(&mut table, "new", FairSlots { all: 1, free: 0, online: 1 }));
}

fn demands() -> impl Strategy<Value = Vec<(u32, u32, u32)>> {
    // Use, refusals and priority of each key.
    proptest::collection::vec((0_u32..60, 0_u32..60, 0_u32..6), 1..12)
}

proptest! {
    /// For any use, reports and weights: no request of a key below its share is refused, and no request
    /// while a quarter of the slots is free.
    #[test]
    fn shares_fit_and_keys_below_them_are_admitted(
        own in demands(),
        reported in demands(),
        all in 0_u64..200,
        free in 0_u64..60,
        unlisted in 0_u64..200,
        can_retry in any::<bool>(),
    ) {
        let mut table = FairShareTable::default();
        let key = |number: usize| format!("k{}", number % 9);
        for (number, (online, _, priority)) in own.iter().enumerate() {
            for _ in 0..*online {
                prop_assert!(table.begin(SERVICE, &key(number), share_weight(*priority)));
            }
        }
        let weight_of = |number: usize| {
            let mut same =
                own.iter().enumerate().filter(|(other, _)| key(*other) == key(number));
            same.next_back().map_or(1.0, |(_, (_, _, priority))| share_weight(*priority))
        };
        let peer = reported.iter().enumerate().map(|(number, (online, refused, _))| ShareUse {
            weight: weight_of(number),
            ..share(&key(number), *online, *refused)
        });
        table.note_report(&vm("g-2"), peer.collect(), at(0));
        let known: u64 = (0..9).map(|number| table.used(SERVICE, &key(number))).sum();
        let slots = FairSlots { all, free: free.min(all), online: known + unlisted };
        for number in 0..9 {
            let weight = weight_of(number);
            let name = key(number);
            let used = table.used(SERVICE, &name);
            let level = table.level(SERVICE, (&name, weight), slots, at(0)).per_weight;
            let estimated = table.estimated_use(SERVICE, &name, weight * level, at(0));
            let verdict = table.admit(SERVICE, &name, weight, slots, can_retry, at(0));
                        prop_assert!(estimated >= used as f64 && estimated <= 4.0 * used as f64);
            if slots.free >= slots.all.div_ceil(4) || estimated < weight * level {
                prop_assert_eq!(verdict, FairVerdict::Admit);
            }
            // Whatever the other demands, a key gets its weighted part of what remaining use leaves.
            let weights: f64 = (0..9).map(weight_of).sum();
            if 4.0 * (used as f64) < weight / weights * slots.shared() / 2.0 {
                prop_assert_eq!(verdict, FairVerdict::Admit);
            }
            if let FairVerdict::Refuse { used: counted, share } = verdict {
                prop_assert_eq!(counted, used);
                prop_assert!(share <= slots.shared());
                prop_assert!(can_retry || estimated >= share + (0.25 * share).min(slots.headroom() as f64));
            }
        }
    }

    #[test]
    fn the_sum_of_the_shares_never_exceeds_the_slots(
        demands in demands(),
        remaining in 0_u32..300,
        capacity in 0_u32..300,
    ) {
        let demands = demands.into_iter().map(|(online, refused, priority)| ShareDemand {
            slots: f64::from(online + refused),
            weight: share_weight(priority),
        });
        let demands: Vec<ShareDemand> = demands.collect();
        let capacity = f64::from(capacity);
        let level = ShareLevel::of(demands.clone(), remaining.into(), capacity).per_weight;
        let shares = demands.iter().map(|demand| demand.slots.min(demand.weight * level));
        let sum: f64 = shares.sum();
        let served_first = f64::from(remaining).min(capacity / 2.0);
        prop_assert!(sum + served_first <= capacity + 1e-6, "{sum} and {served_first}");
        // No slot is left while a demand is not met.
        if level.is_finite() {
            prop_assert!(sum + served_first >= capacity - 1e-6, "{sum} and {served_first}");
        }
    }
}
