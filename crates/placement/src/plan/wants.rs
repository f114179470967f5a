//! How many copies each model should have, given the slots there are.

use std::collections::BTreeMap;

use notch_types::prelude::*;

use crate::{
    census::ModelCensus,
    demand::DemandTracker,
    fleet::{FleetView, TargetState},
    model::ModelWanted,
    orders::OrderBook,
    plan::PlanPass,
    share::{CopyNeed, share_out},
};

impl PlanPass<'_> {
    /// Copies each model should have. Slots of targets lost a short while ago still count.
    pub(crate) fn wants(
        wanted: &BTreeMap<TargetName, ModelWanted>,
        demand: &DemandTracker,
        fleet: &FleetView,
        orders: &OrderBook,
    ) -> BTreeMap<TargetName, u32> {
        let counted = |target: &&TargetState| counts(target);
        let targets = fleet.targets.values().filter(counted).count() as u32;
        let slots =
            fleet.targets.values().filter(counted).map(|t| free_of_strangers(t, wanted)).sum();
        let needs: Vec<CopyNeed> = wanted
            .values()
            .map(|model| {
                let census = ModelCensus::take(model, fleet, orders, orders.epoch());
                let want = demand.want(model).min(targets);
                let min = model.floor().min(want);
                CopyNeed { now: census.present(model.floor()), min, want }
            })
            .collect();
        wanted.keys().cloned().zip(share_out(&needs, slots)).collect()
    }
}

/// Whether a target's slots count: it's there, or may soon be back.
fn counts(target: &TargetState) -> bool {
    !target.lost && !target.is_leaving() && target.report.slots > 0
}

/// Slots that models of the catalogue may use.
fn free_of_strangers(target: &TargetState, wanted: &BTreeMap<TargetName, ModelWanted>) -> u32 {
    let held = target.report.models.iter();
    let strangers = held.filter(|held| !wanted.contains_key(&held.model)).count() as u32;
    target.report.slots.saturating_sub(strangers)
}
