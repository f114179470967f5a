//! The size, the speed and the habits of an engine.

use std::time::Duration;

/// A model an engine has loaded.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize)]
pub struct LoadedModel {
    /// Its catalogue name.
    pub model: String,
    /// Its version.
    pub version: String,
    /// Adapters loaded beside it.
    #[serde(default)]
    pub adapters: Vec<String>,
}

/// One engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineSettings {
    /// Where to serve, `ip:port`; port 0 for one of the system's choice.
    pub address: String,
    /// Seed of the cache events that get lost.
    pub seed: u64,
    /// Models loaded at each start; empty for "answers for any model".
    pub models: Vec<LoadedModel>,
    /// Whether it answers for loaded models only even when `models` is empty, and drops a model's
    /// old version before it loads the new one, as engines with little memory do.
    pub loaded_only: bool,
    /// Most streams that run at once.
    pub slots: usize,
    /// Most requests that wait; further ones get 429.
    pub waiting: usize,
    /// Room for prompts and output of the running streams, tokens.
    pub kv_tokens: u64,
    /// Room for cached prompt prefixes, tokens.
    pub cache_tokens: u64,
    /// Most prompt tokens read in a step, over all streams.
    pub prefill_chunk: u64,
    /// What each step costs.
    pub base_step: Duration,
    /// What each running stream adds to a step.
    pub per_stream: Duration,
    /// What each prompt token read adds to a step; cached ones are free.
    pub per_prefill_token: Duration,
    /// How old the load report is.
    pub load_lag: Duration,
    /// How late cache events come.
    pub event_lag: Duration,
    /// Of 1,000 cache events, how many never come.
    pub event_loss_per_mille: u32,
    /// Whether orders of an older epoch are refused.
    pub checks_epoch: bool,
    /// How long it takes to load a model.
    pub load_time: Duration,
    /// How long it is away after a crash.
    pub crash_down: Duration,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            address: "127.0.0.1:0".to_string(),
            seed: 1,
            models: Vec::new(),
            loaded_only: false,
            slots: 32,
            waiting: 1_024,
            kv_tokens: 200_000,
            cache_tokens: 100_000,
            prefill_chunk: 2_048,
            base_step: Duration::from_millis(8),
            per_stream: Duration::from_micros(150),
            per_prefill_token: Duration::from_micros(20),
            load_lag: Duration::from_millis(200),
            event_lag: Duration::from_millis(500),
            event_loss_per_mille: 50,
            checks_epoch: true,
            load_time: Duration::from_millis(500),
            crash_down: Duration::from_secs(1),
        }
    }
}
