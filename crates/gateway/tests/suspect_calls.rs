//! Which suspects all linked gateways know of.

use notch_gateway::control::suspect_calls::SuspectCalls;
use notch_types::prelude::*;

const SUSPECT: Fingerprint = Fingerprint(5);

fn gateways(count: usize) -> Vec<VmName> {
    (0..count).map(|number| VmName::new(&format!("entry-{number}"))).collect()
}

#[test]
fn a_suspect_is_told_when_the_last_gateway_has_answered() {
    let gateways = gateways(2);
    let mut calls = SuspectCalls::default();
    let call = calls.begin(MonoTime::default(), SUSPECT, &gateways);
    assert_eq!(calls.heard(call, &gateways[0]), None);
    assert_eq!(calls.heard(call, &gateways[0]), None, "the same one again");
    assert_eq!(calls.heard(call, &gateways[1]), Some(SUSPECT));
    assert_eq!(calls.heard(call, &gateways[1]), None, "once");
}

#[test]
fn a_second_crash_is_waited_for_too() {
    let gateways = gateways(1);
    let mut calls = SuspectCalls::default();
    let first = calls.begin(MonoTime::default(), SUSPECT, &gateways);
    let second = calls.begin(MonoTime::default(), SUSPECT, &gateways);
    assert_eq!(calls.heard(first, &gateways[0]), None);
    assert_eq!(calls.heard(second, &gateways[0]), Some(SUSPECT));
}

#[test]
fn a_gateway_whose_link_is_lost_is_not_waited_for() {
    let gateways = gateways(2);
    let mut calls = SuspectCalls::default();
    let call = calls.begin(MonoTime::default(), SUSPECT, &gateways);
    assert_eq!(calls.heard(call, &gateways[1]), None);
    assert_eq!(calls.gateway_gone(&gateways[0]), [SUSPECT]);
}
