//! A weight store that gives permits at a bounded rate.

use std::{
    collections::BTreeSet,
    sync::{Mutex, MutexGuard},
    time::Instant,
};

use futures_util::future::BoxFuture;
use notch_platform::{
    BudgetSettings, CallBudget, LoadPermit, PermitFailure, PermitRequest, WeightPermits,
};
use notch_types::time::MonoTime;

/// What the weight store gives.
#[derive(Debug, Clone, PartialEq)]
pub struct WeightsSettings {
    /// Permits a second.
    pub permits_per_second: f64,
    /// Most permits at once.
    pub burst: f64,
    /// How long a permit may be used, milliseconds.
    pub valid_ms: u64,
    /// The (model, version) pairs it holds; empty for any.
    pub known: BTreeSet<(String, String)>,
}

impl Default for WeightsSettings {
    fn default() -> Self {
        Self { permits_per_second: 2.0, burst: 2.0, valid_ms: 30_000, known: BTreeSet::new() }
    }
}

/// The desk that gives permits.
#[derive(Debug)]
pub struct PermitDesk {
    settings: WeightsSettings,
    started: Instant,
    state: Mutex<DeskState>,
}

#[derive(Debug)]
struct DeskState {
    budget: CallBudget,
    given: u64,
    down: bool,
}

impl PermitDesk {
    /// A desk that has given nothing yet.
    pub fn new(settings: WeightsSettings) -> Self {
        let rate = settings.permits_per_second;
        let limits = BudgetSettings { calls_per_second: rate, burst: settings.burst };
        let budget = CallBudget::new(limits, MonoTime::default());
        let state = Mutex::new(DeskState { budget, given: 0, down: false });
        Self { settings, started: Instant::now(), state }
    }

    /// Permits given so far.
    pub fn given(&self) -> u64 {
        self.locked().given
    }

    /// Switches the desk off, or on again.
    pub fn set_down(&self, down: bool) {
        self.locked().down = down;
    }

    /// Gives a permit, or says why not.
    pub fn give(&self, request: &PermitRequest) -> Result<LoadPermit, PermitFailure> {
        let now = MonoTime(self.started.elapsed().as_micros() as u64);
        let mut state = self.locked();
        if state.down {
            return Err(PermitFailure::Unavailable);
        }
        if !self.holds(request) {
            return Err(PermitFailure::NoSuchVersion);
        }
        state.budget.take(now).map_err(|wait| PermitFailure::Throttled {
            retry_after_ms: u64::try_from(wait.as_millis()).unwrap_or(u64::MAX).saturating_add(1),
        })?;
        state.given += 1;
        Ok(LoadPermit { permit: state.given, valid_ms: self.settings.valid_ms })
    }

    fn holds(&self, request: &PermitRequest) -> bool {
        let pair = (request.model.as_str().to_string(), request.version.clone());
        self.settings.known.is_empty() || self.settings.known.contains(&pair)
    }

    fn locked(&self) -> MutexGuard<'_, DeskState> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

impl WeightPermits for PermitDesk {
    fn ask(&self, request: PermitRequest) -> BoxFuture<'_, Result<LoadPermit, PermitFailure>> {
        Box::pin(async move { self.give(&request) })
    }
}
