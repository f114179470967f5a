//! A job owned by this gateway.

mod handover;

use std::{sync::Arc, time::Duration};

use notch_types::prelude::*;

use crate::item_slots::preemption::slack_ms;
use crate::jobs::{
    item_end::ItemEnd,
    item_progress::{ItemPhase, ItemProgress},
    ownership::OwnershipGeneration,
    pending_write::PendingWrite,
    result::{ItemState, ResultLine},
    run_time::ItemRunTime,
    spec::{ItemSpec, JobSpec},
};

/// Delay before an item is retried after a failed run. Without it, a target that fails at once
/// would use up all attempts within moments.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Delay before an item is retried after a target rejected it although it was believed to have a
/// free slot.
const NOT_RUN_PAUSE: Duration = Duration::from_millis(100);
/// Delay before an item is retried after it was preempted by online work: a peak of requests lasts
/// longer than that.
const PREEMPTED_PAUSE: Duration = Duration::from_millis(200);
/// Maximum number of doublings of the delay after runs interrupted without an event, for a delay of
/// up to 10 s. Without this backoff, an item that crashes each target running it would take down
/// one target of the fleet after another.
const MAX_DOUBLINGS: u32 = 6;
/// Divisor of the time left until the job is due, or then until its items may be given up: the maximum of that delay. An
/// item that met many crashes must be placed while it can still be done.
const MAX_PAUSE_DIVISOR: u32 = 4;
/// Divisor of the time left until the job is due: the maximum delay of a result that waits for
/// others.
const MAX_DELAY_DIVISOR: u32 = 8;
/// Remaining lifetime below which an item runs before others even if it is late, since it would
/// otherwise be given up without a run.
const EXPIRY_PRIORITY_WINDOW: Duration = Duration::from_secs(10);
/// Largest output that is held of an item whose run ended early. Its next run starts anew otherwise: targets that write
/// without end would fill the memory of the gateway with what they wrote for many items.
const MAX_HELD_OUTPUT: usize = 256 << 10;
/// Divisor of an item's expected run time if it has progress already.
const PROGRESS_DIVISOR: u32 = 2;
/// Added to an item's lifetime before it is given up, to allow for differing wall clocks of two
/// VMs.
const LIFETIME_MARGIN: Duration = Duration::from_secs(3);
/// Smallest size to which objects of results are reduced that the store refuses.
const MIN_WRITE_BYTES: usize = 4 << 10;
/// Longest time for which results are collected.
const MAX_REFUSED_WAIT: Duration = Duration::from_secs(60);

/// A job that this gateway runs and whose result list it extends.
#[derive(Debug)]
pub struct OwnedJob {
    spec: Arc<JobSpec>,
    /// When all results are due.
    due: MonoTime,
    /// From when on items may be given up.
    expires: MonoTime,
    items: Vec<ItemProgress>,
    /// Stored results in order. Invariant: only grows, with at most one result for each item.
    results: Vec<Arc<ResultLine>>,
    /// Results that are not stored yet.
    pending: Vec<Arc<ResultLine>>,
    /// Fences at the end of the stored list, each written by a gateway that took over the job
    /// there.
    fences: u32,
    /// Number of results at the front of `pending` that are being stored.
    storing: usize,
    /// When that write began. It may have taken effect without an answer.
    storing_since: MonoTime,
    /// Since when the oldest pending result has waited.
    pending_since: MonoTime,
    /// Most bytes of a write, below what the store has refused.
    write_limit: usize,
    /// Generation from which on a confirmation of ownership counts.
    required: OwnershipGeneration,
    /// Generation in which the latest confirmation of ownership was requested.
    confirmed: OwnershipGeneration,
    /// Whether another gateway wrote at the position where this one wanted to, or may have taken the
    /// job over while this gateway's own entry was gone, and ownership has not been confirmed by a
    /// request made since then. Invariant: nothing is stored meanwhile. If
    /// a former owner continued after a fence that it found, it would extend the list that the new
    /// owner considers its own.
    is_displaced: bool,
    /// Whether the store refuses whatever is written of the first pending result. Nothing more is written then.
    is_unstorable: bool,
    /// Whether the client ended the job, so that none of its items runs any more.
    ended: bool,
}

