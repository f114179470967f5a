//! One limit on waiting tokens.

use crate::{jobs::spec::limit_name, routes::route::Route};

/// One limit on the tokens of jobs that wait at all gateways together.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WaitingLimit {
    /// Its name: that of its route, with the account where there are accounts.
    pub name: String,
    /// Tokens that may wait; 0 for no limit.
    pub tokens: u64,
}

impl WaitingLimit {
    /// The limit of `route` for the jobs of `account`, which is empty for none.
    pub fn of(route: &Route, account: &str) -> Self {
        Self { name: limit_name(&route.name, account), tokens: route.waiting_limit }
    }

    /// Whether the limit `name` is one of the route `route`.
    pub fn is_of_route(name: &str, route: &str) -> bool {
        let rest = name.strip_prefix(route);
        rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
    }
}
