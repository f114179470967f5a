//! Where streams began, so that a client can take a broken stream up at another gateway.

use std::{collections::VecDeque, time::Duration};

use notch_types::prelude::*;
use serde::{Deserialize, Serialize};

/// Maximum number of streams remembered; the oldest are evicted first.
const MAX_ORIGINS: usize = 16_384;
/// Maximum time for which a stream is remembered.
const MAX_RETENTION: Duration = Duration::from_secs(120);

/// Where a stream began. What another software version writes does not continue it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// The service.
    pub service: String,
    /// Version of the target's software.
    pub version: String,
    /// Id of the target.
    pub target: String,
}

#[derive(Debug)]
struct KnownOrigin {
    origin: StreamOrigin,
    until: MonoTime,
}

/// Origins of streams by the id of the client attempt that got the first event.
#[derive(Debug, Default)]
pub struct StreamOrigins {
    known: FastMap<String, KnownOrigin>,
    /// Attempt ids in insertion order. Invariant: contains every key of `known`.
    ages: VecDeque<String>,
}

impl StreamOrigins {
    /// Records where the stream of `attempt` began, for `retention`. The first record of an attempt
    /// holds: the version of a stream never changes.
    pub fn note(
        &mut self,
        attempt: &str,
        origin: StreamOrigin,
        retention: Duration,
        now: MonoTime,
    ) {
        let until = now + retention.min(MAX_RETENTION);
        if let Some(known) = self.known.get_mut(attempt) {
            known.until = known.until.max(until);
            return;
        }
        self.evict(now);
        self.ages.push_back(attempt.to_owned());
        self.known.insert(attempt.to_owned(), KnownOrigin { origin, until });
    }

    /// Where the stream of `attempt` began, if that is known.
    pub fn get(&self, attempt: &str) -> Option<&StreamOrigin> {
        self.known.get(attempt).map(|known| &known.origin)
    }

    /// Streams of `service` that a client may still take up, each with the time for which it is
    /// remembered.
    pub fn recent<'a>(
        &'a self,
        service: &'a str,
        now: MonoTime,
    ) -> impl Iterator<Item = (&'a str, &'a StreamOrigin, Duration)> {
        let recent = self
            .known
            .iter()
            .filter(move |(_, known)| known.until > now && known.origin.service == service);
        recent
            .map(move |(attempt, known)| (attempt.as_str(), &known.origin, known.until.since(now)))
    }

    fn evict(&mut self, now: MonoTime) {
        while let Some(oldest) = self.ages.front() {
            let is_over = self.known.get(oldest).is_none_or(|known| known.until <= now);
            if !is_over && self.known.len() < MAX_ORIGINS {
                return;
            }
            self.known.remove(oldest);
            self.ages.pop_front();
        }
    }
}
