//! A gate with a make-believe target and gateways around it.
#![allow(dead_code, unreachable_pub)]

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use notch_gate::prelude::*;
use notch_messages::prelude::*;
use notch_types::{class::WorkClass, prelude::*};

pub const OWN: Incarnation = Incarnation(7);

pub fn target() -> TargetName {
    TargetName::new("model")
}

pub fn gateway(number: u8) -> VmName {
    VmName::new(&format!("gateway-{number}"))
}

pub fn attempt(number: u64) -> AttemptId {
    AttemptId { request: RequestId(u128::from(number)), number, incarnation: OWN }
}

pub fn fingerprint(number: u64) -> Fingerprint {
    Fingerprint(u128::from(number))
}

pub fn offer(number: u64, deadline_ms: u64) -> AttemptOffer {
    AttemptOffer {
        attempt: attempt(number),
        target: target(),
        account: AccountName::new("account"),
        class: WorkClass::Online,
        path: String::new(),
        body: Payload::from("{}"),
        stream: true,
        deadline_ms,
        idempotent: true,
        fingerprint: fingerprint(number),
        alone: false,
        progress: None,
    }
}

pub fn job(number: u128) -> JobId {
    JobId { shard: ShardId(1), digest: number }
}

pub fn item(job_number: u128, index: u32) -> ItemKey {
    ItemKey { job: job(job_number), item: ItemIndex(index) }
}

/// The run of an item's first try.
pub fn item_run(key: ItemKey) -> AttemptId {
    AttemptId::for_item(key.job, key.item, 1, OWN)
}

pub fn lot(number: u64, keys: &[ItemKey]) -> LotGrant {
    let items = keys.iter().map(|key| LotItem {
        key: *key,
        attempt: 1,
        body: Payload::from("{}"),
        progress: None,
        fingerprint: fingerprint(1_000_000 + u64::from(key.item.0)),
    });
    LotGrant {
        lot: LotId(number),
        shard: ShardId(1),
        epoch: Epoch(5),
        target: target(),
        account: AccountName::new("account"),
        idempotent: true,
        lease_ms: 60_000,
        urgent: false,
        items: items.collect(),
    }
}

pub fn settings() -> GateSettings {
    GateSettings { incarnation: OWN, ..GateSettings::default() }
}

/// A fixed limit: learning can neither raise nor, without samples, cut it.
pub fn fixed(limit: u32) -> TargetPolicy {
    TargetPolicy { max_concurrency: limit, start_concurrency: limit, ..TargetPolicy::default() }
}

/// A gate, the time, and everything it wanted so far.
pub struct Bench {
    pub gate: AdmissionGate,
    pub now: u64,
    pub seen: Vec<GateEffect>,
    /// Runs started and not ended, with whether they were told to stop.
    pub in_flight: BTreeMap<AttemptId, bool>,
    /// Deadlines of online attempts when first offered, milliseconds.
    pub offered: Vec<(u64, AttemptId)>,
    /// Whether anything so far may have to run alone.
    pub sent_alone: bool,
    /// Runs of items that may be stopped and run again.
    pub repeatable_items: BTreeSet<AttemptId>,
}

impl Bench {
    pub fn new(settings: GateSettings, policy: TargetPolicy) -> Self {
        let gate = AdmissionGate::new(settings);
        let mut bench = Self {
            gate,
            now: 1_000,
            seen: Vec::new(),
            in_flight: BTreeMap::new(),
            offered: Vec::new(),
            sent_alone: false,
            repeatable_items: BTreeSet::new(),
        };
        bench.feed(GateEvent::Weights(PolicyWeights {
            latency_weight: 0.0,
            ..PolicyWeights::default()
        }));
        bench.feed(GateEvent::TargetPolicy { target: target(), policy });
        bench.feed(GateEvent::TargetUp { target: target(), instance: None });
        bench.feed(GateEvent::GatewayUp { gateway: gateway(1) });
        bench
    }

    /// Feeds one event; returns what it led to.
    pub fn feed(&mut self, event: GateEvent) -> Vec<GateEffect> {
        if let GateEvent::RunEnded { run, .. } = &event {
            self.in_flight.remove(run);
        }
        let mut effects = Vec::new();
        self.gate.handle(Now::at_millis(self.now), event, &mut effects);
        for effect in &effects {
            match effect {
                GateEffect::Start(request) => {
                    self.in_flight.insert(request.run, false);
                }
                GateEffect::Stop { run } => {
                    self.in_flight.insert(*run, true);
                }
                _ => {}
            }
        }
        self.seen.extend(effects.iter().cloned());
        effects
    }

