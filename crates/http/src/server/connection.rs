//! One connection's life: request after request until it closes.

use std::{
    future::poll_fn,
    panic::AssertUnwindSafe,
    sync::Arc,
    task::Poll,
    time::{Duration, Instant},
};

use async_channel::Receiver;
use async_h1::server::{Encoder, decode};
use async_std::{future::timeout, io, net::Shutdown};
use futures_util::FutureExt;
use http_types::{Request, Response, headers};

use super::{
    Handler,
    counts::{CountCells, count},
    limits::{LIBRARY_HEAD_BYTES, ServerLimits},
    refusal::EdgeRefusal,
    request::{BodyFraming, body_framing, guard_request},
    stream::{HeadFailure, ServerStream},
    writer::{WriteFailure, headers_are_clean, write_response},
};

/// Longest wait, after the last answer, for the peer to see it and close.
const LINGER: Duration = Duration::from_secs(2);

/// What a connection needs of its server.
#[derive(Clone)]
pub(super) struct ConnectionContext {
    /// Answers requests.
    pub(super) handler: Handler,
    /// What is allowed.
    pub(super) limits: Arc<ServerLimits>,
    /// What happened.
    pub(super) counts: Arc<CountCells>,
    /// Closed when the server stops: running requests end, no other starts.
    pub(super) closing: Receiver<()>,
}

/// What becomes of the connection after a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Next {
    /// Another request may come.
    Keep,
    /// Closes; nothing of the request is left unread.
    Close,
    /// Closes once the peer has seen the answer: part of the request is unread.
    Linger,
    /// Closes at once: the peer is gone, or must see that its answer is cut.
    Cut,
}

/// Serves one connection to its end.
pub(super) async fn serve_connection(context: ConnectionContext, mut stream: ServerStream) {
    loop {
        let next = serve_request(&context, &mut stream).await;
        match next {
            Next::Keep if !context.closing.is_closed() => {}
            Next::Linger => return linger(&stream).await,
            Next::Keep | Next::Close | Next::Cut => return,
        }
    }
}

/// Serves one request.
async fn serve_request(context: &ConnectionContext, stream: &mut ServerStream) -> Next {
    if !wait_first_byte(context, stream).await {
        return Next::Cut;
    }
    let (request, framing) = match read_request(context, stream).await {
        Ok(parts) => parts,
        Err(HeadFailure::Closed) => return Next::Cut,
        Err(HeadFailure::Refused(refusal)) => return refuse(context, stream, refusal).await,
    };
    count(&context.counts.requests);
    let limit = context.limits.request_timeout;
    let started = Instant::now();
    let asked_to_close = wants_close(request.header(headers::CONNECTION));
    let method = request.method();
    let answered = timeout(limit, answer(context, stream, request)).await;
    let mut response = match answered {
        Ok(Some(response)) => response,
        Ok(None) => {
            count(&context.counts.peers_gone);
            return Next::Cut;
        }
        Err(_) => {
            count(&context.counts.slow_requests);
            EdgeRefusal::RequestTimedOut.response()
        }
    };
    let keep = !asked_to_close
        && !framing.is_chunked()
        && !context.closing.is_closed()
        && !wants_close(response.header(headers::CONNECTION))
        && framing.unread() <= context.limits.drain_bytes
        && !framing.continue_unsent();
    if !keep {
        response.insert_header(headers::CONNECTION, "close");
    }
    let patience = context.limits.write_timeout;
    // An answer of its own gets some time even when the request's is over.
    let left = limit.saturating_sub(started.elapsed()).max(patience);
    let written = timeout(left, write_response(stream, response, method, patience)).await;
    match written {
        Ok(Ok(())) if keep => drain(context, framing).await,
        Ok(Ok(())) if stream.is_body_done() => Next::Close,
        Ok(Ok(())) => Next::Linger,
        Ok(Err(failure)) => note_failure(context, failure),
        Err(_) => {
            count(&context.counts.slow_requests);
            Next::Cut
        }
    }
}

/// Waits for a request; false when the connection is to close instead.
async fn wait_first_byte(context: &ConnectionContext, stream: &ServerStream) -> bool {
    let first = timeout(context.limits.idle_timeout, stream.first_byte());
    let mut first = Box::pin(first);
    let mut closing = Box::pin(context.closing.recv());
    poll_fn(|cx| {
        if let Poll::Ready(first) = first.as_mut().poll(cx) {
            return Poll::Ready(matches!(first, Ok(Ok(()))));
        }
        closing.as_mut().poll(cx).map(|_| false)
    })
    .await
}