impl OwnedJob {
    /// Creates the state of a job taken at `now` with the `results` stored so far.
    pub fn new(spec: Arc<JobSpec>, results: Vec<Arc<ResultLine>>, now: Now) -> Self {
        let age = Duration::from_millis(now.wall.0.saturating_sub(spec.accepted_at.0));
        let due = now.mono + spec.terms.due.saturating_sub(age);
        let lifetime = spec.terms.item_lifetime + LIFETIME_MARGIN;
        let expires = now.mono + lifetime.saturating_sub(age);
        let listed: FastSet<&str> = results.iter().map(|line| line.id.as_str()).collect();
        let items = spec.items.iter().map(|item| ItemProgress::new(listed.contains(&*item.id)));
        Self {
            due,
            expires,
            items: items.collect(),
            results,
            fences: 0,
            pending: Vec::new(),
            storing: 0,
            storing_since: now.mono,
            pending_since: now.mono,
            write_limit: usize::MAX,
            required: OwnershipGeneration::default(),
            confirmed: OwnershipGeneration::default(),
            is_displaced: false,
            is_unstorable: false,
            ended: false,
            spec,
        }
    }

    /// The job as accepted.
    pub fn spec(&self) -> &Arc<JobSpec> {
        &self.spec
    }

    /// When all results are due.
    pub fn due(&self) -> MonoTime {
        self.due
    }

    /// Stored results.
    pub fn results(&self) -> &[Arc<ResultLine>] {
        &self.results
    }

    /// Fences at the end of the stored list, including this gateway's own if it took over the job
    /// there.
    pub fn fences(&self) -> u32 {
        self.fences
    }

    /// Sets the number of fences at the end of the stored list.
    pub fn set_fences(&mut self, fences: u32) {
        self.fences = fences;
    }

    /// Whether the client ended the job.
    pub fn is_ended(&self) -> bool {
        self.ended
    }

    /// Whether no work is left: the results of all items are stored, or the client ended the job.
    pub fn is_closed(&self) -> bool {
        self.ended || self.results.len() >= self.spec.items.len()
    }

    /// Ends the job at the client's request.
    pub fn end(&mut self) {
        self.ended = true;
    }

    /// Selects the next item to run at `now`. The item with the most output comes first, since that
    /// output is held in memory.
    pub fn next_item(&self, now: MonoTime) -> Option<usize> {
        if self.ended {
            return None;
        }
        let ready = |item: &ItemProgress| matches!(item.phase, ItemPhase::Waiting(at) if at <= now);
        let mut candidates = self.items.iter().enumerate().filter(|(_, item)| ready(item));
        let first = candidates.next()?;
        let best = candidates.fold(first, |best, next| {
            if next.1.output.len() > best.1.output.len() { next } else { best }
        });
        Some(best.0)
    }

    /// Indices of all items that may start at `now`, each with the size of its output so far.
    pub fn ready_items(&self, now: MonoTime) -> impl Iterator<Item = (usize, usize)> {
        let items = self.items.iter().enumerate().filter(|_| !self.ended);
        let ready = items
            .filter(move |(_, item)| matches!(item.phase, ItemPhase::Waiting(at) if at <= now));
        ready.map(|(index, item)| (index, item.output.len()))
    }

    /// Whether a target has run an item and reported a failure.
    pub fn has_failed(&self, index: usize) -> bool {
        self.items[index].failed.count > 0
    }

    /// Time left until the job is due after a run of an item that begins at `now`, milliseconds;
    /// negative if the run is likely to end late.
    pub fn slack_ms(&self, index: usize, run_time: &ItemRunTime, now: MonoTime) -> i64 {
        slack_ms(self.due, self.needed(index, run_time), now)
    }

