//! Routes of a configuration.

use std::time::Duration;

use crate::jobs::spec::JobTerms;

/// Kind of a route: whether requests may be repeated, and the form of the answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// Requests may run more than once.
    Idempotent,
    /// Requests may run at most once.
    NonIdempotent,
    /// The answer is a stream of events.
    Streaming,
    /// Jobs of many items that run later.
    Batch,
}

/// A service with its share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: String,
    /// Weight of the service relative to the sum of all weights.
    pub weight: u32,
}

/// One route.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name of the route, unique in a configuration.
    pub name: String,
    /// Host that requests are sent to.
    pub host: String,
    /// Prefix of all paths of the route. Invariant: begins and ends with a slash.
    pub path_prefix: String,
    /// Kind of the route.
    pub kind: RouteKind,
    /// Maximum time that a request waits for its complete answer.
    pub timeout: Duration,
    /// Latency objective: time to the answer or to a stream's first event.
    pub objective: Duration,
    /// Services that requests are sent to. Invariant: not empty, with at least one weight above 0.
    pub services: Vec<WeightedService>,
    /// Maximum number of targets that one client attempt may run on.
    pub max_attempts: u32,
    /// Whether an interrupted stream may be resumed at another target.
    pub resumable: bool,
    /// Maximum pause between two events of an answer that is in time.
    pub event_gap: Duration,
    /// Maximum number of tokens of waiting jobs on a batch route at all gateways together, for each
    /// account or, if there are no accounts, for all jobs; 0 for no limit.
    pub waiting_limit: u64,
    /// Terms of a batch route.
    pub job_terms: Option<JobTerms>,
    /// Whether requests need no key.
    pub is_public: bool,
}

impl Route {
    /// Whether a request that may have run may be sent again. A stream that cannot be resumed may
    /// not: its second run would produce different text under the same id.
    pub fn may_repeat(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent | RouteKind::Batch => true,
            RouteKind::Streaming => self.resumable,
            RouteKind::NonIdempotent => false,
        }
    }

    /// Time that a request may take whose client waits for `client_deadline`, if it says so.
    pub fn time_limit(&self, client_deadline: Option<Duration>) -> Duration {
        client_deadline.map_or(self.timeout, |deadline| deadline.min(self.timeout))
    }

    /// Services with their fractions of the route's requests, from 0 to 1.
    pub fn parts(&self) -> impl Iterator<Item = (&str, f64)> {
        let sum: f64 = self.services.iter().map(|s| f64::from(s.weight)).sum();
        let services = self.services.iter().filter(|service| service.weight > 0);
        services.map(move |s| (s.service.as_str(), f64::from(s.weight) / sum))
    }

    /// Whether requests are sent to `service`.
    pub fn runs_at(&self, service: &str) -> bool {
        self.services.iter().any(|weighted| weighted.weight > 0 && weighted.service == service)
    }

    /// Selects the service for a request by `draw`, which is the same for each of its attempts.
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
