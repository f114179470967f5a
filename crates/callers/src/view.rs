//! The JSON that callers and operators get back, and that the command line reads.

use http_types::{Body, Response, StatusCode, headers};
use notch_messages::prelude::*;
use notch_types::prelude::*;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use crate::{
    call::kind_name,
    due::format_time,
    json::json_response,
    refusal::{ErrorFields, ErrorView, refusal_response},
    sse::EVENT_STREAM,
};

/// How far a job is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobView {
    /// The job's id.
    pub id: String,
    /// Its target.
    pub target: String,
    /// `running`, `cancelled` or `done`.
    pub phase: JobPhase,
    /// When it is due, RFC 3339 in UTC.
    pub due: String,
    /// Its items.
    pub items: ItemCounts,
    /// For a submission: whether the job was there already.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub resend: Option<bool>,
}

/// A job's items by state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemCounts {
    /// In all.
    pub total: u32,
    /// Answered.
    pub answered: u32,
    /// Failed after their last attempt.
    pub failed: u32,
    /// Cancelled.
    pub cancelled: u32,
    /// Leased to sidecars now.
    pub leased: u32,
}

impl ItemCounts {
    /// Items that have ended.
    pub fn ended(&self) -> u32 {
        self.answered.saturating_add(self.failed).saturating_add(self.cancelled)
    }
}

impl From<&JobProgress> for JobView {
    fn from(progress: &JobProgress) -> Self {
        Self {
            id: progress.job.to_string(),
            target: progress.target.to_string(),
            phase: progress.phase,
            due: format_time(progress.due),
            items: ItemCounts {
                total: progress.total,
                answered: progress.answered,
                failed: progress.failed,
                cancelled: progress.cancelled,
                leased: progress.leased,
            },
            resend: None,
        }
    }
}

/// One line of a job's results.
#[derive(Debug, Serialize, Deserialize)]
pub struct ResultView {
    /// The caller's own id of the line.
    pub custom_id: String,
    /// The item's place in the job, from 0.
    pub item: u32,
    /// The target's answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub response: Option<ResponseView>,
    /// Why there is none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub error: Option<ErrorFields>,
}

/// A target's answer.
#[derive(Debug, Serialize, Deserialize)]
pub struct ResponseView {
    /// HTTP status.
    pub status: u16,
    /// The body: JSON as the target gave it, or its text as a JSON string.
    pub body: Box<RawValue>,
}

/// An entry of the catalogue.
#[derive(Debug, Serialize, Deserialize)]
pub struct EntryView {
    /// Its kind.
    pub kind: String,
    /// Its name.
    pub name: String,
    /// Its version; an edit names it.
    pub version: u64,
    /// Its text; left out of listings.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub entry: Option<Box<RawValue>>,
}

impl From<&EntryStamp> for EntryView {
    fn from(stamp: &EntryStamp) -> Self {
        Self {
            kind: kind_name(stamp.key.kind).to_owned(),
            name: stamp.key.name.clone(),
            version: stamp.version.0,
            entry: None,
        }
    }
}

/// A listing of the catalogue.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct CatalogueView {
    /// Entries by kind and name.
    pub entries: Vec<EntryView>,
}

/// A refused edit with both sides.
#[derive(Debug, Serialize, Deserialize)]
pub struct ConflictView {
    /// The refusal.
    pub error: ErrorFields,
    /// Both sides.
    pub conflict: ConflictFields,
}

/// Both sides of an edit that lost.
#[derive(Debug, Serialize, Deserialize)]
pub struct ConflictFields {
    /// The version that the edit was made from.
    pub base: Option<u64>,
    /// The version in force; the next edit is made from it.
    pub current: Option<u64>,
    /// The text in force.
    pub stored: Option<Box<RawValue>>,
    /// Both texts, line by line, for a person.
    pub difference: String,
}