    /// Whether a run of an item that begins at `now` is likely to end after the job is due. An item
    /// whose lifetime is nearly over is not considered late, since it would be given up.
    pub fn is_late(&self, index: usize, run_time: &ItemRunTime, now: MonoTime) -> bool {
        let needed = self.needed(index, run_time);
        now + needed > self.due && now + EXPIRY_PRIORITY_WINDOW < self.expires
    }

    /// Expected time of a run of an item that begins now.
    fn needed(&self, index: usize, run_time: &ItemRunTime) -> Duration {
        let item_time = run_time.expected(self.spec.items[index].answer.expected());
        let has_progress = self.items[index].last_event.is_some();
        if has_progress { item_time / PROGRESS_DIVISOR } else { item_time }
    }

    /// Run time on one slot of the items that can still be done in time. A running item counts with
    /// a part of its run time; items that would end late give way to others.
    pub fn timely_work(&self, run_time: &ItemRunTime, now: MonoTime) -> Duration {
        if self.ended || self.due <= now {
            return Duration::ZERO;
        }
        let items = self.items.iter().enumerate();
        let timely = items.filter(|(index, item)| match item.phase {
            ItemPhase::Waiting(_) => !self.is_late(*index, run_time, now),
            ItemPhase::Running => true,
            ItemPhase::Ended => false,
        });
        let needed = timely.map(|(index, item)| {
            let whole = run_time.expected_or_default(self.spec.items[index].answer.expected());
            let is_begun = item.phase == ItemPhase::Running || item.last_event.is_some();
            if is_begun { whole / PROGRESS_DIVISOR } else { whole }
        });
        needed.sum()
    }

    /// Software version at which alone an item can go on; `None` if it holds no events.
    pub fn item_version(&self, index: usize) -> Option<&str> {
        let item = &self.items[index];
        item.last_event.map(|_| item.version.as_str())
    }

    /// Marks an item as running at a target with software `version`. Returns its spec and the last
    /// event held. The events of another version are discarded.
    pub fn start_item(&mut self, index: usize, version: &str) -> (ItemSpec, Option<u64>) {
        let item = &mut self.items[index];
        item.phase = ItemPhase::Running;
        if item.version != version {
            item.version = version.to_owned();
            item.last_event = None;
            item.output.clear();
        }
        (self.spec.items[index].clone(), item.last_event)
    }

    /// Adds the output of a run: the data of events up to `last_event`, joined by line feeds.
    pub fn add_progress(&mut self, index: usize, last_event: u64, data: &[u8]) {
        let item = &mut self.items[index];
        if item.phase == ItemPhase::Ended {
            return;
        }
        if item.last_event.is_some() {
            item.output.push(b'\n');
        }
        item.output.extend_from_slice(data);
        item.last_event = Some(last_event);
        item.interruptions = 0;
    }

    /// Handles the end of a run of an item.
    pub fn end_item(&mut self, index: usize, end: &ItemEnd, now: MonoTime) {
        if let ItemEnd::Failed { run } = end {
            self.note_failure(index, *run, now);
        }
        let item = &mut self.items[index];
        if item.phase == ItemPhase::Ended {
            return;
        }
        if *end != ItemEnd::Completed && item.output.len() > MAX_HELD_OUTPUT {
            item.last_event = None;
            item.output = Vec::new();
        }
        match end {
            ItemEnd::Completed => {
                let output = std::mem::take(&mut item.output);
                self.finish(index, ItemState::Completed, output, now);
            }
            ItemEnd::Impossible => {
                item.failed.is_impossible = true;
                self.finish(index, ItemState::GivenUp, Vec::new(), now);
            }
            ItemEnd::Failed { .. } => item.phase = ItemPhase::Waiting(now + RETRY_PAUSE),
            ItemEnd::Interrupted => {
                let doublings = item.interruptions.min(MAX_DOUBLINGS);
                item.interruptions += 1;
                let left = if now < self.due { self.due } else { self.expires }.since(now);
                let pause = RETRY_PAUSE * 2_u32.pow(doublings);
                let pause = pause.min(left / MAX_PAUSE_DIVISOR).max(RETRY_PAUSE);
                item.phase = ItemPhase::Waiting(now + pause);
            }
            ItemEnd::NotRun => item.phase = ItemPhase::Waiting(now + NOT_RUN_PAUSE),
            ItemEnd::Preempted => item.phase = ItemPhase::Waiting(now + PREEMPTED_PAUSE),
        }
    }

