//! Orders to the engine.

use notch_messages::prelude::*;
use notch_types::prelude::*;

use super::AdmissionGate;
use crate::{core::GateCore, effect::GateEffect, order_fence::FenceVerdict, timer_set::TimerKind};

impl AdmissionGate {
    pub(super) fn order(
        &mut self,
        now: MonoTime,
        gateway: &VmName,
        order: TargetOrder,
        effects: &mut Vec<GateEffect>,
    ) {
        let (epoch, number) = (order.epoch, order.order);
        match self.fence.take(gateway, order) {
            FenceVerdict::Run(order) => self.give_order(now, order, effects),
            FenceVerdict::Pending => GateCore::count("orders_pending", effects),
            FenceVerdict::Answer(outcome) => {
                if matches!(outcome, OrderOutcome::Stale { .. }) {
                    effects.push(GateEffect::Count(Counter::Refused(RefusalReason::StaleEpoch)));
                }
                answer(gateway, epoch, number, &outcome, effects);
            }
        }
    }

    pub(super) fn order_ended(
        &mut self,
        now: MonoTime,
        epoch: Epoch,
        number: u64,
        outcome: OrderOutcome,
        effects: &mut Vec<GateEffect>,
    ) {
        let Some(askers) = self.fence.end(epoch, number, &outcome) else { return };
        for gateway in &askers {
            answer(gateway, epoch, number, &outcome, effects);
        }
        let mut stale = Vec::new();
        let next = self.fence.next(&mut stale);
        for (order, askers, outcome) in stale {
            for gateway in &askers {
                answer(gateway, order.epoch, order.order, &outcome, effects);
            }
        }
        if let Some(order) = next {
            self.give_order(now, order, effects);
        }
    }

    /// The engine never answered. It may have done the order or not; the holder asks again, and
    /// a load or role done twice does no harm.
    pub(super) fn order_over(
        &mut self,
        now: MonoTime,
        epoch: Epoch,
        number: u64,
        effects: &mut Vec<GateEffect>,
    ) {
        let detail = "the engine gave no answer".to_owned();
        self.order_ended(now, epoch, number, OrderOutcome::Failed { detail }, effects);
    }

    fn give_order(&mut self, now: MonoTime, order: TargetOrder, effects: &mut Vec<GateEffect>) {
        let until = now + self.core.settings.order_timeout;
        self.core.timers.set(until, TimerKind::OrderOver(order.epoch, order.order));
        GateCore::count("orders_given", effects);
        effects.push(GateEffect::Order(order));
    }
}

fn answer(
    gateway: &VmName,
    epoch: Epoch,
    order: u64,
    outcome: &OrderOutcome,
    effects: &mut Vec<GateEffect>,
) {
    let message = GatewayMessage::OrderEnded { epoch, order, outcome: outcome.clone() };
    GateCore::send(gateway, message, effects);
}
