//! Relays one online request: attempts at targets until an answer is whole or none can come.

use std::time::Duration;

use async_std::{future::timeout, net::TcpStream, task};
use futures_util::{
    future::{Either, select},
    pin_mut,
};
use notch_h1::prelude::*;
use notch_platform_wire::{
    client::gateway_answer,
    prelude::RelayTerms,
    target::{relayed_answer, relayed_request},
};
use notch_relay::prelude::*;
use notch_telemetry::prelude::*;
use notch_types::prelude::*;

use crate::{
    constants::{
        ANSWER_BODY_BYTES, FIRST_BYTE_FREE_FACTOR, FIRST_BYTE_QUEUED_FACTOR, MAX_NOT_RUN_RETRIES,
        MIN_RETRY_OBJECTIVES, NO_PLACE_RETRY_INTERVAL, NO_PLACE_TIMEOUT, RETRY_AFTER,
    },
    node::EntryNode,
    online::{crashes, lease::TargetLease, places, request::OnlineRequest},
    target::connection::TargetConnection,
};

/// What became of the client's connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Delivery {
    /// A whole answer was written; the connection may go on.
    Answered,
    /// The answer is cut short, or the client reads no more: the connection must be closed.
    Cut,
}

/// How an attempt ended that is not a plain failure of the target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AttemptEnd {
    /// The answer is whole.
    Whole(u16),
    /// The client can't be written to any more.
    ClientGone,
}

/// Ends when the target has started again since the start `id`: a run there is over, also where its
/// connection stays silent.
async fn until_restarted(node: &EntryNode, id: &str) {
    loop {
        let listener = node.target_restarts.listen();
        if node.targets().has_restarted(id) {
            return;
        }
        listener.await;
    }
}

/// How long a request may wait for a place. One whose client has come back before may not come again;
/// one whose client hasn't the time to come back is better served late than not.
fn queue_limit(node: &EntryNode, request: &OnlineRequest) -> QueueLimit {
    let objective = request.route.objective;
    let Some(patience) = request.patience else { return QueueLimit::Any };
    let is_retry = node.patience().is_retry(&request.route.name, patience);
    // Clients wait for a third of their time at most before they come back.
    let can_come_back = patience >= objective * MIN_RETRY_OBJECTIVES;
    if is_retry || !can_come_back || request.last_event().is_some() {
        return QueueLimit::Any;
    }
    QueueLimit::Within(objective)
}

/// Relays one request.
pub struct RequestRelay<'a> {
    pub(crate) node: &'a EntryNode,
    pub(crate) request: &'a OnlineRequest,
    pub(crate) client: &'a TcpStream,
    /// Whether our answer must tell that the connection closes after it.
    pub(crate) close: bool,
    /// The service, drawn once: a split must not change between attempts.
    service: String,
    /// Last event passed on, or that the client held before.
    pub(crate) last_event: Option<u64>,
    /// Whether the head of the answer was passed on.
    pub(crate) head_sent: bool,
    /// When the first event or answer was passed on.
    pub(crate) first_sent: Option<MonoTime>,
    /// Sends that may have run. Invariant: never above the route's attempts.
    unknown: u32,
    /// Sends that provably did not run.
    not_run: u32,
    /// Targets that failed this request.
    avoid: Vec<String>,
    /// What failed, for the log.
    failures: Vec<String>,
    /// How long it may wait for a place.
    queue: QueueLimit,
    /// Gateways asked for a place at the last choice.
    place_asks: u32,
    /// The target chosen last, with what was known of it: own and reported requests there.
    last_choice: Option<TargetChoice>,
}

impl<'a> RequestRelay<'a> {
    /// A relay that hasn't begun.
    pub fn new(
        node: &'a EntryNode,
        request: &'a OnlineRequest,
        client: &'a TcpStream,
        close: bool,
    ) -> Self {
        let service = request.route.service_for(rand::random()).to_owned();
        Self {
            node,
            request,
            client,
            close,
            service,
            last_event: request.last_event(),
            head_sent: false,
            first_sent: None,
            unknown: 0,
            not_run: 0,
            avoid: Vec::new(),
            failures: Vec::new(),
            queue: queue_limit(node, request),
            place_asks: 0,
            last_choice: None,
        }
    }

    /// Relays the request to its end.
    pub async fn run(mut self) -> Delivery {
        if self.node.crashes().is_refused(self.request.fingerprint, self.now()) {
            return self.give_up("quarantined").await;
        }
        let mut searching_since = None;
        loop {
            let now = self.now();
            if self.request.left(now).is_zero() {
                return self.give_up("deadline").await;
            }
            let Some(choice) = self.choose().await else {
                let since = *searching_since.get_or_insert(now);
                // Only an answer that has begun is worth a wait for a place: a new request is told
                // at once when to come back.
                if !self.head_sent || now.since(since) > NO_PLACE_TIMEOUT {
                    return self.give_up("no_place").await;
                }
                task::sleep(NO_PLACE_RETRY_INTERVAL).await;
                continue;
            };
            searching_since = None;
            self.last_choice = Some(choice.clone());
            match self.attempt(&choice).await {
                Ok(AttemptEnd::Whole(status)) => {
                    self.log_end("answered", status);
                    return Delivery::Answered;
                }
                Ok(AttemptEnd::ClientGone) => {
                    self.log_end("client_unreachable", 0);
                    return Delivery::Cut;
                }
                Err(failure) => {
                    self.note_failure(&choice, failure);
                    if !self.may_try_again(failure) {
                        return self.give_up(failure.code()).await;
                    }
                }
            }
        }
    }

