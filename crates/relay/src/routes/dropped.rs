//! When what is known of a route that was dropped may be forgotten.
//!
//! The load that it answers: 2,500 changes of configuration a day, any of which may add routes and drop
//! others, at gateways that run for months. Kept for good, the names of dropped routes would fill the
//! memory; forgotten at once, a route that is dropped by mistake and brought back would begin anew.

use std::time::Duration;

use notch_types::prelude::*;

/// How long a route isn't named before it's forgotten: one change comes every 35 s in the mean, so a
/// mistake is taken back by the third one after it; and everything in which an older configuration was
/// used has ended. At that pace the names of a few changes are kept.
const DROPPED_KEPT: Duration = Duration::from_secs(120);

/// Routes that the configuration in force doesn't name, and of which something is known still.
#[derive(Debug, Default)]
pub struct DroppedRoutes {
    /// When each was first seen not to be named.
    since: FastMap<String, MonoTime>,
}

impl DroppedRoutes {
    /// Of the routes of which something is `known`, those to be forgotten at `now`. Invariant: only
    /// known ones are remembered here.
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
        let long = self.since.iter().filter(|(_, since)| now.since(**since) >= DROPPED_KEPT);
        long.map(|(route, _)| route.clone()).collect()
    }
}
