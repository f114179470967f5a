//! One job that this gateway runs.

use std::{sync::Arc, time::Duration};

use notch_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::jobs::{
    doubt::OwnershipGeneration,
    pace::ItemRunTime,
    result::{ItemState, ResultLine},
    spec::{ItemSpec, JobSpec},
};

/// Wait after a failed run before the item's next one: a target that fails at once would otherwise
/// take up all attempts within a blink.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Wait after a target turned an item away: it was thought to have a place.
const NOT_RUN_PAUSE: Duration = Duration::from_millis(100);
/// Wait after an item was broken off for online work: a crest of requests lasts longer than that.
const PREEMPTED_PAUSE: Duration = Duration::from_millis(200);
/// Doublings of the wait after runs that broke off without an event, up to 10 s. An item that
/// crashes each target that runs it would otherwise take down the fleet, one target after another.
const BREAK_DOUBLINGS: u32 = 6;
/// A result waits for others for this part of the time left until the job is due, at most.
const DELAY_DIVISOR: u32 = 8;
/// An item's lifetime ends within this time: it runs before others though it is late, or it would
/// be given up without a run.
const LAST_CALL: Duration = Duration::from_secs(10);
/// Part of an item's usual time that an item needs which has progress.
const REST_DIVISOR: u32 = 2;
/// Added to an item's lifetime before it is given up, for wall clocks of two VMs that differ.
const LIFETIME_MARGIN: Duration = Duration::from_secs(3);

/// What is held of an item that hasn't ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldProgress {
    /// The item.
    pub item: String,
    /// Id of the last event held.
    pub last_event: u64,
    /// Data of the events held, joined by line feeds.
    #[serde(with = "serde_bytes")]
    pub output: Vec<u8>,
}

/// How a run of an item ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ItemEnd {
    /// With its whole output.
    Completed,
    /// The target says that it can never be done.
    Impossible,
    /// The target ran it and reports a failure.
    Failed,
    /// The target broke it off; the progress made is kept.
    Interrupted,
    /// The target had no place for it, or wasn't there.
    NotRun,
    /// We broke it off to give its place to online work; the progress made is kept.
    Preempted,
}

/// Where an item stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ItemPhase {
    /// To be run, not before the time given.
    Waiting(MonoTime),
    /// A run is under way.
    Running,
    /// Ended: its result waits to be stored, or is.
    Ended,
}

#[derive(Debug)]
struct ItemProgress {
    phase: ItemPhase,
    /// Runs that ended in a target's failure.
    failures: u32,
    /// Runs in a row that broke off without an event.
    breaks: u32,
    /// Id of the last event held.
    last_event: Option<u64>,
    /// Data of the events held.
    output: Vec<u8>,
}

/// One job that this gateway runs and whose result list it extends.
#[derive(Debug)]
pub struct OwnedJob {
    spec: Arc<JobSpec>,
    /// All results are due then.
    due: MonoTime,
    /// Items may be given up from then on.
    expires: MonoTime,
    items: Vec<ItemProgress>,
    /// Stored results, in their order. Invariant: only grows, each item at most once.
    results: Vec<Arc<ResultLine>>,
    /// Results that aren't stored yet.
    pending: Vec<Arc<ResultLine>>,
    /// Fences that stand at the end of the stored list: gateways that took the job over there.
    fences: u32,
    /// Results from the front of `pending` that are being stored.
    storing: usize,
    /// Since when. A write under way may have been done without an answer.
    storing_since: MonoTime,
    /// When the oldest pending result came.
    pending_since: MonoTime,
    /// The last doubt whether another gateway owns the job.
    required: OwnershipGeneration,
    /// The number under which the latest confirmation that this gateway owns it was asked for.
    confirmed: OwnershipGeneration,
    /// Another gateway wrote where this one wanted to, and no question asked since then was answered.
    /// Invariant: nothing is stored meanwhile. A former owner that went on after the fence it had found
    /// would extend a list that the new owner takes for its own.
    is_displaced: bool,
    /// The client ended it: nothing of it runs any more.
    ended: bool,
}

impl OwnedJob {
    /// A job taken at `now` whose stored results so far are `results`.
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
            required: OwnershipGeneration::default(),
            confirmed: OwnershipGeneration::default(),
            is_displaced: false,
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

    /// Fences at the end of the stored list, one of them this gateway's own if it took the job over
    /// there.
    pub fn fences(&self) -> u32 {
        self.fences
    }

