//! Assignments by rendezvous hashing: every node that knows the same members computes the same
//! ones, and a member that goes moves only what it held.
//!
//! Source: Thaler and Ravishankar, "Using name-based mappings to increase hit rates" (1998).

use std::{cmp::Reverse, collections::BTreeMap};

use notch_types::prelude::*;

use crate::roster::{MemberRoster, RosterMember};

/// The `count` members with the highest scores for `key`, best first.
pub fn top<'a>(key: u64, members: &[&'a RosterMember], count: usize) -> Vec<&'a RosterMember> {
    let mut ranked = rank(key, members);
    ranked.truncate(count);
    ranked
}

/// The `count` members with the highest scores for `key` that lie in as many domains as can be:
/// no domain gives its second member before each domain has given its first.
/// Members are weighed alike, so that a domain's share follows its number of members.
pub fn spread<'a>(key: u64, members: &[&'a RosterMember], count: usize) -> Vec<&'a RosterMember> {
    let mut taken: BTreeMap<&DomainName, usize> = BTreeMap::new();
    let mut rounds: Vec<(usize, &RosterMember)> = Vec::with_capacity(members.len());
    for member in rank(key, members) {
        let round = taken.entry(&member.domain).or_default();
        rounds.push((*round, member));
        *round += 1;
    }
    rounds.sort_by_key(|(round, _)| *round);
    rounds.truncate(count);
    rounds.into_iter().map(|(_, member)| member).collect()
}

/// The gateways that a sidecar is linked to, in different domains first.
pub fn gateways_of(sidecar: &VmName, gateways: &MemberRoster, count: usize) -> Vec<VmName> {
    let members: Vec<&RosterMember> = gateways.members().iter().collect();
    names(&spread(sidecar_key(sidecar), &members, count))
}

/// The sidecars that a gateway is linked to: those that count it among [`gateways_of`].
pub fn sidecars_of(
    gateway: &VmName,
    sidecars: &[VmName],
    gateways: &MemberRoster,
    count: usize,
) -> Vec<VmName> {
    let members: Vec<&RosterMember> = gateways.members().iter().collect();
    let chosen = sidecars.iter().filter(|sidecar| {
        let subset = spread(sidecar_key(sidecar), &members, count);
        subset.iter().any(|member| member.vm == *gateway)
    });
    chosen.cloned().collect()
}

/// The preferred owner of a ledger shard and its standbys, in turn.
pub fn shard_ranks(shard: ShardId, gateways: &MemberRoster, count: usize) -> Vec<VmName> {
    let key = stable_hash64(&[b"shard", &shard.0.to_le_bytes()]);
    let members: Vec<&RosterMember> = gateways.members().iter().collect();
    names(&spread(key, &members, count))
}

/// The gateways of a domain that watch the catalogue, first rank first.
pub fn watchers_of(domain: &DomainName, gateways: &MemberRoster, count: usize) -> Vec<VmName> {
    let key = stable_hash64(&[b"watcher", domain.as_str().as_bytes()]);
    let members: Vec<&RosterMember> =
        gateways.members().iter().filter(|member| member.domain == *domain).collect();
    names(&top(key, &members, count))
}

/// The gateways that may try for the placement lease, in turn, in different domains first.
pub fn placement_candidates(gateways: &MemberRoster, count: usize) -> Vec<VmName> {
    let key = stable_hash64(&[b"placement"]);
    let members: Vec<&RosterMember> = gateways.members().iter().collect();
    names(&spread(key, &members, count))
}

/// All members, highest score for `key` first.
fn rank<'a>(key: u64, members: &[&'a RosterMember]) -> Vec<&'a RosterMember> {
    let mut ranked = members.to_vec();
    ranked.sort_by_cached_key(|member| Reverse((score(key, member.hash()), member.vm.clone())));
    ranked
}

/// A member's score for a key: the finalizer of SplitMix64 over both digests.
fn score(key: u64, member: u64) -> u64 {
    let mut mixed = key ^ member.rotate_left(32);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

fn sidecar_key(sidecar: &VmName) -> u64 {
    stable_hash64(&[b"sidecar", sidecar.as_str().as_bytes()])
}

fn names(members: &[&RosterMember]) -> Vec<VmName> {
    members.iter().map(|member| member.vm.clone()).collect()
}
