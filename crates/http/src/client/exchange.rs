//! One request and its answer on one connection.

use std::{panic::AssertUnwindSafe, pin::pin, sync::Arc, time::Duration};

use async_h1::client::{Encoder, decode};
use async_std::{
    future::timeout,
    io::{ReadExt, WriteExt},
    net::TcpStream,
};
use futures_util::{
    FutureExt,
    future::{Either, select},
};
use http_types::{Method, Request, Response};

use super::{
    answer::{AnswerPlace, guard_answer},
    error::{LostCause, SendFailure},
    pool::{ConnectionPool, PeerAddress},
    settings::ClientSettings,
    stream::ClientStream,
};
use crate::guard::AnnouncedBody;

/// Bytes written to the socket at one time.
const PART_BYTES: usize = 16 << 10;
/// Wait for an answer after writing failed: a peer that refuses a body closes while it is sent,
/// and its answer may be here already.
const LAST_WORD: Duration = Duration::from_millis(200);

/// Why an exchange gave no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ExchangeFailure {
    /// Not a byte left.
    NotSent(SendFailure),
    /// The connection closed after something left and before a byte came back.
    ClosedUnanswered,
    /// Something left, and no whole head came back.
    Lost(LostCause),
}

/// How writing a request ended other than well.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WriteFailure {
    /// The connection broke.
    Broken,
    /// The peer took no byte for too long.
    Stalled,
    /// The request's own body broke off.
    BodyUnreadable,
}

/// What an exchange needs.
pub(super) struct Exchange<'a> {
    /// How long to wait.
    pub(super) settings: &'a ClientSettings,
    /// Where the connection goes afterwards.
    pub(super) pool: &'a Arc<ConnectionPool>,
    /// Where the connection leads.
    pub(super) address: PeerAddress,
}

impl Exchange<'_> {
    /// Sends `request` on `socket` and waits for the answer's head.
    pub(super) async fn run(
        self,
        socket: TcpStream,
        mut request: Request,
    ) -> Result<Response, ExchangeFailure> {
        let method = request.method();
        let body = AnnouncedBody::wrap(request.take_body());
        request.replace_body(body);
        let stream = ClientStream::new(socket);
        let patience = self.settings.body_timeout;
        let writing = pin!(write_request(stream.clone(), Encoder::new(request), patience));
        // The library panics on headers that are not ASCII; that must cost this exchange only.
        let reading = pin!(AssertUnwindSafe(decode(stream.clone())).catch_unwind());
        // The peer may answer before it has read the whole request, and refuse it so.
        let (answer, whole) = match select(writing, reading).await {
            Either::Right((answer, _)) => (answer, false),
            Either::Left((Ok(()), reading)) => {
                let answer = timeout(self.settings.response_timeout, reading).await;
                (answer.map_err(|_| self.failure(&stream, LostCause::TimedOut))?, true)
            }
            Either::Left((Err(failure), reading)) => {
                let answer = timeout(LAST_WORD, reading).await;
                (answer.map_err(|_| self.write_failure(&stream, failure))?, false)
            }
        };
        let Ok(Ok(response)) = answer else { return Err(self.read_failure(&stream)) };
        self.accept(stream, response, method, whole)
    }

    /// Puts the guards around the answer's body.
    fn accept(
        self,
        stream: ClientStream,
        response: Response,
        method: Method,
        whole: bool,
    ) -> Result<Response, ExchangeFailure> {
        let place = AnswerPlace {
            pool: whole.then(|| self.pool.clone()),
            address: self.address,
            settings: self.settings.clone(),
            stream,
        };
        guard_answer(response, method, place).map_err(ExchangeFailure::Lost)
    }

    fn failure(&self, stream: &ClientStream, cause: LostCause) -> ExchangeFailure {
        if stream.has_written() {
            ExchangeFailure::Lost(cause)
        } else {
            ExchangeFailure::NotSent(SendFailure::Closed)
        }
    }

    fn write_failure(&self, stream: &ClientStream, failure: WriteFailure) -> ExchangeFailure {
        match (failure, stream.has_written()) {
            (WriteFailure::BodyUnreadable, false) => {
                ExchangeFailure::NotSent(SendFailure::BodyUnreadable)
            }
            (_, false) => ExchangeFailure::NotSent(SendFailure::Closed),
            (WriteFailure::BodyUnreadable, true) => {
                ExchangeFailure::Lost(LostCause::BodyUnreadable)
            }
            (WriteFailure::Stalled, true) => ExchangeFailure::Lost(LostCause::TimedOut),
            (WriteFailure::Broken, true) if !stream.has_received() => {
                ExchangeFailure::ClosedUnanswered
            }
            (WriteFailure::Broken, true) => ExchangeFailure::Lost(LostCause::Closed),
        }
    }

    fn read_failure(&self, stream: &ClientStream) -> ExchangeFailure {
        match (stream.has_written(), stream.has_received(), stream.is_closed()) {
            (false, _, _) => ExchangeFailure::NotSent(SendFailure::Closed),
            (true, false, true) => ExchangeFailure::ClosedUnanswered,
            (true, true, true) => ExchangeFailure::Lost(LostCause::Closed),
            (true, _, false) => ExchangeFailure::Lost(LostCause::Malformed),
        }
    }
}

/// Writes the whole request; the time-out starts anew with each byte the peer takes.
async fn write_request(
    mut stream: ClientStream,
    mut encoder: Encoder,
    patience: Duration,
) -> Result<(), WriteFailure> {
    let mut part = vec![0_u8; PART_BYTES];
    loop {
        let read = encoder.read(&mut part).await;
        let filled = read.map_err(|_| WriteFailure::BodyUnreadable)?;
        let mut rest = &part[..filled];
        if rest.is_empty() {
            return Ok(());
        }
        while !rest.is_empty() {
            match timeout(patience, stream.write(rest)).await {
                Err(_) => return Err(WriteFailure::Stalled),
                Ok(Err(_) | Ok(0)) => return Err(WriteFailure::Broken),
                Ok(Ok(count)) => rest = &rest[count..],
            }
        }
    }
}