    /// This many fences stand at the end of the stored list.
    pub fn set_fences(&mut self, fences: u32) {
        self.fences = fences;
    }

    /// Whether the client ended it.
    pub fn is_ended(&self) -> bool {
        self.ended
    }

    /// Whether nothing is left to do: every item is listed, or the client ended the job.
    pub fn is_closed(&self) -> bool {
        self.ended || self.results.len() >= self.spec.items.len()
    }

    /// The client ended the job.
    pub fn end(&mut self) {
        self.ended = true;
    }

    /// The next item to run at `now`: one with progress first, since it holds output already.
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

    /// Whether a run of an item that begins at `now` would likely end after the job is due. One
    /// whose lifetime is nearly over doesn't count as late: it would be given up.
    pub fn is_late(&self, index: usize, pace: &ItemRunTime, now: MonoTime) -> bool {
        let item_time = pace.expected(self.spec.items[index].answer.expected());
        let has_progress = self.items[index].last_event.is_some();
        let needed = if has_progress { item_time / REST_DIVISOR } else { item_time };
        now + needed > self.due && now + LAST_CALL < self.expires
    }

    /// How long its items that can still be in time would take one place. One that runs counts as the rest of
    /// an item; those that would end late give way to others.
    pub fn timely_work(&self, pace: &ItemRunTime, now: MonoTime) -> Duration {
        if self.ended || self.due <= now {
            return Duration::ZERO;
        }
        let items = self.items.iter().enumerate();
        let timely = items.filter(|(index, item)| match item.phase {
            ItemPhase::Waiting(_) => !self.is_late(*index, pace, now),
            ItemPhase::Running => true,
            ItemPhase::Ended => false,
        });
        let needed = timely.map(|(index, item)| {
            let whole = pace.expected_or_default(self.spec.items[index].answer.expected());
            let is_begun = item.phase == ItemPhase::Running || item.last_event.is_some();
            if is_begun { whole / REST_DIVISOR } else { whole }
        });
        needed.sum()
    }

    /// Marks an item as running; gives its spec and the last event held.
    pub fn start_item(&mut self, index: usize) -> (ItemSpec, Option<u64>) {
        let item = &mut self.items[index];
        item.phase = ItemPhase::Running;
        (self.spec.items[index].clone(), item.last_event)
    }

