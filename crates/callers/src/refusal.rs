//! Refusals as HTTP answers.

use http_types::{Response, StatusCode, headers};
use notch_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::json::json_response;

/// The JSON of a refusal: `{"error":{…}}`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorView {
    /// The refusal.
    pub error: ErrorFields,
}

/// The fields of a refusal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorFields {
    /// The stable code.
    pub code: String,
    /// Whether the request may have run. `no` is a promise.
    pub ran: Ran,
    /// When a new try makes sense, milliseconds from now.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// One sentence for a person.
    pub message: String,
}

impl From<&Refusal> for ErrorView {
    fn from(refusal: &Refusal) -> Self {
        Self {
            error: ErrorFields {
                code: refusal.reason.code().to_owned(),
                ran: refusal.ran,
                retry_after_ms: refusal.retry_after_ms,
                message: refusal.detail.clone(),
            },
        }
    }
}

/// The HTTP status of a refusal.
pub fn refusal_status(reason: RefusalReason) -> StatusCode {
    use RefusalReason as Reason;
    match reason {
        Reason::BadRequest | Reason::KeyRequired => StatusCode::BadRequest,
        Reason::TooLarge => StatusCode::PayloadTooLarge,
        Reason::Unauthorized => StatusCode::Unauthorized,
        Reason::NotFound | Reason::UnknownTarget => StatusCode::NotFound,
        Reason::Expired => StatusCode::Gone,
        Reason::AccountLimit => StatusCode::TooManyRequests,
        Reason::NoTarget
        | Reason::Overloaded
        | Reason::CircuitOpen
        | Reason::RetryBudget
        | Reason::Leaving
        | Reason::StoreUnavailable => StatusCode::ServiceUnavailable,
        Reason::DeadlinePassed => StatusCode::GatewayTimeout,
        Reason::Quarantined | Reason::InvalidEntry => StatusCode::UnprocessableEntity,
        Reason::KeyReused | Reason::OutcomeUnknown | Reason::Cancelled | Reason::StaleEpoch => {
            StatusCode::Conflict
        }
        Reason::VersionConflict => StatusCode::PreconditionFailed,
        Reason::TargetFailed | Reason::TargetLost => StatusCode::BadGateway,
        Reason::Internal => StatusCode::InternalServerError,
    }
}

/// A refusal as an answer, with `Retry-After` (whole seconds, rounded up) where it helps.
pub fn refusal_response(refusal: &Refusal) -> Response {
    let mut response = json_response(refusal_status(refusal.reason), &ErrorView::from(refusal));
    if let Some(millis) = refusal.retry_after_ms {
        response.insert_header(headers::RETRY_AFTER, millis.div_ceil(1_000).max(1).to_string());
    }
    if refusal.reason == RefusalReason::Unauthorized {
        response.insert_header(headers::WWW_AUTHENTICATE, "Bearer");
    }
    response
}
