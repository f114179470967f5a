//! What is behind an engine's lock.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Instant,
};

use notch_types::hash::FastMap;
use rand::{RngExt, SeedableRng, rngs::SmallRng};

use super::TakeRefusal;
use crate::engine::{
    batch::{BatchModel, StreamKey},
    protocol::{CacheEvent, EngineState, FinishReason, LoadBody},
    settings::{EngineSettings, LoadedModel},
    stream::{FeedItem, StreamFeed, StreamPlan},
    text::token_text,
};

/// Cache events kept for readers; older ones are lost to them.
const MAX_EVENTS: usize = 4_096;
/// Load reports kept until they are old enough to be told.
const MAX_LOADS: usize = 1_024;

/// Everything that a step, a request or an order changes.
pub(super) struct CoreState {
    pub(super) batch: BatchModel,
    /// One for each request in `batch`, and for those whose last token is being made.
    pub(super) feeds: BTreeMap<StreamKey, StreamFeed>,
    /// The keys of `feeds` by stream id; same size.
    pub(super) keys: FastMap<String, StreamKey>,
    pub(super) next_key: StreamKey,
    pub(super) models: BTreeMap<String, LoadedModel>,
    pub(super) role: String,
    pub(super) epoch: u64,
    /// At most [`MAX_LOADS`], oldest first.
    pub(super) loads: VecDeque<(Instant, LoadBody)>,
    /// At most [`MAX_EVENTS`], oldest first.
    pub(super) events: VecDeque<(Instant, CacheEvent)>,
    pub(super) random: SmallRng,
    pub(super) counts: EngineState,
    /// Rises at each crash; a step begun before one is dropped.
    pub(super) generation: u64,
    pub(super) stopped: bool,
}

impl CoreState {
    pub(super) fn new(settings: &EngineSettings) -> Self {
        Self {
            batch: BatchModel::new(settings),
            feeds: BTreeMap::new(),
            keys: FastMap::default(),
            next_key: 1,
            models: models_of(settings),
            role: String::new(),
            epoch: 0,
            loads: VecDeque::new(),
            events: VecDeque::new(),
            random: SmallRng::seed_from_u64(settings.seed),
            counts: EngineState::default(),
            generation: 0,
            stopped: false,
        }
    }

    /// Forgets all that a crash takes.
    pub(super) fn crash(&mut self, settings: &EngineSettings) {
        self.generation += 1;
        self.counts.crashes += 1;
        self.counts.down = true;
        self.batch = BatchModel::new(settings);
        self.feeds.clear();
        self.keys.clear();
        self.models = models_of(settings);
        self.role.clear();
        self.epoch = 0;
        self.loads.clear();
        self.events.clear();
    }

    pub(super) fn check_request(
        &self,
        plan: &StreamPlan,
        settings: &EngineSettings,
    ) -> Result<(), TakeRefusal> {
        if self.counts.down || self.stopped {
            return Err(TakeRefusal::Down);
        }
        let is_strict = settings.loaded_only || !settings.models.is_empty();
        if is_strict && !self.models.contains_key(&plan.model) {
            return Err(TakeRefusal::NoModel);
        }
        if self.keys.contains_key(&plan.id) {
            return Err(TakeRefusal::IdInUse);
        }
        if !self.batch.fits(&plan.spec) {
            return Err(TakeRefusal::TooLong);
        }
        if self.batch.waiting() >= settings.waiting {
            return Err(TakeRefusal::Full);
        }
        Ok(())
    }

    pub(super) fn cancel(&mut self, key: StreamKey) {
        self.batch.cancel(key);
        if let Some(feed) = self.forget(key) {
            self.counts.cancelled += 1;
            feed.end(FinishReason::Cancelled);
        }
    }

    pub(super) fn forget(&mut self, key: StreamKey) -> Option<StreamFeed> {
        let feed = self.feeds.remove(&key)?;
        self.keys.remove(&feed.plan.id);
        Some(feed)
    }

    /// Hands out one token; the run's key after the last one.
    pub(super) fn hand_out(&mut self, key: StreamKey, index: u32, last: bool) -> Option<String> {
        let feed = self.feeds.get_mut(&key)?;
        self.counts.tokens += 1;
        feed.usage.completion_tokens += 1;
        let text = token_text(feed.plan.digest, index);
        let gone = feed.sender.try_send(FeedItem::Token(text)).is_err();
        if gone {
            self.cancel(key);
            return None;
        }
        if !last {
            return None;
        }
        let feed = self.forget(key)?;
        feed.end(FinishReason::Length);
        Some(feed.plan.run_key)
    }

    pub(super) fn note_load(&mut self) {
        let load = self.batch.load();
        if self.loads.back().is_some_and(|(_, newest)| *newest == load) {
            return;
        }
        if self.loads.len() == MAX_LOADS {
            self.loads.pop_front();
        }
        self.loads.push_back((Instant::now(), load));
    }

    pub(super) fn note_events(&mut self, loss_per_mille: u32) {
        let now = Instant::now();
        for event in self.batch.take_events() {
            if self.random.random_range(0..1_000) < loss_per_mille {
                continue;
            }
            if self.events.len() == MAX_EVENTS {
                self.events.pop_front();
            }
            self.events.push_back((now, event));
        }
    }
}

pub(super) fn models_of(settings: &EngineSettings) -> BTreeMap<String, LoadedModel> {
    settings.models.iter().map(|model| (model.model.clone(), model.clone())).collect()
}