    pub fn say(&mut self, message: SidecarMessage) -> Vec<GateEffect> {
        if let SidecarMessage::Offer(offer) = &message
            && !self.offered.iter().any(|(_, run)| *run == offer.attempt)
        {
            self.offered.push((self.now + offer.deadline_ms, offer.attempt));
        }
        self.feed(GateEvent::Message { gateway: gateway(1), message })
    }

    pub fn end(&mut self, run: AttemptId, end: RunEnd) -> Vec<GateEffect> {
        self.feed(GateEvent::RunEnded { run, end, total: 3, output: None })
    }

    /// Lets time pass, waking the gate whenever it asked for it.
    pub fn pass(&mut self, millis: u64) -> Vec<GateEffect> {
        let until = self.now + millis;
        let mut effects = Vec::new();
        while let Some(wake) = self.gate.next_wake()
            && wake <= MonoTime::from_millis(until)
        {
            self.now = self.now.max(wake.0.div_ceil(1_000));
            effects.extend(self.feed(GateEvent::Wake));
        }
        self.now = until;
        effects.extend(self.feed(GateEvent::Wake));
        effects
    }

    pub fn load(&self) -> TargetLoad {
        self.gate.loads().remove(0)
    }

    pub fn started(&self, run: AttemptId) -> usize {
        self.seen
            .iter()
            .filter(|effect| matches!(effect, GateEffect::Start(request) if request.run == run))
            .count()
    }

    /// Messages to gateways so far.
    pub fn sent(&self) -> Vec<&GatewayMessage> {
        messages(&self.seen)
    }
}

pub fn messages(effects: &[GateEffect]) -> Vec<&GatewayMessage> {
    let sent = effects.iter().filter_map(|effect| match effect {
        GateEffect::Send { message, .. } => Some(message),
        _ => None,
    });
    sent.collect()
}

pub fn outcomes(effects: &[GateEffect]) -> Vec<(AttemptId, AttemptOutcome)> {
    let ends = messages(effects).into_iter().filter_map(|message| match message {
        GatewayMessage::Ended { attempt, outcome, .. } => Some((*attempt, outcome.clone())),
        _ => None,
    });
    ends.collect()
}

pub fn refusals(effects: &[GateEffect]) -> Vec<(AttemptId, RefusalReason)> {
    let refused = messages(effects).into_iter().filter_map(|message| match message {
        GatewayMessage::Refused(refusal) => Some((refusal.attempt, refusal.reason)),
        _ => None,
    });
    refused.collect()
}

pub fn returns(effects: &[GateEffect]) -> Vec<ItemReturn> {
    let back = messages(effects).into_iter().filter_map(|message| match message {
        GatewayMessage::ItemsReturned { returns, .. } => Some(returns.clone()),
        _ => None,
    });
    back.flatten().collect()
}

pub fn results(effects: &[GateEffect]) -> Vec<ItemResult> {
    let done = messages(effects).into_iter().filter_map(|message| match message {
        GatewayMessage::ItemsDone { results, .. } => Some(results.clone()),
        _ => None,
    });
    done.flatten().collect()
}

pub fn seals(effects: &[GateEffect]) -> Vec<(AttemptId, SealVerdict)> {
    let sealed = messages(effects).into_iter().filter_map(|message| match message {
        GatewayMessage::Sealed { attempt, verdict } => Some((*attempt, *verdict)),
        _ => None,
    });
    sealed.collect()
}

pub fn stops(effects: &[GateEffect]) -> Vec<AttemptId> {
    let stopped = effects.iter().filter_map(|effect| match effect {
        GateEffect::Stop { run } => Some(*run),
        _ => None,
    });
    stopped.collect()
}

pub fn starts(effects: &[GateEffect]) -> Vec<AttemptId> {
    let started = effects.iter().filter_map(|effect| match effect {
        GateEffect::Start(request) => Some(request.run),
        _ => None,
    });
    started.collect()
}

/// Settings under which nothing but the event at hand moves.
pub fn still() -> GateSettings {
    GateSettings { learning_window: Duration::from_secs(3_600), ..settings() }
}
