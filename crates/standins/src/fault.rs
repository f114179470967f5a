//! Faults of the object API, switched while it runs.

use std::sync::{Arc, Mutex, MutexGuard};

use notch_platform::CallKind;
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use serde::{Deserialize, Serialize};

/// Which faults are on. Several may be on together. Shares are drawn for each call.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct FaultSettings {
    /// Each call takes this long, milliseconds; a write takes effect half-way, also when its
    /// caller has given up by then.
    pub slow_ms: u64,
    /// Every call is refused without effect.
    pub down: bool,
    /// Watches hang: no answer, whatever changes.
    pub hung_watch: bool,
    /// Goes up and down by turns, this many calls each; 0 for never.
    pub flap_calls: u64,
    /// Of 1,000 calls, how many are refused without effect.
    pub refused_per_mille: u32,
    /// Of 1,000 calls, how many lose their request: no effect and no answer.
    pub lost_before_per_mille: u32,
    /// Of 1,000 calls, how many lose their answer after the effect.
    pub lost_after_per_mille: u32,
}

impl FaultSettings {
    /// The store is down.
    pub fn down() -> Self {
        Self { down: true, ..Self::default() }
    }

    /// Each call takes `slow_ms`.
    pub fn slow(slow_ms: u64) -> Self {
        Self { slow_ms, ..Self::default() }
    }

    /// Every answer is lost after the effect.
    pub fn lost_after() -> Self {
        Self { lost_after_per_mille: PER_MILLE, ..Self::default() }
    }

    /// Every request is lost before the effect.
    pub fn lost_before() -> Self {
        Self { lost_before_per_mille: PER_MILLE, ..Self::default() }
    }

    /// Watches hang.
    pub fn hung_watch() -> Self {
        Self { hung_watch: true, ..Self::default() }
    }

    /// Up and down by turns of `flap_calls` calls.
    pub fn flapping(flap_calls: u64) -> Self {
        Self { flap_calls, ..Self::default() }
    }
}

const PER_MILLE: u32 = 1_000;

/// What happens to one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallFate {
    /// It is carried out and answered.
    Answered,
    /// It is refused without effect.
    Refused,
    /// It has no effect and no answer.
    LostBefore,
    /// It has its effect and no answer.
    LostAfter,
    /// It never ends.
    Hung,
}

/// Draws the fate of each call. Clones share the switch.
#[derive(Debug, Clone)]
pub struct FaultSwitch {
    state: Arc<Mutex<SwitchState>>,
}

#[derive(Debug)]
struct SwitchState {
    settings: FaultSettings,
    random: SmallRng,
    /// Calls since the last change of the settings.
    calls: u64,
}

impl FaultSwitch {
    /// No fault yet; the same seed draws the same fates.
    pub fn new(seed: u64) -> Self {
        let random = SmallRng::seed_from_u64(seed);
        let state = SwitchState { settings: FaultSettings::default(), random, calls: 0 };
        Self { state: Arc::new(Mutex::new(state)) }
    }

    /// Puts `settings` in force for calls that come from now on.
    pub fn set(&self, settings: FaultSettings) {
        let mut state = self.locked();
        state.settings = settings;
        state.calls = 0;
    }

    /// No fault from now on.
    pub fn clear(&self) {
        self.set(FaultSettings::default());
    }

    /// What is in force.
    pub fn settings(&self) -> FaultSettings {
        self.locked().settings.clone()
    }

    /// The fate of the next call, and how long it takes, milliseconds.
    pub fn next(&self, kind: CallKind) -> (CallFate, u64) {
        let mut state = self.locked();
        let fate = state.draw(kind);
        state.calls += 1;
        (fate, state.settings.slow_ms)
    }

    fn locked(&self) -> MutexGuard<'_, SwitchState> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

impl SwitchState {
    fn draw(&mut self, kind: CallKind) -> CallFate {
        let drawn = self.random.random_range(0..PER_MILLE);
        let refused = self.settings.refused_per_mille;
        let lost_before = refused.saturating_add(self.settings.lost_before_per_mille);
        let lost_after = lost_before.saturating_add(self.settings.lost_after_per_mille);
        if self.is_down() || drawn < refused {
            CallFate::Refused
        } else if self.settings.hung_watch && kind == CallKind::Watch {
            CallFate::Hung
        } else if drawn < lost_before {
            CallFate::LostBefore
        } else if drawn < lost_after {
            CallFate::LostAfter
        } else {
            CallFate::Answered
        }
    }

    fn is_down(&self) -> bool {
        let turn = self.calls.checked_div(self.settings.flap_calls);
        self.settings.down || turn.is_some_and(|turn| turn % 2 == 1)
    }
}
