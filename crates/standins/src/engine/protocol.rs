//! JSON shapes of the engine's protocol.

use serde::{Deserialize, Serialize};

use super::settings::LoadedModel;

/// Header with the stream's id, chosen by the caller.
pub const STREAM_ID_HEADER: &str = "x-stream-id";
/// The mark that ends a whole event stream.
pub const DONE_MARK: &str = "[DONE]";

/// One message of a chat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatMessage {
    /// `system`, `user` or `assistant`.
    pub role: String,
    /// Its text.
    pub content: String,
}

/// What a caller asks for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatRequest {
    /// The model's name.
    pub model: String,
    /// The chat so far.
    pub messages: Vec<ChatMessage>,
    /// Tokens of the whole answer, `resume_text` included.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u32,
    /// Whether the answer comes as events.
    #[serde(default)]
    pub stream: bool,
    /// Output already made by an earlier try.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub resume_text: String,
}

fn default_max_tokens() -> u32 {
    64
}

/// Why an answer ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum FinishReason {
    /// It has all its tokens.
    Length,
    /// It was cancelled; it is not whole.
    Cancelled,
}

/// What an answer cost.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageBody {
    /// Tokens of prompt and `resume_text`.
    pub prompt_tokens: u64,
    /// Of these, how many were cached.
    pub cached_tokens: u64,
    /// Tokens made.
    pub completion_tokens: u64,
}

/// New text of an event.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatDelta {
    /// The text; none in the last event.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content: Option<String>,
}

/// The one choice of an event.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkChoice {
    /// Always 0.
    pub index: u32,
    /// New text.
    pub delta: ChatDelta,
    /// Set in the last event.
    pub finish_reason: Option<FinishReason>,
}

/// One event of a streamed answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatChunk {
    /// The stream's id.
    pub id: String,
    /// Exactly one.
    pub choices: Vec<ChunkChoice>,
    /// Set in the last event.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<UsageBody>,
}

/// The one choice of a whole answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerChoice {
    /// Always 0.
    pub index: u32,
    /// The answer, without `resume_text`.
    pub message: ChatMessage,
    /// Why it ended.
    pub finish_reason: FinishReason,
}

/// A whole answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatAnswer {
    /// The stream's id.
    pub id: String,
    /// The model's name.
    pub model: String,
    /// Exactly one.
    pub choices: Vec<AnswerChoice>,
    /// What it cost.
    pub usage: UsageBody,
}

/// The load some time ago.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadBody {
    /// Streams running.
    pub running: u64,
    /// Requests waiting.
    pub waiting: u64,
    /// Most streams that can run.
    pub slots: u64,
    /// Tokens of room in use.
    pub kv_used: u64,
    /// Tokens of room.
    pub kv_tokens: u64,
}

/// What happened to a cached block.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CacheChange {
    /// It is held now.
    Stored,
    /// It is no longer held.
    Evicted,
}

/// One change of the prefix cache.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Rises by one; a gap means a lost event. Starts anew after a crash.
    pub number: u64,
    /// What happened.
    pub change: CacheChange,
    /// The block's digest, one of [`super::prompt_digests`].
    pub block: u64,
}

/// What an order wants.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "action", rename_all = "lowercase")]
pub enum OrderKind {
    /// Load a model.
    Load(LoadedModel),
    /// Unload a model.
    Unload {
        /// Its catalogue name.
        model: String,
    },
    /// Change role.
    Role {
        /// The role's name.
        role: String,
    },
}

/// An order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderBody {
    /// The fencing token.
    pub epoch: u64,
    /// What to do.
    #[serde(flatten)]
    pub kind: OrderKind,
}

/// How an order ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderAnswer {
    /// Whether it was carried out.
    pub done: bool,
    /// The newest epoch the engine has seen.
    pub epoch: u64,
}

/// What an engine has loaded.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelsBody {
    /// Its models, by name.
    pub models: Vec<LoadedModel>,
    /// Its role.
    pub role: String,
    /// The newest epoch it has seen.
    pub epoch: u64,
}

/// What an engine did, for checks; not late.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    /// The load now.
    pub load: LoadBody,
    /// Steps taken since the start.
    pub steps: u64,
    /// Tokens made since the start.
    pub tokens: u64,
    /// Prompt tokens read since the start.
    pub prefilled: u64,
    /// Streams cancelled, or left by their callers.
    pub cancelled: u64,
    /// Crashes since the start.
    pub crashes: u64,
    /// Orders of an older epoch carried out, where epochs aren't checked.
    pub stale_orders_done: u64,
    /// Orders of an older epoch refused.
    pub stale_orders_refused: u64,
    /// Whether it is frozen.
    pub frozen: bool,
    /// Whether it is away after a crash.
    pub down: bool,
}
