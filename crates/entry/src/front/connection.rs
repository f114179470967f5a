//! A client connection, on which requests are served one after the other.

use std::{sync::Arc, time::Duration};

use async_std::{future::timeout, net::TcpStream, task};
use futures_util::{
    future::{Either, pending, select},
    pin_mut,
};
use notch_h1::prelude::*;
use notch_platform_wire::{client::gateway_answer, prelude::*};
use notch_relay::prelude::*;
use notch_types::prelude::*;

use crate::{
    accounts::{
        admission::{self, AdmissionRefusal},
        lookup::{self, RoutedCaller},
    },
    batch::{bodies, ends, intake, reads},
    constants::{
        CLIENT_STALL, READ_AHEAD_BYTES, RETRY_AFTER_START, RETRY_AFTER_STOP, STARTUP_STATE_POLL,
        STARTUP_STATE_WAIT,
    },
    front::{
        answer::OwnAnswer,
        body::{BodyError, read_body},
        connection_gate::OpenConnection,
    },
    node::EntryNode,
    online::{
        relay::{Delivery, RequestRelay},
        request::{OnlineRequest, RequestAccount},
    },
};

/// Size from which an answer's body is written separately, instead of being copied behind its head.
const SEPARATE_BODY_BYTES: usize = 16 << 10;

/// Serves a client connection, which counts as open, until it ends.
pub async fn serve_client(node: Arc<EntryNode>, stream: TcpStream, _open: OpenConnection) {
    let mut client =
        ClientConnection { node: &node, reader: WireReader::new(stream.clone()), stream };
    // A new connection is read in a stop, too: its client would take an unread one for a failure.
    let mut has_request = node.stop.before_end(client.await_first_request()).await.unwrap_or(false);
    while has_request {
        if !client.serve_request().await {
            return;
        }
        has_request = client.await_request().await;
    }
}

struct ClientConnection<'a> {
    node: &'a Arc<EntryNode>,
    reader: WireReader,
    stream: TcpStream,
}

