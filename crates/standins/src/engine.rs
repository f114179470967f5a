//! A model engine: continuous batching under a cost model, with deterministic answers.
//!
//! The published protocol, on the engine's address:
//!
//! | Call | Answers |
//! |---|---|
//! | `POST /v1/chat/completions` with [`protocol::ChatRequest`], header `X-Stream-Id` | 200: whole ([`protocol::ChatAnswer`]) or server-sent events ([`protocol::ChatChunk`]) that end with `data: [DONE]`; 400; 404 model not loaded; 409 stream id in use; 429 waiting list full (not run) |
//! | `DELETE /v1/streams/{id}` | 204, the stream ends with finish reason `cancelled`; 404 no such stream |
//! | `GET /v1/load` | 200 with [`protocol::LoadBody`], late |
//! | `GET /v1/cache/events?after=` | 200 with an array of [`protocol::CacheEvent`], late and with gaps |
//! | `POST /v1/orders` with [`protocol::OrderBody`] | 200 with [`protocol::OrderAnswer`]; 409 old epoch, where epochs are checked |
//! | `GET /v1/models` | 200 with [`protocol::ModelsBody`] |
//!
//! Control, on the control address, which a crash doesn't cut: `GET /control/runs`,
//! `GET /control/state`, `POST /control/freeze`, `/control/thaw`, `/control/crash`
//! (`{"ms": N}`).
//!
//! `resume_text` is output already made: it costs prefill only, and the answer holds only what
//! follows it. An answer that was cut (crash, freeze, lost connection) never holds `[DONE]`.

pub mod batch;
mod cache;
mod core;
mod driver;
mod handle;
pub mod protocol;
mod serve;
mod settings;
mod stream;
mod text;

pub use self::{
    handle::EngineHandle,
    settings::{EngineSettings, LoadedModel},
    text::{expected_text, prompt_digests, prompt_text},
};
