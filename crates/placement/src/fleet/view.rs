//! Every target known.

use std::collections::{BTreeMap, BTreeSet};

use notch_messages::prelude::*;
use notch_types::prelude::*;

use crate::{
    fleet::{TargetState, target::ReportWorth},
    settings::PlannerSettings,
};

/// Every target known, by VM; at most `max_targets`.
#[derive(Debug, Default)]
pub(crate) struct FleetView {
    pub(crate) targets: BTreeMap<VmName, TargetState>,
    /// VMs told to be leaving, known or not yet; at most `max_targets`.
    leaving: BTreeSet<VmName>,
}

impl FleetView {
    /// Takes a report in; tells what to count when it can't be used.
    pub(crate) fn take_report(
        &mut self,
        now: Now,
        report: TargetHoldings,
        settings: &PlannerSettings,
    ) -> Result<(), Counter> {
        if let Some(target) = self.targets.get_mut(&report.vm) {
            return match target.take_report(now, report, settings.list_lag) {
                ReportWorth::New => Ok(()),
                ReportWorth::Stale => Err(Counter::Dropped(DropReason::StaleIncarnation)),
            };
        }
        if self.targets.len() >= settings.max_targets {
            return Err(Counter::Dropped(DropReason::BufferFull));
        }
        let leaving = self.leaving.contains(&report.vm);
        self.targets.insert(report.vm.clone(), TargetState::new(now, report, leaving));
        Ok(())
    }

    pub(crate) fn take_leaving(&mut self, vm: &VmName, leaving: bool, bound: usize) {
        if let Some(target) = self.targets.get_mut(vm) {
            target.leaving = leaving;
        }
        match leaving {
            true if self.leaving.len() < bound => {
                self.leaving.insert(vm.clone());
            }
            true => {}
            false => {
                self.leaving.remove(vm);
            }
        }
    }

    pub(crate) fn take_gone(&mut self, now: Now, vm: &VmName) {
        if let Some(target) = self.targets.get_mut(vm) {
            target.away = target.away.or(Some(now.mono));
        }
    }

    /// Counts silent targets as away and those long away as lost, and forgets the ones lost for
    /// very long.
    pub(crate) fn expire(&mut self, now: Now, settings: &PlannerSettings) {
        for target in self.targets.values_mut() {
            if now.mono.since(target.seen) >= settings.silent_after {
                target.away = target.away.or(Some(now.mono));
            }
            let lost_at = target.away.map(|since| since + settings.repair_delay);
            target.lost = lost_at.is_some_and(|at| at <= now.mono);
            target.reserved.take_if(|(_, until)| *until <= now.mono);
        }
        self.targets.retain(|_, target| {
            target.away.is_none_or(|since| now.mono.since(since) < settings.forget_after)
        });
    }

    pub(crate) fn get(&self, vm: &VmName) -> Option<&TargetState> {
        self.targets.get(vm)
    }

    pub(crate) fn get_mut(&mut self, vm: &VmName) -> Option<&mut TargetState> {
        self.targets.get_mut(vm)
    }
}
