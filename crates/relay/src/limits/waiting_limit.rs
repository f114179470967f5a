//! Limit on waiting tokens.

use crate::{jobs::spec::limit_name, routes::route::Route};

/// Limit on the tokens of jobs that wait at all gateways together.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WaitingLimit {
    /// Name of the limit: its route's name, followed by the account's name if there are accounts.
    pub name: String,
    /// Maximum number of waiting tokens; 0 for no limit.
    pub tokens: u64,
}

impl WaitingLimit {
    /// The limit of `route` for the jobs of `account`, which is empty if there are no accounts.
    pub fn of(route: &Route, account: &str) -> Self {
        Self { name: limit_name(&route.name, account), tokens: route.waiting_limit }
    }

    /// Whether the limit `name` belongs to route `route`.
    pub fn is_of_route(name: &str, route: &str) -> bool {
        let rest = name.strip_prefix(route);
        rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
    }
}
