//! The command line's calls to a gateway.

use std::time::Duration;

use notch_callers::{call::options, prelude::*};
use notch_http::prelude::*;
use serde::de::DeserializeOwned;

use super::error::CliError;

/// Longest answer read whole, bytes; results are streamed and have no such limit.
const ANSWER_BYTES: u64 = 64 << 20;
/// Longest wait for the head of an answer: a submission is answered once it is in the ledger.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(120);

/// One gateway and the key to ask it with.
pub(super) struct GatewayClient {
    http: HttpClient,
    base: Url,
    key: Option<String>,
}

impl GatewayClient {
    /// A client of the gateway at `url`.
    ///
    /// # Errors
    /// [`CliError::Usage`] when that is no `http` URL.
    pub(super) fn new(url: String, key: Option<String>) -> Result<Self, CliError> {
        let base = Url::parse(&url).ok().filter(|base| base.scheme() == "http");
        let wrong =
            || CliError::Usage(format!("{url} is no http URL such as http://10.0.0.1:8080"));
        let base = base.ok_or_else(wrong)?;
        let settings =
            ClientSettings { response_timeout: ANSWER_TIMEOUT, ..ClientSettings::default() };
        Ok(Self { http: HttpClient::new(settings), base, key })
    }

    /// A request of this gateway; `segments` are encoded as needed.
    pub(super) fn request(&self, method: Method, segments: &[&str]) -> Request {
        let mut url = self.base.clone();
        if let Ok(mut path) = url.path_segments_mut() {
            path.pop_if_empty().push("v1").extend(segments);
        }
        let mut request = Request::new(method, url);
        if let Some(key) = &self.key {
            request.insert_header("authorization", format!("Bearer {key}"));
        }
        request
    }

    /// Sends `request` and returns an answer that is no refusal, its body not yet read.
    pub(super) async fn send(&self, request: Request) -> Result<Response, CliError> {
        let mut response = self.http.send(request).await?;
        if response.status().is_success() {
            return Ok(response);
        }
        let status = response.status() as u16;
        let bytes = read_body(response.take_body(), ANSWER_BYTES).await?;
        if let Ok(conflict) = serde_json::from_slice::<ConflictView>(&bytes) {
            return Err(CliError::Conflict(conflict_text(&conflict)));
        }
        let refusal: ErrorView =
            serde_json::from_slice(&bytes).map_err(|_| CliError::Malformed(status))?;
        Err(CliError::Refused(refusal.error))
    }

    /// Sends `request` and reads the JSON of its answer.
    pub(super) async fn ask<T: DeserializeOwned>(&self, request: Request) -> Result<T, CliError> {
        let mut response = self.send(request).await?;
        let bytes = read_body(response.take_body(), ANSWER_BYTES).await?;
        serde_json::from_slice(&bytes).map_err(|_| CliError::Malformed(response.status() as u16))
    }

    /// Asks with `GET`.
    pub(super) async fn get<T: DeserializeOwned>(&self, segments: &[&str]) -> Result<T, CliError> {
        self.ask(self.request(Method::Get, segments)).await
    }
}

/// Sets the idempotency key of a request.
pub(super) fn set_key(request: &mut Request, key: &str) -> Result<(), CliError> {
    let printable = key.bytes().all(|byte| (b' '..=b'~').contains(&byte));
    if key.is_empty() || key.len() > options::KEY_BYTES || !printable {
        let detail = "an idempotency key is 1 to 200 printable ASCII characters";
        return Err(CliError::Usage(detail.to_owned()));
    }
    request.insert_header(options::KEY_HEADER, key);
    Ok(())
}

fn conflict_text(view: &ConflictView) -> String {
    let difference = view.conflict.difference.trim_end();
    match view.conflict.current {
        Some(version) => {
            format!("{difference}\nedit again from version {version} (--base {version})")
        }
        None => format!("{difference}\nthere is no such entry any more"),
    }
}
