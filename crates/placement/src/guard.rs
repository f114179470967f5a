//! Whether an order may be given: no copy that is needed is taken down.

use std::collections::BTreeMap;

use notch_messages::prelude::*;
use notch_types::prelude::*;

use crate::{census::ModelCensus, fleet::FleetView, model::ModelWanted, orders::OrderBook};

/// Whether `action` at `vm` leaves every model that it takes down with enough confirmed copies
/// elsewhere.
///
/// A plan that takes the last copy of a model down would show as refused requests although every
/// VM is well. The rule is asked again before each sending, for copies may have been lost since
/// the order was chosen.
pub(crate) fn is_safe(
    vm: &VmName,
    action: &OrderAction,
    wanted: &BTreeMap<TargetName, ModelWanted>,
    fleet: &FleetView,
    orders: &OrderBook,
) -> bool {
    let Some(target) = fleet.get(vm) else { return false };
    let taken_down = target.report.models.iter().filter(|held| match action {
        OrderAction::Load { model, .. } | OrderAction::Unload { model } => held.model == *model,
        OrderAction::Role { .. } => true,
    });
    taken_down.filter_map(|held| wanted.get(&held.model)).all(|wanted| {
        let census = ModelCensus::take(wanted, fleet, orders, orders.epoch());
        census.can_spare(vm, wanted.floor())
    })
}
