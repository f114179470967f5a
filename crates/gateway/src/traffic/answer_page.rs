//! One attempt's answer as it arrives, shared by the links that bring it, the callers that read
//! it and the control thread that decides on it.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use async_channel::{Receiver, Sender};
use notch_routing::StreamAssembly;
use notch_types::prelude::*;

/// Bytes kept ahead of a gap in one answer.
const GAP_BYTES: usize = 256 << 10;
/// Least time between two requests to send a missing part again.
const RESUME_PAUSE: Duration = Duration::from_millis(100);

/// What a part or an end mark brought about.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct AnswerNews {
    /// The first byte came just now, this long after the dispatch.
    pub begun: Option<Duration>,
    /// The answer is here as far as it goes, and ended like this. Told once.
    pub settled: Option<AttemptOutcome>,
    /// Ask the sidecar to send again from this offset.
    pub resume: Option<u64>,
}

#[derive(Debug)]
struct PageState {
    assembly: StreamAssembly,
    /// Every contiguous byte so far. Bound: `AnswerPage::limit`.
    bytes: Vec<u8>,
    first: Option<Duration>,
    settled_told: bool,
    /// No more of it is taken: readers must stop.
    abandoned: bool,
    /// The router gave the attempt up, and wants to hear of its real end only.
    given_up: bool,
    resumed_at: Option<Instant>,
    watchers: Vec<Sender<()>>,
}

/// An attempt's answer.
#[derive(Debug)]
pub struct AnswerPage {
    attempt: AttemptId,
    dispatched: Instant,
    /// Largest answer held, bytes; a longer one is abandoned.
    limit: usize,
    state: Mutex<PageState>,
}

/// What a reader finds.
#[derive(Debug, PartialEq, Eq)]
pub enum AnswerPart {
    /// Further bytes.
    Bytes(Vec<u8>),
    /// All bytes were read and the whole answer is here.
    Complete {
        /// HTTP status of the target's answer.
        status: u16,
    },
    /// No more bytes will come, and the answer is not whole.
    Cut,
    /// Nothing yet.
    Nothing,
}

impl AnswerPage {
    /// An empty answer of an attempt dispatched now.
    pub fn new(attempt: AttemptId, limit: usize) -> Self {
        let state = PageState {
            assembly: StreamAssembly::new(GAP_BYTES),
            bytes: Vec::new(),
            first: None,
            settled_told: false,
            abandoned: false,
            given_up: false,
            resumed_at: None,
            watchers: Vec::new(),
        };
        Self { attempt, dispatched: Instant::now(), limit, state: Mutex::new(state) }
    }

    /// Whose answer it is.
    pub fn attempt(&self) -> AttemptId {
        self.attempt
    }

    /// Time from dispatch to the first byte, when there was one.
    pub fn first_token(&self) -> Option<Duration> {
        self.locked().first
    }

    /// Takes a part.
    pub fn chunk(&self, offset: u64, bytes: &[u8]) -> AnswerNews {
        let mut state = self.locked();
        let mut news = AnswerNews::default();
        if let Ok(fresh) = state.assembly.chunk(offset, bytes) {
            self.take_bytes(&mut state, fresh, &mut news);
        }
        self.conclude(&mut state, news)
    }

    /// Takes the end mark.
    pub fn ended(&self, total: u64, outcome: AttemptOutcome) -> AnswerNews {
        let mut state = self.locked();
        if state.given_up {
            let is_told = std::mem::replace(&mut state.settled_told, true);
            let settled = (!is_told).then_some(outcome);
            return AnswerNews { settled, ..AnswerNews::default() };
        }
        if state.assembly.ended(total, outcome).is_err() {
            state.abandoned = true;
        }
        self.conclude(&mut state, AnswerNews::default())
    }

    /// Gives the attempt up: readers find it cut.
    pub fn abandon(&self) {
        let mut state = self.locked();
        state.abandoned = true;
        state.given_up = true;
        wake(&mut state);
    }

    /// Where to resume from after the link was replaced; `None` when nothing is missing.
    pub fn resume_offset(&self) -> Option<u64> {
        let state = self.locked();
        state.assembly.settled().is_none().then(|| state.assembly.resume_from())
    }

    /// What there is to read after `offset` bytes.
    pub fn read(&self, offset: usize) -> AnswerPart {
        let state = self.locked();
        if offset < state.bytes.len() {
            return AnswerPart::Bytes(state.bytes[offset..].to_vec());
        }
        match state.assembly.settled() {
            _ if state.abandoned => AnswerPart::Cut,
            Some(AttemptOutcome::Complete { status }) if state.assembly.is_complete() => {
                AnswerPart::Complete { status: *status }
            }
            Some(_) => AnswerPart::Cut,
            None => AnswerPart::Nothing,
        }
    }

    /// The whole answer, when it is here.
    pub fn whole(&self) -> Option<(u16, Vec<u8>)> {
        let state = self.locked();
        match state.assembly.settled() {
            // The bytes of an answer that was given up are not all here.
            _ if state.abandoned => None,
            Some(AttemptOutcome::Complete { status }) if state.assembly.is_complete() => {
                Some((*status, state.bytes.clone()))
            }
            _ => None,
        }
    }

    /// A channel that gets a message after each change. Register before reading.
    pub fn watch(&self) -> Receiver<()> {
        let (sender, receiver) = async_channel::bounded(1);
        self.locked().watchers.push(sender);
        receiver
    }

    fn take_bytes(&self, state: &mut PageState, fresh: Vec<u8>, news: &mut AnswerNews) {
        if fresh.is_empty() {
            return;
        }
        if state.first.is_none() {
            let waited = self.dispatched.elapsed();
            state.first = Some(waited);
            news.begun = Some(waited);
        }
        if state.bytes.len() + fresh.len() > self.limit {
            state.abandoned = true;
            return;
        }
        state.bytes.extend_from_slice(&fresh);
    }

    fn conclude(&self, state: &mut PageState, mut news: AnswerNews) -> AnswerNews {
        if state.given_up {
            return news;
        }
        if state.abandoned && !state.settled_told {
            state.settled_told = true;
            news.settled = Some(AttemptOutcome::Failed { status: 0, retryable: false });
        } else if let Some(outcome) = state.assembly.settled().filter(|_| !state.settled_told) {
            news.settled = Some(outcome.clone());
            state.settled_told = true;
        }
        let rested = state.resumed_at.is_none_or(|at| at.elapsed() >= RESUME_PAUSE);
        if state.assembly.has_gap() && rested && !state.abandoned {
            state.resumed_at = Some(Instant::now());
            news.resume = Some(state.assembly.resume_from());
        }
        wake(state);
        news
    }

    fn locked(&self) -> MutexGuard<'_, PageState> {
        // Each method leaves the state whole before anything of it can panic.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Wakes readers; one that has a message waiting needs no second one.
fn wake(state: &mut PageState) {
    state.watchers.retain(|watcher| !watcher.is_closed());
    for watcher in &state.watchers {
        let _ = watcher.try_send(());
    }
}
