//! Facts that spread: for each topic the highest version.

use std::{collections::BTreeMap, time::Duration};

use notch_messages::gossip::{Rumor, RumorTopic};
use notch_types::prelude::*;

use super::news::NewsQueue;
use crate::settings::MembershipSettings;

/// A fact held.
#[derive(Debug)]
struct HeldRumor {
    rumor: Rumor,
    since: MonoTime,
}

/// All facts held, and those that still have to travel.
///
/// Invariant: for each topic the version only rises while the fact is held.
/// Bounds: `max_rumors` facts of `max_rumor_bytes`; the one held longest makes room, and each
/// expires when nobody renews it.
#[derive(Debug)]
pub(crate) struct RumorBook {
    rumors: BTreeMap<RumorTopic, HeldRumor>,
    queue: NewsQueue<RumorTopic>,
    max_rumors: usize,
    max_bytes: usize,
    expiry: Duration,
}

impl RumorBook {
    pub(crate) fn new(settings: &MembershipSettings) -> Self {
        Self {
            rumors: BTreeMap::new(),
            queue: NewsQueue::new(),
            max_rumors: settings.max_rumors,
            max_bytes: settings.max_rumor_bytes,
            expiry: settings.rumor_expiry,
        }
    }

    pub(crate) fn get(&self, topic: &RumorTopic) -> Option<&Rumor> {
        self.rumors.get(topic).map(|held| &held.rumor)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Rumor> {
        self.rumors.values().map(|held| &held.rumor)
    }

    /// Takes a fact if it is newer than the one held; whether it was.
    pub(crate) fn take_in(&mut self, now: MonoTime, rumor: &Rumor, urgent: bool) -> bool {
        let held = self.rumors.get(&rumor.topic).map(|held| held.rumor.version);
        if held >= Some(rumor.version) || rumor.value.len() > self.max_bytes {
            return false;
        }
        if held.is_none() && self.rumors.len() >= self.max_rumors {
            self.make_room();
        }
        let fact = HeldRumor { rumor: rumor.clone(), since: now };
        self.rumors.insert(rumor.topic.clone(), fact);
        self.queue.add(&rumor.topic, urgent);
        true
    }

    /// Facts to ride on a message.
    pub(crate) fn ride(&mut self, count: usize, limit: u32) -> Vec<Rumor> {
        let topics = self.queue.take(count, limit);
        topics.iter().filter_map(|topic| self.get(topic)).cloned().collect()
    }

    /// Facts to push.
    pub(crate) fn push(&mut self, count: usize) -> Vec<Rumor> {
        let topics = self.queue.take_urgent(count);
        topics.iter().filter_map(|topic| self.get(topic)).cloned().collect()
    }

    pub(crate) fn is_urgent(&self) -> bool {
        self.queue.is_urgent()
    }

    /// Forgets facts that nobody renewed.
    pub(crate) fn expire(&mut self, now: MonoTime) {
        let expiry = self.expiry;
        let queue = &mut self.queue;
        self.rumors.retain(|topic, held| {
            let stays = now.since(held.since) < expiry;
            if !stays {
                queue.remove(topic);
            }
            stays
        });
    }

    fn make_room(&mut self) {
        let oldest = self.rumors.iter().min_by_key(|(_, held)| held.since);
        let Some(topic) = oldest.map(|(topic, _)| topic.clone()) else { return };
        self.rumors.remove(&topic);
        self.queue.remove(&topic);
    }
}
