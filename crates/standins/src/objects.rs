//! The object API in memory, with its rates, its conditions and its faults.

pub(crate) mod serve;
mod table;

use std::{
    future::pending,
    sync::{Mutex, MutexGuard},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use async_channel::{Receiver, Sender};
use async_std::{future::timeout, task::sleep};
use futures_util::future::BoxFuture;
use notch_platform::{BudgetSettings, CallBudget, CallEnd, CallKind, CallMeter, ObjectApi};
use notch_types::{
    object::{ObjectVersion, StoreFailure, StoreOp, StoreReply, StoreResult, StoredObject},
    time::{MonoTime, WallTime},
};

use self::table::ObjectTable;
use crate::fault::{CallFate, FaultSwitch};

/// The rates and the size of the stand-in.
#[derive(Debug, Clone, PartialEq)]
pub struct MemorySettings {
    /// Writes and deletions a second, over all callers.
    pub writes_per_second: f64,
    /// Reads, listings and watches a second, over all callers.
    pub reads_per_second: f64,
    /// Seconds' worth of calls that may come at once.
    pub burst_seconds: f64,
    /// When called inside the process: a call without an answer ends as `Unknown` after this.
    pub time_limit: Duration,
    /// Seed of the faults drawn.
    pub seed: u64,
}

impl Default for MemorySettings {
    fn default() -> Self {
        Self {
            writes_per_second: 400.0,
            reads_per_second: 2_000.0,
            burst_seconds: 0.5,
            time_limit: Duration::from_secs(2),
            seed: 1,
        }
    }
}

/// The object API in memory. Versions rise over all objects and are never reused.
#[derive(Debug)]
pub struct MemoryObjects {
    settings: MemorySettings,
    faults: FaultSwitch,
    meter: CallMeter,
    started: Instant,
    /// Never held over an await.
    state: Mutex<MemoryState>,
}

#[derive(Debug)]
struct MemoryState {
    table: ObjectTable,
    writes: CallBudget,
    reads: CallBudget,
    /// One for each waiting watch; emptied at each change.
    waiting: Vec<Sender<()>>,
}

/// What a caller gets: a result, or silence.
pub(crate) type CallAnswer = Option<StoreResult>;

impl MemoryObjects {
    /// An empty store.
    pub fn new(settings: MemorySettings) -> Self {
        let budget = |calls_per_second: f64| {
            let burst = (calls_per_second * settings.burst_seconds).max(1.0);
            CallBudget::new(BudgetSettings { calls_per_second, burst }, MonoTime::default())
        };
        let state = MemoryState {
            table: ObjectTable::default(),
            writes: budget(settings.writes_per_second),
            reads: budget(settings.reads_per_second),
            waiting: Vec::new(),
        };
        Self {
            faults: FaultSwitch::new(settings.seed),
            meter: CallMeter::default(),
            started: Instant::now(),
            state: Mutex::new(state),
            settings,
        }
    }

    /// The switch of its faults.
    pub fn faults(&self) -> &FaultSwitch {
        &self.faults
    }

    /// Counts of the calls that came in.
    pub fn meter(&self) -> &CallMeter {
        &self.meter
    }

    /// Carries out one call; `None` when its answer is lost. A hung call never ends.
    pub(crate) async fn answer(&self, op: StoreOp) -> CallAnswer {
        let kind = CallKind::of(&op);
        if let Err(failure) = self.take_from_rate(kind) {
            return Some(Err(failure));
        }
        let (fate, slow_ms) = self.faults.next(kind);
        let half = Duration::from_millis(slow_ms) / 2;
        sleep(half).await;
        let answer = match fate {
            CallFate::Answered => Some(self.carry_out(op).await),
            CallFate::Refused => Some(Err(StoreFailure::Unavailable)),
            CallFate::LostBefore => None,
            CallFate::LostAfter => {
                let _ = self.carry_out(op).await;
                None
            }
            CallFate::Hung => pending().await,
        };
        sleep(half).await;
        answer
    }

    async fn carry_out(&self, op: StoreOp) -> StoreResult {
        let now = self.store_time();
        match op {
            StoreOp::Get { key } => self.locked().table.get(&key),
            StoreOp::Put { key, value, condition } => {
                let result = self.locked().table.put(&key, value, condition, now);
                self.wake_watches();
                result
            }
            StoreOp::Delete { key, condition } => {
                let result = self.locked().table.delete(&key, condition, now);
                self.wake_watches();
                result
            }
            StoreOp::List { prefix, after, limit } => {
                self.locked().table.list(&prefix, after.as_deref(), limit, now)
            }
            StoreOp::Watch { prefix, after, wait_ms } => {
                self.watch(&prefix, after, Duration::from_millis(wait_ms)).await
            }
        }
    }

    async fn watch(&self, prefix: &str, after: ObjectVersion, wait: Duration) -> StoreResult {
        let deadline = Instant::now() + wait;
        loop {
            let (objects, upto, change) = self.changes_or_wait(prefix, after);
            let left = deadline.saturating_duration_since(Instant::now());
            if !objects.is_empty() || left.is_zero() {
                return Ok(StoreReply::Changes { objects, upto });
            }
            let _ = timeout(left, change.recv()).await;
        }
    }

    /// Under one lock, so that no change slips between the look and the wait.
    fn changes_or_wait(
        &self,
        prefix: &str,
        after: ObjectVersion,
    ) -> (Vec<StoredObject>, ObjectVersion, Receiver<()>) {
        let (sender, receiver) = async_channel::bounded(1);
        let mut state = self.locked();
        let (objects, upto) = state.table.changes(prefix, after.0);
        if objects.is_empty() {
            // Without this a quiet store would keep a sender for each watch that ended by itself.
            state.waiting.retain(|waiting| !waiting.is_closed());
            state.waiting.push(sender);
        }
        (objects, upto, receiver)
    }

    fn wake_watches(&self) {
        // Dropping the senders ends each wait.
        self.locked().waiting.clear();
    }

    fn take_from_rate(&self, kind: CallKind) -> Result<(), StoreFailure> {
        let now = MonoTime(self.started.elapsed().as_micros() as u64);
        let mut state = self.locked();
        let budget = if kind.writes() { &mut state.writes } else { &mut state.reads };
        budget.take(now).map_err(|wait| StoreFailure::Throttled {
            retry_after_ms: u64::try_from(wait.as_millis()).unwrap_or(u64::MAX).saturating_add(1),
        })
    }

    /// The store's own clock.
    pub(crate) fn store_time(&self) -> WallTime {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        WallTime(since.as_millis() as u64)
    }

    fn locked(&self) -> MutexGuard<'_, MemoryState> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    pub(crate) fn count(&self, kind: CallKind, answer: &CallAnswer) {
        let end = answer.as_ref().map_or(CallEnd::Unknown, CallEnd::of);
        self.meter.record(kind, end);
    }
}

impl ObjectApi for MemoryObjects {
    fn call(&self, op: StoreOp) -> BoxFuture<'_, StoreResult> {
        let kind = CallKind::of(&op);
        let wait = match &op {
            StoreOp::Watch { wait_ms, .. } => Duration::from_millis(*wait_ms),
            _ => Duration::ZERO,
        };
        Box::pin(async move {
            let answer = timeout(self.settings.time_limit + wait, self.answer(op)).await;
            let answer = answer.unwrap_or(None);
            self.count(kind, &answer);
            answer.unwrap_or(Err(StoreFailure::Unknown))
        })
    }
}