    /// Delays the start of a waiting item until `until`.
    pub fn defer_item(&mut self, index: usize, until: MonoTime) {
        let item = &mut self.items[index];
        if matches!(item.phase, ItemPhase::Waiting(_)) {
            item.phase = ItemPhase::Waiting(until);
        }
    }

    /// Gives up every item that is not running if the items' lifetime is over at `now` or the job's
    /// route is gone. Returns how many.
    pub fn give_up_items(&mut self, route_gone: bool, now: MonoTime) -> usize {
        if !route_gone && now < self.expires {
            return 0;
        }
        let is_waiting = |index: &usize| matches!(self.items[*index].phase, ItemPhase::Waiting(_));
        let waiting: Vec<usize> = (0..self.items.len()).filter(is_waiting).collect();
        for index in &waiting {
            self.finish(*index, ItemState::GivenUp, Vec::new(), now);
        }
        waiting.len()
    }

    /// Returns pending results to be stored now, if no write is in progress and they have waited
    /// for `delay` or complete the job. Their output is limited to `bytes`, but at least one result
    /// is returned. Until [`stored`](Self::stored) or [`displaced`](Self::displaced), the same
    /// results remain at the front: a write without an answer may still take effect, so it may only
    /// be retried with the same bytes at the same position.
    pub fn take_pending(
        &mut self,
        delay: Duration,
        bytes: usize,
        now: MonoTime,
    ) -> Option<PendingWrite> {
        let is_blocked = self.ended || self.is_displaced || self.is_unstorable;
        if self.storing > 0 || self.pending.is_empty() || is_blocked {
            return None;
        }
        // Near the due time, a result only counts if it is stored at once.
        let delay = delay.min(self.due.since(now) / MAX_DELAY_DIVISOR);
        let completes = self.results.len() + self.pending.len() >= self.spec.items.len();
        if !completes && now.since(self.pending_since) < delay {
            return None;
        }
        let bytes = bytes.min(self.write_limit);
        let lines = ResultLine::fitting(&self.pending, bytes).to_vec();
        self.storing = lines.len();
        self.storing_since = now;
        Some(PendingWrite { lines, bytes })
    }

    /// Records that the store refused the results taken last for good, written in objects of at most `bytes`. They are
    /// written in smaller ones; a result that is refused even so is given up, so that those behind it go on. Returns its
    /// item's id in that case.
    pub fn refused(&mut self, bytes: usize, now: MonoTime) -> Option<String> {
        let lines = &self.pending[..self.storing];
        let written: usize = lines.iter().map(|line| line.json_bytes()).sum();
        self.storing = 0;
        self.write_limit = written.min(bytes) / 2;
        // What is still to be written has waited long enough.
        self.pending_since = now - MAX_REFUSED_WAIT;
        if self.write_limit >= MIN_WRITE_BYTES {
            return None;
        }
        self.write_limit = usize::MAX;
        let line = self.pending.first_mut()?;
        let id = line.id.clone();
        let is_bare = line.output.is_empty();
        *line = Arc::new(ResultLine {
            id: id.clone(),
            state: ItemState::GivenUp,
            output: String::new(),
        });
        // Nothing smaller is left to be written.
        self.is_unstorable |= is_bare;
        Some(id)
    }

