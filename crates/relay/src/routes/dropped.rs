//! Retention of state for routes that were removed from the configuration.
//!
//! It is designed for 2,500 configuration changes a day, each of which may add and remove routes,
//! at gateways that run for months. If the state of removed routes were kept forever, it would fill
//! the memory. If it were dropped at once, a route that is removed by mistake and restored would
//! start without its state.

use std::time::Duration;

use notch_types::prelude::*;

/// Time for which the state of a removed route is kept. Changes arrive every 35 s on average, so a
/// mistake can be corrected by the third change after it, and all requests that use an older
/// configuration have ended by then. At that rate, the state of a few changes is kept.
const DROPPED_RETENTION: Duration = Duration::from_secs(120);

/// Routes that are not in the current configuration but still have state.
#[derive(Debug, Default)]
pub struct DroppedRoutes {
    /// When each route was first found missing in the configuration.
    since: FastMap<String, MonoTime>,
}

impl DroppedRoutes {
    /// Returns the routes among `known` whose state is to be dropped at `now`. Invariant: only
    /// routes among `known` are remembered here.
    pub fn due(
        &mut self,
        known: impl IntoIterator<Item = String>,
        is_named: impl Fn(&str) -> bool,
        now: MonoTime,
    ) -> Vec<String> {
        let dropped = known.into_iter().filter(|route| !is_named(route));
        let since = |route: String| {
            let since = self.since.get(&route).copied().unwrap_or(now);
            (route, since)
        };
        self.since = dropped.map(since).collect();
        let expired =
            self.since.iter().filter(|(_, since)| now.since(**since) >= DROPPED_RETENTION);
        expired.map(|(route, _)| route.clone()).collect()
    }
}
