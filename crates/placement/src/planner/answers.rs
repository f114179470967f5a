//! What the fleet and the weight store answer.

use std::time::Duration;

use notch_messages::prelude::*;
use notch_types::prelude::*;

use crate::{
    effect::PlacementEffect,
    guard::is_safe,
    lease::LeaseEvent,
    orders::{MoveReason, OpenOrder, OrderStage},
    planner::PlacementPlanner,
};

/// The pause between sendings doubles at most this often.
const MAX_DOUBLINGS: u32 = 3;
/// A sidecar that was just told the epoch gets its order again after this.
const EPOCH_PAUSE: Duration = Duration::from_millis(500);
/// Shortest pause after the weight store said no.
const MIN_PERMIT_PAUSE: Duration = Duration::from_millis(100);

impl PlacementPlanner {
    pub(super) fn take_report(
        &mut self,
        now: Now,
        report: TargetHoldings,
        effects: &mut Vec<PlacementEffect>,
    ) {
        let (vm, epoch) = (report.vm.clone(), report.epoch);
        if let Err(counter) = self.fleet.take_report(now, report, &self.settings) {
            effects.push(PlacementEffect::Count(counter));
            return;
        }
        if let Some(epoch) = epoch {
            self.tell_lease(now, LeaseEvent::EpochSeen(epoch), effects);
        }
        // A sidecar that doesn't know the epoch takes old orders, or none.
        if let Some(valid) = self.lease.valid_epoch(now.mono).filter(|valid| epoch < Some(*valid)) {
            effects.push(PlacementEffect::TellEpoch { vm, epoch: valid });
        }
    }

    pub(super) fn take_outcome(
        &mut self,
        now: Now,
        vm: &VmName,
        epoch: Epoch,
        number: u64,
        outcome: OrderOutcome,
        effects: &mut Vec<PlacementEffect>,
    ) {
        match outcome {
            OrderOutcome::Done | OrderOutcome::Failed { .. } => {
                let Some(open) = self.orders.close(vm, epoch, number) else {
                    effects.push(PlacementEffect::Count(Counter::Dropped(DropReason::LateAnswer)));
                    return;
                };
                self.take_end(now, open, outcome, effects);
            }
            OrderOutcome::Stale { current } => {
                effects.push(PlacementEffect::Count(Counter::Refused(RefusalReason::StaleEpoch)));
                self.tell_lease(now, LeaseEvent::EpochSeen(current), effects);
            }
            OrderOutcome::EpochUnknown => self.take_unknown_epoch(now, epoch, number, effects),
        }
    }

    fn take_end(
        &mut self,
        now: Now,
        open: OpenOrder,
        outcome: OrderOutcome,
        effects: &mut Vec<PlacementEffect>,
    ) {
        let vm = open.order.vm.clone();
        let Some(target) = self.fleet.get_mut(&vm) else { return };
        let rollout = self.memory.rollouts.entry(open.model.clone()).or_default();
        let (code, detail) = match outcome {
            OrderOutcome::Failed { detail } => {
                target.take_failed(now, &open.order);
                target.reserved = None;
                let (first, longest) =
                    (self.settings.failure_pause, self.settings.failure_pause_max);
                target.pause_load(now, &open.model, first, longest);
                rollout.failures += u32::from(open.is_load());
                effects.push(PlacementEffect::Count(Counter::Event("placement_orders_failed")));
                ("order_failed", detail)
            }
            _ => {
                target.take_done(now, &open.order);
                let until = now.mono + self.settings.reserve_for;
                target.reserved.take_if(|(model, _)| *model == open.model && open.is_load());
                if let Some((_, kept)) = &mut target.reserved {
                    *kept = until;
                }
                if open.is_load() {
                    rollout.failures = 0;
                    self.memory.blocked.remove(&open.model);
                }
                if open.reason == MoveReason::Rollout {
                    rollout.last_done = Some(now.mono);
                }
                effects.push(PlacementEffect::Count(Counter::Event("placement_orders_done")));
                ("order_done", format!("order {} of epoch {}", open.order.order, open.order.epoch))
            }
        };
        for subject in [NoteSubject::Target(open.model.clone()), NoteSubject::Vm(vm.clone())] {
            let note = DecisionNote::new(subject, code, detail.clone());
            effects.push(PlacementEffect::Note(note.with_vm(&vm).with_reason(open.reason.code())));
        }
    }

    fn take_unknown_epoch(
        &mut self,
        now: Now,
        epoch: Epoch,
        number: u64,
        effects: &mut Vec<PlacementEffect>,
    ) {
        let Some(open) = self.orders.find(epoch, number) else { return };
        if let OrderStage::Sent { resend_at, .. } = &mut open.stage {
            *resend_at = now.mono + EPOCH_PAUSE;
        }
        let vm = open.order.vm.clone();
        // Only while the lease runs: an old holder must not tell a restarted sidecar an old epoch.
        if self.lease.valid_epoch(now.mono) == Some(epoch) {
            effects.push(PlacementEffect::TellEpoch { vm, epoch });
        }
    }

