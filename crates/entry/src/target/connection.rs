//! One connection to a target, and the exchange of one request on it.

use std::time::Duration;

use async_std::future::timeout;
use notch_h1::prelude::*;
use notch_platform_wire::prelude::AnswerHeaders;
use notch_relay::prelude::*;

use crate::constants::{ANSWER_BODY_BYTES, ANSWER_HEAD_BYTES};

/// One connection to a target.
#[derive(Debug)]
pub struct TargetConnection {
    /// Reads from it.
    pub reader: WireReader,
    /// Whether an answer of another request came: it is never used again.
    pub is_odd: bool,
}

impl TargetConnection {
    /// A connection on which nothing was sent yet.
    pub fn new(reader: WireReader) -> Self {
        Self { reader, is_odd: false }
    }

    /// Sends a request and brings the head of its answer.
    ///
    /// A late second answer to an earlier request may come first. The attempt's id tells it from
    /// ours; it is passed over, and the connection isn't kept.
    ///
    /// # Errors
    /// What the failure says of the request, see [`AttemptFailure::verdict`].
    pub async fn exchange(
        &mut self,
        request: &[u8],
        attempt: Option<&str>,
        wait: Duration,
    ) -> Result<ResponseHead, AttemptFailure> {
        let exchange = self.exchange_unbounded(request, attempt);
        timeout(wait, exchange).await.unwrap_or(Err(AttemptFailure::SilentBeforeAnswer))
    }

    async fn exchange_unbounded(
        &mut self,
        request: &[u8],
        attempt: Option<&str>,
    ) -> Result<ResponseHead, AttemptFailure> {
        // A target may answer before it has read all and close its side; its answer still counts,
        // so a failed write is told only when no answer can be read.
        let _ = write_all(self.reader.stream(), request).await;
        loop {
            let head = self.reader.response_head(ANSWER_HEAD_BYTES).await.map_err(head_failure)?;
            let answered = AnswerHeaders::decode(&head).attempt;
            let is_ours = match (answered, attempt) {
                (Some(answered), Some(attempt)) => answered == attempt,
                _ => true,
            };
            if is_ours {
                judge(&head)?;
                return Ok(head);
            }
            self.is_odd = true;
            let framing = head.framing().map_err(|_| AttemptFailure::SpoiledAnswer)?;
            let skipped = self.reader.whole_body(framing, ANSWER_BODY_BYTES).await;
            skipped.map_err(|_| AttemptFailure::ClosedBeforeAnswer)?;
        }
    }
}

fn head_failure(error: WireError) -> AttemptFailure {
    match error {
        WireError::Closed | WireError::Io(_) => AttemptFailure::ClosedBeforeAnswer,
        WireError::Malformed | WireError::TooLarge => AttemptFailure::SpoiledAnswer,
    }
}

/// Whether the head begins the target's own answer. The statuses that promise that nothing ran
/// count only with the target's word for it; without it the request may have run.
fn judge(head: &ResponseHead) -> Result<(), AttemptFailure> {
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
