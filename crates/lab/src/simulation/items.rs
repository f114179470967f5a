//! Job items: when they start, and when they are preempted.

use std::{sync::LazyLock, time::Duration};

use notch_relay::prelude::*;
use notch_types::prelude::*;
use rand::RngExt;

use crate::{
    gateway::WaitingItem,
    policy::SelectionPolicy,
    simulation::{ITEM_START_INTERVAL, RunOutcome, RunWork, SERVICE, SimEvent, SimRun, Simulation},
    target::RunNumber,
};

/// Items per job.
const ITEMS_PER_JOB: u32 = 10;
/// Most items that a gateway starts in one pass.
const MAX_STARTS_PER_PASS: usize = 6;

fn item_query() -> TargetQuery<'static> {
    static NO_PROMPT: LazyLock<PromptPrefixes> = LazyLock::new(PromptPrefixes::default);
    let (work, queue) = (WorkKind::Batch, QueueLimit::Any);
    TargetQuery { service: SERVICE, work, avoid: &[], queue, prompt: &NO_PROMPT }
}

impl Simulation {
    pub(super) fn handle_job_arrival(&mut self) {
        if !self.has_arrivals() || self.pattern.items_per_second <= 0.0 {
            return;
        }
        let rate = self.pattern.items_per_second / f64::from(ITEMS_PER_JOB);
        let gap = -(1.0 - self.random.random::<f64>()).ln() / rate;
        self.schedule.add(Duration::from_secs_f64(gap), SimEvent::JobArrival);
        let gateway = self.random.random_range(0..self.gateways.len());
        let due = self.now() + self.pattern.due;
        for _ in 0..ITEMS_PER_JOB {
            let events_left = self.pattern.item_events;
            self.gateways[gateway].put_item(WaitingItem { events_left, due });
        }
        self.outcome.items += u64::from(ITEMS_PER_JOB);
    }

    pub(super) fn start_items(&mut self, gateway: usize) {
        if self.is_over() {
            return;
        }
        for _ in 0..MAX_STARTS_PER_PASS {
            let Some(item) = self.gateways[gateway].items.front().copied() else { break };
            let Some(choice) = self.choose_for_item(gateway) else { break };
            self.gateways[gateway].items.pop_front();
            self.start(gateway, &choice, RunWork::Item { due: item.due }, item.events_left);
        }
        self.preempt_for_queue(gateway);
        self.schedule.add(ITEM_START_INTERVAL, SimEvent::StartItems { gateway });
    }

    fn choose_for_item(&mut self, gateway: usize) -> Option<TargetChoice> {
        let now = self.now();
        if self.policy == SelectionPolicy::Oracle {
            let sound = (0..self.targets.len()).filter(|n| self.targets[*n].failing_share() == 0.0);
            let free = sound.max_by_key(|n| self.free_slots(*n))?;
            let id = &self.target_ids[free];
            let has_slot = self.free_slots(free) > 1;
            let table = &mut self.gateways[gateway].table;
            return if has_slot { table.take_granted(&item_query(), id) } else { None };
        }
        let table = &mut self.gateways[gateway].table;
        let random = &mut self.random;
        table.choose(&item_query(), now, || random.random())
    }

    /// Preempts own items at targets where online requests wait behind them.
    fn preempt_for_queue(&mut self, gateway: usize) {
        if self.policy == SelectionPolicy::Oracle {
            return;
        }
        let mut by_target: FastMap<usize, Vec<RunNumber>> = FastMap::default();
        for (number, run) in &self.runs {
            if run.gateway == gateway && run.is_preemptible() {
                by_target.entry(run.target).or_default().push(*number);
            }
        }
        let mut by_target: Vec<(usize, Vec<RunNumber>)> = by_target.into_iter().collect();
        by_target.sort_unstable();
        for (target, mut runs) in by_target {
            let random = &mut self.random;
            let table = &self.gateways[gateway].table;
            let count = table.items_to_preempt(&self.target_ids[target], || random.random());
            runs.sort_unstable_by(|a, b| b.cmp(a));
            for run in runs.into_iter().take(count as usize) {
                self.preempt(run);
            }
        }
    }

    /// Preempts an item at a target of `home`, directly or by a message to the gateway that runs the item.
    pub(super) fn revoke_slot(&mut self, home: usize, id: &str, preempted: &PreemptedItem) {
        match preempted {
            PreemptedItem::Own => self.preempt_own_item(home, id),
            PreemptedItem::Peer(vm) => {
                let Some(gateway) = self.gateways.iter().position(|g| g.vm == *vm) else { return };
                let target = id.to_owned();
                self.schedule.add(self.pattern.delay, SimEvent::RevokeSlot { gateway, target });
            }
        }
    }

    /// Preempts the gateway's own item that started last at a target, if there is one.
    pub(super) fn preempt_own_item(&mut self, gateway: usize, id: &str) {
        let own = self.runs.iter().filter(|(_, run)| {
            run.gateway == gateway && run.is_preemptible() && self.target_ids[run.target] == id
        });
        if let Some(run) = own.map(|(number, _)| *number).max() {
            self.preempt(run);
        }
    }

    /// The preemptible item that started last at a target, whichever gateway runs it.
    pub(super) fn item_at(&self, target: usize) -> Option<RunNumber> {
        let running = self.targets[target].running().iter().copied();
        let items =
            running.filter(|number| self.runs.get(number).is_some_and(SimRun::is_preemptible));
        items.max()
    }

    pub(super) fn preempt(&mut self, run: RunNumber) {
        if let Some(run) = self.runs.get_mut(&run) {
            run.is_preempted = true;
        }
        self.outcome.cut_runs += 1;
        let delay = match self.policy {
            SelectionPolicy::Oracle => Duration::ZERO,
            SelectionPolicy::UsageReports
            | SelectionPolicy::HomeGateways
            | SelectionPolicy::LearnedPerformance => self.pattern.delay,
        };
        self.schedule.add(delay, SimEvent::Preempt { run });
    }

    pub(super) fn finish_item(&mut self, gateway: usize, item: WaitingItem, outcome: RunOutcome) {
        match outcome {
            RunOutcome::Completed if self.now() <= item.due => self.outcome.items_in_time += 1,
            RunOutcome::Completed => {}
            RunOutcome::Preempted | RunOutcome::Failed(_) | RunOutcome::ErrorStatus => {
                self.gateways[gateway].put_item(item);
            }
        }
    }
}
