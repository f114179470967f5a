//! Small pieces of the control pages and of answers.

use notch_http::prelude::*;
use serde::{Serialize, de::DeserializeOwned};

/// Largest control body, bytes.
const MAX_CONTROL_BYTES: u64 = 4 << 20;

/// A 200 with `body` as JSON.
pub(crate) fn json_answer<T: Serialize>(body: &T) -> Response {
    status_answer(StatusCode::Ok, body)
}

/// An answer of `status` with `body` as JSON.
pub(crate) fn status_answer<T: Serialize>(status: StatusCode, body: &T) -> Response {
    let Ok(bytes) = serde_json::to_vec(body) else {
        return Response::new(StatusCode::InternalServerError);
    };
    let mut response = Response::new(status);
    response.insert_header("content-type", "application/json");
    response.set_body(bytes);
    response
}

/// An error in the shape that model engines use.
pub(crate) fn error_answer(status: StatusCode, code: &str, message: &str) -> Response {
    let error = serde_json::json!({ "error": { "code": code, "message": message } });
    status_answer(status, &error)
}

/// A 400.
pub(crate) fn bad_request(message: &str) -> Response {
    error_answer(StatusCode::BadRequest, "bad_request", message)
}

/// A head whose body breaks off at once: the caller never gets a whole answer.
pub(crate) fn cut_answer() -> Response {
    let (sender, body) = streamed_body();
    drop(sender);
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(body);
    response
}

/// The request's body as JSON.
pub(crate) async fn json_body<T: DeserializeOwned>(request: &mut Request) -> Result<T, Response> {
    let bytes = read_body(request.take_body(), MAX_CONTROL_BYTES).await;
    let bytes = bytes.map_err(|error| bad_request(&error.to_string()))?;
    serde_json::from_slice(&bytes).map_err(|error| bad_request(&error.to_string()))
}

/// A value of the query.
pub(crate) fn query_value(request: &Request, name: &str) -> Option<String> {
    let mut pairs = request.url().query_pairs();
    pairs.find(|(key, _)| key == name).map(|(_, value)| value.into_owned())
}

/// A number of the query.
pub(crate) fn query_number(request: &Request, name: &str) -> Option<u64> {
    query_value(request, name)?.parse().ok()
}
