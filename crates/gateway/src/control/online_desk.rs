//! Online requests of this gateway: the router, the callers that wait, the answers on their way.

use std::{sync::Arc, time::Duration};

use async_channel::Sender;
use notch_messages::prelude::*;
use notch_routing::{
    AccountUse, ArrivalId, OnlineRequest, OnlineRouter, RequestEnd, RouterEffect, RouterEvent,
};
use notch_types::{class::WorkClass, prelude::*};

use crate::{
    control::{
        event::{ArrivalNews, OfferTemplate},
        step::{ControlStep, ShardReply},
    },
    traffic::{answer_book::AnswerBook, answer_page::AnswerPage},
};

/// Largest answer held for a caller, bytes.
const ANSWER_LIMIT: usize = 8 << 20;
/// A sidecar without a link for this long counts as gone.
const GONE_AFTER: Duration = Duration::from_secs(5);

/// What the desk wants sent to sidecars at once, so that a failed send is known at once.
pub type SidecarSend<'a> = &'a mut dyn FnMut(&VmName, SidecarMessage) -> bool;

#[derive(Debug)]
struct KnownRequest {
    offer: Arc<OfferTemplate>,
    /// Callers that wait for it.
    arrivals: Vec<ArrivalId>,
    pages: Vec<Arc<AnswerPage>>,
}

/// An attempt sent to a sidecar, so that its link's news find it.
#[derive(Debug)]
struct SentAttempt {
    vm: VmName,
    page: Arc<AnswerPage>,
}

/// Online requests. Bounds: the router's own on requests and callers.
#[derive(Debug)]
pub struct OnlineDesk {
    router: OnlineRouter,
    shards: u16,
    retention: Duration,
    arrivals: FastMap<ArrivalId, Sender<ArrivalNews>>,
    requests: FastMap<RequestId, KnownRequest>,
    sent: FastMap<AttemptId, SentAttempt>,
    answers: Arc<AnswerBook>,
    /// Sidecars whose link is down, and since when.
    silent: FastMap<VmName, MonoTime>,
    incarnations: FastMap<VmName, Incarnation>,
    effects: Vec<RouterEffect>,
}

impl OnlineDesk {
    /// A desk without requests. Answers of keyed requests are kept for `retention`.
    pub fn new(
        router: OnlineRouter,
        shards: u16,
        retention: Duration,
        answers: Arc<AnswerBook>,
    ) -> Self {
        Self {
            router,
            shards,
            retention,
            arrivals: FastMap::default(),
            requests: FastMap::default(),
            sent: FastMap::default(),
            answers,
            silent: FastMap::default(),
            incarnations: FastMap::default(),
            effects: Vec::new(),
        }
    }

    /// Callers that wait.
    pub fn waiting(&self) -> usize {
        self.arrivals.len()
    }

    /// The router, for status.
    pub fn router(&self) -> &OnlineRouter {
        &self.router
    }

    /// When time alone changes something.
    pub fn next_wake(&self) -> Option<MonoTime> {
        let gone = self.silent.values().map(|since| *since + GONE_AFTER);
        self.router.next_wake().into_iter().chain(gone).min()
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Now, send: SidecarSend<'_>, steps: &mut Vec<ControlStep>) {
        let mut gone: Vec<VmName> = self
            .silent
            .iter()
            .filter(|(_, since)| now.mono.since(**since) >= GONE_AFTER)
            .map(|(vm, _)| vm.clone())
            .collect();
        gone.sort();
        for vm in gone {
            self.silent.remove(&vm);
            self.incarnations.remove(&vm);
            self.route(now, RouterEvent::SidecarGone { vm }, send, steps);
        }
        if self.router.next_wake().is_some_and(|due| due <= now.mono) {
            self.route(now, RouterEvent::Tick, send, steps);
        }
    }