impl ConflictView {
    /// The view of a lost edit.
    pub fn new(
        base: Option<EntryVersion>,
        current: Option<EntryVersion>,
        stored: Option<&[u8]>,
        difference: String,
    ) -> Self {
        let detail = "the entry has changed since the edit began";
        let refusal = Refusal::not_run(RefusalReason::VersionConflict, detail);
        Self {
            error: ErrorView::from(&refusal).error,
            conflict: ConflictFields {
                base: base.map(|version| version.0),
                current: current.map(|version| version.0),
                stored: stored.map(json_or_text),
                difference,
            },
        }
    }

    /// The answer to the operator.
    pub fn response(&self) -> Response {
        json_response(StatusCode::PreconditionFailed, self)
    }
}

/// The answer to a status question or a cancellation.
pub fn job_response(progress: &JobProgress) -> Response {
    json_response(StatusCode::Ok, &JobView::from(progress))
}

/// The answer to a submission: 201 for a new job, 200 for a resend.
pub fn accepted_response(progress: &JobProgress, resend: bool) -> Response {
    let view = JobView { resend: Some(resend), ..JobView::from(progress) };
    let status = if resend { StatusCode::Ok } else { StatusCode::Created };
    json_response(status, &view)
}

/// The stored answer of an online request, as it was or would have been given.
pub fn answer_response(answer: &StoredAnswer) -> Response {
    let StoredAnswer::Answered { status, body } = answer else {
        let detail = "the request may have run and its answer is lost; it won't be run again";
        return refusal_response(&Refusal::unknown(RefusalReason::OutcomeUnknown, detail));
    };
    let status = StatusCode::try_from(*status).unwrap_or(StatusCode::BadGateway);
    let is_stream = body.starts_with(b"data:");
    let content = if is_stream { EVENT_STREAM } else { "application/json" };
    let mut response = Response::new(status);
    response.set_body(Body::from_bytes(body.0.clone()));
    response.insert_header(headers::CONTENT_TYPE, content);
    response
}

/// An entry with its version, also as `ETag`.
pub fn entry_response(record: &EntryRecord) -> Response {
    let view =
        EntryView { entry: Some(json_or_text(&record.body)), ..EntryView::from(&record.stamp()) };
    let mut response = json_response(StatusCode::Ok, &view);
    response.insert_header(headers::ETAG, format!("\"{}\"", record.version));
    response
}

/// One line of NDJSON, with its line break; `None` for an item that has not ended.
pub fn result_line(line: &ResultLine) -> Option<Vec<u8>> {
    let (response, error) = match &line.status {
        ItemStatus::Open => return None,
        ItemStatus::Ended(ItemOutcome::Answered { status, body }) => {
            (Some(ResponseView { status: *status, body: json_or_text(body) }), None)
        }
        ItemStatus::Ended(ItemOutcome::Failed { reason, ran, detail, .. }) => {
            (None, Some(error_fields(*reason, *ran, detail)))
        }
        ItemStatus::Cancelled => {
            let detail = "the job was cancelled before this item ended";
            (None, Some(error_fields(RefusalReason::Cancelled, Ran::Unknown, detail)))
        }
    };
    let custom_id = line.custom_id.clone();
    let view = ResultView { custom_id, item: line.item.0, response, error };
    let mut bytes = serde_json::to_vec(&view).ok()?;
    bytes.push(b'\n');
    Some(bytes)
}

fn error_fields(reason: RefusalReason, ran: Ran, detail: &str) -> ErrorFields {
    let refusal = Refusal { reason, ran, retry_after_ms: None, detail: detail.to_owned() };
    ErrorView::from(&refusal).error
}

/// `bytes` as JSON on one line, or as a JSON string where they are no JSON. Outside strings, where
/// JSON can't hold one, a line break is blank space; left in, it would end an NDJSON line early.
fn json_or_text(bytes: &[u8]) -> Box<RawValue> {
    let text = String::from_utf8_lossy(bytes).trim().replace(['\n', '\r'], " ");
    if let Ok(raw) = RawValue::from_string(text) {
        return raw;
    }
    let text = String::from_utf8_lossy(bytes);
    serde_json::value::to_raw_value(&text).unwrap_or_else(|_| RawValue::NULL.to_owned())
}
