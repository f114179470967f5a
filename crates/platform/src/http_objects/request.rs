//! Requests to the object API.

use notch_http::prelude::*;
use notch_types::object::{MAX_OBJECT_BYTES, StoreFailure, StoreOp, WriteCondition};

use crate::{
    exchange::Exchanger,
    wire::{OBJECTS_PATH, WATCH_PATH, etag_of},
};

/// The request that makes `op`. Fails without any effect when `op` can't be asked for.
pub(super) fn request_of(exchanger: &Exchanger, op: StoreOp) -> Result<Request, StoreFailure> {
    match op {
        StoreOp::Get { key } => Ok(Request::new(Method::Get, object_url(exchanger, &key)?)),
        StoreOp::Put { key, value, condition } => {
            if value.len() > MAX_OBJECT_BYTES {
                return Err(StoreFailure::TooLarge);
            }
            let mut request = Request::new(Method::Put, object_url(exchanger, &key)?);
            set_condition(&mut request, condition);
            request.set_body(value.0);
            Ok(request)
        }
        StoreOp::Delete { key, condition } => {
            let mut request = Request::new(Method::Delete, object_url(exchanger, &key)?);
            set_condition(&mut request, condition);
            Ok(request)
        }
        StoreOp::List { prefix, after, limit } => {
            let mut url = plain_url(exchanger, OBJECTS_PATH)?;
            let mut query = url.query_pairs_mut();
            query.append_pair("prefix", &prefix);
            if let Some(after) = &after {
                query.append_pair("after", after);
            }
            query.append_pair("limit", &limit.to_string());
            drop(query);
            Ok(Request::new(Method::Get, url))
        }
        StoreOp::Watch { prefix, after, wait_ms } => {
            let mut url = plain_url(exchanger, WATCH_PATH)?;
            url.query_pairs_mut()
                .append_pair("prefix", &prefix)
                .append_pair("after", &after.0.to_string())
                .append_pair("wait_ms", &wait_ms.to_string());
            Ok(Request::new(Method::Get, url))
        }
    }
}

fn plain_url(exchanger: &Exchanger, path: &str) -> Result<Url, StoreFailure> {
    exchanger.url(path).ok_or(StoreFailure::Unavailable)
}

/// A key is one segment. `.` and `..` would be taken for steps in the path, and an empty key
/// for the listing, so these are refused here.
fn object_url(exchanger: &Exchanger, key: &str) -> Result<Url, StoreFailure> {
    if matches!(key, "" | "." | "..") {
        return Err(StoreFailure::Malformed);
    }
    let mut url = plain_url(exchanger, OBJECTS_PATH)?;
    url.path_segments_mut().map_err(|()| StoreFailure::Malformed)?.push(key);
    Ok(url)
}

fn set_condition(request: &mut Request, condition: WriteCondition) {
    match condition {
        WriteCondition::IfAbsent => request.insert_header("if-none-match", "*"),
        WriteCondition::IfVersion(version) => request.insert_header("if-match", etag_of(version.0)),
        WriteCondition::Always => None,
    };
}