    /// Takes a caller's request.
    pub fn arrive(
        &mut self,
        now: Now,
        request: OnlineRequest,
        offer: Arc<OfferTemplate>,
        news: Sender<ArrivalNews>,
        send: SidecarSend<'_>,
        steps: &mut Vec<ControlStep>,
    ) {
        self.arrivals.insert(request.arrival, news);
        let known = || KnownRequest { offer, arrivals: Vec::new(), pages: Vec::new() };
        let known = self.requests.entry(request.request).or_insert_with(known);
        known.arrivals.push(request.arrival);
        self.route(now, RouterEvent::Arrived(request), send, steps);
    }

    /// A sidecar's first message on a new link.
    pub fn welcome(
        &mut self,
        now: Now,
        welcome: SidecarWelcome,
        send: SidecarSend<'_>,
        steps: &mut Vec<ControlStep>,
    ) {
        let SidecarWelcome { vm, domain, incarnation, load } = welcome;
        let returned = self.silent.remove(&vm).is_some();
        let same = self.incarnations.insert(vm.clone(), incarnation) == Some(incarnation);
        if returned && same {
            self.route(now, RouterEvent::SidecarBack { vm: vm.clone() }, send, steps);
            self.resume_all(&vm, send);
        }
        let seen = RouterEvent::SidecarSeen { vm, domain, incarnation, load };
        self.route(now, seen, send, steps);
    }

    /// A sidecar's link ended.
    pub fn link_down(
        &mut self,
        now: Now,
        vm: &VmName,
        send: SidecarSend<'_>,
        steps: &mut Vec<ControlStep>,
    ) {
        if self.incarnations.contains_key(vm) {
            self.silent.insert(vm.clone(), now.mono);
            self.route(now, RouterEvent::SidecarSilent { vm: vm.clone() }, send, steps);
        }
    }

    /// Takes an account's use that came by gossip.
    pub fn account_rumor(
        &mut self,
        now: Now,
        gateway: &VmName,
        usage: AccountUse,
        send: SidecarSend<'_>,
        steps: &mut Vec<ControlStep>,
    ) {
        let event = RouterEvent::AccountRumor { gateway: gateway.clone(), usage };
        self.route(now, event, send, steps);
    }

    /// Feeds the router and carries out what it wants.
    pub fn route(
        &mut self,
        now: Now,
        event: RouterEvent,
        send: SidecarSend<'_>,
        steps: &mut Vec<ControlStep>,
    ) {
        self.router.handle(now, event, &mut self.effects);
        while !self.effects.is_empty() {
            for effect in std::mem::take(&mut self.effects) {
                self.carry(now, effect, send, steps);
            }
        }
    }

    /// Asks a sidecar that is back to send what is missing of every answer on its way.
    fn resume_all(&self, vm: &VmName, send: SidecarSend<'_>) {
        let mut missing: Vec<(AttemptId, u64)> = self
            .sent
            .iter()
            .filter(|(_, sent)| sent.vm == *vm)
            .filter_map(|(attempt, sent)| Some((*attempt, sent.page.resume_offset()?)))
            .collect();
        missing.sort_unstable();
        for (attempt, offset) in missing {
            send(vm, SidecarMessage::Resume { attempt, offset });
        }
    }

