//! Applies changes of the targets' entries to a gateway's state.

use notch_platform_wire::{
    prelude::{DecodeError, StoreObject},
    store::ObjectMetadata,
    target::decode_entry,
};
use notch_relay::prelude::*;
use notch_types::prelude::*;

use super::EntryNode;
use crate::{
    online::origins,
    store::{
        feed_event::FeedEvent,
        target::{TargetChange, TargetFeed},
    },
};

impl EntryNode {
    /// Applies an event of the store's target feed.
    pub fn apply_target_event(&self, event: FeedEvent<'_>) {
        let now = self.clock.mono();
        let expiry_grace_until = self.store.outage().expiry_grace_until();
        let mut feed = self.target_feed();
        let changes = match event {
            FeedEvent::Snapshot { objects, as_of, .. } => {
                let mut changes = Vec::new();
                let mut entries = Vec::new();
                for object in &objects {
                    match decode_target(object) {
                        Ok(entry) => entries.push((entry, object.metadata.revision)),
                        Err(error) => changes.extend(self.refuse_target(&mut feed, object, &error)),
                    }
                }
                changes.extend(feed.apply_list(entries, as_of, expiry_grace_until, now));
                changes
            }
            FeedEvent::Changed { object } => {
                let change = match decode_target(object) {
                    Ok(entry) => feed.put(entry, object.metadata.revision),
                    Err(error) => self.refuse_target(&mut feed, object, &error),
                };
                change.into_iter().collect()
            }
            FeedEvent::Deleted { object, as_of } => {
                let id = &object.metadata.name;
                feed.remove(id, as_of, expiry_grace_until, now).into_iter().collect()
            }
            FeedEvent::Complete { as_of } => {
                feed.note_complete(as_of);
                Vec::new()
            }
        };
        let revision = feed.revision();
        drop(feed);
        self.apply_target_changes(changes, "store", revision);
    }

    /// Applies changes to the table that targets are chosen from.
    pub fn apply_target_changes(&self, changes: Vec<TargetChange>, source: &str, revision: u64) {
        for change in changes {
            match change {
                TargetChange::Put(entry) => self.put_target(entry, source, revision),
                TargetChange::Restart { before, entry } => {
                    self.targets().remove_restarted(&before, self.clock.mono());
                    let runs = self.jobs().cancel_runs_at(&before);
                    self.log.warn(
                        "target_restarted",
                        &[("target", &entry.id), ("before", &before), ("item_runs", &runs)],
                    );
                    self.metrics.count(Counter::Event("targets_restarted"));
                    self.put_target(entry, source, revision);
                    self.target_restarts.notify(usize::MAX);
                }
                TargetChange::Remove(id) => {
                    self.log.info(
                        "target_gone",
                        &[("target", &id), ("source", &source), ("revision", &revision)],
                    );
                    self.targets().remove(&id, self.clock.mono());
                }
            }
        }
        self.state_changed.notify(usize::MAX);
        self.runner_wake.notify(usize::MAX);
    }

    fn put_target(&self, entry: TargetEntry, source: &str, revision: u64) {
        let state = match entry.state {
            TargetState::Ready => "ready",
            TargetState::Draining => "draining",
        };
        self.log.info(
            "target_known",
            &[
                ("target", &entry.id),
                ("address", &entry.address),
                ("service", &entry.service),
                ("software", &entry.software_version),
                ("state", &state),
                ("source", &source),
                ("revision", &revision),
            ],
        );
        let now = self.clock.mono();
        let service = entry.service.clone();
        let mut targets = self.targets();
        let before = targets.version_view(&service, now);
        targets.put(entry, now);
        let after = targets.version_view(&service, now);
        drop(targets);
        if before != VersionView::Several && after == VersionView::Several {
            origins::publish(self, &service);
        }
    }

    /// Removes targets whose entries expired in a store outage and were not renewed after it.
    pub fn apply_expired(&self, changes: Vec<TargetChange>, revision: u64) {
        if !changes.is_empty() {
            self.apply_target_changes(changes, "lapsed", revision);
        }
    }

    /// Records an invalid target entry; it is logged once for each revision.
    fn refuse_target(
        &self,
        feed: &mut TargetFeed,
        object: &StoreObject,
        error: &DecodeError,
    ) -> Option<TargetChange> {
        let ObjectMetadata { name, revision } = &object.metadata;
        let (is_new_revision, change) = feed.refuse(name, *revision);
        if is_new_revision {
            self.log.error(
                "target_entry_refused",
                &[("target", name), ("revision", revision), ("reason", error)],
            );
            self.metrics.count(Counter::Event("target_entries_refused"));
        }
        change
    }
}

fn decode_target(object: &StoreObject) -> Result<TargetEntry, DecodeError> {
    let spec = object.spec.as_ref().ok_or(DecodeError::Field("spec"))?;
    decode_entry(&object.metadata.name, spec)
}