    /// The client closed its connection; the relay was dropped in the middle.
    pub fn log_client_gone(node: &EntryNode, request: &OnlineRequest) {
        let took = node.clock.mono().since(request.arrived).as_millis();
        let attempt = request.attempt().unwrap_or("-");
        node.log.info(
            "request_abandoned",
            &[("id", &attempt), ("route", &request.route.name), ("ms", &took)],
        );
        node.metrics.count(Counter::Event("requests_abandoned"));
    }

    pub(crate) fn now(&self) -> MonoTime {
        self.node.clock.mono()
    }

    /// Whether another attempt may follow one that may have run.
    pub(crate) fn has_attempts(&self) -> bool {
        self.request.route.may_repeat() && self.unknown + 1 < self.request.route.max_attempts
    }

    /// Chooses a target and counts the request there.
    async fn choose(&mut self) -> Option<TargetChoice> {
        let mut search = SlotSearch::default();
        let choice = places::find(self.node, &mut search, &self.query()).await;
        self.place_asks = search.asks();
        choice
    }

    fn query(&self) -> TargetQuery<'_> {
        TargetQuery {
            service: &self.service,
            work: WorkKind::Online,
            avoid: &self.avoid,
            queue: self.queue,
            prompt: &self.request.prompt,
        }
    }

    async fn attempt(&mut self, choice: &TargetChoice) -> Result<AttemptEnd, AttemptFailure> {
        let mut lease = TargetLease::new(self.node, choice, WorkKind::Online);
        let held_before = self.last_event;
        let began = self.now();
        let end = {
            let node = self.node;
            let attempting = self.attempt_at(choice);
            let restarting = until_restarted(node, &choice.id);
            pin_mut!(attempting, restarting);
            match select(attempting, restarting).await {
                Either::Left((end, _)) => end,
                Either::Right(_) => Err(AttemptFailure::TargetRestarted),
            }
        };
        match end {
            Ok(AttemptEnd::Whole(_)) => {
                lease.set_outcome(Ok(()));
                self.node.crashes().clear(self.request.fingerprint);
                self.note_pace(choice, began);
            }
            Ok(AttemptEnd::ClientGone) => {}
            Err(failure) => {
                lease.set_outcome(Err(failure));
                if failure.may_be_crash() && self.last_event == held_before {
                    crashes::tell_break(self.node, self.request.fingerprint, &choice.id);
                }
            }
        }
        end
    }

    /// Learns from an answer that came whole from one target.
    fn note_pace(&self, choice: &TargetChoice, began: MonoTime) {
        let Some(first) = self.first_sent.filter(|first| *first >= began) else { return };
        let run = self.now().since(began);
        let first = choice.has_free_slot.then(|| first.since(began));
        self.node.targets().note_online_run(&self.service, run, first);
    }

    async fn attempt_at(&mut self, choice: &TargetChoice) -> Result<AttemptEnd, AttemptFailure> {
        let strict = !self.request.route.may_repeat();
        let mut connection = self.node.pool.connect(&choice.id, choice.address, strict).await?;
        let left = self.request.left(self.now());
        let terms = RelayTerms {
            target: &choice.name,
            left,
            last_event: self.last_event,
            account: self.request.account.account.as_deref(),
        };
        let bytes = relayed_request(&self.request.head, &self.request.body, terms);
        let wait = self.first_byte_wait(choice, left);
        let head = connection.exchange(&bytes, self.request.attempt(), wait).await?;
        self.node.targets().note_alive(&choice.id);
        let is_stream = self.request.route.kind == RouteKind::Streaming && head.status == 200;
        if is_stream {
            return self.pass_stream(choice, connection, head).await;
        }
        self.pass_plain(choice, connection, head).await
    }

    /// How long an answer may take to begin. Where the request can't go elsewhere, silence is no
    /// reason to give up before its time is over.
    fn first_byte_wait(&self, choice: &TargetChoice, left: Duration) -> Duration {
        if !self.has_attempts() {
            return left;
        }
        let share =
            if choice.has_free_slot { FIRST_BYTE_FREE_FACTOR } else { FIRST_BYTE_QUEUED_FACTOR };
        self.request.route.objective.mul_f64(share).min(left)
    }

    async fn pass_plain(
        &mut self,
        choice: &TargetChoice,
        mut connection: TargetConnection,
        head: ResponseHead,
    ) -> Result<AttemptEnd, AttemptFailure> {
        let is_failure = matches!(head.status, 500 | 502 | 504);
        if self.head_sent || (is_failure && self.has_attempts()) {
            return Err(AttemptFailure::TargetError);
        }
        let framing = head.framing().map_err(|_| AttemptFailure::SpoiledAnswer)?;
        let left = self.request.left(self.now());
        let reading = connection.reader.whole_body(framing, ANSWER_BODY_BYTES);
        let body = match timeout(left, reading).await {
            Ok(Ok(body)) => body,
            Ok(Err(_)) => return Err(AttemptFailure::CutAnswer),
            Err(_) => return Err(AttemptFailure::StalledAnswer),
        };
        self.node.give_back(&choice.id, connection, &head);
        let mut writer = relayed_answer(&head);
        if self.close {
            writer.header("Connection", "close");
        }
        self.first_sent = Some(self.now());
        match write_all(self.client, &writer.with_body(&body)).await {
            Ok(()) => Ok(AttemptEnd::Whole(head.status)),
            Err(_) => Ok(AttemptEnd::ClientGone),
        }
    }

    fn note_failure(&mut self, choice: &TargetChoice, failure: AttemptFailure) {
        match failure.verdict() {
            RunVerdict::NotRun => self.not_run += 1,
            RunVerdict::Unknown => self.unknown += 1,
        }
        self.avoid.push(choice.id.clone());
        let TargetChoice { id, own_load, reported_load, .. } = choice;
        self.failures.push(format!("{id}:{}:{own_load}+{reported_load}", failure.code()));
        self.node.metrics.count(Counter::Event(failure.code()));
    }

    fn may_try_again(&self, failure: AttemptFailure) -> bool {
        match failure.verdict() {
            RunVerdict::NotRun => self.not_run <= MAX_NOT_RUN_RETRIES,
            RunVerdict::Unknown => {
                self.request.route.may_repeat() && self.unknown < self.request.route.max_attempts
            }
        }
    }

    /// The final answer of a request that no target answered, at once.
    async fn give_up(mut self, reason: &'static str) -> Delivery {
        if self.head_sent {
            self.log_end(reason, 0);
            return Delivery::Cut;
        }
        let (status, retry_after) = if reason == "quarantined" {
            (503, None)
        } else if self.unknown == 0 {
            (503, Some(self.come_back_after()))
        } else if reason == "deadline" {
            (504, None)
        } else {
            (502, None)
        };
        if let Some(account) = self.request.account.credit.as_ref().filter(|_| self.unknown == 0) {
            self.node.accounts.give_back(account, self.now());
        }
        let mut writer = gateway_answer(status, self.request.attempt(), retry_after);
        if self.close {
            writer.header("Connection", "close");
        }
        let written = write_all(self.client, &writer.with_body(&[])).await;
        self.node.metrics.count(Counter::Event("requests_given_up"));
        self.log_end(reason, status);
        if written.is_ok() { Delivery::Answered } else { Delivery::Cut }
    }

    /// When a client that was turned away should come back: when what runs now has ended, so that a
    /// place is likely free; spread over as long again, so that they don't come back together.
    fn come_back_after(&self) -> Duration {
        let run = self.node.targets().latency(&self.service).run().unwrap_or(RETRY_AFTER);
        run.mul_f64(1.0 + EntryNode::draw())
    }

    fn log_end(&mut self, outcome: &'static str, status: u16) {
        let now = self.now();
        let arrived = self.request.arrived;
        let first = self.first_sent.map(|at| at.since(arrived));
        if let Some(first) = first {
            self.node.metrics.observe(Timing::OnlineFirstByte, first);
        }
        self.node.metrics.observe(Timing::OnlineTotal, now.since(arrived));
        let attempt = self.request.attempt().unwrap_or("-");
        let first_ms = first.map_or(-1, |f| f.as_millis() as i64);
        let failures = self.failures.join(",");
        let choice = self.last_choice.as_ref();
        let target = choice.map_or("-", |c| &c.id);
        let own_load = choice.map_or(0, |c| c.own_load);
        let reported_load = choice.map_or(0, |c| c.reported_load);
        self.node.log.info(
            "request_ended",
            &[
                ("id", &attempt),
                ("route", &self.request.route.name),
                ("account", &self.request.account.account.as_deref().unwrap_or("-")),
                ("configuration", &self.request.configuration),
                ("outcome", &outcome),
                ("status", &status),
                ("target", &target),
                ("own_load", &own_load),
                ("reported_load", &reported_load),
                ("place_asks", &self.place_asks),
                ("granted", &choice.is_some_and(|c| c.is_granted)),
                ("failures", &failures),
                ("patience_ms", &self.request.patience.map_or(-1, |p| p.as_millis() as i64)),
                ("last_event", &self.last_event.map_or(-1, |id| id as i64)),
                ("first_ms", &first_ms),
                ("ms", &now.since(arrived).as_millis()),
            ],
        );
    }
}
