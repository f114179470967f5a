//! Which targets this sidecar serves, by what the engine holds and the catalogue says.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use notch_catalogue::{EntryTable, PolicyEntry, TargetEntry};
use notch_gate::prelude::{GateEvent, TargetPolicy};
use notch_types::prelude::*;

use crate::settings::SidecarSettings;

/// The targets behind this sidecar: whatever models the engine holds, or the one named in its
/// settings while the engine tells none and the catalogue has none loaded for that target. Bounded by the engine's slots.
#[derive(Debug)]
pub(crate) struct ServedTargets {
    named: TargetName,
    usual: TargetPolicy,
    models: BTreeSet<TargetName>,
    /// What the gate was told last.
    told: BTreeMap<TargetName, TargetPolicy>,
}

impl ServedTargets {
    pub(crate) fn new(settings: &SidecarSettings) -> Self {
        Self {
            named: settings.config.target.name.clone(),
            usual: settings.usual_policy(),
            models: BTreeSet::new(),
            told: BTreeMap::new(),
        }
    }

    /// The targets that the gate knows.
    pub(crate) fn names(&self) -> Vec<TargetName> {
        self.told.keys().cloned().collect()
    }

    /// Takes what the engine holds; tells whether it changed.
    pub(crate) fn set_models(&mut self, models: BTreeSet<TargetName>) -> bool {
        std::mem::replace(&mut self.models, models.clone()) != models
    }

    /// The events that bring the gate up to date.
    pub(crate) fn refresh(&mut self, entries: &EntryTable) -> Vec<GateEvent> {
        let policies = self.policies(entries);
        let mut events = Vec::new();
        for target in self.told.keys().filter(|target| !policies.contains_key(*target)) {
            events.push(GateEvent::TargetGone { target: target.clone() });
        }
        for (target, policy) in &policies {
            if self.told.get(target) != Some(policy) {
                let (target, policy) = (target.clone(), policy.clone());
                events.push(GateEvent::TargetPolicy { target, policy });
            }
        }
        self.told = policies;
        events
    }

    fn policies(&self, entries: &EntryTable) -> BTreeMap<TargetName, TargetPolicy> {
        let mut names = self.models.clone();
        if names.is_empty() && !self.is_loaded_by_order(entries) {
            names.insert(self.named.clone());
        }
        let policy = entries.policy();
        let wanted = names.into_iter().filter_map(|name| {
            let entry = entries.target(&name);
            let is_retired = entry.is_some_and(|entry| entry.retired);
            (!is_retired).then(|| (name, self.policy(entry, &policy)))
        });
        wanted.collect()
    }

    /// Whether the named target is a model that placement loads. An engine that holds nothing then
    /// lacks it: served all the same, its requests would be sent to engines that refuse them.
    fn is_loaded_by_order(&self, entries: &EntryTable) -> bool {
        entries.target(&self.named).is_some_and(|entry| entry.model.is_some())
    }

    fn policy(&self, entry: Option<&TargetEntry>, policy: &PolicyEntry) -> TargetPolicy {
        let usual = TargetPolicy {
            first_token_target: Duration::from_millis(policy.first_token_target_ms),
            between_token_target: Duration::from_millis(policy.between_token_target_ms),
            ..self.usual.clone()
        };
        let Some(entry) = entry else { return usual };
        TargetPolicy {
            kind: entry.kind,
            takes_online: entry.class.takes_online(),
            takes_batch: entry.class.takes_batch(),
            floor_share: entry.batch.floor_share,
            max_concurrency: entry.limits.concurrency,
            start_concurrency: usual.start_concurrency.min(entry.limits.concurrency),
            queue_length: entry.limits.queue,
            ..usual
        }
    }
}
