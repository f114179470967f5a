//! How pressed each model is, and how many copies it gets above or below the catalogue's number.

use std::collections::BTreeMap;

use notch_types::prelude::*;

use crate::{fleet::FleetView, model::ModelWanted, settings::PlannerSettings};

/// One model's pressure.
#[derive(Debug, Default, Clone)]
struct ModelDemand {
    /// Copies above (or, when lent out, below) the catalogue's number.
    shift: i32,
    high_since: Option<MonoTime>,
    idle_since: Option<MonoTime>,
    changed: Option<MonoTime>,
}

/// The queueing seen at one model's copies, summed.
#[derive(Debug, Default, Clone, Copy)]
struct QueueSum {
    copies: u32,
    waiting: u32,
    running: u32,
    limit: u32,
}

/// How pressed each model is. Bounded by the catalogue's models.
#[derive(Debug, Default)]
pub(crate) struct DemandTracker {
    models: BTreeMap<TargetName, ModelDemand>,
}

impl DemandTracker {
    /// The copies a model should have by catalogue and pressure.
    pub(crate) fn want(&self, wanted: &ModelWanted) -> u32 {
        let shift = self.models.get(&wanted.model).map_or(0, |demand| demand.shift);
        wanted.replicas.saturating_add_signed(shift).max(wanted.min_replicas)
    }

    /// Takes the newest load in, and moves at most one copy's worth of numbers.
    pub(crate) fn update(
        &mut self,
        now: Now,
        wanted: &BTreeMap<TargetName, ModelWanted>,
        fleet: &FleetView,
        settings: &PlannerSettings,
    ) {
        self.models.retain(|model, _| wanted.get(model).is_some_and(|w| w.replicas > 0));
        for (model, _) in wanted.iter().filter(|(_, w)| w.replicas > 0) {
            let sum = sum_queues(now, model, fleet, settings);
            self.models.entry(model.clone()).or_default().observe(now, sum, settings);
        }
        if let Some(pressed) = self.most_pressed(now, wanted, settings) {
            let spare = has_spare_slot(&pressed, fleet);
            if spare || self.lend(now, &pressed, wanted, settings) {
                self.change(now, &pressed, 1);
            }
        }
        self.take_back(now, settings);
    }

    /// The model under pressure for longest that may have another copy.
    fn most_pressed(
        &self,
        now: Now,
        wanted: &BTreeMap<TargetName, ModelWanted>,
        settings: &PlannerSettings,
    ) -> Option<TargetName> {
        let pressed = self.models.iter().filter(|(model, demand)| {
            let most = settings.extra_max as i32;
            let high = demand.lasts(now, demand.high_since, settings.pressure_after);
            wanted.contains_key(*model)
                && high
                && demand.rested(now, settings)
                && demand.shift < most
        });
        let longest = pressed.min_by_key(|(_, demand)| demand.high_since);
        longest.map(|(model, _)| model.clone())
    }

    /// Takes one copy's number from an idle model, never below its least one.
    fn lend(
        &mut self,
        now: Now,
        pressed: &TargetName,
        wanted: &BTreeMap<TargetName, ModelWanted>,
        settings: &PlannerSettings,
    ) -> bool {
        let lender = self.models.iter().find(|(model, demand)| {
            let Some(lender) = wanted.get(*model) else { return false };
            let above = self.want(lender) > lender.floor();
            let idle = demand.lasts(now, demand.idle_since, settings.pressure_after);
            *model != pressed && above && idle && demand.rested(now, settings)
        });
        let Some(lender) = lender.map(|(model, _)| model.clone()) else { return false };
        self.change(now, &lender, -1);
        true
    }

    /// Lets numbers go back to the catalogue's: of models that have been idle for long, and of
    /// lenders once no borrower is left.
    fn take_back(&mut self, now: Now, settings: &PlannerSettings) {
        for demand in self.models.values_mut() {
            let idle = demand.lasts(now, demand.idle_since, settings.idle_after);
            if demand.shift > 0 && idle && demand.rested(now, settings) {
                demand.shift -= 1;
                demand.changed = Some(now.mono);
            }
        }
        let lent: i32 = self.models.values().map(|d| d.shift.min(0)).sum();
        let borrowed: i32 = self.models.values().map(|d| d.shift.max(0)).sum();
        if lent + borrowed < 0
            && let Some(lender) = self.models.values_mut().find(|demand| demand.shift < 0)
        {
            lender.shift += 1;
            lender.changed = Some(now.mono);
        }
    }

    fn change(&mut self, now: Now, model: &TargetName, step: i32) {
        if let Some(demand) = self.models.get_mut(model) {
            demand.shift += step;
            demand.changed = Some(now.mono);
        }
    }
}

impl ModelDemand {
    fn observe(&mut self, now: Now, sum: QueueSum, settings: &PlannerSettings) {
        let copies = f64::from(sum.copies.max(1));
        let high = f64::from(sum.waiting) >= settings.queue_high * copies && sum.copies > 0;
        let used = f64::from(sum.running) / f64::from(sum.limit.max(1));
        let idle = sum.copies > 0 && sum.waiting == 0 && used < settings.idle_share;
        self.high_since = high.then(|| self.high_since.unwrap_or(now.mono));
        self.idle_since = idle.then(|| self.idle_since.unwrap_or(now.mono));
    }

    fn lasts(&self, now: Now, since: Option<MonoTime>, length: std::time::Duration) -> bool {
        since.is_some_and(|since| now.mono.since(since) >= length)
    }

    fn rested(&self, now: Now, settings: &PlannerSettings) -> bool {
        self.changed.is_none_or(|at| now.mono.since(at) >= settings.pressure_pause)
    }
}

fn sum_queues(
    now: Now,
    model: &TargetName,
    fleet: &FleetView,
    settings: &PlannerSettings,
) -> QueueSum {
    let mut sum = QueueSum::default();
    for target in fleet.targets.values().filter(|target| target.is_usable()) {
        let Some(sample) = target.samples.get(model) else { continue };
        if now.mono.since(sample.at) <= settings.load_age && target.holds(model) {
            sum.copies += 1;
            sum.waiting += sample.waiting;
            sum.running += sample.running;
            sum.limit += sample.limit;
        }
    }
    sum
}

fn has_spare_slot(model: &TargetName, fleet: &FleetView) -> bool {
    let mut usable = fleet.targets.values().filter(|target| target.is_usable());
    usable.any(|target| target.free_slots() > 0 && !target.holds(model))
}
