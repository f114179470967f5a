//! Retry delays of clients whose account is over its limit.
//!
//! It is designed for an account that sends 4 to 9 times its limit for a few seconds. All of its clients that were told
//! when the next credit is due came back at nearly the same moment, within the same peak, and were refused again.

use std::time::Duration;

/// Minimum retry delay. Only a retry that comes more than 150 ms later is recognized as one.
const MIN_DELAY: Duration = Duration::from_millis(200);
/// Clients follow a retry delay of up to this fraction of the time that they have left.
const MAX_SHARE: u32 = 3;
/// Maximum retry delay of a client that does not say how long it waits.
const DEFAULT_MAX_DELAY: Duration = Duration::from_millis(1_500);
/// Fraction of the longest delay that is used, so that a client that has lost some time on the way still follows it.
const USED_FRACTION: f64 = 0.95;

/// Selects the retry delay of a refused client with `left` before its deadline, by the random number `draw` in [0, 1).
/// The delays of many clients are spread evenly over the time that they wait.
pub fn retry_delay(left: Option<Duration>, draw: f64) -> Duration {
    let max = left.map_or(DEFAULT_MAX_DELAY, |left| (left / MAX_SHARE).mul_f64(USED_FRACTION));
    MIN_DELAY + max.saturating_sub(MIN_DELAY).mul_f64(draw)
}