    /// Whether a write of results has been in progress since `before` or earlier.
    pub fn is_storing_since(&self, before: MonoTime) -> bool {
        self.storing > 0 && self.storing_since <= before
    }

    /// Records that the results taken last were stored at the end of the list.
    pub fn stored(&mut self, now: MonoTime) {
        let stored: Vec<_> = self.pending.drain(..self.storing).collect();
        self.results.extend(stored);
        self.fences = 0;
        self.storing = 0;
        self.pending_since = now;
    }

    /// Records that another gateway stored `lines`, or a fence if `lines` is empty, at the position
    /// intended for the results taken last. Pending results of the items in `lines` are dropped:
    /// the first stored result of an item counts. `generation` is the ownership generation that
    /// this begins.
    pub fn displaced(
        &mut self,
        lines: Vec<Arc<ResultLine>>,
        generation: OwnershipGeneration,
        now: MonoTime,
    ) {
        self.storing = 0;
        self.is_displaced = true;
        self.require_generation(generation);
        self.pending_since = now;
        self.fences = if lines.is_empty() { self.fences + 1 } else { 0 };
        for line in &lines {
            self.pending.retain(|pending| pending.id != line.id);
            if let Some(index) = self.spec.items.iter().position(|item| item.id == line.id) {
                self.items[index].phase = ItemPhase::Ended;
                self.items[index].output = Vec::new();
            }
        }
        self.results.extend(lines);
    }

    /// Requires confirmations of ownership from `generation` on, since another gateway may own the
    /// job now.
    pub fn require_generation(&mut self, generation: OwnershipGeneration) {
        self.required = self.required.max(generation);
    }

    /// Stores nothing until ownership is confirmed by a request made in `generation` or later: another gateway may
    /// have taken the job over while this one did not count as alive.
    pub fn suspend(&mut self, generation: OwnershipGeneration) {
        self.is_displaced = true;
        self.require_generation(generation);
    }

    /// Records that the store confirmed the ownership, as requested in generation `requested`. The
    /// answer may be late; if it was requested before the required generation, it does not count.
    pub fn confirm(&mut self, requested: OwnershipGeneration) {
        self.confirmed = self.confirmed.max(requested);
        if self.is_confirmed() {
            self.is_displaced = false;
        }
    }

    /// Whether ownership was confirmed by a request made in the required generation or later.
    pub fn is_confirmed(&self) -> bool {
        self.confirmed >= self.required
    }

    /// Whether an item has ended, by a result of this or another gateway.
    pub fn item_ended(&self, index: usize) -> bool {
        self.items[index].phase == ItemPhase::Ended
    }

    /// Tokens of unfinished items that count against the limit of the job's route.
    pub fn waiting_tokens(&self) -> u64 {
        if self.ended {
            return 0;
        }
        let items = self.items.iter().zip(&self.spec.items);
        let open = items.filter(|(item, _)| item.phase != ItemPhase::Ended);
        open.fold(0, |sum, (_, spec)| sum.saturating_add(spec.limit_tokens))
    }

    /// Number of items that wait or run.
    pub fn open_items(&self) -> usize {
        self.items.iter().filter(|item| item.phase != ItemPhase::Ended).count()
    }

    fn finish(&mut self, index: usize, state: ItemState, output: Vec<u8>, now: MonoTime) {
        if self.item_ended(index) {
            return;
        }
        self.items[index].phase = ItemPhase::Ended;
        self.items[index].output = Vec::new();
        if self.pending.is_empty() {
            self.pending_since = now;
        }
        let id = self.spec.items[index].id.clone();
        // Events are text. A target that sends invalid UTF-8 only corrupts its own output.
        let output = String::from_utf8_lossy(&output).into_owned();
        self.pending.push(Arc::new(ResultLine { id, state, output }));
    }
}
