//! An engine's shared part: what tasks do to its state, each under one lock.

mod state;

use std::{
    sync::{Mutex, MutexGuard, OnceLock},
    time::Instant,
};

use async_channel::{Receiver, Sender};

use self::state::CoreState;
use super::{
    batch::{BatchModel, StepOutcome, StreamKey},
    protocol::{CacheEvent, EngineState, LoadBody, ModelsBody, OrderAnswer, OrderBody, OrderKind},
    settings::{EngineSettings, LoadedModel},
    stream::{FeedItem, StreamFeed, StreamPlan},
};
use crate::{runs::RunLog, served::ServedPort};

/// Why a request was not taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum TakeRefusal {
    /// Nothing of this model is loaded.
    NoModel,
    /// A stream of this id is there.
    IdInUse,
    /// The waiting list is full.
    Full,
    /// It could never fit.
    TooLong,
    /// The engine is away.
    Down,
}

/// An engine's shared state.
pub(super) struct EngineCore {
    pub(super) settings: EngineSettings,
    pub(super) runs: RunLog,
    /// Set once, right after the port was opened.
    pub(super) port: OnceLock<ServedPort>,
    /// Never held over an await.
    state: Mutex<CoreState>,
    /// Wakes the step loop when there is work; holds at most one token.
    wake: (Sender<()>, Receiver<()>),
}

/// A step that was begun and not ended yet.
pub(super) struct OpenStep {
    pub(super) outcome: StepOutcome,
    generation: u64,
    /// Whether it runs a request that crashes the engine.
    pub(super) crashes: bool,
}

impl EngineCore {
    pub(super) fn new(settings: EngineSettings) -> Self {
        let state = CoreState::new(&settings);
        Self {
            settings,
            runs: RunLog::default(),
            port: OnceLock::new(),
            state: Mutex::new(state),
            wake: async_channel::bounded(1),
        }
    }

    /// Takes a request in; the receiver gets its tokens.
    pub(super) fn take_request(
        &self,
        plan: StreamPlan,
    ) -> Result<(StreamKey, Receiver<FeedItem>), TakeRefusal> {
        let mut state = self.locked();
        state.check_request(&plan, &self.settings)?;
        let key = state.next_key;
        state.next_key += 1;
        let (sender, receiver) = async_channel::unbounded();
        state.keys.insert(plan.id.clone(), key);
        state.batch.enqueue(key, plan.spec.clone());
        state.feeds.insert(key, StreamFeed::new(plan, sender));
        drop(state);
        self.wake_loop();
        Ok((key, receiver))
    }

    /// Cancels a stream by its id; whether it was there.
    pub(super) fn cancel_id(&self, id: &str) -> bool {
        let mut state = self.locked();
        let Some(key) = state.keys.get(id).copied() else { return false };
        state.cancel(key);
        true
    }

    /// Cancels a request whose caller went away, if it is still there.
    pub(super) fn leave(&self, key: StreamKey) {
        self.locked().cancel(key);
    }

    /// Begins a step; `None` when there is nothing to do.
    pub(super) fn begin_step(&self) -> Option<OpenStep> {
        let mut state = self.locked();
        if state.batch.is_idle() {
            state.note_load();
            return None;
        }
        let outcome = state.batch.step();
        state.counts.steps += 1;
        state.counts.prefilled += outcome.prefilled;
        let mut crashes = false;
        for (key, cached) in &outcome.admitted {
            let Some(feed) = state.feeds.get_mut(key) else { continue };
            feed.usage.cached_tokens = *cached;
            crashes |= feed.plan.crashes;
            self.runs.count_start(&feed.plan.run_key);
        }
        state.note_load();
        state.note_events(self.settings.event_loss_per_mille);
        Some(OpenStep { outcome, generation: state.generation, crashes })
    }

    /// Hands out the tokens of a step whose time is over.
    pub(super) fn end_step(&self, step: OpenStep) {
        let mut state = self.locked();
        if state.generation != step.generation {
            return;
        }
        for (key, index, last) in step.outcome.made {
            if let Some(run_key) = state.hand_out(key, index, last) {
                self.runs.count_finish(&run_key);
            }
        }
    }

    /// Forgets everything, as a crash does; every stream breaks off.
    pub(super) fn crash(&self) {
        self.locked().crash(&self.settings);
    }

    /// Ends the time away after a crash.
    pub(super) fn come_back(&self) {
        self.locked().counts.down = false;
    }

    pub(super) fn set_frozen(&self, frozen: bool) {
        self.locked().counts.frozen = frozen;
    }

    pub(super) fn is_frozen(&self) -> bool {
        self.locked().counts.frozen
    }

    pub(super) fn is_stopped(&self) -> bool {
        self.locked().stopped
    }

    /// Ends the step loop and every connection.
    pub(super) fn shut_down(&self) {
        self.locked().stopped = true;
        if let Some(port) = self.port.get() {
            port.drop_server();
        }
        self.wake_loop();
    }

    /// Waits until there may be work.
    pub(super) async fn work(&self) {
        let _ = self.wake.1.recv().await;
    }

    fn wake_loop(&self) {
        // A full channel holds a wake-up already.
        let _ = self.wake.0.try_send(());
    }

    /// The newest load that is old enough.
    pub(super) fn late_load(&self) -> LoadBody {
        let state = self.locked();
        let due = Instant::now().checked_sub(self.settings.load_lag);
        let old_enough = |at: &Instant| due.is_some_and(|due| *at <= due);
        let reports = state.loads.iter().rev();
        let mut due_reports = reports.filter(|(at, _)| old_enough(at));
        let empty = BatchModel::new(&self.settings).load();
        due_reports.next().map_or(empty, |(_, load)| *load)
    }

    /// Cache events above `after` that are late enough.
    pub(super) fn late_events(&self, after: u64) -> Vec<CacheEvent> {
        let lag = self.settings.event_lag;
        let state = self.locked();
        let due =
            state.events.iter().filter(|(at, event)| event.number > after && at.elapsed() >= lag);
        due.map(|(_, event)| event.clone()).collect()
    }

    /// Checks an order's epoch; the newest epoch when it is too old.
    pub(super) fn fence(&self, epoch: u64) -> Result<(), u64> {
        let mut state = self.locked();
        if epoch >= state.epoch {
            state.epoch = epoch;
            return Ok(());
        }
        if self.settings.checks_epoch {
            state.counts.stale_orders_refused += 1;
            return Err(state.epoch);
        }
        state.counts.stale_orders_done += 1;
        Ok(())
    }

    /// Makes room for a load, in engines that hold no two versions at once.
    pub(super) fn begin_load(&self, model: &LoadedModel) {
        if self.settings.loaded_only {
            self.locked().models.remove(&model.model);
        }
    }

    /// Carries an order out.
    pub(super) fn carry_out(&self, order: OrderBody) -> OrderAnswer {
        let mut state = self.locked();
        match order.kind {
            OrderKind::Load(model) => {
                state.models.insert(model.model.clone(), model);
            }
            OrderKind::Unload { model } => {
                state.models.remove(&model);
            }
            OrderKind::Role { role } => state.role = role,
        }
        OrderAnswer { done: true, epoch: state.epoch }
    }

    pub(super) fn models(&self) -> ModelsBody {
        let state = self.locked();
        let models = state.models.values().cloned().collect();
        ModelsBody { models, role: state.role.clone(), epoch: state.epoch }
    }

    pub(super) fn engine_state(&self) -> EngineState {
        let state = self.locked();
        EngineState { load: state.batch.load(), ..state.counts }
    }

    fn locked(&self) -> MutexGuard<'_, CoreState> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}
