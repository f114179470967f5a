//! One target as last seen.

use std::{collections::BTreeMap, time::Duration};

use notch_messages::prelude::*;
use notch_types::prelude::*;

/// Most pauses after failed loads kept for one target; the one that ends first goes first.
const MAX_PAUSES: usize = 32;

/// A model that a target failed to load.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LoadPause {
    pub(crate) until: MonoTime,
    /// Failures in a row.
    pub(crate) failures: u32,
}

/// The load of one model at one target.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LoadSample {
    pub(crate) at: MonoTime,
    pub(crate) waiting: u32,
    pub(crate) running: u32,
    pub(crate) limit: u32,
}

/// One target as last seen.
#[derive(Debug)]
pub(crate) struct TargetState {
    /// The newest report, changed by the orders that were done since.
    pub(crate) report: TargetHoldings,
    /// The incarnation before: a late report of it is ignored.
    former: Option<Incarnation>,
    /// Told from elsewhere than the report.
    pub(crate) leaving: bool,
    /// When the last report came.
    pub(crate) seen: MonoTime,
    /// Since when the target doesn't answer or no gateway sees the sidecar.
    pub(crate) away: Option<MonoTime>,
    /// Whether it has been away for longer than most that come back.
    pub(crate) lost: bool,
    /// Highest order of `report.epoch` whose end was told.
    ended: u64,
    /// When that end was told.
    ended_at: Option<MonoTime>,
    /// A slot kept for this model, until then.
    pub(crate) reserved: Option<(TargetName, MonoTime)>,
    /// At most [`MAX_PAUSES`].
    pauses: BTreeMap<TargetName, LoadPause>,
    /// The newest sample of each model reported; bounded by the report.
    pub(crate) samples: BTreeMap<TargetName, LoadSample>,
    load_sequence: u64,
}

/// What a report was worth.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReportWorth {
    New,
    Stale,
}

impl TargetState {
    pub(crate) fn new(now: Now, report: TargetHoldings, leaving: bool) -> Self {
        let away = (!report.up).then_some(now.mono);
        Self {
            report: sorted(report),
            former: None,
            leaving,
            seen: now.mono,
            away,
            lost: false,
            ended: 0,
            ended_at: None,
            reserved: None,
            pauses: BTreeMap::new(),
            samples: BTreeMap::new(),
            load_sequence: 0,
        }
    }

    /// Takes a report in.
    ///
    /// A report made before an order was done, but received after, would bring back a copy that
    /// is gone: the planner would count it as serving and take the last real one down. Such a
    /// report shows an older number of ended orders, and is ignored.
    pub(crate) fn take_report(
        &mut self,
        now: Now,
        mut report: TargetHoldings,
        list_lag: Duration,
    ) -> ReportWorth {
        let known = &self.report;
        if Some(report.incarnation) == self.former {
            return ReportWorth::Stale;
        }
        if report.incarnation == known.incarnation {
            let behind = report.epoch < known.epoch
                || (report.epoch == known.epoch && report.ended_order < self.ended);
            if report.sequence <= known.sequence || behind {
                return ReportWorth::Stale;
            }
        } else {
            self.former = Some(known.incarnation);
            self.ended = 0;
            self.ended_at = None;
            self.load_sequence = 0;
        }
        if report.epoch != self.report.epoch {
            self.ended = 0;
        }
        report.busy |= self.ended_at.is_some_and(|at| now.mono.since(at) < list_lag);
        self.seen = now.mono;
        self.away = match report.up {
            true => None,
            false => self.away.or(Some(now.mono)),
        };
        self.lost &= self.away.is_some();
        let known = std::mem::replace(&mut self.report, sorted(report));
        if self.report.busy && self.report.incarnation == known.incarnation {
            // The list may be older than what orders have done since.
            self.report.models = known.models;
            self.report.role = known.role;
        }
        ReportWorth::New
    }

    pub(crate) fn take_load(&mut self, now: Now, load: &LoadReport) {
        let stale = load.sequence <= self.load_sequence && self.load_sequence > 0;
        if load.incarnation != self.report.incarnation || stale {
            return;
        }
        self.load_sequence = load.sequence;
        let held = load.targets.iter().filter(|line| self.holds(&line.target));
        let samples = held.map(|line| {
            let sample = LoadSample {
                at: now.mono,
                waiting: line.online_waiting,
                running: line.online_running.saturating_add(line.batch_running),
                limit: line.limit,
            };
            (line.target.clone(), sample)
        });
        self.samples = samples.collect();
    }

