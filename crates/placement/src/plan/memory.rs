//! What the planner remembers from one plan to the next.

use std::collections::BTreeMap;

use notch_types::prelude::*;

use crate::model::ModelWanted;

/// How a model's roll-out goes.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct RolloutMemory {
    /// When a copy last became current.
    pub(crate) last_done: Option<MonoTime>,
    /// Loads of this version that failed since one was done.
    pub(crate) failures: u32,
}

/// What the planner remembers from one plan to the next. Every map holds models of the catalogue
/// only.
#[derive(Debug, Default)]
pub(crate) struct PlanMemory {
    pub(crate) rollouts: BTreeMap<TargetName, RolloutMemory>,
    /// Since when a model has had more copies than it should.
    pub(crate) surplus_since: BTreeMap<TargetName, MonoTime>,
    /// Since when a model's copies have been spread badly.
    pub(crate) skew_since: BTreeMap<TargetName, MonoTime>,
    /// Why a model is not as wanted, as last noted.
    pub(crate) blocked: BTreeMap<TargetName, &'static str>,
}

impl PlanMemory {
    /// Forgets models that the catalogue no longer has.
    pub(crate) fn keep(&mut self, wanted: &BTreeMap<TargetName, ModelWanted>) {
        self.rollouts.retain(|model, _| wanted.contains_key(model));
        self.surplus_since.retain(|model, _| wanted.contains_key(model));
        self.skew_since.retain(|model, _| wanted.contains_key(model));
        self.blocked.retain(|model, _| wanted.contains_key(model));
    }

    /// Since when a state has lasted; forgets it when it's over.
    pub(crate) fn lasting(
        since: &mut BTreeMap<TargetName, MonoTime>,
        model: &TargetName,
        now: Now,
        holds: bool,
    ) -> Option<MonoTime> {
        if !holds {
            since.remove(model);
            return None;
        }
        Some(*since.entry(model.clone()).or_insert(now.mono))
    }
}
