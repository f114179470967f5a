//! Lots at sidecars, with their leases.

use std::collections::{BTreeMap, BTreeSet};

use notch_types::prelude::*;

/// One item of a lot.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LotEntry {
    /// The try.
    pub(crate) attempt: u64,
    /// What it runs.
    pub(crate) fingerprint: Fingerprint,
}

/// A lot at a sidecar.
#[derive(Debug, Clone)]
pub(crate) struct LotLease {
    /// Whose items.
    pub(crate) job: JobId,
    /// On what.
    pub(crate) target: TargetName,
    /// With whom.
    pub(crate) vm: VmName,
    /// The sidecar's incarnation.
    pub(crate) incarnation: Incarnation,
    /// Items not accounted for; never empty.
    pub(crate) items: BTreeMap<u32, LotEntry>,
    /// When it lapses.
    expires: MonoTime,
}

impl LotLease {
    /// A lot that leaves now.
    pub(crate) fn new(
        job: JobId,
        target: &TargetName,
        vm: &VmName,
        incarnation: Incarnation,
        items: BTreeMap<u32, LotEntry>,
    ) -> Self {
        let (target, vm) = (target.clone(), vm.clone());
        Self { job, target, vm, incarnation, items, expires: MonoTime::default() }
    }
}

/// All lots of a shard's owner. Bounded by the slots of the sidecars that pull.
#[derive(Debug, Default)]
pub(crate) struct LotTable {
    lots: BTreeMap<LotId, LotLease>,
    /// One entry a lot.
    expiries: BTreeSet<(MonoTime, LotId)>,
    /// One entry a lot.
    by_vm: BTreeMap<VmName, BTreeSet<LotId>>,
    /// One entry a lot.
    by_job: BTreeMap<JobId, BTreeSet<LotId>>,
    /// Items in lots, by target.
    leased: BTreeMap<TargetName, u32>,
    next_lot: u64,
}

impl LotTable {
    /// The number of a new lot.
    pub(crate) fn draw(&mut self) -> LotId {
        self.next_lot += 1;
        LotId(self.next_lot)
    }

    /// Takes a lot in, leased until `expires`.
    pub(crate) fn insert(&mut self, lot: LotId, lease: LotLease, expires: MonoTime) {
        *self.leased.entry(lease.target.clone()).or_default() += lease.items.len() as u32;
        self.by_vm.entry(lease.vm.clone()).or_default().insert(lot);
        self.by_job.entry(lease.job).or_default().insert(lot);
        self.expiries.insert((expires, lot));
        self.lots.insert(lot, LotLease { expires, ..lease });
    }

    /// One lot.
    pub(crate) fn get(&self, lot: LotId) -> Option<&LotLease> {
        self.lots.get(&lot)
    }

    /// Items in lots of a target.
    pub(crate) fn leased(&self, target: &TargetName) -> u32 {
        self.leased.get(target).copied().unwrap_or(0)
    }

    /// The item's entry if this lot holds that very try of it.
    pub(crate) fn entry(
        &self,
        lot: LotId,
        job: JobId,
        item: ItemIndex,
        attempt: u64,
    ) -> Option<LotEntry> {
        let lease = self.lots.get(&lot).filter(|lease| lease.job == job)?;
        lease.items.get(&item.0).copied().filter(|entry| entry.attempt == attempt)
    }

    /// An item of a lot is accounted for; the lot's sidecar is alive, so its lease starts anew.
    pub(crate) fn settle(&mut self, lot: LotId, item: ItemIndex, expires: MonoTime) {
        let Some(lease) = self.lots.get_mut(&lot) else { return };
        if lease.items.remove(&item.0).is_some() {
            subtract(&mut self.leased, &lease.target);
        }
        if lease.items.is_empty() {
            self.remove(lot);
            return;
        }
        self.expiries.remove(&(lease.expires, lot));
        lease.expires = lease.expires.max(expires);
        self.expiries.insert((lease.expires, lot));
    }

    /// Takes a lot out.
    pub(crate) fn remove(&mut self, lot: LotId) -> Option<LotLease> {
        let lease = self.lots.remove(&lot)?;
        self.expiries.remove(&(lease.expires, lot));
        remove_from(&mut self.by_vm, &lease.vm, lot);
        remove_from(&mut self.by_job, &lease.job, lot);
        for _ in &lease.items {
            subtract(&mut self.leased, &lease.target);
        }
        Some(lease)
    }

    /// Takes out a lot that lapsed.
    pub(crate) fn pop_lapsed(&mut self, now: MonoTime) -> Option<LotLease> {
        let (expires, lot) = self.expiries.first().copied()?;
        if expires > now {
            return None;
        }
        self.remove(lot)
    }

    /// Takes out a lot that an earlier incarnation of a sidecar held: it's surely forgotten.
    pub(crate) fn pop_orphan(&mut self, vm: &VmName, incarnation: Incarnation) -> Option<LotLease> {
        let lots = self.by_vm.get(vm)?;
        let orphan = lots
            .iter()
            .copied()
            .find(|lot| self.lots.get(lot).is_some_and(|lease| lease.incarnation != incarnation))?;
        self.remove(orphan)
    }

    /// VMs that hold lots of a job.
    pub(crate) fn vms_of(&self, job: JobId) -> Vec<VmName> {
        let lots = self.by_job.get(&job).into_iter().flatten();
        let vms: BTreeSet<&VmName> =
            lots.filter_map(|lot| self.lots.get(lot)).map(|lease| &lease.vm).collect();
        vms.into_iter().cloned().collect()
    }

    /// When the first lease lapses.
    pub(crate) fn next_expiry(&self) -> Option<MonoTime> {
        self.expiries.first().map(|(expires, _)| *expires)
    }
}

fn subtract(leased: &mut BTreeMap<TargetName, u32>, target: &TargetName) {
    if let Some(count) = leased.get_mut(target) {
        *count -= 1;
        if *count == 0 {
            leased.remove(target);
        }
    }
}

fn remove_from<K: Ord>(index: &mut BTreeMap<K, BTreeSet<LotId>>, key: &K, lot: LotId) {
    if let Some(lots) = index.get_mut(key) {
        lots.remove(&lot);
        if lots.is_empty() {
            index.remove(key);
        }
    }
}
