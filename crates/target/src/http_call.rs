//! What calls of engines and services have in common.

use std::net::SocketAddr;

use async_std::io::ReadExt;
use notch_http::prelude::*;

use crate::{
    call::{CallEnd, CallSink, is_retryable},
    probe::TargetProbe,
};

/// Bytes read at once.
const READ_BYTES: usize = 16 << 10;

/// A URL of the target.
pub(crate) fn target_url(address: SocketAddr, path: &str) -> Option<Url> {
    Url::parse(&format!("http://{address}{path}")).ok()
}

/// Sends a call; `Err` tells how it ended without an answer.
pub(crate) async fn send_call(
    client: &HttpClient,
    request: Request,
    idempotent: bool,
) -> Result<Response, CallEnd> {
    let sent = match idempotent {
        true => client.send_repeatable(request).await,
        false => client.send(request).await,
    };
    sent.map_err(|error| match error {
        ClientError::NotSent(_) => CallEnd::Unreached,
        ClientError::Lost(_) => CallEnd::Cut,
    })
}

/// Passes an answer on as it comes; `seen` sees every part.
pub(crate) async fn pass_body(
    mut body: Body,
    limit: u64,
    mut seen: impl FnMut(&[u8]),
) -> Result<(), CallEnd> {
    let mut part = vec![0; READ_BYTES];
    let mut total = 0_u64;
    loop {
        match body.read(&mut part).await {
            Ok(0) => return Ok(()),
            Ok(count) => {
                total += count as u64;
                if total > limit {
                    return Err(CallEnd::Failed { status: 0, retryable: false });
                }
                seen(&part[..count]);
            }
            Err(_) => return Err(CallEnd::Cut),
        }
    }
}

/// An answer whose status is no success: passed on where it is final, dropped where another try
/// may do better.
pub(crate) async fn end_failed(
    mut response: Response,
    limit: u64,
    sink: &mut dyn CallSink,
) -> (CallEnd, Vec<u8>) {
    let status = u16::from(response.status());
    if is_retryable(status) {
        return (CallEnd::Failed { status, retryable: true }, Vec::new());
    }
    match read_body(response.take_body(), limit).await {
        Ok(body) => {
            sink.bytes(&body);
            (CallEnd::Complete { status }, body)
        }
        Err(BodyError::TooLarge { .. }) => {
            (CallEnd::Failed { status, retryable: false }, Vec::new())
        }
        Err(_) => (CallEnd::Cut, Vec::new()),
    }
}

/// Reads a failed probe.
pub(crate) fn probe_failure(error: ClientError) -> TargetProbe {
    match error {
        ClientError::NotSent(SendFailure::Refused) => TargetProbe::Refused,
        ClientError::NotSent(SendFailure::Closed) | ClientError::Lost(LostCause::Closed) => {
            TargetProbe::Cut
        }
        ClientError::NotSent(_) | ClientError::Lost(_) => TargetProbe::Silent,
    }
}
