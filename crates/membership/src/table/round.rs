//! Whose turn it is to be pinged.

use std::collections::BTreeSet;

use notch_types::prelude::*;
use rand::{
    rngs::SmallRng,
    seq::{IndexedRandom, SliceRandom},
};

/// The partners, and whose turn it is. Bound: a few sets of the partners.
#[derive(Debug, Default)]
pub(crate) struct PingRound {
    partners: Vec<VmName>,
    /// Not pinged yet in this round, in random order.
    left: Vec<VmName>,
    /// Those that have answered once and so know this gateway.
    greeted: BTreeSet<VmName>,
}

impl PingRound {
    pub(crate) fn partners(&self) -> &[VmName] {
        &self.partners
    }

    pub(crate) fn contains(&self, vm: &VmName) -> bool {
        self.partners.contains(vm)
    }

    /// Takes the partners; whether they changed.
    pub(crate) fn set_partners(&mut self, partners: &[VmName]) -> bool {
        if self.partners == partners {
            return false;
        }
        self.partners = partners.to_vec();
        self.greeted.retain(|vm| partners.contains(vm));
        true
    }

    /// The partner whose turn it is, of those that `free` allows.
    pub(crate) fn next(
        &mut self,
        random: &mut SmallRng,
        free: impl Fn(&VmName) -> bool,
    ) -> Option<VmName> {
        if self.left.is_empty() {
            self.left.clone_from(&self.partners);
            self.left.shuffle(random);
        }
        while let Some(vm) = self.left.pop() {
            if self.contains(&vm) && free(&vm) {
                return Some(vm);
            }
        }
        None
    }

    /// Up to `count` partners by chance.
    pub(crate) fn some(&self, random: &mut SmallRng, count: usize) -> Vec<VmName> {
        self.partners.sample(random, count).cloned().collect()
    }

    /// A partner answered.
    pub(crate) fn answered(&mut self, vm: &VmName) {
        if self.contains(vm) {
            self.greeted.insert(vm.clone());
        }
    }

    /// Whether a gateway is known to know this one.
    pub(crate) fn is_greeted(&self, vm: &VmName) -> bool {
        self.greeted.contains(vm)
    }
}