impl ClientConnection<'_> {
    /// Waits for the next request's first byte; false when the connection is to be closed.
    async fn await_request(&mut self) -> bool {
        if self.reader.has_buffered() {
            return true;
        }
        let Some(idle_close) = self.node.stop.idle_close() else { return false };
        let filling = self.await_first_request();
        pin_mut!(filling);
        match select(filling, idle_close).await {
            Either::Left((has_request, _)) => has_request,
            Either::Right(_) => false,
        }
    }

    /// The same for the first request of a connection, which is not closed for being idle.
    async fn await_first_request(&mut self) -> bool {
        let limits = self.node.routes().map_or_else(ClientLimits::default, |r| r.limits().clone());
        matches!(timeout(limits.idle_timeout, self.reader.fill()).await, Ok(Ok(read)) if read > 0)
    }

    /// Waits until the configuration, the targets and what crashes them are known, at most [`STARTUP_STATE_WAIT`], and returns the
    /// routes in force if there are any. A gateway that has just started reads them within some 20 ms, which is less
    /// than the retry delay of a refused client.
    async fn await_startup_state(&self) -> Option<Arc<RouteTable>> {
        let began = self.node.clock.mono();
        loop {
            let routes = self.node.routes();
            let now = self.node.clock.mono();
            let is_known = self.node.was_synced() && self.node.crash_counts.is_ready(now);
            if is_known || now.since(began) >= STARTUP_STATE_WAIT {
                return routes;
            }
            task::sleep(STARTUP_STATE_POLL).await;
        }
    }

    /// Serves the request whose first bytes were read; false when the connection must be closed.
    async fn serve_request(&mut self) -> bool {
        let _active = self.node.stop.enter();
        let routes = self.await_startup_state().await;
        let limits = routes.as_ref().map_or_else(ClientLimits::default, |r| r.limits().clone());
        let reading = self.reader.request_head(limits.head_bytes);
        let head = match timeout(limits.head_timeout, reading).await {
            Ok(Ok(Some(head))) => head,
            Ok(Ok(None)) => return false,
            Ok(Err(error)) => return self.reject_unreadable(error, &limits).await,
            Err(_) => return self.write_last(408).await,
        };
        let arrived = self.node.clock.mono();
        let node = self.node;
        let reading = read_body(&mut self.reader, &head, limits.body_bytes, &node.memory);
        let body = match node.stop.before_end(reading).await {
            Some(Ok(body)) => body,
            Some(Err(BodyError::Wire(error))) => {
                return self.reject_unreadable(error, &limits).await;
            }
            Some(Err(BodyError::NoMemory)) => {
                let wait = RETRY_AFTER_START.mul_f64(1.0 + EntryNode::draw());
                return self.reject_unread(&head, "no_memory", wait).await;
            }
            None => return self.reject_unread(&head, "stopping", RETRY_AFTER_STOP).await,
        };
        let _held = body.held;
        let keep = head.keep_alive && !self.node.stop.is_stopping();
        let answer = match ClientCall::decode(&head) {
            ClientCall::Ready => OwnAnswer::of(if self.node.is_ready() { 200 } else { 503 }),
            ClientCall::Job { job, call } => self.job_call(&head, &job, call).await,
            ClientCall::Routed => match self.routed(head, body.bytes, arrived).await {
                Routed::Answer(answer, attempt) => {
                    return self.write(&answer, attempt.as_deref(), keep).await;
                }
                Routed::Delivered(delivery) => return keep && delivery == Delivery::Answered,
            },
        };
        self.write(&answer, None, keep).await
    }

    /// Serves a call about a job; only the account that submitted the job has access to it.
    async fn job_call(&self, head: &RequestHead, job: &str, call: JobCall) -> OwnAnswer {
        let caller = match lookup::find_caller(self.node, head).await {
            Ok(caller) => caller,
            Err(refusal) => return self.refuse(Some(job), &CallerIdentity::Unknown, refusal),
        };
        let account = caller.account_name();
        match call {
            JobCall::Read { after, wait } => {
                let reading = reads::read_results(self.node, job, account, after, wait);
                self.read_before_end(reading).await
            }
            JobCall::ReadItem { item } => {
                self.read_before_end(bodies::read_item(self.node, job, account, &item)).await
            }
            JobCall::End => {
                let ending = ends::end_job(self.node, job, account);
                // Not a refusal: the end may be stored.
                self.node.stop.before_end(ending).await.unwrap_or_else(|| OwnAnswer::of(504))
            }
        }
    }

    /// The outcome of a read, or a refusal if the process ends before.
    async fn read_before_end(&self, reading: impl Future<Output = OwnAnswer>) -> OwnAnswer {
        let outcome = self.node.stop.before_end(reading).await;
        outcome.unwrap_or_else(|| OwnAnswer::refused(RETRY_AFTER_STOP))
    }

    /// Serves a request on a route of the configuration: accepts a job, or relays an online request.
    async fn routed(&mut self, head: RequestHead, body: Vec<u8>, arrived: MonoTime) -> Routed {
        let attempt = RequestHeaders::decode(&head.headers).attempt.map(str::to_owned);
        // Only now, as the body may have taken long: a key that was revoked meanwhile must not be honoured.
        let RoutedCaller { routes, route, caller } =
            match lookup::find_route(self.node, &head).await {
                Ok(found) => found,
                Err(refusal) => {
                    let caller = CallerIdentity::Unknown;
                    let answer = self.refuse(attempt.as_deref(), &caller, refusal);
                    return Routed::Answer(answer, attempt);
                }
            };
        if route.kind == RouteKind::Batch {
            let account = caller.account_name();
            let accepting = intake::accept_job(self.node, &head, &body, &route, account, arrived);
            let accepted = self.node.stop.before_end(accepting).await;
            // Not a refusal: the job may be stored.
            let answer = accepted.unwrap_or_else(|| OwnAnswer::of(504));
            return Routed::Answer(answer, attempt);
        }
        let deadline = RequestHeaders::decode(&head.headers).deadline;
        if let Err(refusal) = admission::check_stop(self.node, &route, deadline, arrived) {
            return Routed::Answer(self.refuse(attempt.as_deref(), &caller, refusal), attempt);
        }
        let charging = admission::charge_request(self.node, &caller, &route, deadline);
        let credit = match charging.await {
            Ok(credit) => credit,
            Err(refusal) => {
                return Routed::Answer(self.refuse(attempt.as_deref(), &caller, refusal), attempt);
            }
        };
        let account = routes.accounts().map(|_| caller.account_name().to_owned());
        let account = RequestAccount { account, credit };
        let request = OnlineRequest::new(head, body, route, routes.version(), arrived, account);
        let delivery = self.relay(&request).await;
        Routed::Delivered(delivery)
    }

    /// Logs and counts the refusal of a request, and returns the response to it.
    fn refuse(
        &self,
        id: Option<&str>,
        caller: &CallerIdentity,
        refusal: AdmissionRefusal,
    ) -> OwnAnswer {
        let answer = refusal.answer();
        let age = self.node.accounts.age().age(self.node.clock.boot());
        let retry_after = answer.retry_after.map_or(-1, |wait| wait.as_millis() as i64);
        self.node.log.info(
            "request_refused",
            &[
                ("id", &id.unwrap_or("-")),
                ("reason", &refusal.code()),
                ("status", &answer.status),
                ("account", &caller.account_name()),
                ("configuration", &self.node.configuration_version()),
                ("age_ms", &age.map_or(-1, |age| age.as_millis() as i64)),
                ("retry_after_ms", &retry_after),
            ],
        );
        self.node.metrics.count(Counter::Event(refusal.code()));
        answer
    }

    /// Relays a request. When the client closes its connection, the relay is dropped, so that the target doesn't
    /// go on working for nobody.
    async fn relay(&mut self, request: &OnlineRequest) -> Delivery {
        let close = !request.head.keep_alive || self.node.stop.is_stopping();
        let relaying = RequestRelay::new(self.node, request, &self.stream, close).run();
        let closing = client_closed(&mut self.reader);
        pin_mut!(relaying, closing);
        match select(relaying, closing).await {
            Either::Left((delivery, _)) => delivery,
            Either::Right(_) => {
                RequestRelay::log_client_gone(self.node, request);
                Delivery::Incomplete
            }
        }
    }

    /// Refuses a request whose body is unread, and closes the connection for that reason.
    async fn reject_unread(
        &mut self,
        head: &RequestHead,
        reason: &'static str,
        wait: Duration,
    ) -> bool {
        let attempt = RequestHeaders::decode(&head.headers).attempt.map(str::to_owned);
        self.log_refusal(attempt.as_deref(), reason, 503);
        self.write(&OwnAnswer::refused(wait), attempt.as_deref(), false).await
    }

    async fn reject_unreadable(&mut self, error: WireError, limits: &ClientLimits) -> bool {
        match error {
            WireError::Closed | WireError::Io(_) | WireError::Stalled => false,
            WireError::Malformed => self.write_last(400).await,
            WireError::TooLarge => {
                // A newer configuration with other limits may accept it when it is sent again.
                let judged = lookup::check_limits(self.node, limits).await;
                let refusal = judged.err().unwrap_or(AdmissionRefusal::Unconfirmed);
                let answer = refusal.answer();
                self.log_refusal(None, refusal.code(), answer.status);
                self.write(&answer, None, false).await
            }
        }
    }

    /// Answers a request that could not be read to its end, and closes the connection, as the start of the next
    /// request is unknown.
    async fn write_last(&mut self, status: u16) -> bool {
        self.log_refusal(None, "unreadable", status);
        self.write(&OwnAnswer::of(status), None, false).await;
        false
    }

    async fn write(&mut self, answer: &OwnAnswer, attempt: Option<&str>, keep: bool) -> bool {
        let mut writer = gateway_answer(answer.status, attempt, answer.retry_after);
        if !answer.body.is_empty() {
            writer.header("Content-Type", "application/json");
        }
        if !keep {
            writer.header("Connection", "close");
        }
        let head = writer.with_length(answer.body.len() as u64);
        if answer.body.len() < SEPARATE_BODY_BYTES {
            let message = [head.as_slice(), &answer.body].concat();
            return self.write_part(&message, attempt).await && keep;
        }
        let is_written =
            self.write_part(&head, attempt).await && self.write_part(&answer.body, attempt).await;
        is_written && keep
    }

    /// Writes a part of an answer; false when the client can't be reached or doesn't read.
    async fn write_part(&self, bytes: &[u8], attempt: Option<&str>) -> bool {
        let written = write_within(&self.stream, bytes, CLIENT_STALL).await;
        if written == Err(WireError::Stalled) {
            let held = self.node.memory.used();
            let fields: [(&str, &dyn std::fmt::Display); 3] =
                [("id", &attempt.unwrap_or("-")), ("bytes", &bytes.len()), ("held", &held)];
            self.node.log.warn("answer_unread", &fields);
            self.node.metrics.count(Counter::Event("answers_unread"));
        }
        written.is_ok()
    }

    fn log_refusal(&self, attempt: Option<&str>, reason: &'static str, status: u16) {
        let version = self.node.configuration_version();
        self.node.log.info(
            "request_refused",
            &[
                ("id", &attempt.unwrap_or("-")),
                ("reason", &reason),
                ("status", &status),
                ("configuration", &version),
            ],
        );
        self.node.metrics.count(Counter::Event(reason));
    }
}

enum Routed {
    Answer(OwnAnswer, Option<String>),
    Delivered(Delivery),
}

/// Waits until the client closes its connection. Pipelined bytes are kept, up to [`READ_AHEAD_BYTES`]; beyond that a
/// close goes unnoticed.
async fn client_closed(reader: &mut WireReader) {
    loop {
        if reader.buffered_len() > READ_AHEAD_BYTES {
            pending::<()>().await;
        }
        match reader.fill().await {
            Ok(0) | Err(_) => return,
            Ok(_) => {}
        }
    }
}
