//! The accounts with a limit, and the rates at which their clients send.

use std::time::Duration;

use notch_platform_standins::store::StandInAccount;

use crate::account_window::AccountQuota;

/// Limit of each account. An account admitted by each of three gateways for itself exceeds the tolerance twice over.
pub const QUOTA: AccountQuota = AccountQuota {
    per_second: 40.0,
    burst: 20.0,
    window: Duration::from_secs(5),
    overrun: 0.1,
    slack: 20.0,
};

/// The accounts: name, keys, rate and burst. The first one is hot.
pub const LIMITED_ACCOUNTS: [StandInAccount<'static>; 3] = [
    ("hot", &["hot-key"], QUOTA.per_second as u64, QUOTA.burst as u64),
    ("light-1", &["light-1-key"], QUOTA.per_second as u64, QUOTA.burst as u64),
    ("light-2", &["light-2-key"], QUOTA.per_second as u64, QUOTA.burst as u64),
];

/// Share of its limit that an account usually sends.
const USUAL_LOAD: f64 = 0.5;
/// Multiple of its limit that the hot account sends in a peak.
const PEAK_LOAD: f64 = 4.0;
/// Interval between the starts of two peaks. Shorter than a window and a peak together, so that a window contains the
/// credit saved between peaks and most of a peak.
const PEAK_INTERVAL: Duration = Duration::from_secs(7);
/// Length of a peak.
const PEAK_LENGTH: Duration = Duration::from_secs(4);

/// Pause between two requests of an account at a time since its clients started.
pub fn send_pause(account: usize, since: Duration) -> Duration {
    let position = since.as_millis() % PEAK_INTERVAL.as_millis();
    let is_peak = account == 0 && position < PEAK_LENGTH.as_millis();
    let load = if is_peak { PEAK_LOAD } else { USUAL_LOAD };
    Duration::from_secs_f64(1.0 / (load * QUOTA.per_second))
}
