//! What the sidecar costs: processor time of the gate for an attempt, latency that the sidecar
//! adds to a call of the target over loopback, and processor time of the whole path.
//!
//! `cargo run --release -p notch-sidecar --example cost`

#![expect(clippy::print_stdout, reason = "its answers are its figures")]

#[path = "../tests/common/mod.rs"]
mod common;

use std::{
    fs,
    time::{Duration, Instant},
};

use async_std::task::{self, block_on};
use common::*;
use notch_gate::prelude::*;
use notch_http::prelude::*;
use notch_messages::prelude::*;
use notch_settings::prelude::TargetSettings;
use notch_sidecar::prelude::*;
use notch_standins::{ServiceHandle, ServiceSettings};
use notch_types::{class::TargetKind, prelude::*};

/// Attempts of each round.
const ATTEMPTS: u64 = 4_000;
/// Rounds; each measures both ways, so that a busy machine slows both.
const ROUNDS: usize = 3;
/// How long a sidecar is watched doing nothing.
const IDLE: Duration = Duration::from_secs(10);
/// Ticks of the system's processor-time clock in a second.
const TICKS_PER_SECOND: f64 = 100.0;

fn main() {
    println!("gate: {:.2} us of one core for an online attempt", gate_cost());
    println!("gate: {:.2} us of one core for an item of a lot", item_cost());
    message_bytes();
    for round in 1..=ROUNDS {
        block_on(measure_round(round));
    }
}

fn gate() -> AdmissionGate {
    let mut gate = AdmissionGate::new(GateSettings::default());
    let policy = TargetPolicy::default();
    let start = [
        GateEvent::TargetPolicy { target: target(), policy },
        GateEvent::TargetUp { target: target(), instance: None },
        GateEvent::GatewayUp { gateway: VmName::new("gateway-1") },
    ];
    for event in start {
        gate.handle(Now::at_millis(1), event, &mut Vec::new());
    }
    gate
}

fn say(message: SidecarMessage) -> GateEvent {
    GateEvent::Message { gateway: VmName::new("gateway-1"), message }
}

/// Mean processor time of the gate for an attempt that runs beside eight others, microseconds.
fn gate_cost() -> f64 {
    let mut gate = gate();
    let mut effects = Vec::new();
    let body = chat("a prompt of usual length, as an instructor would write it", 40, true);
    let begun = Instant::now();
    let count = 200_000;
    for number in 0..count {
        let now = Now::at_millis(10 + number / 10);
        let run = AttemptId { request: RequestId(number.into()), number, incarnation: OWN };
        let offer = AttemptOffer {
            attempt: run,
            target: target(),
            account: AccountName::new("account"),
            class: notch_types::class::WorkClass::Online,
            path: String::new(),
            body: body.clone(),
            stream: true,
            deadline_ms: 30_000,
            idempotent: true,
            fingerprint: Fingerprint(number.into()),
            alone: false,
            progress: None,
        };
        gate.handle(now, say(SidecarMessage::Offer(offer)), &mut effects);
        gate.handle(now, GateEvent::RunStarted { run }, &mut effects);
        gate.handle(now, GateEvent::RunFirstToken { run }, &mut effects);
        if let Some(done) = number.checked_sub(8) {
            let run = AttemptId { request: RequestId(done.into()), number: done, incarnation: OWN };
            let end = RunEnd::Complete { status: 200 };
            gate.handle(
                now,
                GateEvent::RunEnded { run, end, total: 900, output: None },
                &mut effects,
            );
        }
        effects.clear();
    }
    begun.elapsed().as_secs_f64() * 1e6 / count as f64
}

/// Bytes on a link of what a sidecar says by itself.
fn message_bytes() {
    let mut gate = gate();
    let mut effects = Vec::new();
    gate.handle(
        Now::at_millis(2),
        GateEvent::WarmPrefixes((1..=16).map(|n| n << 58).collect()),
        &mut effects,
    );
    gate.handle(Now::at_millis(9_000), GateEvent::Wake, &mut effects);
    for effect in effects {
        let GateEffect::Send { message, .. } = effect else { continue };
        let name = match &message {
            GatewayMessage::Load(_) => "load report (one target, 16 warm prompt heads)",
            GatewayMessage::Holdings(_) => "holdings (no model)",
            GatewayMessage::Pull(_) => "pull",
            _ => continue,
        };
        let bytes = notch_link::codec::encode(&LinkMessage::ToGateway(message));
        println!("bytes: {name}: {}", bytes.map_or(0, |bytes| bytes.len()));
    }
}

