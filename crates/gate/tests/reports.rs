//! Load reports: how many leave.

mod common;

use common::*;
use notch_gate::prelude::*;
use notch_messages::prelude::*;
use rstest::rstest;

/// Load reports sent in ten seconds in which the load changes all the time.
fn reports(gateways: u8) -> usize {
    let mut bench = Bench::new(settings(), fixed(64));
    for number in 2..=gateways {
        bench.feed(GateEvent::GatewayUp { gateway: gateway(number) });
    }
    let before = bench.seen.len();
    for number in 0..200 {
        bench.say(SidecarMessage::Offer(offer(number, 60_000)));
        if let Some(run) = bench.in_flight.keys().next().copied() {
            bench.end(run, RunEnd::Complete { status: 200 });
        }
        bench.pass(50);
    }
    let is_load = |effect: &&GateEffect| {
        matches!(effect, GateEffect::Send { message: GatewayMessage::Load(_), .. })
    };
    bench.seen[before..].iter().filter(is_load).count()
}

// Symptom: a sidecar spends more than 7 KB/s on control as soon as it serves a few requests a second.
// Sequence: its load changes all the time, and each of its eight gateways is told four times a second.
// Cause: the pace was kept for each link, not for the sidecar.
#[rstest]
#[case::one(1, 30..=41)]
#[case::today(3, 66..=84)]
#[case::planned(8, 64..=88)]
fn load_reports_are_bounded_for_all_links_together(
    #[case] gateways: u8,
    #[case] expected: std::ops::RangeInclusive<usize>,
) {
    let count = reports(gateways);
    assert!(expected.contains(&count), "{count} reports on {gateways} links");
}