/// Reads and checks a head and puts the guards around its body.
async fn read_request(
    context: &ConnectionContext,
    stream: &ServerStream,
) -> Result<(Request, BodyFraming), HeadFailure> {
    let limits = &context.limits;
    let head_bytes = limits.head_bytes.min(LIBRARY_HEAD_BYTES);
    let head = stream.head(head_bytes, limits.header_count);
    match timeout(limits.head_timeout, head).await {
        Ok(head) => head?,
        Err(_) => return Err(HeadFailure::Refused(EdgeRefusal::SlowHead)),
    };
    // The whole head is here, so the library has nothing to wait for. It may still panic on what
    // the checks before it don't know of: that must cost this connection only.
    let decoded = AssertUnwindSafe(decode(stream.clone())).catch_unwind().await;
    let Ok(Ok(Some((request, reader)))) = decoded else {
        return Err(HeadFailure::Refused(EdgeRefusal::BadHead));
    };
    let announced = body_framing(&request).map_err(HeadFailure::Refused)?;
    if announced.is_some_and(|length| length > limits.body_bytes) {
        return Err(HeadFailure::Refused(EdgeRefusal::BodyTooLarge));
    }
    Ok(guard_request(request, reader, announced, stream, limits))
}

/// Runs the handler; `None` when the peer went away first.
async fn answer(
    context: &ConnectionContext,
    stream: &ServerStream,
    request: Request,
) -> Option<Response> {
    let handler = context.handler.clone();
    let running = AssertUnwindSafe(async move { handler(request).await }).catch_unwind();
    let mut running = Box::pin(running);
    let ended = poll_fn(|cx| {
        if let Poll::Ready(ended) = running.as_mut().poll(cx) {
            return Poll::Ready(Some(ended));
        }
        stream.poll_gone(cx).map(|()| None)
    });
    match ended.await? {
        Ok(response) if headers_are_clean(&response) => Some(response),
        Ok(_) => Some(EdgeRefusal::BadAnswer.response()),
        Err(_) => {
            count(&context.counts.panics);
            log::error!("event=handler_panicked");
            Some(EdgeRefusal::HandlerFailed.response())
        }
    }
}

/// Answers in place of the handler and closes.
async fn refuse(
    context: &ConnectionContext,
    stream: &mut ServerStream,
    refusal: EdgeRefusal,
) -> Next {
    let counts = &context.counts;
    count(match refusal {
        EdgeRefusal::BodyTooLarge => &counts.bodies_refused,
        EdgeRefusal::SlowHead => &counts.slow_requests,
        _ => &counts.heads_refused,
    });
    // No body was decoded, so the watch for a leaving peer stays off: what the peer still sends
    // belongs to the refused request.
    let mut encoder = Encoder::new(refusal.response(), http_types::Method::Get);
    let written = timeout(context.limits.write_timeout, io::copy(&mut encoder, stream)).await;
    if matches!(written, Ok(Ok(_))) { Next::Linger } else { Next::Cut }
}

/// Reads what the handler left of the body, so that the next request starts at its own bytes.
async fn drain(context: &ConnectionContext, framing: BodyFraming) -> Next {
    let drained = timeout(context.limits.body_timeout, framing.drain()).await;
    if matches!(drained, Ok(true)) { Next::Keep } else { Next::Cut }
}

fn note_failure(context: &ConnectionContext, failure: WriteFailure) -> Next {
    let counts = &context.counts;
    count(match failure {
        WriteFailure::PeerGone => &counts.peers_gone,
        WriteFailure::SlowReader => &counts.slow_readers,
        WriteFailure::BodyCut => &counts.answers_cut,
    });
    Next::Cut
}

fn wants_close(connection: Option<&http_types::headers::HeaderValues>) -> bool {
    let tokens = connection.into_iter().flat_map(|values| values.iter());
    let mut tokens = tokens.flat_map(|value| value.as_str().split(','));
    tokens.any(|token| token.trim().eq_ignore_ascii_case("close"))
}

/// Closes so that the peer sees the last answer: a socket closed with unread bytes is reset, and
/// a reset can overtake the answer.
async fn linger(stream: &ServerStream) {
    let _ = stream.socket().shutdown(Shutdown::Write);
    let _ = timeout(LINGER, stream.discard()).await;
}
