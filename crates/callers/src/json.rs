//! Answers in JSON.

use http_types::{Response, StatusCode, headers};
use serde::Serialize;

/// A JSON answer.
pub fn json_response(status: StatusCode, value: &impl Serialize) -> Response {
    let mut bytes = serde_json::to_vec(value).unwrap_or_else(|_| b"null".to_vec());
    bytes.push(b'\n');
    let mut response = Response::new(status);
    response.set_body(bytes);
    response.insert_header(headers::CONTENT_TYPE, "application/json");
    response
}
