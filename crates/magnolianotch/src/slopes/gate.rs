//! A sidecar's gate: processor time of an attempt and of an item, memory, messages by itself.

use std::time::Duration;

use notch_gate::prelude::*;
use notch_messages::prelude::*;
use notch_types::{class::WorkClass, prelude::*};

use super::{
    machine::{ProcessorClock, least_of},
    report::SlopeReport,
    series::{RoleName::Sidecar, SeriesName},
};

const OWN: Incarnation = Incarnation(1);
const ATTEMPTS: u64 = 100_000;
const ROUNDS: usize = 3;
/// Attempts that run beside each other at a sidecar, bound of the usual policy.
const BESIDE: f64 = 64.0;
/// Gateways with a link to a sidecar.
const LINKS: usize = 8;

fn target() -> TargetName {
    TargetName::new("model-1")
}

fn gateway(number: usize) -> VmName {
    VmName::new(&format!("gateway-{number}"))
}

fn body() -> Payload {
    Payload::from("{\"prompt\":\"a prompt of usual length, as an instructor would write it\"}")
}

/// A gate with links to all gateways of its subset, without work.
pub(super) fn gate() -> AdmissionGate {
    let settings = GateSettings { incarnation: OWN, ..GateSettings::default() };
    let mut gate = AdmissionGate::new(settings);
    let concurrency = 2 * BESIDE as u32;
    let policy = TargetPolicy {
        max_concurrency: concurrency,
        start_concurrency: concurrency,
        ..TargetPolicy::default()
    };
    let mut events = vec![
        GateEvent::TargetPolicy { target: target(), policy },
        GateEvent::TargetUp { target: target(), instance: None },
    ];
    events.extend((0..LINKS).map(|number| GateEvent::GatewayUp { gateway: gateway(number) }));
    for event in events {
        gate.handle(Now::at_millis(1), event, &mut Vec::new());
    }
    gate
}

fn say(message: SidecarMessage) -> GateEvent {
    GateEvent::Message { gateway: gateway(0), message }
}

fn attempt(number: u64) -> AttemptId {
    AttemptId { request: RequestId(number.into()), number, incarnation: OWN }
}

fn offer(number: u64) -> GateEvent {
    say(SidecarMessage::Offer(AttemptOffer {
        attempt: attempt(number),
        target: target(),
        account: AccountName::new("account"),
        class: WorkClass::Online,
        path: String::new(),
        body: body(),
        stream: true,
        deadline_ms: 30_000,
        idempotent: true,
        fingerprint: Fingerprint(number.into()),
        alone: false,
        progress: None,
    }))
}

/// Offers `count` attempts, 10 ms apart, each of which ends once `beside` others have started.
pub(super) fn run_attempts(gate: &mut AdmissionGate, count: u64, beside: u64) {
    let mut effects = Vec::new();
    for number in 0..count {
        let now = Now::at_millis(10_000 + number * 10);
        let run = attempt(number);
        gate.handle(now, offer(number), &mut effects);
        gate.handle(now, GateEvent::RunStarted { run }, &mut effects);
        gate.handle(now, GateEvent::RunFirstToken { run }, &mut effects);
        if let Some(done) = number.checked_sub(beside) {
            let end = RunEnd::Complete { status: 200 };
            let event = GateEvent::RunEnded { run: attempt(done), end, total: 900, output: None };
            gate.handle(now, event, &mut effects);
        }
        effects.clear();
    }
}

/// Measures the gate.
pub(super) fn measure_gate(report: &mut SlopeReport) {
    let name = |quantity, unit, against| SeriesName { role: Sidecar, quantity, unit, against };
    let beside = [4_u64, 16, 32, 64].map(|beside| {
        let micros = least_of(ROUNDS, || {
            let mut gate = gate();
            let clock = ProcessorClock::start();
            run_attempts(&mut gate, ATTEMPTS, beside);
            clock.spent().as_secs_f64() * 1e6 / ATTEMPTS as f64
        });
        (beside as f64, micros)
    });
    report.add(name("gate: an attempt, offer to end", "µs", "attempts beside it"), BESIDE, &beside);
    report.figure(Sidecar, "gate: an item of a lot of 8", "µs", least_of(ROUNDS, item_micros));
    measure_messages(report);
}

fn item_micros() -> f64 {
    const LOTS: u64 = 10_000;
    let mut gate = gate();
    let mut effects = Vec::new();
    let clock = ProcessorClock::start();
    for number in 0..LOTS {
        let now = Now::at_millis(10_000 + number);
        let lot = lot(number);
        let keys: Vec<ItemKey> = lot.items.iter().map(|item| item.key).collect();
        gate.handle(now, say(SidecarMessage::Lot(lot)), &mut effects);
        for key in &keys {
            let run = AttemptId::for_item(key.job, key.item, 1, OWN);
            let end = RunEnd::Complete { status: 200 };
            let output = Some(body());
            gate.handle(now, GateEvent::RunEnded { run, end, total: 900, output }, &mut effects);
        }
        gate.handle(now, say(SidecarMessage::ItemsSettled(keys)), &mut effects);
        effects.clear();
    }
    clock.spent().as_secs_f64() * 1e6 / (LOTS * 8) as f64
}

fn lot(number: u64) -> LotGrant {
    let job = JobId { shard: ShardId(0), digest: u128::from(number) };
    let item = |index| LotItem {
        key: ItemKey { job, item: ItemIndex(index) },
        attempt: 1,
        body: body(),
        progress: None,
        fingerprint: Fingerprint(u128::from(number) << 8 | u128::from(index)),
    };
    LotGrant {
        lot: LotId(number),
        shard: ShardId(0),
        epoch: Epoch(1),
        target: target(),
        account: AccountName::new("account"),
        idempotent: true,
        lease_ms: 30_000,
        urgent: false,
        items: (0..8).map(item).collect(),
    }
}

/// Messages that a sidecar sends by itself, against the requests it serves.
fn measure_messages(report: &mut SlopeReport) {
    let points = [1_u64, 4, 10, 100].map(|rate| (rate as f64, reports_per_s(rate)));
    let name = SeriesName {
        role: Sidecar,
        quantity: "load reports to 8 gateways",
        unit: "messages/s",
        against: "requests/s at the sidecar",
    };
    report.add(name, 4.0, &points);
}

/// Load reports a second to all gateways together while `rate` requests a second come and go.
fn reports_per_s(rate: u64) -> f64 {
    const SPAN: Duration = Duration::from_secs(60);
    let mut gate = gate();
    let mut effects = Vec::new();
    let gap = 1_000 / rate;
    let mut next = 0;
    let mut number = 0;
    let mut count = 0;
    for millis in (0..SPAN.as_millis() as u64).step_by(5) {
        let now = Now::at_millis(10_000 + millis);
        if millis >= next {
            next += gap;
            gate.handle(now, offer(number), &mut effects);
            gate.handle(now, GateEvent::RunStarted { run: attempt(number) }, &mut effects);
            if let Some(done) = number.checked_sub(4) {
                let end = RunEnd::Complete { status: 200 };
                let run = attempt(done);
                let event = GateEvent::RunEnded { run, end, total: 900, output: None };
                gate.handle(now, event, &mut effects);
            }
            number += 1;
        }
        if gate.next_wake().is_some_and(|wake| wake <= now.mono) {
            gate.handle(now, GateEvent::Wake, &mut effects);
        }
        let is_load = |effect: &GateEffect| {
            matches!(effect, GateEffect::Send { message: GatewayMessage::Load(_), .. })
        };
        count += effects.drain(..).filter(is_load).count();
    }
    count as f64 / SPAN.as_secs_f64()
}
