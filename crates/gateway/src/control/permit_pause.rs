//! How long a refused weight permit is left alone.

use std::time::Duration;

use notch_platform::PermitFailure;

/// Pause after a permit asked for without an answer.
const PERMIT_PAUSE: Duration = Duration::from_secs(2);
/// Pause after the weight store said that it has no such version.
const NO_VERSION_PAUSE: Duration = Duration::from_secs(60);

/// How long to wait after the weight store gave no permit.
pub(super) fn permit_pause(failure: PermitFailure) -> Duration {
    match failure {
        PermitFailure::Throttled { retry_after_ms } => Duration::from_millis(retry_after_ms),
        PermitFailure::NoSuchVersion => NO_VERSION_PAUSE,
        PermitFailure::Unavailable | PermitFailure::Malformed => PERMIT_PAUSE,
    }
}
