//! Which requests have been turned away before.
//!
//! A client that comes back has less time left than one that comes for the first time, and it may not
//! come a third time: it goes before new ones. It carries no other mark, and comes to another gateway.

use std::time::Duration;

use notch_types::prelude::*;

/// A client that has this much less time than others has spent it on an attempt before: the shortest
/// wait told to a client is longer, and clocks of clients and gateways don't come into it.
const SPENT_LEAST: Duration = Duration::from_millis(150);

/// The longest time that clients of each route give their requests.
#[derive(Debug, Default)]
pub struct RetryDetector {
    longest: FastMap<String, Duration>,
}

impl RetryDetector {
    /// Notes a request's time; whether the client has spent some of it on an attempt before.
    pub fn is_retry(&mut self, route: &str, patience: Duration) -> bool {
        if let Some(longest) = self.longest.get_mut(route) {
            *longest = patience.max(*longest);
            return patience + SPENT_LEAST < *longest;
        }
        self.longest.insert(route.to_owned(), patience);
        false
    }

    /// Routes whose clients' time is known.
    pub fn routes(&self) -> impl Iterator<Item = &str> {
        self.longest.keys().map(String::as_str)
    }

    /// Forgets routes; how many of them were known.
    pub fn forget(&mut self, routes: &[String]) -> usize {
        routes.iter().filter(|route| self.longest.remove(*route).is_some()).count()
    }
}
