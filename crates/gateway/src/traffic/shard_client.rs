//! Asks shard owners on behalf of a caller.

use std::time::Duration;

use async_std::future::timeout;
use notch_messages::prelude::*;
use notch_types::prelude::*;

use crate::control::{event::ControlEvent, inbox::ControlInbox};

/// Longer than any call is tried by the control thread, which always answers.
const ANSWER_WAIT: Duration = Duration::from_secs(30);

/// Asks shard owners.
#[derive(Debug, Clone)]
pub struct ShardClient {
    inbox: ControlInbox,
}

impl ShardClient {
    /// A client of this gateway's control thread.
    pub fn new(inbox: ControlInbox) -> Self {
        Self { inbox }
    }

    /// Asks, and waits for the answer.
    ///
    /// # Errors
    /// The owner's refusal, or one that says truthfully that nobody answered.
    pub async fn ask(&self, shard: ShardId, request: ShardRequest) -> Result<ShardAnswer, Refusal> {
        let (reply, answer) = async_channel::bounded(1);
        let request = Box::new(request);
        self.inbox.send(ControlEvent::AskShard { shard, request, reply });
        match timeout(ANSWER_WAIT, answer.recv()).await {
            Ok(Ok(ShardAnswer::Refused(refusal))) => Err(refusal),
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(_)) | Err(_) => {
                let detail = "the gateway stopped before the answer came; a resend is safe";
                Err(Refusal::unknown(RefusalReason::StoreUnavailable, detail))
            }
        }
    }

    /// A refusal for an answer of a kind that the question can't have.
    pub fn strange() -> Refusal {
        Refusal::unknown(RefusalReason::Internal, "the shard's owner gave another kind of answer")
    }
}
