//! The object API over HTTP.

mod answer;
mod request;

use std::{
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use futures_util::future::BoxFuture;
use notch_types::{
    object::{StoreFailure, StoreOp, StoreResult},
    time::MonoTime,
};

use crate::{
    budget::{BudgetSettings, CallBudget},
    exchange::{ExchangeFailure, Exchanger},
    meter::{CallEnd, CallKind, CallMeter},
    object_api::ObjectApi,
};

/// How to reach the object API.
#[derive(Debug, Clone, PartialEq)]
pub struct ObjectsSettings {
    /// Where it answers, `ip:port`.
    pub address: String,
    /// Longest time for a call; a watch gets its own wait on top.
    pub time_limit: Duration,
    /// Calls that this process may make.
    pub budget: BudgetSettings,
}

impl Default for ObjectsSettings {
    fn default() -> Self {
        Self {
            address: "127.0.0.1:9470".to_string(),
            time_limit: Duration::from_secs(2),
            budget: BudgetSettings::default(),
        }
    }
}

/// The client of the object API.
///
/// Mapping of failures: a call that surely had no effect (never sent, or refused by the store
/// itself) is `Unavailable`; one that was sent and had no clear answer (time limit, cut
/// connection, a 5xx that doesn't deny its effect) is `Unknown`.
pub struct HttpObjects {
    exchanger: Exchanger,
    /// Never held over an await.
    budget: Mutex<CallBudget>,
    meter: Arc<CallMeter>,
    started: Instant,
}

impl HttpObjects {
    /// A client; connects at the first call.
    pub fn new(settings: ObjectsSettings) -> Self {
        let budget = CallBudget::new(settings.budget, MonoTime::default());
        Self {
            exchanger: Exchanger::new(&settings.address, settings.time_limit),
            budget: Mutex::new(budget),
            meter: Arc::default(),
            started: Instant::now(),
        }
    }

    /// Counts of the calls made.
    pub fn meter(&self) -> &Arc<CallMeter> {
        &self.meter
    }

    /// Calls a second over the last ten seconds.
    pub fn call_rate(&self) -> f64 {
        let now = self.now();
        self.locked_budget().rate(now)
    }

    fn now(&self) -> MonoTime {
        MonoTime(self.started.elapsed().as_micros() as u64)
    }

    fn locked_budget(&self) -> std::sync::MutexGuard<'_, CallBudget> {
        // The bucket's fields are plain numbers; a panic can't leave them unusable.
        self.budget.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn take_from_budget(&self) -> Result<(), StoreFailure> {
        let now = self.now();
        self.locked_budget().take(now).map_err(|wait| StoreFailure::Throttled {
            retry_after_ms: wait.as_millis().saturating_add(1).min(u128::from(u64::MAX)) as u64,
        })
    }

    async fn exchange(&self, op: StoreOp) -> StoreResult {
        self.take_from_budget()?;
        let subject = answer::CallSubject::of(&op);
        let request = request::request_of(&self.exchanger, op)?;
        match self.exchanger.send(request, subject.wait).await {
            Ok(answer) => answer::result_of(&subject, answer),
            Err(ExchangeFailure::NeverSent) => Err(StoreFailure::Unavailable),
            Err(ExchangeFailure::NoAnswer) => Err(StoreFailure::Unknown),
        }
    }
}

impl ObjectApi for HttpObjects {
    fn call(&self, op: StoreOp) -> BoxFuture<'_, StoreResult> {
        let kind = CallKind::of(&op);
        Box::pin(async move {
            let result = self.exchange(op).await;
            self.meter.record(kind, CallEnd::of(&result));
            result
        })
    }
}
