//! Job items: when they start, and when they are preempted.

use std::{cmp::Reverse, sync::LazyLock, time::Duration};

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
/// Delay before a preempted item is queued again, as in production.
const PREEMPTED_PAUSE: Duration = Duration::from_millis(200);
/// Most items that a gateway starts in one pass.
const MAX_STARTS_PER_PASS: usize = 6;

pub(super) fn item_query() -> TargetQuery<'static> {
    static NO_PROMPT: LazyLock<PromptPrefixes> = LazyLock::new(PromptPrefixes::default);
    let (work, queue) = (WorkKind::Batch, QueueLimit::Any);
    TargetQuery { service: SERVICE, work, avoid: &[], queue, version: None, prompt: &NO_PROMPT }
}

impl Simulation {
    pub(super) fn handle_job_arrival(&mut self) {
        if !self.has_arrivals() || self.pattern.items_per_second <= 0.0 {
            return;
        }
        let rate = self.pattern.items_per_second / f64::from(ITEMS_PER_JOB);
        let gap = -(1.0 - self.random.random::<f64>()).ln() / rate;
        self.schedule.add(Duration::from_secs_f64(gap), SimEvent::JobArrival);
        let gateways = match self.pattern.job_gateways {
            0 => self.gateways.len(),
            count => count.min(self.gateways.len()),
        };
        let gateway = self.random.random_range(0..gateways);
        let (due, since) = (self.now() + self.pattern.due, self.now());
        for _ in 0..ITEMS_PER_JOB {
            let events_left = self.pattern.item_events;
            self.gateways[gateway].put_item(WaitingItem { events_left, due, since });
        }
        self.outcome.items += u64::from(ITEMS_PER_JOB);
    }

    pub(super) fn start_items(&mut self, gateway: usize) {
        if self.is_over() {
            return;
        }
        if self.policy.offers_items() {
            self.divide_slots(gateway);
        } else {
            for _ in 0..MAX_STARTS_PER_PASS {
                if self.gateways[gateway].items.is_empty() {
                    break;
                }
                let Some(choice) = self.choose_for_item(gateway) else { break };
                self.start_item(gateway, &choice);
            }
        }
        self.preempt_for_queue(gateway);
        self.schedule.add(ITEM_START_INTERVAL, SimEvent::StartItems { gateway });
    }

    /// Starts the waiting item with the earliest deadline.
    pub(super) fn start_item(&mut self, gateway: usize, choice: &TargetChoice) {
        let Some(item) = self.gateways[gateway].items.pop_front() else { return };
        self.start(gateway, choice, RunWork::Item { due: item.due }, item.events_left);
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
            runs.sort_unstable_by_key(|run| Reverse(self.preemption_order(*run)));
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
        let own = own.map(|(number, _)| *number);
        if let Some(run) = own.max_by_key(|run| self.preemption_order(*run)) {
            self.preempt(run);
        }
    }

    /// Order of preemption, the highest first: by slack where slots are shared, else the run that began last.
    fn preemption_order(&self, number: RunNumber) -> (Option<PreemptionRank>, RunNumber) {
        let run = self.runs.get(&number).filter(|_| self.policy.offers_items());
        let rank = run.and_then(|run| {
            let RunWork::Item { due } = run.work else { return None };
            let run_time = &self.gateways[run.gateway].run_time;
            let expected = run_time.expected_or_default(self.pattern.item_events);
            Some(PreemptionRank::new(due, run.began, expected, self.now()))
        });
        (rank, number)
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
            | SelectionPolicy::SharedItems
            | SelectionPolicy::UnsortedItems
            | SelectionPolicy::LearnedPerformance
            | SelectionPolicy::SharedItemsLearned
            | SelectionPolicy::FairShares => self.pattern.delay,
        };
        self.schedule.add(delay, SimEvent::Preempt { run });
    }

    pub(super) fn finish_item(&mut self, gateway: usize, item: WaitingItem, outcome: RunOutcome) {
        match outcome {
            RunOutcome::Completed if self.now() <= item.due => self.outcome.items_in_time += 1,
            RunOutcome::Completed => {}
            RunOutcome::Preempted => {
                self.schedule.add(PREEMPTED_PAUSE, SimEvent::ReturnItem { gateway, item });
            }
            RunOutcome::Failed(_) | RunOutcome::ErrorStatus => {
                self.gateways[gateway].put_item(item)
            }
        }
    }
}
