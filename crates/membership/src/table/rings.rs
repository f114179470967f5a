//! Which gateways keep a link to each other.

use std::collections::{BTreeMap, BTreeSet};

use notch_types::prelude::*;

use crate::roster::MemberRoster;

/// A place on a ring.
type RingPlace = (u64, VmName);

/// Rings over the live members, each in an order of its own; neighbours on a ring are partners.
///
/// Everybody computes the same partners, partnership is mutual, a member that goes changes the
/// partners of its neighbours only, and a few random rings together make a graph in which
/// news crosses the fleet in a few hops. Links to all would cost each node as many heartbeats as
/// there are gateways.
#[derive(Debug)]
pub(crate) struct PartnerRings {
    rings: Vec<BTreeSet<RingPlace>>,
    members: BTreeMap<VmName, Vec<u64>>,
}

impl PartnerRings {
    pub(crate) fn new(rings: u8) -> Self {
        Self { rings: vec![BTreeSet::new(); usize::from(rings)], members: BTreeMap::new() }
    }

    /// Members on the rings.
    pub(crate) fn len(&self) -> usize {
        self.members.len()
    }

    /// Puts a member on all rings.
    pub(crate) fn insert(&mut self, vm: &VmName) {
        if self.members.contains_key(vm) {
            return;
        }
        let places: Vec<u64> = (0..self.rings.len()).map(|ring| place(ring, vm)).collect();
        for (ring, place) in self.rings.iter_mut().zip(&places) {
            ring.insert((*place, vm.clone()));
        }
        self.members.insert(vm.clone(), places);
    }

    /// Takes a member off all rings.
    pub(crate) fn remove(&mut self, vm: &VmName) {
        let Some(places) = self.members.remove(vm) else { return };
        for (ring, place) in self.rings.iter_mut().zip(places) {
            ring.remove(&(place, vm.clone()));
        }
    }

    /// The partners of a member, by name; it need not be on the rings itself.
    pub(crate) fn partners(&self, vm: &VmName) -> Vec<VmName> {
        let mut partners = BTreeSet::new();
        for (number, ring) in self.rings.iter().enumerate() {
            let own = (place(number, vm), vm.clone());
            partners.extend(neighbours(ring, &own));
        }
        partners.into_iter().collect()
    }
}

fn place(ring: usize, vm: &VmName) -> u64 {
    stable_hash64(&[b"ring", &(ring as u64).to_le_bytes(), vm.as_str().as_bytes()])
}

fn neighbours(ring: &BTreeSet<RingPlace>, own: &RingPlace) -> impl Iterator<Item = VmName> {
    let other = |found: Option<&RingPlace>| {
        found.filter(|found| found.1 != own.1).map(|(_, vm)| vm.clone())
    };
    let after = ring.range(own.clone()..).find(|found| *found != own).or(ring.first());
    let before = ring.range(..own.clone()).next_back().or(ring.last());
    [other(after), other(before)].into_iter().flatten()
}

/// Every member's partners, as a fleet whose members are `roster` has them.
pub fn partners_of(roster: &MemberRoster, rings: u8) -> BTreeMap<VmName, Vec<VmName>> {
    let mut all = PartnerRings::new(rings);
    for member in roster.members() {
        all.insert(&member.vm);
    }
    roster.members().iter().map(|member| (member.vm.clone(), all.partners(&member.vm))).collect()
}
