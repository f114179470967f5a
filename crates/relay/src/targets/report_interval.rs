//! How often a gateway reports its use of targets to all others.

use std::time::Duration;

/// Interval in a small fleet. The home of a target is told of each use at once; the others need reports only to choose
/// which home to ask.
const MIN_INTERVAL: Duration = Duration::from_millis(100);
/// Interval in a large fleet: as often as unchanged use is repeated.
const MAX_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time by which each gateway lengthens the interval: every gateway then gets at most 250 reports a second, as long as
/// that keeps the interval below its maximum.
const INTERVAL_PER_GATEWAY: Duration = Duration::from_millis(4);

/// Interval at which a gateway among `gateways` reports changed use.
///
/// The worst case is a fleet of hundreds, each of which reports to all others: at a fixed interval, what each gateway
/// receives grows with the fleet until its processor does nothing else.
pub fn report_interval(gateways: usize) -> Duration {
    let gateways = u32::try_from(gateways).unwrap_or(u32::MAX);
    INTERVAL_PER_GATEWAY.saturating_mul(gateways).clamp(MIN_INTERVAL, MAX_INTERVAL)
}