    /// Keeps what a run brought: data of events up to `last_event`, joined by line feeds.
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
        item.breaks = 0;
    }

    /// What is held of items that haven't ended, for another gateway that goes on with the job.
    pub fn progress(&self) -> Vec<HeldProgress> {
        let items = self.items.iter().zip(&self.spec.items);
        let held = items.filter_map(|(item, spec)| {
            let last_event = item.last_event.filter(|_| item.phase != ItemPhase::Ended)?;
            let output = item.output.clone();
            Some(HeldProgress { item: spec.id.clone(), last_event, output })
        });
        held.collect()
    }

    /// Goes on from what another gateway held. Only items that have none of their own take it.
    pub fn adopt_progress(&mut self, progress: Vec<HeldProgress>) {
        for held in progress {
            let Some(index) = self.spec.items.iter().position(|item| item.id == held.item) else {
                continue;
            };
            let item = &mut self.items[index];
            if item.last_event.is_none() && matches!(item.phase, ItemPhase::Waiting(_)) {
                item.last_event = Some(held.last_event);
                item.output = held.output;
            }
        }
    }

    /// A run of an item ended.
    pub fn end_item(&mut self, index: usize, end: &ItemEnd, now: MonoTime) {
        let attempts = self.spec.terms.max_attempts;
        let item = &mut self.items[index];
        if item.phase == ItemPhase::Ended {
            return;
        }
        match end {
            ItemEnd::Completed => {
                let output = std::mem::take(&mut item.output);
                self.finish(index, ItemState::Completed, output, now);
            }
            ItemEnd::Impossible => self.finish(index, ItemState::GivenUp, Vec::new(), now),
            ItemEnd::Failed => {
                item.failures += 1;
                if item.failures >= attempts {
                    self.finish(index, ItemState::GivenUp, Vec::new(), now);
                } else {
                    item.phase = ItemPhase::Waiting(now + RETRY_PAUSE);
                }
            }
            ItemEnd::Interrupted => {
                let doublings = item.breaks.min(BREAK_DOUBLINGS);
                item.breaks += 1;
                item.phase = ItemPhase::Waiting(now + RETRY_PAUSE * 2_u32.pow(doublings));
            }
            ItemEnd::NotRun => item.phase = ItemPhase::Waiting(now + NOT_RUN_PAUSE),
            ItemEnd::Preempted => item.phase = ItemPhase::Waiting(now + PREEMPTED_PAUSE),
        }
    }

    /// Gives up every item that isn't running when `now` is past the items' lifetime or the job's
    /// route is gone.
    pub fn give_up_items(&mut self, route_gone: bool, now: MonoTime) {
        if !route_gone && now < self.expires {
            return;
        }
        for index in 0..self.items.len() {
            if matches!(self.items[index].phase, ItemPhase::Waiting(_)) {
                self.finish(index, ItemState::GivenUp, Vec::new(), now);
            }
        }
    }

    /// Pending results to store now, if none are being stored and they waited for `delay` or
    /// complete the job; at most `bytes` of output, but one at least. They are the same again
    /// until [`stored`](Self::stored) or [`displaced`](Self::displaced): a write without an answer
    /// may still take effect, so only the same bytes may be tried again at the same position.
    pub fn take_pending(
        &mut self,
        delay: Duration,
        bytes: usize,
        now: MonoTime,
    ) -> Option<Vec<Arc<ResultLine>>> {
        if self.storing > 0 || self.pending.is_empty() || self.ended || self.is_displaced {
            return None;
        }
        // Near the due time a result counts only if it's listed at once.
        let delay = delay.min(self.due.since(now) / DELAY_DIVISOR);
        let completes = self.results.len() + self.pending.len() >= self.spec.items.len();
        if !completes && now.since(self.pending_since) < delay {
            return None;
        }
        let taken = ResultLine::fitting(&self.pending, bytes).to_vec();
        self.storing = taken.len();
        self.storing_since = now;
        Some(taken)
    }

    /// Whether a write of results has been under way since before `before`.
    pub fn is_storing_since(&self, before: MonoTime) -> bool {
        self.storing > 0 && self.storing_since <= before
    }

    /// The results taken last are stored at the list's end.
    pub fn stored(&mut self, now: MonoTime) {
        let stored: Vec<_> = self.pending.drain(..self.storing).collect();
        self.results.extend(stored);
        self.fences = 0;
        self.storing = 0;
        self.pending_since = now;
    }

    /// Another gateway stored `lines`, or a fence where there are none, at the position that the results
    /// taken last were for. Items listed there are dropped here: the first stored result of an item is
    /// the one that counts. `doubt` is the number of the doubt that this is.
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

    /// From now on another gateway may own the job.
    pub fn require_generation(&mut self, generation: OwnershipGeneration) {
        self.required = self.required.max(generation);
    }

    /// The store says that this gateway owns the job, asked while `asked` was the last doubt. An answer
    /// may be late: one to a question older than the doubt ends no doubt.
    pub fn confirm(&mut self, requested: OwnershipGeneration) {
        self.confirmed = self.confirmed.max(requested);
        if self.is_confirmed() {
            self.is_displaced = false;
        }
    }

    /// Whether ownership was confirmed by a question asked after the last doubt.
    pub fn is_confirmed(&self) -> bool {
        self.confirmed >= self.required
    }

    /// Whether an item ended, here or by another gateway's result.
    pub fn item_ended(&self, index: usize) -> bool {
        self.items[index].phase == ItemPhase::Ended
    }

    /// Tokens of the items that haven't ended, against their route's limit.
    pub fn waiting_tokens(&self) -> u64 {
        if self.ended {
            return 0;
        }
        let items = self.items.iter().zip(&self.spec.items);
        let open = items.filter(|(item, _)| item.phase != ItemPhase::Ended);
        open.fold(0, |sum, (_, spec)| sum.saturating_add(spec.limit_tokens))
    }

    /// Items that wait to be run or run.
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
        // Events are text; a target that sends other bytes spoils only its own output.
        let output = String::from_utf8_lossy(&output).into_owned();
        self.pending.push(Arc::new(ResultLine { id, state, output }));
    }
}

impl ItemProgress {
    fn new(listed: bool) -> Self {
        let phase = if listed { ItemPhase::Ended } else { ItemPhase::Waiting(MonoTime::default()) };
        Self { phase, failures: 0, breaks: 0, last_event: None, output: Vec::new() }
    }
}
