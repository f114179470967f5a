//! Which targets this sidecar serves, by what the engine holds and the catalogue says.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use notch_catalogue::{EntryTable, PolicyEntry, TargetEntry};
use notch_gate::prelude::{GateEvent, TargetPolicy};
use notch_types::prelude::*;

use crate::settings::SidecarSettings;

/// The targets behind this sidecar: the one named in its settings, and whatever models the engine
/// holds beside it. Bounded by the engine's slots.
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

    /// Takes what the engine holds; tells whether it changed. None means that it answers for
    /// whatever it is asked.
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
        if names.is_empty() {
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
