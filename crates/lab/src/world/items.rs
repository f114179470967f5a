//! Items of jobs: when they start, and when they yield.

use std::{sync::LazyLock, time::Duration};

use notch_relay::prelude::*;
use notch_types::prelude::*;
use rand::RngExt;

use crate::{
    gateway::WaitingItem,
    policy::SelectionPolicy,
    target::RunNumber,
    world::{ITEMS_EVERY, LabEvent, LabRun, LabWorld, RunOutcome, RunWork, SERVICE},
};

/// Items of one job.
const JOB_ITEMS: u32 = 10;
/// Items started in one pass, at most.
const STARTS_PER_PASS: usize = 6;

fn item_query() -> TargetQuery<'static> {
    static NO_PROMPT: LazyLock<PromptHeads> = LazyLock::new(PromptHeads::default);
    let (work, queue) = (WorkKind::Batch, QueueLimit::Any);
    TargetQuery { service: SERVICE, work, avoid: &[], queue, prompt: &NO_PROMPT }
}

impl LabWorld {
    pub(super) fn job_arrives(&mut self) {
        if !self.has_arrivals() || self.pattern.items_per_second <= 0.0 {
            return;
        }
        let rate = self.pattern.items_per_second / f64::from(JOB_ITEMS);
        let gap = -(1.0 - self.random.random::<f64>()).ln() / rate;
        self.schedule.add(Duration::from_secs_f64(gap), LabEvent::JobArrives);
        let gateway = self.random.random_range(0..self.gateways.len());
        let due = self.now() + self.pattern.due;
        for _ in 0..JOB_ITEMS {
            let events_left = self.pattern.item_events;
            self.gateways[gateway].put_item(WaitingItem { events_left, due });
        }
        self.outcome.items += u64::from(JOB_ITEMS);
    }

    pub(super) fn run_items(&mut self, gateway: usize) {
        if self.is_over() {
            return;
        }
        for _ in 0..STARTS_PER_PASS {
            let Some(item) = self.gateways[gateway].items.front().copied() else { break };
            let Some(choice) = self.choose_for_item(gateway) else { break };
            self.gateways[gateway].items.pop_front();
            self.start(gateway, &choice, RunWork::Item { due: item.due }, item.events_left);
        }
        self.make_room(gateway);
        self.schedule.add(ITEMS_EVERY, LabEvent::RunItems { gateway });
    }

    fn choose_for_item(&mut self, gateway: usize) -> Option<TargetChoice> {
        let now = self.now();
        if self.policy == SelectionPolicy::AllKnowing {
            let free = (0..self.targets.len()).max_by_key(|n| self.open_places(*n))?;
            let id = &self.target_ids[free];
            let has_place = self.open_places(free) > 1;
            let table = &mut self.gateways[gateway].table;
            return if has_place { table.take_granted(&item_query(), id) } else { None };
        }
        let table = &mut self.gateways[gateway].table;
        let random = &mut self.random;
        table.choose(&item_query(), now, || random.random())
    }

    /// Breaks off own items at targets where online requests wait behind them.
    fn make_room(&mut self, gateway: usize) {
        if self.policy == SelectionPolicy::AllKnowing {
            return;
        }
        let mut counts: FastMap<usize, Vec<RunNumber>> = FastMap::default();
        for (number, run) in &self.runs {
            if run.gateway == gateway && run.yields() {
                counts.entry(run.target).or_default().push(*number);
            }
        }
        let mut counts: Vec<(usize, Vec<RunNumber>)> = counts.into_iter().collect();
        counts.sort_unstable();
        for (target, mut runs) in counts {
            let random = &mut self.random;
            let table = &self.gateways[gateway].table;
            let count = table.items_to_preempt(&self.target_ids[target], || random.random());
            runs.sort_unstable_by(|a, b| b.cmp(a));
            for run in runs.into_iter().take(count as usize) {
                self.break_off(run);
            }
        }
    }

    /// Has an item yield its place at a target of `home`.
    pub(super) fn revoke(&mut self, home: usize, id: &str, yields: &ItemYield) {
        match yields {
            ItemYield::Own => self.yield_place(home, id),
            ItemYield::Peer(vm) => {
                let Some(gateway) = self.gateways.iter().position(|g| g.vm == *vm) else { return };
                let target = id.to_owned();
                self.schedule.add(self.pattern.delay, LabEvent::Revoke { gateway, target });
            }
        }
    }

    /// Breaks off the own item that began last at a target, if there is one.
    pub(super) fn yield_place(&mut self, gateway: usize, id: &str) {
        let own = self.runs.iter().filter(|(_, run)| {
            run.gateway == gateway && run.yields() && self.target_ids[run.target] == id
        });
        if let Some(run) = own.map(|(number, _)| *number).max() {
            self.break_off(run);
        }
    }

    /// The item that began last at a target, whosoever it is.
    pub(super) fn item_at(&self, target: usize) -> Option<RunNumber> {
        let running = self.targets[target].running().iter().copied();
        let items = running.filter(|number| self.runs.get(number).is_some_and(LabRun::yields));
        items.max()
    }

    pub(super) fn break_off(&mut self, run: RunNumber) {
        if let Some(run) = self.runs.get_mut(&run) {
            run.is_cut = true;
        }
        self.outcome.cut_runs += 1;
        let delay = match self.policy {
            SelectionPolicy::AllKnowing => Duration::ZERO,
            SelectionPolicy::Reports | SelectionPolicy::Homes => self.pattern.delay,
        };
        self.schedule.add(delay, LabEvent::Cut { run });
    }

    pub(super) fn end_item(&mut self, gateway: usize, item: WaitingItem, outcome: RunOutcome) {
        match outcome {
            RunOutcome::Whole if self.now() <= item.due => self.outcome.items_in_time += 1,
            RunOutcome::Whole => {}
            RunOutcome::Cut | RunOutcome::Failed(_) => self.gateways[gateway].put_item(item),
        }
    }
}
