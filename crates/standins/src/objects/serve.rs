//! The object API's published protocol, served.

use std::sync::Arc;

use notch_http::prelude::*;
use notch_platform::{
    CallKind,
    wire::{
        ChangeBody, ChangesBody, EFFECT_HEADER, ListedBody, ListingBody, NO_EFFECT, OBJECTS_PATH,
        RETRY_AFTER_MS_HEADER, STORE_TIME_HEADER, WATCH_PATH, WRITTEN_AT_HEADER, etag_of,
        version_of,
    },
};
use notch_types::{
    object::{
        ListedObject, MAX_OBJECT_BYTES, ObjectVersion, StoreFailure, StoreOp, StoreReply,
        StoredObject, WriteCondition,
    },
    payload::Payload,
    time::WallTime,
};

use super::{MemoryObjects, store_time};
use crate::{
    control::{bad_request, cut_answer, json_answer, query_number, query_value},
    served::decoded_segment,
};

/// Most seconds that a watch over HTTP may wait.
const MAX_WATCH_MS: u64 = 60_000;
/// Lines of a page when the caller names no number.
const DEFAULT_LIMIT: u64 = 100;

/// Answers one request for objects or a watch.
pub(crate) async fn answer_request(objects: Arc<MemoryObjects>, request: Request) -> Response {
    let op = match op_of(request).await {
        Ok(op) => op,
        Err(refusal) => return refusal,
    };
    let kind = CallKind::of(&op);
    let answer = objects.answer(op).await;
    objects.count(kind, &answer);
    let Some(result) = answer else { return cut_answer() };
    let store_time = store_time();
    let mut response = match result {
        Ok(reply) => reply_response(reply),
        Err(failure) => failure_response(failure),
    };
    response.insert_header(STORE_TIME_HEADER, store_time.0.to_string());
    response
}

async fn op_of(mut request: Request) -> Result<StoreOp, Response> {
    let path = request.url().path().to_string();
    if path == WATCH_PATH {
        return Ok(watch_of(&request));
    }
    if path == OBJECTS_PATH {
        return Ok(list_of(&request));
    }
    let segment = path.strip_prefix(OBJECTS_PATH).and_then(|rest| rest.strip_prefix('/'));
    let key = segment.and_then(decoded_segment).ok_or_else(|| bad_request("not a key"))?;
    let condition = condition_of(&request).ok_or_else(|| bad_request("not a condition"))?;
    match request.method() {
        Method::Get => Ok(StoreOp::Get { key }),
        Method::Delete => Ok(StoreOp::Delete { key, condition }),
        Method::Put => {
            let value = read_body(request.take_body(), MAX_OBJECT_BYTES as u64).await;
            let value = value.map_err(|error| match error {
                BodyError::TooLarge { .. } => failure_response(StoreFailure::TooLarge),
                _ => bad_request("the body broke off"),
            })?;
            Ok(StoreOp::Put { key, value: Payload(value), condition })
        }
        _ => Err(Response::new(StatusCode::MethodNotAllowed)),
    }
}

fn condition_of(request: &Request) -> Option<WriteCondition> {
    if request.header("if-none-match").is_some() {
        return Some(WriteCondition::IfAbsent);
    }
    let Some(tag) = request.header("if-match") else { return Some(WriteCondition::Always) };
    let version = version_of(tag.last().as_str())?;
    Some(WriteCondition::IfVersion(ObjectVersion(version)))
}

fn list_of(request: &Request) -> StoreOp {
    let limit = query_number(request, "limit").unwrap_or(DEFAULT_LIMIT);
    StoreOp::List {
        prefix: query_value(request, "prefix").unwrap_or_default(),
        after: query_value(request, "after"),
        limit: u32::try_from(limit).unwrap_or(u32::MAX),
    }
}

fn watch_of(request: &Request) -> StoreOp {
    StoreOp::Watch {
        prefix: query_value(request, "prefix").unwrap_or_default(),
        after: ObjectVersion(query_number(request, "after").unwrap_or(0)),
        wait_ms: query_number(request, "wait_ms").unwrap_or(0).min(MAX_WATCH_MS),
    }
}

fn reply_response(reply: StoreReply) -> Response {
    match reply {
        StoreReply::Object(None) => Response::new(StatusCode::NotFound),
        StoreReply::Object(Some(object)) => object_response(object),
        StoreReply::Written(version) => tagged(StatusCode::Ok, version),
        StoreReply::Deleted => Response::new(StatusCode::NoContent),
        StoreReply::Listing { objects, more, .. } => {
            let line = |object: ListedObject| ListedBody {
                key: object.key,
                version: object.version.0,
                written_at: object.written_at.0,
            };
            let objects = objects.into_iter().map(line).collect();
            json_answer(&ListingBody { objects, more })
        }
        StoreReply::Changes { objects, upto } => {
            let objects = objects.into_iter().map(change_of).collect();
            json_answer(&ChangesBody { objects, upto: upto.0 })
        }
    }
}

fn object_response(object: StoredObject) -> Response {
    let WallTime(written_at) = object.written_at;
    let mut response = tagged(StatusCode::Ok, object.version);
    response.insert_header(WRITTEN_AT_HEADER, written_at.to_string());
    response.set_body(object.value.unwrap_or_default().0);
    response
}

fn change_of(object: StoredObject) -> ChangeBody {
    ChangeBody {
        key: object.key,
        version: object.version.0,
        value: object.value.map(|value| hex::encode(value.0)),
        written_at: object.written_at.0,
    }
}

fn tagged(status: StatusCode, version: ObjectVersion) -> Response {
    let mut response = Response::new(status);
    response.insert_header("etag", etag_of(version.0));
    response
}

fn failure_response(failure: StoreFailure) -> Response {
    match failure {
        StoreFailure::Conflict(Some(version)) => tagged(StatusCode::PreconditionFailed, version),
        StoreFailure::Conflict(None) => Response::new(StatusCode::PreconditionFailed),
        StoreFailure::TooLarge => Response::new(StatusCode::PayloadTooLarge),
        StoreFailure::Throttled { retry_after_ms } => throttled_response(retry_after_ms),
        StoreFailure::Unavailable => unavailable_response(),
        StoreFailure::Unknown => Response::new(StatusCode::InternalServerError),
        StoreFailure::Malformed => bad_request("malformed"),
    }
}

/// Refused without effect; come back later.
pub(crate) fn throttled_response(retry_after_ms: u64) -> Response {
    let mut response = Response::new(StatusCode::TooManyRequests);
    response.insert_header(RETRY_AFTER_MS_HEADER, retry_after_ms.to_string());
    response.insert_header("retry-after", retry_after_ms.div_ceil(1_000).to_string());
    response
}

/// Refused without effect.
pub(crate) fn unavailable_response() -> Response {
    let mut response = Response::new(StatusCode::ServiceUnavailable);
    response.insert_header(EFFECT_HEADER, NO_EFFECT);
    response
}
