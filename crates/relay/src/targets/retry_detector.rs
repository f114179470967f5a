//! Detection of requests that were rejected before.
//!
//! A retried request has less time left than a new one and its client may not send it a third time,
//! so it takes precedence over new requests. It carries no other mark, and it may arrive at a
//! different gateway than the rejected attempt.

use std::time::Duration;

use notch_types::prelude::*;

/// A request with this much less time than the longest seen on its route is a retry. The shortest
/// retry delay told to a client is longer, and no clocks of clients and gateways are compared.
const MIN_TIME_SPENT: Duration = Duration::from_millis(150);

/// Longest time limit seen in the requests of each route.
#[derive(Debug, Default)]
pub struct RetryDetector {
    longest: FastMap<String, Duration>,
}

impl RetryDetector {
    /// Records the time limit of a request. Returns whether its client has already spent time on an
    /// earlier attempt.
    pub fn is_retry(&mut self, route: &str, time_limit: Duration) -> bool {
        if let Some(longest) = self.longest.get_mut(route) {
            *longest = time_limit.max(*longest);
            return time_limit + MIN_TIME_SPENT < *longest;
        }
        self.longest.insert(route.to_owned(), time_limit);
        false
    }

    /// Routes with a known time limit.
    pub fn routes(&self) -> impl Iterator<Item = &str> {
        self.longest.keys().map(String::as_str)
    }

    /// Forgets routes. Returns how many of them were known.
    pub fn forget(&mut self, routes: &[String]) -> usize {
        routes.iter().filter(|route| self.longest.remove(*route).is_some()).count()
    }
}
