//! The object API in memory, with its rates, its conditions and its faults.

pub(crate) mod serve;
mod table;

use std::{
    future::pending,
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use async_channel::{Receiver, Sender};
use async_std::{
    future::timeout,
    task::{self, sleep},
};
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
    state: SharedState,
}

/// Never locked over an await.
type SharedState = Arc<Mutex<MemoryState>>;

#[derive(Debug)]
struct MemoryState {
    table: ObjectTable,
    writes: CallBudget,
    reads: CallBudget,
    /// One for each waiting watch; emptied at each change.
    waiting: Vec<Sender<()>>,
    /// Writes that were received and haven't taken effect.
    late_writes: usize,
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
            late_writes: 0,
        };
        Self {
            faults: FaultSwitch::new(settings.seed),
            meter: CallMeter::default(),
            started: Instant::now(),
            state: Arc::new(Mutex::new(state)),
            settings,
        }
    }

    /// The switch of its faults.
    pub fn faults(&self) -> &FaultSwitch {
        &self.faults
    }

    /// Counts of the calls that ended; one that hangs isn't counted.
    pub fn meter(&self) -> &CallMeter {
        &self.meter
    }

    /// Watches that wait now.
    pub fn waiting_watches(&self) -> usize {
        self.locked().waiting.iter().filter(|waiting| !waiting.is_closed()).count()
    }

    /// Writes that were received and haven't taken effect yet.
    pub fn late_writes(&self) -> usize {
        self.locked().late_writes
    }

    /// Carries out one call; `None` when its answer is lost. A hung call never ends.
    pub(crate) async fn answer(&self, op: StoreOp) -> CallAnswer {
        let kind = CallKind::of(&op);
        if let Err(failure) = self.take_from_rate(kind) {
            return Some(Err(failure));
        }
        let (fate, slow_ms) = self.faults.next(kind);
        let half = Duration::from_millis(slow_ms) / 2;
        let answer = match fate {
            CallFate::Answered => Some(self.carry_out(op, half).await),
            CallFate::Refused => Some(Err(StoreFailure::Unavailable)),
            CallFate::LostBefore => None,
            CallFate::LostAfter => {
                let _ = self.carry_out(op, half).await;
                None
            }
            CallFate::Hung => pending().await,
        };
        sleep(half).await;
        answer
    }

    async fn carry_out(&self, op: StoreOp, delay: Duration) -> StoreResult {
        if CallKind::of(&op).writes() {
            // In a task of its own: a write that was received takes effect, if late, when its
            // caller has given up.
            return task::spawn(write_late(self.state.clone(), op, delay)).await;
        }
        sleep(delay).await;
        match op {
            StoreOp::Get { key } => self.locked().table.get(&key),
            StoreOp::List { prefix, after, limit } => {
                self.locked().table.list(&prefix, after.as_deref(), limit, store_time())
            }
            StoreOp::Watch { prefix, after, wait_ms } => {
                self.watch(&prefix, after, Duration::from_millis(wait_ms)).await
            }
            StoreOp::Put { .. } | StoreOp::Delete { .. } => Err(StoreFailure::Malformed),
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

    fn take_from_rate(&self, kind: CallKind) -> Result<(), StoreFailure> {
        let now = MonoTime(self.started.elapsed().as_micros() as u64);
        let mut state = self.locked();
        let budget = if kind.writes() { &mut state.writes } else { &mut state.reads };
        budget.take(now).map_err(|wait| StoreFailure::Throttled {
            retry_after_ms: u64::try_from(wait.as_millis()).unwrap_or(u64::MAX).saturating_add(1),
        })
    }

    fn locked(&self) -> MutexGuard<'_, MemoryState> {
        locked(&self.state)
    }

    pub(crate) fn count(&self, kind: CallKind, answer: &CallAnswer) {
        let end = answer.as_ref().map_or(CallEnd::Unknown, CallEnd::of);
        self.meter.record(kind, end);
    }
}

fn locked(state: &SharedState) -> MutexGuard<'_, MemoryState> {
    state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// The store's own clock.
pub(crate) fn store_time() -> WallTime {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    WallTime(since.as_millis() as u64)
}

async fn write_late(shared: SharedState, op: StoreOp, delay: Duration) -> StoreResult {
    locked(&shared).late_writes += 1;
    sleep(delay).await;
    let mut state = locked(&shared);
    state.late_writes -= 1;
    let result = match op {
        StoreOp::Put { key, value, condition } => {
            state.table.put(&key, value, condition, store_time())
        }
        StoreOp::Delete { key, condition } => state.table.delete(&key, condition, store_time()),
        StoreOp::Get { .. } | StoreOp::List { .. } | StoreOp::Watch { .. } => {
            Err(StoreFailure::Malformed)
        }
    };
    // Dropping the senders ends each wait.
    state.waiting.clear();
    result
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
