//! Makes sure that the chunks an append names can't be on their way to deletion.

use std::{
    collections::{BTreeSet, VecDeque},
    time::Duration,
};

use notch_types::{
    object::{ListedObject, StoreOp, StoreReply, StoreResult},
    prelude::*,
};

use crate::{
    event::{AppendTicket, AppendUrgency},
    shard::{
        backoff::RetryBackoff, calls::CallPurpose, context::StageContext,
        owner::queue::QueuedAppend,
    },
};

/// An append whose chunks aren't checked yet.
#[derive(Debug)]
struct UncheckedAppend {
    append: QueuedAppend,
    urgency: AppendUrgency,
    /// Every chunk it names.
    chunks: Vec<String>,
    /// Those not found yet.
    missing: BTreeSet<String>,
    /// Last key of the page before.
    after: Option<String>,
}

/// How a check ended.
#[derive(Debug)]
pub(crate) enum CheckStep {
    /// Undecided.
    Open,
    /// Every chunk is there and young.
    Sound(QueuedAppend, AppendUrgency, Vec<String>),
    /// Some chunk isn't.
    Stale(AppendTicket),
}

/// Checks one append after the other, in order of arrival.
///
/// What goes wrong without: an intake writes a chunk, is paused for longer than the grace time,
/// and submits the job. The chunk, named by nobody, was swept meanwhile, or a deletion decided by
/// an earlier owner is on its way. The job would be accepted and its items lost. A deletion is only
/// ever decided for a chunk older than the grace time by the store's clock; a chunk that is there
/// and younger than half of it when this owner looks can have no deletion on its way, and from
/// then on this owner counts it as named.
#[derive(Debug)]
pub(crate) struct ChunkCheck {
    waiting: VecDeque<UncheckedAppend>,
    in_flight: bool,
    backoff: RetryBackoff,
    resume_at: Option<MonoTime>,
    bytes: usize,
}

impl ChunkCheck {
    pub(crate) fn new(backoff: RetryBackoff) -> Self {
        Self { waiting: VecDeque::new(), in_flight: false, backoff, resume_at: None, bytes: 0 }
    }

    pub(crate) fn push(
        &mut self,
        append: QueuedAppend,
        urgency: AppendUrgency,
        chunks: Vec<String>,
    ) {
        self.bytes += append.bytes();
        let missing = chunks.iter().cloned().collect();
        self.waiting.push_back(UncheckedAppend { append, urgency, chunks, missing, after: None });
    }

    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }

    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Whether an append that waits here names the key.
    pub(crate) fn names(&self, key: &str) -> bool {
        self.waiting.iter().any(|unchecked| unchecked.chunks.iter().any(|chunk| chunk == key))
    }

    pub(crate) fn wake(&self) -> Option<MonoTime> {
        if self.in_flight || self.waiting.is_empty() { None } else { self.resume_at }
    }

    /// Asks for the next page, if none is asked for.
    pub(crate) fn pump(&mut self, ctx: &mut StageContext<'_>) {
        let Some(unchecked) = self.waiting.front() else { return };
        if self.in_flight || self.resume_at.is_some_and(|resume| ctx.now.mono < resume) {
            return;
        }
        self.resume_at = None;
        self.in_flight = true;
        let prefix = common_prefix(&unchecked.chunks);
        let op = StoreOp::List {
            prefix,
            after: unchecked.after.clone(),
            limit: ctx.core.settings.sweep_page,
        };
        ctx.call(CallPurpose::ChunkList, op);
    }

    /// Takes a page.
    pub(crate) fn on_list(&mut self, result: StoreResult, ctx: &mut StageContext<'_>) -> CheckStep {
        self.in_flight = false;
        let (objects, store_time, more) = match result {
            Ok(StoreReply::Listing { objects, store_time, more }) => (objects, store_time, more),
            other => {
                ctx.count_retry(RetryReason::StoreUnavailable);
                let delay = self.backoff.next(other.err(), &mut ctx.core.rng);
                self.resume_at = Some(ctx.now.mono + delay);
                return CheckStep::Open;
            }
        };
        self.backoff.reset();
        let max_age = ctx.core.settings.grace / 2;
        let Some(unchecked) = self.waiting.front_mut() else { return CheckStep::Open };
        let stale = objects.iter().any(|object| {
            unchecked.missing.remove(&object.key) && age(object, store_time) > max_age
        });
        let last = objects.last().map(|object| object.key.clone());
        if !stale && !unchecked.missing.is_empty() && more && last.is_some() {
            unchecked.after = last;
            return CheckStep::Open;
        }
        let sound = !stale && unchecked.missing.is_empty();
        match self.pop() {
            Some(done) if sound => CheckStep::Sound(done.append, done.urgency, done.chunks),
            Some(done) => CheckStep::Stale(done.append.ticket),
            None => CheckStep::Open,
        }
    }

    fn pop(&mut self) -> Option<UncheckedAppend> {
        let unchecked = self.waiting.pop_front()?;
        self.bytes -= unchecked.append.bytes();
        Some(unchecked)
    }

    /// Takes one append out; whether it was there. The one being checked stays.
    pub(crate) fn withdraw(&mut self, ticket: AppendTicket) -> bool {
        let found = self.waiting.iter().position(|unchecked| unchecked.append.ticket == ticket);
        match found {
            Some(0) if self.in_flight => false,
            Some(index) => {
                if let Some(unchecked) = self.waiting.remove(index) {
                    self.bytes -= unchecked.append.bytes();
                }
                true
            }
            None => false,
        }
    }

    /// Takes every ticket, dropping the rest.
    pub(crate) fn drain_tickets(&mut self) -> Vec<AppendTicket> {
        self.bytes = 0;
        self.waiting.drain(..).map(|unchecked| unchecked.append.ticket).collect()
    }
}

/// Age of an object by the store's own clock.
pub(crate) fn age(object: &ListedObject, store_time: WallTime) -> Duration {
    Duration::from_millis(store_time.0.saturating_sub(object.written_at.0))
}

/// What all keys start with.
fn common_prefix(keys: &[String]) -> String {
    let Some(first) = keys.first() else { return String::new() };
    let shared = |key: &String| {
        first
            .char_indices()
            .zip(key.chars())
            .find(|((_, ours), theirs)| ours != theirs)
            .map_or(first.len().min(key.len()), |((index, _), _)| index)
    };
    let length = keys.iter().map(shared).min().unwrap_or(0);
    first[..length].to_owned()
}
