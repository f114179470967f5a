//! Targets that fail a part of their requests or are slow for a time, and the exchange of ejections.

use std::time::Duration;

use notch_relay::prelude::PaceMeter;
use notch_types::prelude::*;
use rand::RngExt;

use crate::{
    simulation::{EJECTION_TICK, RunOutcome, RunWork, SimEvent, SimRun, Simulation},
    target::RunNumber,
};

/// Time from a target's second failure after which its share of the traffic is counted.
const EJECTION_TIME: Duration = Duration::from_secs(1);
/// Time from the end of a fault after which the share of its targets is counted.
const RECOVERY_TIME: Duration = Duration::from_secs(2);

impl Simulation {
    pub(super) fn schedule_faults(&mut self) {
        if self.policy.learns_performance() {
            for gateway in 0..self.gateways.len() {
                self.schedule.add(EJECTION_TICK, SimEvent::AnnounceEjections { gateway });
            }
        }
        if self.pattern.slow_spells.is_some() {
            self.schedule.add(Duration::ZERO, SimEvent::ChangeSpells);
        }
        if let Some(fault) = self.pattern.fault {
            self.schedule.add(fault.at, SimEvent::SetFault { share: fault.share });
            self.schedule.add(fault.at + fault.span, SimEvent::SetFault { share: 0.0 });
            self.outcome.fault.targets = fault.count as u64;
            self.outcome.fault.other_targets = (self.targets.len() - fault.count) as u64;
        }
    }

    /// Ends the run of a request that its target answers with a failure.
    pub(super) fn fail_run(&mut self, number: RunNumber) {
        let Some(run) = self.runs.get(&number) else { return };
        let (target, now) = (run.target, self.now());
        if !self.targets[target].running().contains(&number) {
            return;
        }
        let (failures, second) = &mut self.fault_failures[target];
        *failures += 1;
        if *failures == 2 {
            *second = now;
        }
        self.release_slot(target, number);
        let outcome = RunOutcome::ErrorStatus;
        self.schedule.add(self.pattern.delay, SimEvent::RunEnded { run: number, outcome });
    }

    pub(super) fn set_fault(&mut self, share: f64) {
        let Some(fault) = self.pattern.fault else { return };
        for target in fault.first..fault.first + fault.count {
            self.targets[target].set_failing_share(share);
        }
    }

    /// Makes a random part of the targets slower, and the others as fast as usual.
    pub(super) fn change_spells(&mut self) {
        let Some(spells) = self.pattern.slow_spells.filter(|_| !self.is_over()) else { return };
        for target in &mut self.targets {
            let is_slow = self.random.random::<f64>() < spells.share;
            target.set_spell(if is_slow { spells.factor } else { 1.0 });
        }
        self.schedule.add(spells.span, SimEvent::ChangeSpells);
    }

    /// Measures the pace of a run as its gateway does, ignoring the delay of the network.
    pub(super) fn note_pace(&mut self, number: RunNumber) {
        let now = self.now();
        let Some(run) = self.runs.get_mut(&number) else { return };
        let gap = match &mut run.pace {
            None => {
                run.pace = Some((PaceMeter::new(now), now));
                None
            }
            Some((meter, last)) => {
                let gap = meter.note(1, *last, now);
                *last = now;
                gap
            }
        };
        if let Some(gap) = gap {
            let id = &self.target_ids[run.target];
            self.gateways[run.gateway].table.note_pace(id, gap, now);
        }
    }

    pub(super) fn announce_ejections(&mut self, from: usize) {
        if self.is_over() {
            return;
        }
        let now = self.now();
        let table = &mut self.gateways[from].table;
        let notices = table.ejection_notices(now);
        self.outcome.max_excluded = self.outcome.max_excluded.max(table.excluded_count() as u64);
        for notice in notices {
            for to in (0..self.gateways.len()).filter(|to| *to != from) {
                let (is_ejected, failure_permille) = (notice.is_ejected, notice.failure_permille);
                let target = notice.target.clone();
                let message =
                    SimEvent::ReceiveEjection { to, from, target, is_ejected, failure_permille };
                self.schedule.add(self.pattern.delay, message);
            }
        }
        self.schedule.add(EJECTION_TICK, SimEvent::AnnounceEjections { gateway: from });
    }

    /// Counts an online request that is sent during a fault or after it.
    pub(super) fn note_fault_traffic(&mut self, run: &SimRun) {
        let Some(fault) = self.pattern.fault else { return };
        let RunWork::Online { .. } = run.work else { return };
        let (now, end) = (self.now(), MonoTime::default() + fault.at + fault.span);
        let targets = fault.first..fault.first + fault.count;
        let is_faulty = targets.contains(&run.target);
        let traffic = &mut self.outcome.fault;
        if now >= end + RECOVERY_TIME {
            let count =
                if is_faulty { &mut traffic.recovered } else { &mut traffic.recovered_others };
            *count += 1;
            return;
        }
        let is_counted = |(failures, second): &(u32, MonoTime)| {
            *failures >= 2 && now >= *second + EJECTION_TIME && now < end
        };
        if is_faulty && is_counted(&self.fault_failures[run.target]) {
            let count = if run.is_probe { &mut traffic.probes } else { &mut traffic.failing };
            *count += 1;
        } else if !is_faulty {
            let counted = self.fault_failures[targets].iter().filter(|f| is_counted(f));
            traffic.failing_others += counted.count() as u64;
        }
    }
}
