//! One route.

use std::time::Duration;

use crate::jobs::spec::JobTerms;

/// What may be repeated, and how the answer comes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// May run once at most.
    NonIdempotent,
    /// The answer is a stream of events.
    Streaming,
    /// Jobs of many items that run later.
    Batch,
}

/// A service with its share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightedService {
    /// The service's name.
    pub service: String,
    /// Its share, against the sum of all weights.
    pub weight: u32,
}

/// One route.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Its name, unique in a configuration.
    pub name: String,
    /// The host that requests name.
    pub host: String,
    /// Begins every path of the route. Invariant: begins and ends with a slash.
    pub path_prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time a request is kept waiting for its whole answer.
    pub timeout: Duration,
    /// Latency objective: to the answer, or to a stream's first event.
    pub objective: Duration,
    /// Where requests go. Invariant: not empty, and some weight is above 0.
    pub services: Vec<WeightedService>,
    /// Targets that one client attempt may run on, at most.
    pub max_attempts: u32,
    /// Whether a broken stream may go on at another target.
    pub resumable: bool,
    /// Longest pause between events of an answer that is in time.
    pub event_gap: Duration,
    /// Tokens of jobs of one account that may wait on a batch route at all gateways together, or of all
    /// jobs where there are no accounts; 0 for no limit.
    pub waiting_limit: u64,
    /// Terms of a batch route.
    pub job_terms: Option<JobTerms>,
    /// Whether requests need no key.
    pub is_public: bool,
}

impl Route {
    /// Whether a request that may have run may be sent again. A stream that can't be resumed may
    /// not: its second run would be other text under the same id.
    pub fn may_repeat(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent | RouteKind::Batch => true,
            RouteKind::Streaming => self.resumable,
            RouteKind::NonIdempotent => false,
        }
    }

    /// Each service with its part of the route's requests, from 0 to 1.
    pub fn parts(&self) -> impl Iterator<Item = (&str, f64)> {
        let sum: f64 = self.services.iter().map(|s| f64::from(s.weight)).sum();
        let services = self.services.iter().filter(|service| service.weight > 0);
        services.map(move |s| (s.service.as_str(), f64::from(s.weight) / sum))
    }

    /// The service for a request, by a number that is the same for each of its attempts.
    pub fn service_for(&self, draw: u64) -> &str {
        let sum: u64 = self.services.iter().map(|s| u64::from(s.weight)).sum();
        let mut left = draw.checked_rem(sum).unwrap_or(0);
        for service in &self.services {
            let weight = u64::from(service.weight);
            if left < weight {
                return &service.service;
            }
            left -= weight;
        }
        self.services.first().map_or("", |s| &s.service)
    }
}
