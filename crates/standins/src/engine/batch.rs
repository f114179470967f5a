//! Continuous batching as a pure model: what a step does and how long it takes.

use std::{collections::VecDeque, time::Duration};

use super::{
    cache::PrefixCache,
    protocol::{CacheEvent, LoadBody},
    settings::EngineSettings,
};

/// Names one request inside the engine; never used again in its life.
pub type StreamKey = u64;

/// What a request needs.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StreamSpec {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Digests of the prompt's heads, for the cache.
    pub digests: Vec<u64>,
    /// Output tokens made by an earlier try.
    pub resumed: u32,
    /// Output tokens wanted, the resumed ones included.
    pub max_tokens: u32,
}

impl StreamSpec {
    /// Room that the request needs to its end, tokens.
    fn room(&self) -> u64 {
        self.prompt_tokens + u64::from(self.max_tokens.max(self.resumed))
    }
}

/// What a step did.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StepOutcome {
    /// How long it takes.
    pub cost: Duration,
    /// Requests that began to run, with the tokens of their prompts that were cached.
    pub admitted: Vec<(StreamKey, u64)>,
    /// Output tokens made: request, index, whether it was the last.
    pub made: Vec<(StreamKey, u32, bool)>,
    /// Prompt tokens read.
    pub prefilled: u64,
}

/// A request that runs.
#[derive(Debug)]
struct RunningStream {
    key: StreamKey,
    spec: StreamSpec,
    /// Prompt tokens not read yet.
    unread: u64,
    /// Output tokens there are, the resumed ones included; below `spec.max_tokens`.
    made: u32,
}

/// The batch: requests that run and requests that wait, in order of arrival.
#[derive(Debug)]
pub struct BatchModel {
    slots: usize,
    kv_tokens: u64,
    kv_used: u64,
    prefill_chunk: u64,
    base_step: Duration,
    per_stream: Duration,
    per_prefill_token: Duration,
    cache: PrefixCache,
    /// At most `slots`.
    running: Vec<RunningStream>,
    /// At most the settings' `waiting`; the engine refuses more.
    waiting: VecDeque<(StreamKey, StreamSpec)>,
}

impl BatchModel {
    /// An empty batch.
    pub fn new(settings: &EngineSettings) -> Self {
        Self {
            slots: settings.slots,
            kv_tokens: settings.kv_tokens,
            kv_used: 0,
            prefill_chunk: settings.prefill_chunk.max(1),
            base_step: settings.base_step,
            per_stream: settings.per_stream,
            per_prefill_token: settings.per_prefill_token,
            cache: PrefixCache::new(settings.cache_tokens),
            running: Vec::new(),
            waiting: VecDeque::new(),
        }
    }

    /// Takes the cache's events since the last time.
    pub(super) fn take_events(&mut self) -> Vec<CacheEvent> {
        self.cache.take_events()
    }

    /// Whether a request could ever run.
    pub fn fits(&self, spec: &StreamSpec) -> bool {
        spec.room() <= self.kv_tokens
    }

    /// Adds a request behind those that wait.
    pub fn enqueue(&mut self, key: StreamKey, spec: StreamSpec) {
        self.waiting.push_back((key, spec));
    }

    /// Takes a request out, wherever it is; whether it was there.
    pub fn cancel(&mut self, key: StreamKey) -> bool {
        if let Some(at) = self.running.iter().position(|stream| stream.key == key) {
            let stream = self.running.remove(at);
            self.kv_used -= stream.spec.room();
            return true;
        }
        let before = self.waiting.len();
        self.waiting.retain(|(waiting, _)| *waiting != key);
        self.waiting.len() < before
    }

    /// Whether there is nothing to do.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.waiting.is_empty()
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// The load now.
    pub fn load(&self) -> LoadBody {
        LoadBody {
            running: self.running.len() as u64,
            waiting: self.waiting.len() as u64,
            slots: self.slots as u64,
            kv_used: self.kv_used,
            kv_tokens: self.kv_tokens,
        }
    }

    /// One step: admits in order of arrival, reads prompts up to the chunk, and makes one token
    /// for each stream whose prompt is read.
    pub fn step(&mut self) -> StepOutcome {
        let mut outcome = StepOutcome::default();
        self.admit(&mut outcome);
        if self.running.is_empty() {
            return outcome;
        }
        self.read_prompts(&mut outcome);
        self.make_tokens(&mut outcome);
        let reading = self.per_prefill_token * outcome.prefilled as u32;
        let streams = self.per_stream * self.running.len() as u32;
        outcome.cost = self.base_step + streams + reading;
        self.drop_finished();
        outcome
    }

    fn admit(&mut self, outcome: &mut StepOutcome) {
        while self.running.len() < self.slots {
            let Some((_, spec)) = self.waiting.front() else { return };
            if self.kv_used + spec.room() > self.kv_tokens {
                return;
            }
            let Some((key, spec)) = self.waiting.pop_front() else { return };
            let cached = self.cache.hit(&spec.digests);
            let unread = spec.prompt_tokens.saturating_sub(cached) + u64::from(spec.resumed);
            self.kv_used += spec.room();
            outcome.admitted.push((key, cached));
            self.running.push(RunningStream { key, made: spec.resumed, unread, spec });
        }
    }

    fn read_prompts(&mut self, outcome: &mut StepOutcome) {
        let mut left = self.prefill_chunk;
        for stream in self.running.iter_mut().filter(|stream| stream.unread > 0) {
            let read = stream.unread.min(left);
            stream.unread -= read;
            left -= read;
            if stream.unread == 0 {
                self.cache.store(&stream.spec.digests);
            }
        }
        outcome.prefilled = self.prefill_chunk - left;
    }

    fn make_tokens(&mut self, outcome: &mut StepOutcome) {
        for stream in self.running.iter_mut().filter(|stream| stream.unread == 0) {
            let index = stream.made;
            stream.made += 1;
            outcome.made.push((stream.key, index, stream.made >= stream.spec.max_tokens));
        }
    }

    fn drop_finished(&mut self) {
        let kv_used = &mut self.kv_used;
        self.running.retain(|stream| {
            let finished = stream.made >= stream.spec.max_tokens;
            if finished {
                *kv_used -= stream.spec.room();
            }
            !finished
        });
    }
}
