//! `[accounts]`: how exactly keys and limits of client accounts are kept.

use std::time::Duration;

use crate::{file::FieldVisitor, sections::FeatureSwitch};

/// How exactly keys and limits of client accounts are kept.
#[derive(Debug, Clone, PartialEq)]
pub struct AccountSettings {
    /// Milliseconds after which a key that was taken away is honoured by no gateway, also by one that is out of
    /// touch; 0 where gateways out of touch may go on with what they know.
    pub revocation_bound_millis: f64,
    /// Seconds of the sliding window in which limits are kept.
    pub quota_window_seconds: f64,
    /// Share of a limit by which it may be exceeded in a window.
    pub quota_overrun: f64,
    /// Requests by which it may be exceeded beside that.
    pub quota_slack: f64,
    /// Whether, near a limit, new requests go before those of clients that were refused before.
    pub new_requests_first: FeatureSwitch,
}

impl Default for AccountSettings {
    fn default() -> Self {
        Self {
            revocation_bound_millis: 0.0,
            quota_window_seconds: 5.0,
            quota_overrun: 0.0,
            quota_slack: 0.0,
            new_requests_first: FeatureSwitch::Off,
        }
    }
}

impl AccountSettings {
    /// How long a key that was taken away may be honoured; `None` for as long as a gateway doesn't hear of it.
    pub fn revocation_bound(&self) -> Option<Duration> {
        let bound = Duration::from_secs_f64(self.revocation_bound_millis / 1_000.0);
        (!bound.is_zero()).then_some(bound)
    }

    /// The sliding window in which limits are kept.
    pub fn quota_window(&self) -> Duration {
        Duration::from_secs_f64(self.quota_window_seconds)
    }

    pub(crate) fn visit(&mut self, fields: &mut FieldVisitor<'_>) {
        fields.section("accounts");
        fields.number("revocation_bound_millis", &mut self.revocation_bound_millis);
        fields.number("quota_window_seconds", &mut self.quota_window_seconds);
        fields.number("quota_overrun", &mut self.quota_overrun);
        fields.number("quota_slack", &mut self.quota_slack);
        let switches = [("off", FeatureSwitch::Off), ("on", FeatureSwitch::On)];
        fields.choice("new_requests_first", &mut self.new_requests_first, &switches, "off or on");
    }
}