    fn carry(
        &mut self,
        now: Now,
        effect: RouterEffect,
        send: SidecarSend<'_>,
        steps: &mut Vec<ControlStep>,
    ) {
        match effect {
            RouterEffect::Dispatch { request, attempt, vm, deadline_left, idempotent, alone } => {
                let sent =
                    self.dispatch(request, attempt, &vm, deadline_left, idempotent, alone, send);
                if !sent {
                    // It never left this process, so it surely never started.
                    let reason = RefusalReason::NoTarget;
                    let refusal = AttemptRefusal { attempt, reason, retry_after_ms: None };
                    let event = RouterEvent::AttemptRefused(refusal);
                    self.router.handle(now, event, &mut self.effects);
                }
            }
            RouterEffect::Seal { vm, attempt } => {
                send(&vm, SidecarMessage::Seal { attempt });
            }
            RouterEffect::Cancel { vm, attempt } => {
                if let Some(sent) = self.sent.get(&attempt) {
                    sent.page.abandon();
                }
                send(&vm, SidecarMessage::Cancel { attempt });
            }
            RouterEffect::Claim { request, account, attempt, fingerprint } => {
                let retention_ms = self.retention.as_millis() as u64;
                let claim =
                    ShardRequest::Claim { request, account, attempt, fingerprint, retention_ms };
                self.ask(request, claim, ShardReply::Claim { request, attempt }, steps);
            }
            RouterEffect::ReleaseClaim { request, attempt } => {
                let release = ShardRequest::ReleaseClaim { request, attempt };
                self.ask(request, release, ShardReply::Nobody, steps);
            }
            RouterEffect::Fetch { request, account } => {
                let fetch = ShardRequest::FetchAnswer { request, account };
                self.ask(request, fetch, ShardReply::Fetch { request }, steps);
            }
            RouterEffect::Deliver { request, attempt } => self.deliver(request, attempt),
            RouterEffect::RecordAnswer { request, account, fingerprint, attempt } => {
                let whole = self.sent.get(&attempt).and_then(|sent| sent.page.whole());
                let answer = match whole {
                    Some((status, body)) => StoredAnswer::Answered { status, body: body.into() },
                    None => StoredAnswer::Unknown,
                };
                self.record(request, account, fingerprint, answer, steps);
            }
            RouterEffect::RecordUnknown { request, account, fingerprint, .. } => {
                self.record(request, account, fingerprint, StoredAnswer::Unknown, steps);
            }
            RouterEffect::Finish { arrival, end, .. } => self.finish(arrival, end),
            RouterEffect::Forget { request } => self.forget(request),
            RouterEffect::Quarantine { fingerprint, target } => {
                self.quarantine(fingerprint, target, steps);
            }
            RouterEffect::Suspected { fingerprint, vm, alone } => {
                steps.extend(suspect_rumor(fingerprint, vm, alone));
            }
            RouterEffect::TellSuspect { fingerprint, vm, alone } => {
                steps.push(ControlStep::TellSuspect { fingerprint, vm, alone });
            }
            RouterEffect::SuspectRun { fingerprint, attempt, left } => {
                steps.extend(suspect_run_rumor(fingerprint, attempt, left));
            }
            RouterEffect::Rumor(usage) => steps.push(account_step(now, usage)),
            RouterEffect::Count(counter) => steps.push(ControlStep::Count(counter)),
            RouterEffect::Note(note) => steps.push(ControlStep::Note(note)),
        }
    }

    #[expect(clippy::too_many_arguments, reason = "the fields of one effect")]
    fn dispatch(
        &mut self,
        request: RequestId,
        attempt: AttemptId,
        vm: &VmName,
        deadline_left: Duration,
        idempotent: bool,
        alone: bool,
        send: SidecarSend<'_>,
    ) -> bool {
        let Some(known) = self.requests.get_mut(&request) else { return false };
        let page = self.answers.open(attempt, ANSWER_LIMIT);
        known.pages.push(Arc::clone(&page));
        self.sent.insert(attempt, SentAttempt { vm: vm.clone(), page });
        let offer = &known.offer;
        send(
            vm,
            SidecarMessage::Offer(AttemptOffer {
                attempt,
                target: offer.target.clone(),
                account: offer.account.clone(),
                class: WorkClass::Online,
                path: offer.path.clone(),
                body: offer.body.clone(),
                stream: offer.stream,
                deadline_ms: deadline_left.as_millis() as u64,
                idempotent,
                fingerprint: offer.fingerprint,
                progress: None,
                alone,
            }),
        )
    }

