//! Relays answers that are not streams.

use async_std::future::timeout;
use notch_h1::prelude::*;
use notch_platform_wire::target::relayed_answer;
use notch_relay::prelude::*;
use notch_types::prelude::*;

use crate::{
    constants::CLIENT_STALL,
    online::{
        answer::{PassFailure, TargetAnswer},
        relay::{AttemptEnd, RequestRelay},
    },
    target::{connection::TargetConnection, restart_watch::RestartWatch},
};

impl RequestRelay<'_> {
    /// Relays an answer whose body is read whole before any of it is passed on.
    pub(super) async fn relay_buffered(
        &mut self,
        choice: &TargetChoice,
        mut connection: TargetConnection,
        head: ResponseHead,
    ) -> Result<AttemptEnd, AttemptFailure> {
        let is_failure = matches!(head.status, 500 | 502 | 504);
        self.failure_status = is_failure.then_some(head.status);
        if self.head_sent || (is_failure && self.has_attempts()) {
            return Err(AttemptFailure::TargetError);
        }
        let framing = head.framing().map_err(|_| AttemptFailure::SpoiledAnswer)?;
        // The head of an answer that is no stream tells its status, so the request has run.
        self.has_begun = true;
        let mut answer = TargetAnswer::new(framing, &self.node.memory);
        let left = self.request.left(self.now());
        let reading = timeout(left, answer.read(&mut connection.reader));
        let is_whole = match RestartWatch::new(self.node, &choice.id).read(reading).await? {
            Ok(Ok(is_whole)) => is_whole,
            Ok(Err(_)) => return Err(AttemptFailure::CutAnswer),
            Err(_) => return Err(AttemptFailure::StalledAnswer),
        };
        let mut writer = relayed_answer(&head);
        if self.close {
            writer.header("Connection", "close");
        }
        self.first_sent = Some(self.now());
        if !is_whole {
            return self.relay_unbuffered(choice, connection, (head, writer), answer).await;
        }
        self.node.give_back(&choice.id, connection, &head);
        let message = writer.with_body(answer.bytes());
        match write_within(self.client, &message, CLIENT_STALL).await {
            Ok(()) => Ok(AttemptEnd::Complete(head.status)),
            Err(_) => Ok(AttemptEnd::ClientGone),
        }
    }

    /// Relays an answer that doesn't fit into the memory budget: the client's reading sets the pace at which the target
    /// is read. The request can't be repeated from then on, and an answer that breaks off looks incomplete.
    async fn relay_unbuffered(
        &mut self,
        choice: &TargetChoice,
        mut connection: TargetConnection,
        (head, writer): (ResponseHead, MessageWriter),
        mut answer: TargetAnswer,
    ) -> Result<AttemptEnd, AttemptFailure> {
        self.head_sent = true;
        self.node.metrics.count(Counter::Event("answers_unbuffered"));
        self.node.log.info(
            "answer_unbuffered",
            &[
                ("id", &self.request.attempt().unwrap_or("-")),
                ("target", &choice.id),
                ("bytes", &answer.bytes().len()),
                ("held", &self.node.memory.used()),
            ],
        );
        let watch = RestartWatch::new(self.node, &choice.id);
        let bounds = (watch, self.request.left(self.now()));
        match answer.pass_on(&mut connection.reader, self.client, writer, bounds).await {
            Ok(()) => {
                self.node.give_back(&choice.id, connection, &head);
                Ok(AttemptEnd::Complete(head.status))
            }
            Err(PassFailure::Client) => Ok(AttemptEnd::ClientGone),
            Err(PassFailure::Target) => Err(AttemptFailure::CutAnswer),
        }
    }
}
