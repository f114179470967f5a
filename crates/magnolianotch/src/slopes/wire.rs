//! Bytes of what links and the VM list carry for control.

use std::hint::black_box;

use notch_link::codec;
use notch_messages::prelude::*;
use notch_platform::{VmRecord, VmRole, VmState};
use notch_types::prelude::*;

use super::{
    machine::{ProcessorClock, least_of},
    report::{GATEWAYS, SIDECARS, SlopeReport},
    series::{
        RoleName::{self, Gateway, Sidecar},
        SeriesName,
    },
};

/// Bytes around a message on the wire. Assumed, not measured: 40 of IP and TCP, 12 of the usual
/// TCP option, 8 of a masked WebSocket frame.
pub(super) const FRAME_BYTES: f64 = 60.0;

/// Bytes of a message on a link, with what the wire adds.
fn framed(message: &LinkMessage) -> f64 {
    codec::encode(message).map_or(0.0, |bytes| bytes.len() as f64) + FRAME_BYTES
}

fn load_report(heads: usize, targets: usize) -> LinkMessage {
    let line = |number| TargetLoad {
        target: TargetName::new(&format!("model-{number}")),
        online_running: 12,
        online_waiting: 2,
        batch_running: 14,
        limit: 32,
        first_token_us: 210_000,
        up: true,
    };
    LinkMessage::ToGateway(GatewayMessage::Load(LoadReport {
        incarnation: Incarnation(1_764_700_000_000),
        sequence: 1_000_000,
        targets: (0..targets).map(line).collect(),
        warm_prefixes: (0..heads as u64)
            .map(|head| stable_hash64(&[&head.to_le_bytes()]))
            .collect(),
        leaving: false,
    }))
}

/// Measures the bytes of messages that recur.
pub(super) fn measure_messages(report: &mut SlopeReport) {
    let heads = [0, 4, 16, 32, 64].map(|heads| (heads as f64, framed(&load_report(heads, 1))));
    let name = SeriesName {
        role: Sidecar,
        quantity: "load report on one link, wire included",
        unit: "B",
        against: "warm prompt heads",
    };
    report.add(name, 16.0, &heads);
    let message = load_report(16, 1);
    let micros = least_of(3, || codec_micros(&message));
    report.figure(Gateway, "a load report encoded and decoded", "µs", micros);
    let heartbeat = framed(&LinkMessage::Heartbeat { sequence: 1_000_000 });
    report.figure(Gateway, "heartbeat, wire included", "B", heartbeat);
    let pull = LinkMessage::ToGateway(GatewayMessage::Pull(LotPull {
        vm: VmName::new("target-0599"),
        incarnation: Incarnation(1_764_700_000_000),
        target: TargetName::new("model-1"),
        slots: 32,
    }));
    report.figure(Sidecar, "pull, wire included", "B", framed(&pull));
    let no_work = LinkMessage::ToSidecar(SidecarMessage::NoWork {
        target: TargetName::new("model-1"),
        retry_after_ms: 250,
    });
    report.figure(Sidecar, "answer without work, wire included", "B", framed(&no_work));
    report.figure(Sidecar, "holdings of one model, wire included", "B", framed(&holdings()));
}

/// Processor time of one message at both ends, without the socket.
fn codec_micros(message: &LinkMessage) -> f64 {
    const TIMES: u32 = 100_000;
    let clock = ProcessorClock::start();
    for _ in 0..TIMES {
        let bytes = codec::encode(message).unwrap_or_default();
        black_box(codec::decode::<LinkMessage>(&bytes).is_ok());
    }
    clock.spent().as_secs_f64() * 1e6 / f64::from(TIMES)
}

fn holdings() -> LinkMessage {
    LinkMessage::ToGateway(GatewayMessage::Holdings(TargetHoldings {
        vm: VmName::new("target-0599"),
        domain: DomainName::new("domain-1"),
        incarnation: Incarnation(1_764_700_000_000),
        sequence: 1_000_000,
        up: true,
        leaving: false,
        slots: 1,
        role: "serve".to_owned(),
        models: vec![HeldModel {
            model: TargetName::new("model-1"),
            version: "2026-11-30".to_owned(),
            adapters: Vec::new(),
        }],
        epoch: Some(Epoch(41)),
        ended_order: 17,
        busy: false,
    }))
}

/// Measures the VM list's bytes.
pub(super) fn measure_vm_list(report: &mut SlopeReport) {
    let bytes = [7, 64, 256, 600, 970].map(|vms| (vms as f64, list_bytes(vms)));
    let name = SeriesName {
        role: RoleName::Gateway,
        quantity: "VM list, whole, as JSON",
        unit: "B",
        against: "VMs listed",
    };
    report.add(name, GATEWAYS + SIDECARS, &bytes);
}

fn list_bytes(vms: usize) -> f64 {
    let record = |number: usize| VmRecord {
        vm: VmName::new(&format!("target-{number:04}")),
        role: VmRole::Target,
        address: format!("10.20.{}.{}:7201", number / 250, number % 250),
        domain: DomainName::new(&format!("domain-{}", number % 5)),
        state: VmState::Live,
    };
    let list: Vec<VmRecord> = (0..vms).map(record).collect();
    serde_json::to_vec(&list).map_or(0.0, |text| text.len() as f64)
}
