//! A sidecar with its engine. The sidecar refuses old tokens; the engine does or doesn't.

use std::collections::{BTreeMap, BTreeSet};

use notch_messages::prelude::*;
use notch_types::prelude::*;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum EngineKind {
    /// Refuses an order with an older token than it has seen.
    ChecksToken,
    /// Does whatever it's told.
    IgnoresToken,
}

#[derive(Debug)]
pub(crate) struct FakeSidecar {
    pub(crate) vm: VmName,
    pub(crate) domain: DomainName,
    pub(crate) kind: EngineKind,
    pub(crate) slots: u32,
    pub(crate) up: bool,
    pub(crate) leaving: bool,
    pub(crate) role: String,
    /// The engine's models; one being loaded isn't there yet.
    pub(crate) models: BTreeMap<TargetName, (String, Vec<String>)>,
    /// Models this engine can't load.
    pub(crate) broken: BTreeSet<TargetName>,
    /// The sidecar's incarnation; the engine outlives it.
    pub(crate) incarnation: u64,
    sequence: u64,
    pub(crate) epoch: Option<Epoch>,
    ended: u64,
    /// How orders ended; a repeat, however late, is answered alike and not run.
    done: BTreeMap<(Epoch, u64), OrderOutcome>,
    /// The engine's models as last read, which lags behind.
    listed: Vec<HeldModel>,
    /// Whether a report says that the list was read before the last order ended.
    pub(crate) owns_up: bool,
    /// Whether they were read after the last order ended.
    read_since: bool,
    /// The order at the engine, who asked, and when it's over.
    pub(crate) busy: Option<(TargetOrder, usize, u64)>,
    engine_epoch: Epoch,
    /// How often the engine has run each order.
    pub(crate) runs: BTreeMap<(Epoch, u64), u32>,
    pub(crate) loads: u32,
    pub(crate) unloads: u32,
    /// Orders refused for their token.
    pub(crate) stale: u32,
}

impl FakeSidecar {
    pub(crate) fn new(vm: &str, domain: &str, slots: u32, kind: EngineKind) -> Self {
        Self {
            vm: VmName::new(vm),
            domain: DomainName::new(domain),
            kind,
            slots,
            up: true,
            leaving: false,
            role: "mixed".to_owned(),
            models: BTreeMap::new(),
            broken: BTreeSet::new(),
            incarnation: 1,
            sequence: 0,
            epoch: None,
            ended: 0,
            done: BTreeMap::new(),
            listed: Vec::new(),
            owns_up: true,
            read_since: false,
            busy: None,
            engine_epoch: Epoch(0),
            runs: BTreeMap::new(),
            loads: 0,
            unloads: 0,
            stale: 0,
        }
    }

    /// Reads what the engine holds.
    pub(crate) fn read_engine(&mut self) {
        let held = |(model, (version, adapters)): (&TargetName, &(String, Vec<String>))| {
            HeldModel { model: model.clone(), version: version.clone(), adapters: adapters.clone() }
        };
        self.listed = self.models.iter().map(held).collect();
        self.read_since = true;
    }

    pub(crate) fn report(&mut self) -> TargetHoldings {
        self.sequence += 1;
        TargetHoldings {
            vm: self.vm.clone(),
            domain: self.domain.clone(),
            incarnation: Incarnation(self.incarnation),
            sequence: self.sequence,
            up: self.up,
            leaving: self.leaving,
            slots: self.slots,
            role: self.role.clone(),
            models: self.listed.clone(),
            epoch: self.epoch,
            ended_order: self.ended,
            busy: self.busy.is_some() || (self.owns_up && !self.read_since),
        }
    }

    pub(crate) fn learn(&mut self, epoch: Epoch) {
        if self.epoch < Some(epoch) {
            self.epoch = Some(epoch);
            self.ended = 0;
        }
    }

    /// The sidecar's process starts anew: it has forgotten everything; the engine goes on.
    pub(crate) fn restart(&mut self) {
        self.incarnation += 1;
        self.sequence = 0;
        self.epoch = None;
        self.ended = 0;
        self.done.clear();
        self.listed.clear();
        self.read_since = false;
        if let Some((order, _, _)) = self.busy.take() {
            self.apply(&order);
        }
    }

    /// The VM is replaced: engine and sidecar start empty.
    pub(crate) fn replace(&mut self) {
        self.busy = None;
        self.models.clear();
        self.restart();
        self.up = true;
    }

    /// Takes an order; an answer, or the model that goes down while it's at work.
    pub(crate) fn take(
        &mut self,
        order: TargetOrder,
        from: usize,
        until: u64,
    ) -> Result<Vec<TargetName>, OrderOutcome> {
        let Some(newest) = self.epoch else { return Err(OrderOutcome::EpochUnknown) };
        if order.epoch < newest {
            self.stale += 1;
            return Err(OrderOutcome::Stale { current: newest });
        }
        self.learn(order.epoch);
        if let Some(outcome) = self.done.get(&(order.epoch, order.order)) {
            return Err(outcome.clone());
        }
        if self.busy.is_some() {
            // The same order is answered when it ends; another one must come again.
            return Ok(vec![]);
        }
        if self.kind == EngineKind::ChecksToken && order.epoch < self.engine_epoch {
            return Err(OrderOutcome::Failed { detail: "old token".to_owned() });
        }
        self.engine_epoch = self.engine_epoch.max(order.epoch);
        *self.runs.entry((order.epoch, order.order)).or_default() += 1;
        let down: Vec<TargetName> = match &order.action {
            OrderAction::Load { model, .. } | OrderAction::Unload { model } => {
                self.models.remove(model).map(|_| model.clone()).into_iter().collect()
            }
            OrderAction::Role { .. } => self.models.keys().cloned().collect(),
        };
        self.busy = Some((order, from, until));
        Ok(down)
    }

    /// Ends the order at the engine when its time has come.
    pub(crate) fn finish(&mut self, now: u64) -> Option<(TargetOrder, usize, OrderOutcome)> {
        let (order, from, _) = self.busy.take_if(|(_, _, until)| *until <= now)?;
        let outcome = self.apply(&order);
        self.read_since = false;
        if self.epoch == Some(order.epoch) {
            self.ended = self.ended.max(order.order);
        }
        self.done.insert((order.epoch, order.order), outcome.clone());
        Some((order, from, outcome))
    }

    fn apply(&mut self, order: &TargetOrder) -> OrderOutcome {
        match &order.action {
            OrderAction::Load { model, version, adapters } => {
                if self.broken.contains(model) || self.models.len() as u32 >= self.slots {
                    return OrderOutcome::Failed { detail: "no room".to_owned() };
                }
                self.loads += 1;
                self.models.insert(model.clone(), (version.clone(), adapters.clone()));
            }
            OrderAction::Unload { .. } => self.unloads += 1,
            OrderAction::Role { role } => self.role = role.clone(),
        }
        OrderOutcome::Done
    }

    pub(crate) fn serves(&self, model: &TargetName) -> bool {
        let role_change = self
            .busy
            .as_ref()
            .is_some_and(|(o, _, _)| matches!(o.action, OrderAction::Role { .. }));
        self.up && !self.leaving && !role_change && self.models.contains_key(model)
    }
}
