//! Relays an online request: makes attempts at targets until an answer is complete or no more attempts are possible.

use std::time::Duration;

use async_std::{net::TcpStream, task};
use notch_h1::prelude::*;
use notch_platform_wire::{client::gateway_answer, prelude::RelayTerms, target::relayed_request};
use notch_relay::prelude::*;
use notch_telemetry::prelude::*;
use notch_types::prelude::*;

use crate::{
    constants::{
        MAX_NOT_RUN_RETRIES, MIN_RETRY_OBJECTIVES, NO_SLOT_RETRY_INTERVAL, NO_SLOT_TIMEOUT,
        RETRY_AFTER,
    },
    node::EntryNode,
    online::{
        fairness::{OverFairShare, ShareLease},
        give_up::GiveUpReason,
        lease::{AttemptEvidence, TargetLease},
        origins,
        request::OnlineRequest,
        slots,
        suspects::{InterruptedRun, PROBE_GRANT_WAIT, claim_probe, fingerprint},
    },
    target::{connection::TargetConnection, restart_watch::RestartWatch},
};

/// Number of probes for which a request waits that finds several of its suspects refused and due.
const MAX_PROBE_WAITS: u32 = 3;

/// Whether the client's connection can be used further.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Delivery {
    /// A complete answer was written; the connection can be reused.
    Answered,
    /// The answer is incomplete, or writing to the client failed; the connection must be closed.
    Incomplete,
}

/// How an attempt ended if the target didn't fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AttemptEnd {
    /// The answer was relayed completely, with this status.
    Complete(u16),
    /// Writing to the client failed.
    ClientGone,
    /// The probe that this attempt is could not be claimed; nothing was sent.
    Unclaimed,
}

/// How long a request may wait for a slot. There is no limit for a retry or a resumed stream, as the client may not
/// retry again, nor for a client without the time to retry, as a late answer is better than none.
fn queue_limit(node: &EntryNode, request: &OnlineRequest) -> QueueLimit {
    let objective = request.route.objective;
    let Some(deadline) = request.client_deadline else { return QueueLimit::Any };
    let is_retry = node.retry_detector().is_retry(&request.route.name, deadline);
    // Clients wait at most a third of their time before they retry.
    let can_retry = deadline >= objective * MIN_RETRY_OBJECTIVES;
    if is_retry || !can_retry || request.last_event().is_some() {
        return QueueLimit::Any;
    }
    QueueLimit::Within(objective)
}

/// The relay of one request, over all its attempts.
pub struct RequestRelay<'a> {
    pub(crate) node: &'a EntryNode,
    pub(crate) request: &'a OnlineRequest,
    pub(crate) client: &'a TcpStream,
    /// Whether the answer must announce that the connection closes after it.
    pub(crate) close: bool,
    /// The service. With a traffic split it is drawn once, so that all attempts go to the same one.
    service: String,
    /// Where the stream began, at whose software version alone it may go on; `None` before its first
    /// event.
    origin: Option<StreamOrigin>,
    /// Id of the last event that the client has: the last one passed on, or the one that it resumes after.
    pub(crate) last_event: Option<u64>,
    /// Number of events passed on.
    pub(crate) events: u32,
    /// Whether the response head was passed on.
    pub(crate) head_sent: bool,
    /// When the first event, or a non-streaming answer, was passed on.
    pub(crate) first_sent: Option<MonoTime>,
    /// Attempts that may have run. Invariant: at most the route's maximum.
    unknown: u32,
    /// Attempts that provably did not run.
    not_run: u32,
    /// Targets that failed this request.
    avoid: Vec<String>,
    /// Status of a complete or refused answer of the current attempt that reports a failure.
    pub(crate) failure_status: Option<u16>,
    /// Whether the target of the current attempt has sent a part of the answer after a response head that it may send
    /// while the request is queued.
    pub(crate) has_begun: bool,
    /// Whether the current attempt is the granted probe of a refused suspect.
    is_suspect_probe: bool,
    /// Time until the next probe of the suspect for which it is refused; `None` if it is refused for good.
    refused_for: Option<Duration>,
    /// Failed attempts, for the log.
    failures: Vec<String>,
    /// Software versions of the targets whose events were passed on, for the log. Invariant: no
    /// version follows itself.
    event_versions: Vec<String>,
    /// How long it may wait for a slot.
    queue: QueueLimit,
    /// Number of gateways asked for a slot in the last search.
    place_asks: u32,
    /// The target chosen last, with its load as known then: own and reported requests.
    last_choice: Option<TargetChoice>,
}

