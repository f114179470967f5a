//! How often gateways report to each other, by the size of the fleet.

use notch_relay::prelude::report_interval;
use rstest::rstest;

/// Guards against gateways of a large fleet that spend their processors on each other's reports.
#[rstest]
#[case(4)]
#[case(27)]
#[case(88)]
#[case(250)]
fn a_gateway_receives_at_most_270_reports_a_second(#[case] gateways: usize) {
    let received = gateways as f64 / report_interval(gateways).as_secs_f64();
    assert!(received <= 270.0, "{received} reports a second");
}

#[test]
fn a_small_fleet_reports_ten_times_a_second_and_a_huge_one_once() {
    assert_eq!(report_interval(18).as_millis(), 100);
    assert_eq!(report_interval(10_000).as_millis(), 1_000);
}