    /// Tells every caller that waits for the request; those that want a whole answer ignore it.
    fn deliver(&mut self, request: RequestId, attempt: AttemptId) {
        let Some(sent) = self.sent.get(&attempt) else { return };
        let Some(known) = self.requests.get(&request) else { return };
        for arrival in &known.arrivals {
            if let Some(news) = self.arrivals.get(arrival) {
                let _ = news.try_send(ArrivalNews::Deliver(Arc::clone(&sent.page)));
            }
        }
    }

    fn finish(&mut self, arrival: ArrivalId, end: RequestEnd) {
        let page = match &end {
            RequestEnd::Answered { attempt } => self.sent.get(attempt).map(|s| s.page.clone()),
            _ => None,
        };
        if let Some(news) = self.arrivals.remove(&arrival) {
            let _ = news.try_send(ArrivalNews::Finish { end, page });
        }
    }

    fn forget(&mut self, request: RequestId) {
        let Some(known) = self.requests.remove(&request) else { return };
        for page in known.pages {
            self.answers.close(page.attempt());
            self.sent.remove(&page.attempt());
        }
    }

    fn record(
        &self,
        request: RequestId,
        account: AccountName,
        fingerprint: Fingerprint,
        answer: StoredAnswer,
        steps: &mut Vec<ControlStep>,
    ) {
        let retention_ms = self.retention.as_millis() as u64;
        let store =
            ShardRequest::StoreAnswer { request, account, fingerprint, answer, retention_ms };
        self.ask(request, store, ShardReply::Record { request }, steps);
    }

    fn quarantine(
        &self,
        fingerprint: Fingerprint,
        target: TargetName,
        steps: &mut Vec<ControlStep>,
    ) {
        let shard = RequestId(fingerprint.0).shard(self.shards);
        let request = Box::new(ShardRequest::RecordQuarantine { fingerprint, target });
        steps.push(ControlStep::AskShard { shard, request, reply: ShardReply::Nobody });
        steps.push(quarantine_rumor(fingerprint));
    }

    fn ask(
        &self,
        request: RequestId,
        ask: ShardRequest,
        reply: ShardReply,
        steps: &mut Vec<ControlStep>,
    ) {
        let shard = request.shard(self.shards);
        steps.push(ControlStep::AskShard { shard, request: Box::new(ask), reply });
    }
}

fn quarantine_rumor(fingerprint: Fingerprint) -> ControlStep {
    let topic = RumorTopic::Quarantine(fingerprint);
    let rumor = Rumor { topic, version: 1, value: Payload::default() };
    let event = notch_membership::MembershipEvent::RumorLocal { rumor, urgent: true };
    ControlStep::Member(event)
}

fn suspect_rumor(fingerprint: Fingerprint, vm: VmName, alone: bool) -> Option<ControlStep> {
    let value = notch_link::codec::encode(&alone).ok()?.into();
    let topic = RumorTopic::Suspect(fingerprint, vm);
    let rumor = Rumor { topic, version: 1 + u64::from(alone), value };
    let event = notch_membership::MembershipEvent::RumorLocal { rumor, urgent: true };
    Some(ControlStep::Member(event))
}

fn suspect_run_rumor(
    fingerprint: Fingerprint,
    attempt: AttemptId,
    left: Option<Duration>,
) -> Option<ControlStep> {
    let left_ms = left.map(|left| left.as_millis() as u64);
    let value = notch_link::codec::encode(&left_ms).ok()?.into();
    let topic = RumorTopic::SuspectRun(fingerprint, attempt);
    let rumor = Rumor { topic, version: 1 + u64::from(left.is_none()), value };
    let event = notch_membership::MembershipEvent::RumorLocal { rumor, urgent: true };
    Some(ControlStep::Member(event))
}

/// The rumour's topic needs this gateway's name, which the core adds.
fn account_step(now: Now, usage: AccountUse) -> ControlStep {
    ControlStep::AccountUse { at: now, usage }
}