impl<'a> RequestRelay<'a> {
    /// Prepares a relay; [`run`](Self::run) performs it.
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
            origin: None,
            last_event: request.last_event(),
            events: 0,
            head_sent: false,
            first_sent: None,
            unknown: 0,
            not_run: 0,
            avoid: Vec::new(),
            failure_status: None,
            has_begun: false,
            is_suspect_probe: false,
            refused_for: Some(Duration::ZERO),
            failures: Vec::new(),
            event_versions: Vec::new(),
            queue: queue_limit(node, request),
            place_asks: 0,
            last_choice: None,
        }
    }

    /// Makes attempts until the request is answered or given up.
    pub async fn run(mut self) -> Delivery {
        // Counts the request until its end, also if this future is dropped.
        let Ok(_share) = self.take_share() else {
            return self.give_up(GiveUpReason::OverFairShare).await;
        };
        if !self.find_version().await {
            return self.give_up(GiveUpReason::VersionUnknown).await;
        }
        let mut searching_since = None;
        loop {
            let now = self.now();
            if self.request.left(now).is_zero() {
                return self.give_up(GiveUpReason::Deadline).await;
            }
            if let Some(reason) = self.refusal().await {
                return self.give_up(reason).await;
            }
            if self.is_version_uncertain() {
                return self.give_up(GiveUpReason::VersionUnknown).await;
            }
            let Some(choice) = self.choose_target().await else {
                let since = *searching_since.get_or_insert(now);
                if self.is_version_gone() {
                    return self.give_up(GiveUpReason::VersionGone).await;
                }
                // Only a stream that has begun, here or at another gateway, waits for a slot: its client may not
                // return. A new request is refused at once, with a retry delay.
                let has_begun = self.head_sent || self.origin.is_some();
                if !has_begun || now.since(since) > NO_SLOT_TIMEOUT {
                    return self.give_up(GiveUpReason::NoSlot).await;
                }
                task::sleep(NO_SLOT_RETRY_INTERVAL).await;
                continue;
            };
            searching_since = None;
            self.last_choice = Some(choice.clone());
            match self.attempt(&choice).await {
                Ok(AttemptEnd::Complete(status)) => {
                    self.log_end("answered", status);
                    return Delivery::Answered;
                }
                Ok(AttemptEnd::ClientGone) => {
                    self.log_end("client_unreachable", 0);
                    return Delivery::Incomplete;
                }
                Ok(AttemptEnd::Unclaimed) => return self.give_up(GiveUpReason::Quarantined).await,
                Err(failure) => {
                    self.note_failure(&choice, failure);
                    let is_partly_sent =
                        self.head_sent && self.request.route.kind != RouteKind::Streaming;
                    if is_partly_sent || !self.may_retry(failure) {
                        return self.give_up(GiveUpReason::Failed(failure)).await;
                    }
                }
            }
        }
    }

    /// Finds the software version of a stream that the client takes up; false if the stream may have begun at several
    /// versions.
    async fn find_version(&mut self) -> bool {
        let is_stream = self.request.route.kind == RouteKind::Streaming;
        if !is_stream || self.last_event.is_none() {
            return true;
        }
        let Some(origin) = origins::find(self.node, self.request, &self.service).await else {
            return false;
        };
        self.service.clone_from(&origin.service);
        self.origin = Some(origin);
        true
    }

    /// Records where the stream began, before its first event is passed on, so that it is known when the client takes the
    /// stream up.
    fn record_origin(&self, origin: StreamOrigin) {
        if !self.request.route.resumable {
            return;
        }
        let Some(attempt) = self.request.resumes().or(self.request.attempt()) else { return };
        origins::note(self.node, self.request, attempt, origin);
    }

    /// Decides whether the next attempt may be made, by what crashes targets. Returns why not.
    async fn refusal(&mut self) -> Option<GiveUpReason> {
        let mut waits = 0;
        loop {
            let admission = self.node.suspects().admit(self.request.suspects(), self.head_sent);
            let (suspect, left, is_final) = match admission {
                SuspectAdmission::Refused { asks_probe: true, .. } if waits < MAX_PROBE_WAITS => {
                    waits += 1;
                    task::sleep(PROBE_GRANT_WAIT).await;
                    continue;
                }
                SuspectAdmission::Refused { suspect, left, is_final, .. } => {
                    (suspect, left, is_final)
                }
                SuspectAdmission::Admitted | SuspectAdmission::Probe => {
                    self.is_suspect_probe = admission == SuspectAdmission::Probe;
                    return None;
                }
            };
            self.refused_for = (!is_final).then_some(left);
            return Some(match suspect {
                CrashSuspect::Request(_) => GiveUpReason::Quarantined,
                CrashSuspect::Part(_) => GiveUpReason::PartRefused,
            });
        }
    }

    /// Counts the request as use of its account where slots are shared among accounts. An error means that the account
    /// uses more than its share.
    fn take_share(&self) -> Result<Option<ShareLease<'a>>, OverFairShare> {
        let Some(edge) = self.node.fair_shares() else { return Ok(None) };
        let can_retry = self.queue != QueueLimit::Any;
        let routes = self.node.routes();
        edge.admit(self.request, &self.service, routes.as_deref(), can_retry).map(Some)
    }

    /// Logs and counts a request whose client closed its connection before the relay was done.
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

    /// Whether, if the current attempt fails and may have run, another one is allowed.
    pub(crate) fn has_attempts(&self) -> bool {
        self.request.route.may_repeat() && self.unknown + 1 < self.request.route.max_attempts
    }

    /// Chooses a target and counts the request there; `None` when no slot is available.
    async fn choose_target(&mut self) -> Option<TargetChoice> {
        let mut search = SlotSearch::probing(self.may_probe());
        let choice = slots::find(self.node, &mut search, &self.query()).await;
        self.place_asks = search.asks();
        choice
    }

    /// Whether this attempt may probe an ejected target: a failure must leave the request another attempt and its client
    /// a retry.
    fn may_probe(&self) -> bool {
        let is_first = self.avoid.is_empty() && !self.head_sent;
        let may_be_late = self.request.client_deadline.is_none() || self.queue != QueueLimit::Any;
        is_first && may_be_late && self.has_attempts()
    }

    fn query(&self) -> TargetQuery<'_> {
        TargetQuery {
            service: &self.service,
            work: WorkKind::Online,
            avoid: &self.avoid,
            queue: self.queue,
            version: self.origin.as_ref().map(|origin| origin.version.as_str()),
            prompt: &self.request.prompt,
        }
    }

    async fn attempt(&mut self, choice: &TargetChoice) -> Result<AttemptEnd, AttemptFailure> {
        let mut lease = TargetLease::new(self.node, choice, WorkKind::Online);
        let fingerprint = self.request.fingerprint;
        // Claimed once there is a target, so that no probe is used up for lack of one.
        if self.is_suspect_probe && !claim_probe(self.node, fingerprint, ProbeWork::Request).await {
            return Ok(AttemptEnd::Unclaimed);
        }
        let began = self.now();
        self.failure_status = None;
        self.has_begun = false;
        let end = self.attempt_at(choice).await;
        let result = self.attempt_result(end);
        lease.set_evidence(AttemptEvidence { fingerprint, result, has_begun: self.has_begun });
        match end {
            Ok(AttemptEnd::Complete(_)) => {
                lease.set_outcome(Ok(()));
                self.note_sound(end);
                self.note_latency(choice, began);
            }
            Ok(AttemptEnd::ClientGone | AttemptEnd::Unclaimed) => {}
            Err(failure) => {
                lease.set_outcome(Err(failure));
                if self.is_suspect_probe && failure.verdict() == RunVerdict::NotRun {
                    self.node.suspects().table().note_unspent_probe(fingerprint, self.now());
                }
                if failure.may_be_crash() {
                    let (suspects, reached) = (self.request.suspects(), self.last_event);
                    let run = InterruptedRun { suspects, choice, reached };
                    self.node.suspects().report_crash(run);
                }
            }
        }
        end
    }

    /// Records that the request is sound, if its target answered it with success.
    fn note_sound(&self, end: Result<AttemptEnd, AttemptFailure>) {
        if matches!(end, Ok(AttemptEnd::Complete(200..300))) {
            self.node.suspects().note_answer(self.request.suspects());
        }
    }

    /// How an attempt ended at its target; `None` if the client ended it.
    fn attempt_result(&self, end: Result<AttemptEnd, AttemptFailure>) -> Option<AttemptResult> {
        match (end, self.failure_status) {
            (_, Some(status)) => Some(AttemptResult::Status(status)),
            (Ok(AttemptEnd::Complete(status)), None) => Some(AttemptResult::Status(status)),
            (Ok(AttemptEnd::ClientGone | AttemptEnd::Unclaimed), None) => None,
            (Err(failure), None) => Some(AttemptResult::Broken(failure)),
        }
    }

    /// Records the latency of an answer that came from one target completely.
    fn note_latency(&self, choice: &TargetChoice, began: MonoTime) {
        let Some(first) = self.first_sent.filter(|first| *first >= began) else { return };
        let run = self.now().since(began);
        let first = choice.has_free_slot.then(|| first.since(began));
        self.node.targets().note_online_run(&self.service, run, first);
    }

    async fn attempt_at(&mut self, choice: &TargetChoice) -> Result<AttemptEnd, AttemptFailure> {
        let watch = RestartWatch::new(self.node, &choice.id);
        let (connection, head) = watch.read(self.exchange_with(choice)).await??;
        self.node.targets().note_alive(&choice.id);
        let is_stream = self.request.route.kind == RouteKind::Streaming && head.status == 200;
        if is_stream {
            return self.relay_stream(choice, connection, head).await;
        }
        self.relay_buffered(choice, connection, head).await
    }

    /// Sends the request to a target, and reads the head of its answer.
    async fn exchange_with(
        &self,
        choice: &TargetChoice,
    ) -> Result<(TargetConnection, ResponseHead), AttemptFailure> {
        let non_repeatable = !self.request.route.may_repeat();
        let mut connection =
            self.node.pool.connect(&choice.id, choice.address, non_repeatable).await?;
        if self.origin.is_some() && choice.born > 0 {
            connection.confirm_incarnation(choice.address, choice.born).await?;
        }
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
        Ok((connection, head))
    }

    /// Timeout of the first byte of an answer. A request that can't be tried elsewhere may wait until its deadline.
    fn first_byte_wait(&self, choice: &TargetChoice, left: Duration) -> Duration {
        if !self.has_attempts() {
            return left;
        }
        first_byte_timeout(self.request.route.objective, choice.has_free_slot).min(left)
    }

    /// Records that an event of this target is passed on.
    pub(crate) fn note_event_from(&mut self, choice: &TargetChoice) {
        let version = &choice.software_version;
        if self.event_versions.is_empty() {
            let began = self.origin.get_or_insert_with(|| StreamOrigin {
                service: self.service.clone(),
                version: version.clone(),
                target: choice.id.clone(),
            });
            let began = began.clone();
            self.record_origin(began);
        }
        if self.event_versions.last() != Some(version) {
            self.event_versions.push(version.clone());
        }
    }

    /// Whether no target can continue the stream: none of its version accepts requests.
    fn is_version_gone(&self) -> bool {
        let Some(StreamOrigin { service, version, .. }) = &self.origin else { return false };
        !self.node.targets().has_version(service, version)
    }

    /// Whether the version that began the stream is not certain any more: its target has restarted under its name with
    /// other software, possibly before the stream began.
    fn is_version_uncertain(&self) -> bool {
        let Some(StreamOrigin { version, target, .. }) = &self.origin else { return false };
        self.node.targets().is_version_uncertain(target, version)
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

    fn may_retry(&self, failure: AttemptFailure) -> bool {
        match failure.verdict() {
            RunVerdict::NotRun => self.not_run <= MAX_NOT_RUN_RETRIES,
            RunVerdict::Unknown if self.is_suspect_probe => false,
            RunVerdict::Unknown => {
                self.request.route.may_repeat() && self.unknown < self.request.route.max_attempts
            }
        }
    }

    /// Ends a request that no target answered: with an error response, or by closing the connection if part of an
    /// answer was passed on.
    async fn give_up(mut self, reason: GiveUpReason) -> Delivery {
        if self.head_sent {
            self.log_end(reason.code(), 0);
            return Delivery::Incomplete;
        }
        let (status, has_retry) = reason.answer(self.unknown > 0);
        let refused_for = self.refused_for.filter(|_| has_retry);
        let retry_after = refused_for.map(|left| left + self.retry_delay());
        if let Some(account) = self.request.account.credit.as_ref().filter(|_| self.unknown == 0) {
            self.node.accounts.refund(account, self.now());
        }
        let mut writer = gateway_answer(status, self.request.attempt(), retry_after);
        if self.close {
            writer.header("Connection", "close");
        }
        let written = write_all(self.client, &writer.with_body(&[])).await;
        self.node.metrics.count(Counter::Event("requests_given_up"));
        self.log_end(reason.code(), status);
        if written.is_ok() { Delivery::Answered } else { Delivery::Incomplete }
    }

    /// Retry delay of a refused client: the typical run time, after which a slot is likely to be free, plus a random
    /// part of up to as much, so that refused clients don't all retry at once.
    fn retry_delay(&self) -> Duration {
        let run = self.node.targets().latency(&self.service).run().unwrap_or(RETRY_AFTER);
        run.mul_f64(1.0 + EntryNode::draw())
    }

    /// Shared parts of the prompt of a request that targets failed, for the log.
    fn suspect_parts(&self) -> String {
        if self.failures.is_empty() {
            return String::new();
        }
        let parts = self.request.prompt.shared_parts().iter().copied();
        parts.map(|part| fingerprint(part).to_string()).collect::<Vec<_>>().join(",")
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
        let software = self.event_versions.join(",");
        let parts = self.suspect_parts();
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
                ("software", &software),
                ("own_load", &own_load),
                ("reported_load", &reported_load),
                ("place_asks", &self.place_asks),
                ("granted", &choice.is_some_and(|c| c.is_granted)),
                ("failures", &failures),
                ("parts", &parts),
                ("request", &fingerprint(self.request.fingerprint)),
                ("patience_ms", &self.request.client_deadline.map_or(-1, |p| p.as_millis() as i64)),
                ("last_event", &self.last_event.map_or(-1, |id| id as i64)),
                ("first_ms", &first_ms),
                ("ms", &now.since(arrived).as_millis()),
            ],
        );
    }
}