    /// The order was done: the target is as ordered, and its sidecar knows the order's epoch.
    pub(crate) fn take_done(&mut self, now: Now, order: &TargetOrder) {
        self.ended_at = Some(now.mono);
        if self.report.epoch != Some(order.epoch) {
            self.ended = 0;
        }
        self.report.epoch = Some(order.epoch);
        self.report.busy = false;
        self.ended = self.ended.max(order.order);
        match &order.action {
            OrderAction::Load { model, version, adapters } => {
                self.pauses.remove(model);
                self.report.models.retain(|held| held.model != *model);
                let (model, version) = (model.clone(), version.clone());
                let adapters = adapters.clone();
                self.report.models.push(HeldModel { model, version, adapters });
            }
            OrderAction::Unload { model } => {
                self.report.models.retain(|held| held.model != *model);
            }
            OrderAction::Role { role } => self.report.role = role.clone(),
        }
    }

    /// The order failed: what the target holds now is known from its next report only.
    pub(crate) fn take_failed(&mut self, now: Now, order: &TargetOrder) {
        self.ended_at = Some(now.mono);
        if self.report.epoch != Some(order.epoch) {
            self.ended = 0;
        }
        self.report.epoch = Some(order.epoch);
        self.report.busy = true;
        self.ended = self.ended.max(order.order);
    }

    /// Keeps `model` away for a while, longer with each failure in a row.
    pub(crate) fn pause_load(
        &mut self,
        now: Now,
        model: &TargetName,
        first: Duration,
        longest: Duration,
    ) {
        let failures = self.pauses.get(model).map_or(0, |pause| pause.failures);
        let pause = (first * 2_u32.saturating_pow(failures.min(16))).min(longest);
        let pause = LoadPause { until: now.mono + pause, failures: failures + 1 };
        self.pauses.insert(model.clone(), pause);
        if self.pauses.len() > MAX_PAUSES {
            let first = self.pauses.iter().min_by_key(|(_, pause)| pause.until);
            if let Some(model) = first.map(|(model, _)| model.clone()) {
                self.pauses.remove(&model);
            }
        }
    }

    pub(crate) fn is_paused(&self, now: Now, model: &TargetName) -> bool {
        self.pauses.get(model).is_some_and(|pause| now.mono < pause.until)
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving || self.report.leaving
    }

    /// Answers, stays, and takes models at all.
    pub(crate) fn is_usable(&self) -> bool {
        self.away.is_none() && !self.is_leaving() && self.report.slots > 0
    }

    /// Whether the target is known to be as reported, and to stay so until it's ordered: its
    /// sidecar refuses older epochs, and no order is at work.
    ///
    /// An order by an older list could load what is there, or unload what isn't spare: a holder
    /// that has just taken over would see copies go down that its plan never touched.
    pub(crate) fn is_confirmed(&self, epoch: Epoch) -> bool {
        self.report.epoch == Some(epoch) && !self.report.busy
    }

    pub(crate) fn held(&self, model: &TargetName) -> Option<&HeldModel> {
        self.report.models.iter().find(|held| held.model == *model)
    }

    pub(crate) fn holds(&self, model: &TargetName) -> bool {
        self.held(model).is_some()
    }

    pub(crate) fn free_slots(&self) -> u32 {
        self.report.slots.saturating_sub(self.report.models.len() as u32)
    }

    pub(crate) fn is_reserved_for_other(&self, now: Now, model: &TargetName) -> bool {
        self.reserved.as_ref().is_some_and(|(name, until)| name != model && now.mono < *until)
    }

    pub(crate) fn is_reserved_for(&self, now: Now, model: &TargetName) -> bool {
        self.reserved.as_ref().is_some_and(|(name, until)| name == model && now.mono < *until)
    }
}

fn sorted(mut report: TargetHoldings) -> TargetHoldings {
    for held in &mut report.models {
        held.adapters.sort();
    }
    report
}
