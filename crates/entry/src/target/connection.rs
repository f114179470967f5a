//! A connection to a target, and the exchange of a request and its answer on it.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use async_std::future::timeout;
use notch_h1::prelude::*;
use notch_platform_wire::{
    prelude::AnswerHeaders,
    target::{report_born, report_request},
};
use notch_relay::prelude::*;
use notch_types::prelude::MonoTime;

use crate::constants::{ANSWER_BODY_BYTES, ANSWER_HEAD_BYTES};

/// Timeout of a target's report: an interrupted stream has a few hundred milliseconds to go on.
const REPORT_TIMEOUT: Duration = Duration::from_millis(150);
/// Maximum size of a target's report.
const REPORT_BYTES: usize = 256 << 10;

/// How long a reused connection had been idle, and where the outcome of its next exchange is recorded.
#[derive(Debug)]
pub struct ReusedConnection {
    /// Idle timeout that the target announced.
    pub announced: Option<Duration>,
    /// Time for which the connection had been idle.
    pub idle: Duration,
    /// Records which idle times work.
    pub evidence: Arc<Mutex<IdleReuse>>,
    /// Origin of the times passed to `evidence`.
    pub origin: Instant,
}

impl ReusedConnection {
    fn note(&self, outcome: &Result<ResponseHead, AttemptFailure>) {
        let now = MonoTime::default() + self.origin.elapsed();
        let mut evidence = self.evidence.lock().unwrap_or_else(PoisonError::into_inner);
        match outcome {
            Ok(_) => evidence.note_answered(self.announced, self.idle, now),
            Err(AttemptFailure::ClosedBeforeAnswer | AttemptFailure::SilentBeforeAnswer) => {
                evidence.note_failed(self.announced, now);
            }
            // The connection works: the target answered on it.
            Err(_) => {}
        }
    }
}

/// A connection to a target.
#[derive(Debug)]
pub struct TargetConnection {
    /// Reader of the connection.
    pub reader: WireReader,
    /// Whether an answer to another request was received; such a connection isn't reused.
    pub is_out_of_sync: bool,
    /// `None` if it is new or has been used since it was reused.
    reused: Option<ReusedConnection>,
}

impl TargetConnection {
    /// Wraps a connection on which nothing was sent yet.
    pub fn new(reader: WireReader) -> Self {
        Self { reader, is_out_of_sync: false, reused: None }
    }

    /// Wraps a connection that was idle.
    pub fn reused(reader: WireReader, reused: ReusedConnection) -> Self {
        Self { reader, is_out_of_sync: false, reused: Some(reused) }
    }

    /// Sends a request and reads the head of its answer.
    ///
    /// A late duplicate answer to an earlier request may arrive first. It is recognized by its attempt id and
    /// skipped, and the connection isn't reused afterwards.
    ///
    /// # Errors
    /// How the attempt failed; [`AttemptFailure::verdict`] tells whether the request may have run.
    pub async fn exchange(
        &mut self,
        request: &[u8],
        attempt: Option<&str>,
        wait: Duration,
    ) -> Result<ResponseHead, AttemptFailure> {
        let exchange = self.exchange_unbounded(request, attempt);
        let outcome = timeout(wait, exchange).await;
        let outcome = outcome.unwrap_or(Err(AttemptFailure::SilentBeforeAnswer));
        if let Some(reused) = self.reused.take() {
            reused.note(&outcome);
        }
        outcome
    }

    /// Checks that the target at the other end is the incarnation `born`, so that it has the software version of that
    /// incarnation's entry: a target may have restarted under its name and address, and the news be on the way. The
    /// next request on this connection reaches the same incarnation, as a connection ends with it.
    ///
    /// # Errors
    /// It is another incarnation, or it can't be asked; nothing was run.
    pub async fn confirm_incarnation(
        &mut self,
        address: SocketAddr,
        born: u64,
    ) -> Result<(), AttemptFailure> {
        let asking = timeout(REPORT_TIMEOUT, self.ask_report(address)).await;
        match asking {
            Ok(Ok(body)) if report_born(&body).is_none_or(|told| told == born) => Ok(()),
            Ok(Ok(_)) => Err(AttemptFailure::OtherTarget),
            Ok(Err(_)) | Err(_) => Err(AttemptFailure::ConnectFailed),
        }
    }

    async fn ask_report(&mut self, address: SocketAddr) -> Result<Vec<u8>, WireError> {
        self.reader.send(&report_request(address)).await?;
        let head = self.reader.response_head(ANSWER_HEAD_BYTES).await?;
        let framing = head.framing().map_err(|_| WireError::Malformed)?;
        if !head.keep_alive || framing == BodyFraming::UntilClose {
            return Err(WireError::Closed);
        }
        self.reader.whole_body(framing, REPORT_BYTES).await
    }

    async fn exchange_unbounded(
        &mut self,
        request: &[u8],
        attempt: Option<&str>,
    ) -> Result<ResponseHead, AttemptFailure> {
        // A target may answer and close its side before it has read the whole request. Such an answer
        // is valid, so a failed write only counts if no whole answer can be read.
        let _ = self.reader.send(request).await;
        loop {
            let head = self.reader.response_head(ANSWER_HEAD_BYTES).await.map_err(head_failure)?;
            let answered = AnswerHeaders::decode(&head).attempt;
            let is_ours = match (answered, attempt) {
                (Some(answered), Some(attempt)) => answered == attempt,
                _ => true,
            };
            if is_ours {
                check_head(&head)?;
                return Ok(head);
            }
            self.is_out_of_sync = true;
            let framing = head.framing().map_err(|_| AttemptFailure::SpoiledAnswer)?;
            let skipped = self.reader.skip_body(framing, ANSWER_BODY_BYTES).await;
            skipped.map_err(|_| AttemptFailure::ClosedBeforeAnswer)?;
        }
    }
}

fn head_failure(error: WireError) -> AttemptFailure {
    match error {
        WireError::Closed | WireError::Io(_) | WireError::Stalled => {
            AttemptFailure::ClosedBeforeAnswer
        }
        WireError::Malformed | WireError::TooLarge => AttemptFailure::SpoiledAnswer,
    }
}

/// Checks that the head begins a usable answer of the target. A status that normally means that nothing ran is
/// trusted only if the target marked the request as not run; otherwise the request may have run.
fn check_head(head: &ResponseHead) -> Result<(), AttemptFailure> {
    let marks = AnswerHeaders::decode(head);
    match head.status {
        421 => Err(AttemptFailure::OtherTarget),
        _ if marks.not_run => Err(AttemptFailure::RefusedNotRun),
        408 | 429 | 503 => Err(AttemptFailure::TargetError),
        _ if marks.is_encoded => Err(AttemptFailure::SpoiledAnswer),
        200..300 if !marks.is_sealed => Err(AttemptFailure::SpoiledAnswer),
        _ => Ok(()),
    }
}