    pub(super) fn take_permit(
        &mut self,
        now: Now,
        epoch: Epoch,
        number: u64,
        effects: &mut Vec<PlacementEffect>,
    ) {
        let valid = self.lease.valid_epoch(now.mono) == Some(epoch);
        let Some(open) = self.orders.find(epoch, number).filter(|open| !open.is_sent()) else {
            effects.push(PlacementEffect::Count(Counter::Event("placement_permits_unused")));
            return;
        };
        if !valid {
            open.stage = OrderStage::WantsPermit { ask_at: now.mono };
            effects.push(PlacementEffect::Count(Counter::Event("placement_permits_unused")));
            return;
        }
        let vm = open.order.vm.clone();
        if !self.is_still_right(&vm) {
            self.orders.open.remove(&vm);
            effects.push(PlacementEffect::Count(Counter::Event("placement_permits_unused")));
            return;
        }
        self.send(now, &vm, effects);
    }

    pub(super) fn take_denial(
        &mut self,
        now: Now,
        epoch: Epoch,
        number: u64,
        retry_after: Duration,
        effects: &mut Vec<PlacementEffect>,
    ) {
        effects.push(PlacementEffect::Count(Counter::Event("placement_permits_denied")));
        let Some(open) = self.orders.find(epoch, number).filter(|open| !open.is_sent()) else {
            return;
        };
        let pause = retry_after.max(MIN_PERMIT_PAUSE);
        open.stage = OrderStage::WantsPermit { ask_at: now.mono + pause };
        let (model, vm) = (open.model.clone(), open.order.vm.clone());
        let detail = format!("the weight store asks for {} ms of patience", pause.as_millis());
        let note = DecisionNote::new(NoteSubject::Target(model), "permit_denied", detail);
        effects.push(PlacementEffect::Note(note.with_vm(&vm)));
    }

    /// Sends orders again whose answer doesn't come, and asks again for permits.
    ///
    /// An order or its answer can be lost with a link: the model would then be neither loaded
    /// nor planned again, and its copies stay too few. The same number again is the same order,
    /// so a sidecar that did it merely says so once more.
    pub(super) fn retry(&mut self, now: Now, effects: &mut Vec<PlacementEffect>) {
        let due = self.orders.open.iter().filter(|(vm, open)| {
            let at = match open.stage {
                OrderStage::WantsPermit { ask_at } => ask_at,
                OrderStage::Sent { resend_at, .. } => resend_at,
            };
            at <= now.mono && self.fleet.get(vm).is_some_and(|target| target.away.is_none())
        });
        for vm in due.map(|(vm, _)| vm.clone()).collect::<Vec<_>>() {
            if !self.is_still_safe(&vm) {
                continue;
            }
            match self.orders.open.get(&vm).is_some_and(OpenOrder::is_sent) {
                true => {
                    effects.push(PlacementEffect::Count(Counter::Event("placement_orders_resent")));
                    self.send(now, &vm, effects);
                }
                false => self.ask_permit(now, &vm, effects),
            }
        }
    }

    fn ask_permit(&mut self, now: Now, vm: &VmName, effects: &mut Vec<PlacementEffect>) {
        let later = now.mono + self.settings.order_timeout;
        let Some(open) = self.orders.open.get_mut(vm) else { return };
        open.stage = OrderStage::WantsPermit { ask_at: later };
        if let OrderAction::Load { model, version, .. } = &open.order.action {
            effects.push(PlacementEffect::WantPermit {
                epoch: open.order.epoch,
                order: open.order.order,
                vm: vm.clone(),
                model: model.clone(),
                version: version.clone(),
            });
        }
    }

    fn send(&mut self, now: Now, vm: &VmName, effects: &mut Vec<PlacementEffect>) {
        let Some(open) = self.orders.open.get_mut(vm) else { return };
        let tries = match open.stage {
            OrderStage::WantsPermit { .. } => 0,
            OrderStage::Sent { tries, .. } => tries,
        };
        let pause = self.settings.order_timeout * 2_u32.pow(tries.min(MAX_DOUBLINGS));
        open.stage = OrderStage::Sent { resend_at: now.mono + pause, tries: tries + 1 };
        effects.push(PlacementEffect::Order(open.order.clone()));
    }

    /// Whether a load that got its permit is still what the catalogue wants, and harmless.
    fn is_still_right(&self, vm: &VmName) -> bool {
        let Some(open) = self.orders.open.get(vm) else { return false };
        let wanted = self.wanted.get(&open.model);
        let usable = self.fleet.get(vm).is_some_and(|target| target.is_usable());
        let same = wanted.is_some_and(|wanted| wanted.load_action() == open.order.action);
        usable && same && self.is_still_safe(vm)
    }

    /// Whether the order at `vm` still takes no copy down that is needed.
    fn is_still_safe(&self, vm: &VmName) -> bool {
        let Some(open) = self.orders.open.get(vm) else { return false };
        is_safe(vm, &open.order.action, &self.wanted, &self.fleet, &self.orders)
    }

    /// Drops orders whose VM is forgotten, and unsent ones whose VM is lost.
    pub(super) fn forget_orders(&mut self) {
        let fleet = &self.fleet;
        self.orders.open.retain(|vm, open| match fleet.get(vm) {
            Some(target) => target.away.is_none() || open.is_sent(),
            None => false,
        });
    }
}
