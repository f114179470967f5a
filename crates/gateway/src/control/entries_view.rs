//! The catalogue in force, in the shapes that the gateway's parts want.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use notch_catalogue::{
    AccountEntry, AccountIndex, CatalogueEntry, EntryTable, ServingRole, TargetEntry,
};
use notch_jobs::prelude::JobPolicy;
use notch_placement::prelude::ModelWanted;
use notch_routing::{AccountLimit, TargetPolicy};
use notch_types::prelude::*;

/// What the traffic side needs of the catalogue: who a key belongs to, and what targets allow.
#[derive(Debug, Default)]
pub struct TrafficView {
    /// Whether the catalogue was complete once.
    pub ready: bool,
    /// Accounts by key.
    pub accounts: AccountIndex,
    /// Targets in force, retired ones left out.
    pub targets: BTreeMap<TargetName, TargetEntry>,
}

/// Shared with the traffic side; replaced whole at each change.
#[derive(Debug, Default)]
pub struct SharedView(std::sync::RwLock<Arc<TrafficView>>);

impl SharedView {
    /// The view now.
    pub fn get(&self) -> Arc<TrafficView> {
        let view = self.0.read().unwrap_or_else(std::sync::PoisonError::into_inner);
        Arc::clone(&view)
    }

    /// Replaces the view.
    pub fn set(&self, view: TrafficView) {
        let mut place = self.0.write().unwrap_or_else(std::sync::PoisonError::into_inner);
        *place = Arc::new(view);
    }
}

/// Routing's view of a target.
pub fn target_policy(name: &TargetName, entry: &TargetEntry) -> TargetPolicy {
    TargetPolicy {
        target: name.clone(),
        kind: entry.kind,
        idempotent: entry.idempotent,
        non_idempotent_paths: entry.non_idempotent_paths.clone(),
        concurrency: entry.limits.concurrency,
        default_deadline: Some(Duration::from_millis(entry.limits.default_deadline_ms)),
        queue: Some(entry.limits.queue),
    }
}

/// Routing's view of an account.
pub fn account_limit(name: &AccountName, entry: &AccountEntry) -> AccountLimit {
    AccountLimit {
        account: name.clone(),
        requests_per_s: entry.limits.requests_per_s,
        burst: f64::from(entry.limits.burst),
        concurrency: entry.limits.concurrency,
    }
}

/// Every target of the catalogue, retired ones included.
pub fn targets(table: &EntryTable) -> impl Iterator<Item = (TargetName, &TargetEntry)> {
    table.entries().filter_map(|(record, entry)| match entry {
        CatalogueEntry::Target(target) => Some((TargetName::new(&record.key.name), target)),
        _ => None,
    })
}

/// Every account in force, retired ones left out.
pub fn accounts(table: &EntryTable) -> impl Iterator<Item = (AccountName, &AccountEntry)> {
    table.entries().filter_map(|(record, entry)| match entry {
        CatalogueEntry::Account(account) if !account.retired => {
            Some((AccountName::new(&record.key.name), account))
        }
        _ => None,
    })
}

/// Routing's view of all targets that take online work, in name order.
pub fn target_policies(table: &EntryTable) -> Vec<TargetPolicy> {
    let open = targets(table).filter(|(_, entry)| !entry.retired && entry.class.takes_online());
    let mut policies: Vec<_> = open.map(|(name, entry)| target_policy(&name, entry)).collect();
    policies.sort_by(|a, b| a.target.cmp(&b.target));
    policies
}

/// Routing's view of all accounts, in name order.
pub fn account_limits(table: &EntryTable) -> Vec<AccountLimit> {
    let mut limits: Vec<_> =
        accounts(table).map(|(name, entry)| account_limit(&name, entry)).collect();
    limits.sort_by(|a, b| a.account.cmp(&b.account));
    limits
}

/// What shards need of targets and accounts.
pub fn job_policy(table: &EntryTable) -> JobPolicy {
    let mut policy = JobPolicy::default();
    for (name, entry) in targets(table) {
        let target = notch_jobs::prelude::TargetPolicy {
            lot_items: entry.batch.lot_items,
            floor_share: entry.batch.floor_share,
            open: !entry.retired && entry.class.takes_batch(),
            ..Default::default()
        };
        policy.targets.insert(name, target);
    }
    for (name, entry) in accounts(table) {
        let weight = entry.limits.batch_weight.round().max(1.0) as u32;
        if weight != 1 {
            policy.account_weights.insert(name, weight);
        }
    }
    policy
}

/// What placement needs of all models, in name order.
pub fn models_wanted(table: &EntryTable) -> Vec<ModelWanted> {
    let mut models: Vec<_> =
        targets(table).filter_map(|(name, entry)| model_wanted(&name, entry)).collect();
    models.sort_by(|a, b| a.model.cmp(&b.model));
    models
}

/// What placement needs of a target; `None` for one without a model.
fn model_wanted(name: &TargetName, entry: &TargetEntry) -> Option<ModelWanted> {
    let model = entry.model.as_ref()?;
    let replicas = if entry.retired { 0 } else { model.replicas };
    Some(ModelWanted {
        model: name.clone(),
        version: model.version.clone(),
        adapters: model.adapters.clone(),
        replicas,
        min_replicas: model.min_replicas,
        role: role_name(model.role).to_owned(),
    })
}

/// A role as engines know it.
fn role_name(role: ServingRole) -> &'static str {
    match role {
        ServingRole::Mixed => "mixed",
        ServingRole::Prefill => "prefill",
        ServingRole::Decode => "decode",
    }
}

/// The traffic side's view.
pub fn traffic_view(table: &EntryTable, ready: bool) -> TrafficView {
    let mut view = TrafficView { ready, ..TrafficView::default() };
    for (name, entry) in accounts(table) {
        view.accounts.insert(entry.key_sha256, &name);
    }
    let open = targets(table).filter(|(_, entry)| !entry.retired);
    view.targets = open.map(|(name, entry)| (name, entry.clone())).collect();
    view
}
