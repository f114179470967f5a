//! One request inside the engine, and the way of its tokens to the caller.

use async_channel::Sender;

use super::{
    batch::StreamSpec,
    protocol::{ChatRequest, FinishReason, UsageBody},
    text::{prompt_digest, prompt_digests, prompt_text, token_count},
};
use crate::CRASH_MARKER;

/// Begins the word of a prompt that names its run in the run log.
const RUN_KEY_PREFIX: &str = "key:";

/// What the engine needs to know of a request.
#[derive(Debug, Clone)]
pub(super) struct StreamPlan {
    pub(super) id: String,
    pub(super) model: String,
    /// Under which name its runs are counted.
    pub(super) run_key: String,
    /// What its tokens depend on.
    pub(super) digest: u64,
    /// Whether it crashes the engine that runs it.
    pub(super) crashes: bool,
    pub(super) spec: StreamSpec,
}

impl StreamPlan {
    pub(super) fn of(request: &ChatRequest, id: String) -> Self {
        let contents = request.messages.iter().map(|message| message.content.as_str());
        let prompt = prompt_text(contents);
        let digest = prompt_digest(&prompt);
        let spec = StreamSpec {
            prompt_tokens: u64::from(token_count(&prompt)),
            digests: prompt_digests(&prompt),
            resumed: token_count(&request.resume_text),
            max_tokens: request.max_tokens,
        };
        Self {
            id,
            model: request.model.clone(),
            run_key: run_key(&prompt, digest),
            digest,
            crashes: prompt.contains(CRASH_MARKER),
            spec,
        }
    }

    pub(super) fn usage(&self) -> UsageBody {
        let prompt_tokens = self.spec.prompt_tokens + u64::from(self.spec.resumed);
        UsageBody { prompt_tokens, ..UsageBody::default() }
    }
}

/// The first word of the prompt that begins with `key:`, else the prompt's digest.
fn run_key(prompt: &str, digest: u64) -> String {
    let named = prompt.split_whitespace().find_map(|word| word.strip_prefix(RUN_KEY_PREFIX));
    named.map_or_else(|| format!("{digest:016x}"), str::to_string)
}

/// One step of an answer.
#[derive(Debug)]
pub(super) enum FeedItem {
    /// New text.
    Token(String),
    /// The answer is over.
    End(FinishReason, UsageBody),
}

/// The engine's end of an answer. Dropped without an end, the answer breaks off.
#[derive(Debug)]
pub(super) struct StreamFeed {
    pub(super) plan: StreamPlan,
    pub(super) usage: UsageBody,
    /// Holds at most the request's `max_tokens` and the end.
    pub(super) sender: Sender<FeedItem>,
}

impl StreamFeed {
    pub(super) fn new(plan: StreamPlan, sender: Sender<FeedItem>) -> Self {
        Self { usage: plan.usage(), plan, sender }
    }

    pub(super) fn end(&self, reason: FinishReason) {
        // The caller may be gone; then nobody needs the end.
        let _ = self.sender.try_send(FeedItem::End(reason, self.usage));
    }
}