const OWN: Incarnation = Incarnation(1);

/// Mean processor time of the gate for an item, from its lot to its settled result, microseconds.
fn item_cost() -> f64 {
    let mut gate = gate();
    let mut effects = Vec::new();
    let body = chat("plan a week", 40, false);
    let begun = Instant::now();
    let lots = 20_000_u64;
    for number in 0..lots {
        let now = Now::at_millis(10 + number);
        let grant = lot(number, u128::from(number), &vec![body.clone(); 8]);
        let keys: Vec<ItemKey> = grant.items.iter().map(|item| item.key).collect();
        gate.handle(now, say(SidecarMessage::Lot(grant)), &mut effects);
        for key in &keys {
            let run = AttemptId::for_item(key.job, key.item, 1, OWN);
            let end = RunEnd::Complete { status: 200 };
            let output = Some(body.clone());
            gate.handle(now, GateEvent::RunEnded { run, end, total: 900, output }, &mut effects);
        }
        gate.handle(now, say(SidecarMessage::ItemsSettled(keys)), &mut effects);
        effects.clear();
    }
    begun.elapsed().as_secs_f64() * 1e6 / (lots * 8) as f64
}

/// One call after the other, directly and through the sidecar.
async fn measure_round(round: usize) {
    let service = ServiceSettings { delay: Duration::ZERO, ..ServiceSettings::default() };
    let service = ServiceHandle::start(service).await.expect("a port");
    let client = HttpClient::new(ClientSettings::default());
    let url = format!("http://{}/call/match", service.address());
    let body = Payload::from("{\"line\":\"one suspicious statement line\"}");
    let before = processor_seconds();
    let mut direct = Vec::new();
    for _ in 0..ATTEMPTS {
        let begun = Instant::now();
        let mut request = Request::new(Method::Post, Url::parse(&url).expect("a URL"));
        request.set_body(body.to_vec());
        let mut response = client.send(request).await.expect("it answers");
        read_body(response.take_body(), 1 << 20).await.expect("whole");
        direct.push(begun.elapsed());
    }
    let direct_cost = processor_seconds() - before;
    let mut settings = settings(TargetKind::Service, service.address());
    settings.config.target.poll = TargetSettings::default().poll;
    let sidecar = SidecarHandle::start(settings).await.expect("it starts");
    let (gateway, _) = FakeGateway::dial("gateway-1", &sidecar).await;
    let before = processor_seconds();
    let mut through = Vec::new();
    for number in 0..ATTEMPTS {
        let begun = Instant::now();
        let offer =
            AttemptOffer { path: "match".to_owned(), ..offer(number, &sidecar, body.clone()) };
        let attempt = offer.attempt;
        gateway.say(SidecarMessage::Offer(offer));
        gateway.answer(attempt).await;
        through.push(begun.elapsed());
    }
    let through_cost = processor_seconds() - before;
    direct.sort();
    through.sort();
    let at = |sorted: &[Duration], share: f64| {
        sorted[((sorted.len() - 1) as f64 * share) as usize].as_secs_f64() * 1e6
    };
    for (name, share) in [("p50", 0.5), ("p99", 0.99)] {
        let (direct, through) = (at(&direct, share), at(&through, share));
        let added = through - direct;
        println!(
            "round {round} {name}: direct {direct:.0} us, through {through:.0} us, added {added:.0} us"
        );
    }
    let each = |cost: f64| cost * 1e6 / ATTEMPTS as f64;
    println!(
        "round {round} processor time of the whole process, caller and target included: \
         direct {:.0} us, through {:.0} us a call",
        each(direct_cost),
        each(through_cost)
    );
    let before = processor_seconds();
    task::sleep(IDLE).await;
    let idle = (processor_seconds() - before) / IDLE.as_secs_f64();
    println!(
        "round {round} idle, one link, pulls without work, caller and target included: \
         {:.2} % of a core",
        idle * 100.0
    );
    sidecar.stop().await;
}

/// Processor time of this process so far, user and system, seconds.
fn processor_seconds() -> f64 {
    let stat = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields = stat.rsplit(')').next().unwrap_or_default();
    let ticks = |index: usize| fields.split_whitespace().nth(index).and_then(|f| f.parse().ok());
    let (user, system): (f64, f64) = (ticks(11).unwrap_or(0.0), ticks(12).unwrap_or(0.0));
    (user + system) / TICKS_PER_SECOND
}
