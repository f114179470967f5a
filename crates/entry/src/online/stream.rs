//! Relays an event stream, complete events only.

use std::time::Duration;

use async_std::future::timeout;
use notch_h1::prelude::*;
use notch_platform_wire::target::relayed_answer;
use notch_relay::prelude::*;
use notch_types::prelude::MonoTime;

use crate::{
    constants::{CLIENT_STALL, STALL_FACTOR},
    online::relay::{AttemptEnd, RequestRelay},
    target::{
        connection::TargetConnection, event_buffer::EventBuffer, restart_watch::RestartWatch,
    },
};

impl RequestRelay<'_> {
    /// Relays a target's stream until it ends or is interrupted. Only complete events are passed on to the client,
    /// so that the stream can be resumed at another target.
    pub(crate) async fn relay_stream(
        &mut self,
        choice: &TargetChoice,
        mut connection: TargetConnection,
        head: ResponseHead,
    ) -> Result<AttemptEnd, AttemptFailure> {
        let framing = head.framing().map_err(|_| AttemptFailure::SpoiledAnswer)?;
        let mut progress = BodyProgress::new(framing);
        let mut events = EventBuffer::after(self.last_event, &self.node.memory);
        let mut pace = self.node.stream_pace(&choice.id);
        let watch = RestartWatch::new(self.node, &choice.id);
        let mut waiting_since = self.now();
        loop {
            // Bytes that complete no event don't prolong the wait.
            let wait = self.event_wait(waiting_since);
            if wait.is_zero() {
                return Err(AttemptFailure::StalledAnswer);
            }
            pace.start_wait();
            let reading = timeout(wait, connection.reader.body_part(&mut progress));
            let part = match watch.read(reading).await? {
                Ok(Ok(part)) => part,
                Ok(Err(_)) => return Err(AttemptFailure::CutAnswer),
                Err(_) => return Err(AttemptFailure::StalledAnswer),
            };
            let Some(part) = part else { break };
            pace.end_wait();
            events.push(&part)?;
            let passed = self.events;
            if !self.pass_events(choice, &mut events, &head).await? {
                return Ok(AttemptEnd::ClientGone);
            }
            if self.events != passed {
                waiting_since = self.now();
            }
            pace.note_events(self.events.wrapping_sub(passed));
        }
        if events.has_partial_event() {
            return Err(AttemptFailure::CutAnswer);
        }
        self.node.give_back(&choice.id, connection, &head);
        let mut bytes = self.head_bytes(&head);
        bytes.extend_from_slice(LAST_CHUNK);
        match write_within(self.client, &bytes, CLIENT_STALL).await {
            Ok(()) => Ok(AttemptEnd::Complete(head.status)),
            Err(_) => Ok(AttemptEnd::ClientGone),
        }
    }

    /// Passes on the complete events that were read; false when writing to the client fails.
    async fn pass_events(
        &mut self,
        choice: &TargetChoice,
        events: &mut EventBuffer,
        head: &ResponseHead,
    ) -> Result<bool, AttemptFailure> {
        let mut bytes = Vec::new();
        let fault = loop {
            match events.next_event() {
                Ok(Some(event)) => {
                    self.last_event = Some(event.id);
                    self.events = self.events.wrapping_add(1);
                    self.has_begun = true;
                    write_chunk(&mut bytes, &event.bytes);
                }
                Ok(None) => break None,
                Err(fault) => break Some(fault),
            }
        };
        if !bytes.is_empty() {
            self.note_event_from(choice);
            let mut all = self.head_bytes(head);
            all.extend_from_slice(&bytes);
            if write_within(self.client, &all, CLIENT_STALL).await.is_err() {
                return Ok(false);
            }
        }
        match fault {
            None => Ok(true),
            Some(_) => Err(AttemptFailure::CutAnswer),
        }
    }

    /// The response head for the client, on the first call; empty afterwards, as a resumed stream keeps the head of
    /// its first target.
    fn head_bytes(&mut self, head: &ResponseHead) -> Vec<u8> {
        if self.head_sent {
            return Vec::new();
        }
        self.head_sent = true;
        self.first_sent = Some(self.now());
        let mut writer = relayed_answer(head);
        if self.close {
            writer.header("Connection", "close");
        }
        writer.with_chunks()
    }

    /// Time to wait for the next event before the stream counts as stalled, if the wait began at `since`.
    fn event_wait(&self, since: MonoTime) -> Duration {
        let now = self.now();
        let left = self.request.left(now);
        if !self.has_attempts() {
            return left;
        }
        let gap = if self.head_sent {
            self.request.route.event_gap
        } else {
            self.request.route.objective
        };
        gap.mul_f64(STALL_FACTOR).saturating_sub(now.since(since)).min(left)
    }
}
