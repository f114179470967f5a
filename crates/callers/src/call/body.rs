//! A whole call: head and body.

use http_types::{Body, Request};
use notch_http::body::{BodyError, read_body};
use notch_messages::entry::EntryKey;
use notch_target::prompt_head::prompt_head;
use notch_types::prelude::*;
use serde::Deserialize;

use super::{CallHead, CallRoute, options::CallOptions, target_name};
use crate::fault::bad;

/// Largest text of a catalogue entry, bytes; the schema's own limit is far below.
const ENTRY_BYTES: u64 = 256 << 10;

/// A call with its body. Bodies are whole, but for a job's, which streams.
#[derive(Debug)]
pub enum CallerRequest {
    /// An online request to a model.
    Chat(ChatCall),
    /// An online request to a plain service.
    Service(ServiceCall),
    /// A job.
    SubmitJob(JobCall),
    /// An operator's edit.
    PutEntry(PutCall),
    /// Every call without a body.
    Plain(CallRoute),
}

/// An online request to a model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChatCall {
    /// Key, deadline and idempotence.
    pub options: CallOptions,
    /// The model's catalogue name.
    pub model: TargetName,
    /// Whether the answer streams.
    pub stream: bool,
    /// Digest of the prompt's head, by which engines name cached prefixes.
    pub prompt_head: Option<u64>,
    /// What it runs.
    pub fingerprint: Fingerprint,
    /// The body as the caller sent it: a JSON object.
    pub body: Payload,
}

/// An online request to a plain service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceCall {
    /// Key, deadline and idempotence.
    pub options: CallOptions,
    /// The service's catalogue name.
    pub target: TargetName,
    /// The path below it.
    pub path: String,
    /// What it runs.
    pub fingerprint: Fingerprint,
    /// The body as the caller sent it.
    pub body: Payload,
}

/// A job, its lines not yet read.
#[derive(Debug)]
pub struct JobCall {
    /// Key and deadline; the deadline is for the submission, not for the job.
    pub options: CallOptions,
    /// The target's catalogue name.
    pub target: TargetName,
    /// When the job is due.
    pub due: WallTime,
    /// Whether items may run more than once.
    pub idempotent: bool,
    /// NDJSON lines; read them through [`JobUpload`](crate::intake::upload::JobUpload).
    pub body: Body,
}

/// An operator's edit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PutCall {
    /// The entry.
    pub key: EntryKey,
    /// The version that the edit was made from; `None` for a new entry.
    pub base: Option<EntryVersion>,
    /// The new text; the schema is checked by the catalogue.
    pub body: Payload,
}

/// The part of a chat's body that matters on the way; the rest is the engine's.
#[derive(Debug, Deserialize)]
struct ChatBody {
    model: String,
    #[serde(default)]
    stream: bool,
    /// Checked to be a list; its items are the engine's.
    #[serde(rename = "messages")]
    _messages: Vec<serde::de::IgnoredAny>,
}

/// Reads the body that belongs to `head`. Check the key first: no stranger's body is worth its
/// memory.
///
/// # Errors
/// A refusal `not run`: a body over `limit` bytes, cut, too slow, or not what the route takes.
pub async fn read_call(
    head: CallHead,
    mut request: Request,
    limit: u64,
) -> Result<CallerRequest, Refusal> {
    let CallHead { options, route, .. } = head;
    let body = request.take_body();
    match route {
        CallRoute::Chat => {
            let bytes = read_body(body, limit).await.map_err(body_refusal)?;
            parse_chat(options, bytes).map(CallerRequest::Chat)
        }
        CallRoute::Service { target, path } => {
            let body = Payload(read_body(body, limit).await.map_err(body_refusal)?);
            let fingerprint = service_fingerprint(&target, &path, &body);
            Ok(CallerRequest::Service(ServiceCall { options, target, path, fingerprint, body }))
        }
        CallRoute::SubmitJob { target, due, idempotent } => {
            let idempotent = idempotent && options.idempotent != Some(false);
            Ok(CallerRequest::SubmitJob(JobCall { options, target, due, idempotent, body }))
        }
        CallRoute::PutEntry { key, base } => {
            let body = Payload(read_body(body, ENTRY_BYTES).await.map_err(body_refusal)?);
            Ok(CallerRequest::PutEntry(PutCall { key, base, body }))
        }
        route => Ok(CallerRequest::Plain(route)),
    }
}

/// Reads a chat's body.
///
/// # Errors
/// A refusal `not run` when it isn't a JSON object with `model` and `messages`.
pub fn parse_chat(options: CallOptions, bytes: Vec<u8>) -> Result<ChatCall, Refusal> {
    let parsed: Result<ChatBody, _> = serde_json::from_slice(&bytes);
    let parsed = parsed.map_err(|error| bad(&format!("not a chat request: {error}")))?;
    let model = target_name(&parsed.model)?;
    let body = Payload(bytes);
    Ok(ChatCall {
        options,
        fingerprint: Fingerprint::of(&model, &body),
        prompt_head: prompt_head(&body),
        model,
        stream: parsed.stream,
        body,
    })
}

/// A service's calls differ by path, too: the same body on two paths is two calls.
fn service_fingerprint(target: &TargetName, path: &str, body: &[u8]) -> Fingerprint {
    let name = TargetName::new(&format!("{target}/{path}"));
    Fingerprint::of(&name, body)
}

/// Why a body could not be read, as the caller sees it.
pub fn body_refusal(error: BodyError) -> Refusal {
    let reason = match error {
        BodyError::TooLarge { .. } => RefusalReason::TooLarge,
        BodyError::TimedOut | BodyError::Cut | BodyError::Malformed => RefusalReason::BadRequest,
    };
    Refusal::not_run(reason, &error.to_string())
}
