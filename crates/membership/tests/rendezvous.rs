//! Assignments against a naive version, and what moves when a member goes.

use std::collections::{BTreeMap, BTreeSet};

use notch_membership::{
    MemberRoster, RosterMember, gateways_of, placement_candidates, shard_ranks, sidecars_of,
    watchers_of,
};
use notch_types::prelude::*;
use proptest::{prelude::*, test_runner::RngSeed};
use rstest::rstest;

fn roster(members: &[(u16, u8)]) -> MemberRoster {
    let seat = |(number, domain): &(u16, u8)| {
        let (vm, domain) = (format!("gw-{number}"), format!("d-{domain}"));
        RosterMember::new(&VmName::new(&vm), &DomainName::new(&domain))
    };
    MemberRoster::new(members.iter().map(seat).collect())
}

fn even(count: u16, domains: u8) -> MemberRoster {
    let members: Vec<(u16, u8)> =
        (0..count).map(|number| (number, (number % u16::from(domains)) as u8)).collect();
    roster(&members)
}

fn domains_of(vms: &[VmName], roster: &MemberRoster) -> BTreeSet<DomainName> {
    vms.iter().map(|vm| roster.get(vm).expect("a member").domain.clone()).collect()
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(11), cases: 200, failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// The naive versions: who is linked to whom is asked pair by pair, and the roster's order and
    /// duplicates must not matter.
    #[test]
    fn subsets_agree_from_both_sides(
        members in prop::collection::btree_map(0_u16..60, 0_u8..5, 1..40),
        sidecars in prop::collection::btree_set(0_u16..200, 1..20),
        count in 1_usize..6,
    ) {
        let members: Vec<(u16, u8)> = members.into_iter().collect();
        let gateways = roster(&members);
        let mut shuffled = members.clone();
        shuffled.reverse();
        shuffled.push(members[0]);
        prop_assert_eq!(&gateways, &roster(&shuffled));

        let sidecars: Vec<VmName> =
            sidecars.iter().map(|number| VmName::new(&format!("t-{number}"))).collect();
        for sidecar in &sidecars {
            let subset = gateways_of(sidecar, &gateways, count);
            let distinct: BTreeSet<&VmName> = subset.iter().collect();
            prop_assert_eq!(distinct.len(), count.min(members.len()));
            let all = members.iter().map(|(_, domain)| domain).collect::<BTreeSet<_>>().len();
            prop_assert_eq!(domains_of(&subset, &gateways).len(), all.min(count).min(members.len()));
        }
        for member in gateways.members() {
            let held = sidecars_of(&member.vm, &sidecars, &gateways, count);
            let naive: Vec<VmName> = sidecars
                .iter()
                .filter(|sidecar| gateways_of(sidecar, &gateways, count).contains(&member.vm))
                .cloned()
                .collect();
            prop_assert_eq!(held, naive);
        }
    }

    /// When a member goes, nobody else loses anything: each subset keeps all its other members.
    #[test]
    fn a_member_that_goes_moves_only_what_it_held(
        members in prop::collection::btree_map(0_u16..60, 0_u8..5, 8..40),
        gone in any::<prop::sample::Index>(),
        shard in 0_u16..64,
    ) {
        let members: Vec<(u16, u8)> = members.into_iter().collect();
        let before = roster(&members);
        let mut left = members.clone();
        let removed = left.remove(gone.index(members.len()));
        let after = roster(&left);
        let gone = VmName::new(&format!("gw-{}", removed.0));
        let old = shard_ranks(ShardId(shard), &before, 1);
        let new = shard_ranks(ShardId(shard), &after, 1);
        prop_assert!(old == new || old[0] == gone);
        // With the domains even, a subset changes in the place of the one that went only.
        let sidecar = VmName::new(&format!("t-{shard}"));
        let old: BTreeSet<VmName> = gateways_of(&sidecar, &before, 3).into_iter().collect();
        let new: BTreeSet<VmName> = gateways_of(&sidecar, &after, 3).into_iter().collect();
        if !old.contains(&gone) {
            prop_assert_eq!(old, new);
        } else {
            prop_assert!(old.difference(&new).count() <= 2, "{:?} {:?}", old, new);
        }
    }
}

#[rstest]
#[case(4, 2)]
#[case(20, 3)]
#[case(370, 5)]
fn standbys_lie_in_other_domains_than_the_owner(#[case] count: u16, #[case] domains: u8) {
    let gateways = even(count, domains);
    for shard in 0..64 {
        let ranks = shard_ranks(ShardId(shard), &gateways, usize::from(domains));
        assert_eq!(domains_of(&ranks, &gateways).len(), usize::from(domains));
    }
    let candidates = placement_candidates(&gateways, 2);
    assert_eq!(domains_of(&candidates, &gateways).len(), 2);
}

#[test]
fn watchers_are_members_of_their_domain_and_few() {
    let gateways = even(370, 5);
    for domain in 0..5 {
        let domain = DomainName::new(&format!("d-{domain}"));
        let watchers = watchers_of(&domain, &gateways, 3);
        assert_eq!(watchers.len(), 3);
        assert!(watchers.iter().all(|vm| gateways.get(vm).unwrap().domain == domain));
    }
    assert!(watchers_of(&DomainName::new("elsewhere"), &gateways, 3).is_empty());
}

#[test]
fn owners_are_spread_over_the_fleet() {
    let gateways = even(16, 4);
    let mut owned: BTreeMap<VmName, usize> = BTreeMap::new();
    for shard in 0..1_024 {
        *owned.entry(shard_ranks(ShardId(shard), &gateways, 1).remove(0)).or_default() += 1;
    }
    assert_eq!(owned.len(), 16);
    assert!(owned.values().all(|shards| (32..=96).contains(shards)), "{owned:?}");
}
