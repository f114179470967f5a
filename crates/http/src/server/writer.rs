//! Writes one answer: each part at once, slow and leaving callers noticed.

use std::{
    future::poll_fn,
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use async_h1::server::Encoder;
use async_std::{
    future::timeout,
    io::{Read, WriteExt},
};
use http_types::{Method, Response};

use super::stream::ServerStream;
use crate::guard::AnnouncedBody;

/// Bytes written to the socket at one time.
const PART_BYTES: usize = 16 << 10;
/// The library's chunked encoder panics on a room below 6 bytes; less than this is left unused.
const SMALLEST_ROOM: usize = 256;

/// Why an answer was not written to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum WriteFailure {
    /// The caller went away.
    PeerGone,
    /// The caller took no byte for too long.
    SlowReader,
    /// The answer's body broke off.
    BodyCut,
}

/// Writes `response`. The caller leaving is noticed while the body has nothing to give, and the
/// body is dropped then.
pub(super) async fn write_response(
    stream: &mut ServerStream,
    mut response: Response,
    method: Method,
    patience: Duration,
) -> Result<(), WriteFailure> {
    let body = AnnouncedBody::wrap(response.take_body());
    response.replace_body(body);
    let mut encoder = Encoder::new(response, method);
    let mut part = vec![0_u8; PART_BYTES];
    loop {
        let filled = poll_fn(|cx| {
            if stream.poll_gone(cx).is_ready() {
                return Poll::Ready(Err(WriteFailure::PeerGone));
            }
            poll_part(&mut encoder, &mut part, cx).map(Ok)
        });
        let filled = filled.await?;
        write_part(stream, &part[..filled.count], patience).await?;
        match filled.after {
            AfterPart::More => {}
            AfterPart::End => return Ok(()),
            AfterPart::Broken => return Err(WriteFailure::BodyCut),
        }
    }
}

/// What the encoder had ready.
struct FilledPart {
    /// Bytes of it.
    count: usize,
    /// What follows them.
    after: AfterPart,
}

/// What follows a part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AfterPart {
    /// Perhaps more.
    More,
    /// Nothing: the answer is whole.
    End,
    /// Nothing: the body broke off. What came before still goes out.
    Broken,
}

/// Fills `part` with what the encoder has ready now, so that head and body leave together.
fn poll_part(encoder: &mut Encoder, part: &mut [u8], cx: &mut Context<'_>) -> Poll<FilledPart> {
    let mut count = 0;
    let mut after = AfterPart::More;
    while after == AfterPart::More && part.len() - count >= SMALLEST_ROOM {
        match Pin::new(&mut *encoder).poll_read(cx, &mut part[count..]) {
            Poll::Ready(Ok(0)) => after = AfterPart::End,
            Poll::Ready(Ok(more)) => count += more,
            Poll::Ready(Err(_)) => after = AfterPart::Broken,
            Poll::Pending if count == 0 => return Poll::Pending,
            Poll::Pending => break,
        }
    }
    Poll::Ready(FilledPart { count, after })
}

/// Writes all of `part`; the time-out starts anew with each byte the peer takes.
async fn write_part(
    stream: &mut ServerStream,
    mut part: &[u8],
    patience: Duration,
) -> Result<(), WriteFailure> {
    while !part.is_empty() {
        match timeout(patience, stream.write(part)).await {
            Err(_) => return Err(WriteFailure::SlowReader),
            Ok(Err(_) | Ok(0)) => return Err(WriteFailure::PeerGone),
            Ok(Ok(count)) => part = &part[count..],
        }
    }
    Ok(())
}

/// Whether every header can be written: the library writes names and values as they are, so a
/// line break in one would forge a header or an answer.
pub(super) fn headers_are_clean(response: &Response) -> bool {
    let mut values = response.iter().flat_map(|(_, values)| values.iter());
    values.all(|value| !value.as_str().bytes().any(|byte| byte.is_ascii_control() && byte != b'\t'))
}
