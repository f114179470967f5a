//! The copies of one model, by how far they can be relied on.

use std::collections::BTreeMap;

use notch_messages::prelude::*;
use notch_types::prelude::*;

use crate::{
    fleet::{FleetView, TargetState},
    model::ModelWanted,
    orders::OrderBook,
};

/// How far a copy can be relied on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum CopyStanding {
    /// Serves, and no order of another epoch can take it down.
    Confirmed,
    /// Serves, as far as is known.
    Serving,
    /// An order of ours takes it down and brings it back.
    Reloading,
    /// An order of ours takes it away.
    Unloading,
    /// An order of ours brings it.
    Coming,
    /// Its target was lost a short while ago and may come back.
    Away,
    /// Serves until its VM leaves.
    Leaving,
}

/// One copy.
#[derive(Debug, Clone)]
pub(crate) struct ModelCopy {
    pub(crate) vm: VmName,
    pub(crate) domain: DomainName,
    pub(crate) standing: CopyStanding,
    /// Whether version, adapters and role are what the catalogue wants.
    pub(crate) current: bool,
}

/// The copies of one model, in the order of their VMs.
#[derive(Debug, Default)]
pub(crate) struct ModelCensus {
    pub(crate) copies: Vec<ModelCopy>,
}

impl ModelCensus {
    /// Counts the copies of `wanted` at `now`.
    pub(crate) fn take(
        wanted: &ModelWanted,
        fleet: &FleetView,
        orders: &OrderBook,
        epoch: Epoch,
    ) -> Self {
        let copies = fleet.targets.iter().filter_map(|(vm, target)| {
            let open = orders.open.get(vm).map(|open| &open.order.action);
            let standing = standing(&wanted.model, target, open, epoch)?;
            let held = target.held(&wanted.model);
            let as_wanted = held.is_none_or(|held| wanted.is_met_by(held));
            let current = as_wanted && target.report.role == wanted.role;
            let domain = target.report.domain.clone();
            Some(ModelCopy { vm: vm.clone(), domain, standing, current })
        });
        Self { copies: copies.collect() }
    }

    pub(crate) fn count(&self, standings: &[CopyStanding]) -> u32 {
        self.copies.iter().filter(|copy| standings.contains(&copy.standing)).count() as u32
    }

    /// Copies that serve, whether or not they are known to stay.
    pub(crate) fn serving(&self) -> u32 {
        self.count(&[CopyStanding::Confirmed, CopyStanding::Serving])
    }

    /// Copies that count for the future: those that serve, come, or will likely be back. When
    /// fewer than `min` serve or come, nobody waits for the ones away.
    pub(crate) fn present(&self, min: u32) -> u32 {
        let sure = self.serving() + self.count(&[CopyStanding::Reloading, CopyStanding::Coming]);
        match sure < min {
            true => sure,
            false => sure + self.count(&[CopyStanding::Away]),
        }
    }

    /// Whether a confirmed copy may be taken down and `floor` confirmed ones still serve. An
    /// unconfirmed one may be gone already: an order of an earlier holder may be at work on it.
    pub(crate) fn can_spare(&self, vm: &VmName, floor: u32) -> bool {
        let others = self.copies.iter().filter(|copy| copy.vm != *vm);
        others.filter(|copy| copy.standing == CopyStanding::Confirmed).count() as u32 >= floor
    }

    /// Copies by failure domain, of those that will stay.
    pub(crate) fn by_domain(&self) -> BTreeMap<DomainName, u32> {
        let mut counts = BTreeMap::new();
        for copy in self.copies.iter().filter(|copy| copy.stays()) {
            *counts.entry(copy.domain.clone()).or_default() += 1;
        }
        counts
    }
}

impl ModelCopy {
    pub(crate) fn stays(&self) -> bool {
        !matches!(self.standing, CopyStanding::Unloading | CopyStanding::Leaving)
    }
}

fn standing(
    model: &TargetName,
    target: &TargetState,
    open: Option<&OrderAction>,
    epoch: Epoch,
) -> Option<CopyStanding> {
    let holds = target.holds(model);
    if target.away.is_some() {
        return (holds && !target.lost).then_some(CopyStanding::Away);
    }
    if target.is_leaving() {
        return holds.then_some(CopyStanding::Leaving);
    }
    match open {
        Some(OrderAction::Load { model: loaded, .. }) if loaded == model => {
            Some(if holds { CopyStanding::Reloading } else { CopyStanding::Coming })
        }
        Some(OrderAction::Unload { model: unloaded }) if unloaded == model => {
            holds.then_some(CopyStanding::Unloading)
        }
        Some(OrderAction::Role { .. }) => holds.then_some(CopyStanding::Reloading),
        _ if !holds => None,
        _ if target.is_confirmed(epoch) => Some(CopyStanding::Confirmed),
        _ => Some(CopyStanding::Serving),
    }
}
