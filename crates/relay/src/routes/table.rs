//! Look-up of the route of a request.

use std::sync::Arc;

use notch_types::prelude::*;

use crate::{
    accounts::{
        key::AccountKey,
        table::{AccountTable, CallerIdentity},
    },
    routes::{
        configuration::{ClientLimits, Configuration},
        route::Route,
    },
};

/// A configuration indexed for look-ups.
#[derive(Debug, Default)]
pub struct RouteTable {
    version: u64,
    limits: ClientLimits,
    /// By host. Invariant: longest prefix first.
    routes: FastMap<String, Vec<Arc<Route>>>,
    /// `None` if requests need no key.
    accounts: Option<AccountTable>,
}

impl RouteTable {
    /// Indexes a configuration.
    pub fn new(configuration: Configuration) -> Self {
        let mut routes: FastMap<String, Vec<Arc<Route>>> = FastMap::default();
        for route in configuration.routes {
            routes.entry(route.host.to_ascii_lowercase()).or_default().push(Arc::new(route));
        }
        for list in routes.values_mut() {
            list.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let accounts = configuration.accounts.map(AccountTable::new);
        Self { version: configuration.version, limits: configuration.limits, routes, accounts }
    }

    /// Version of the configuration.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Limits on client requests and connections.
    pub fn limits(&self) -> &ClientLimits {
        &self.limits
    }

    /// Finds the route of `host` with the longest prefix of `path`. The query string is ignored.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let path = path.split_once('?').map_or(path, |(path, _)| path);
        let list = match self.routes.get(host) {
            Some(list) => list,
            None => self.routes.get(&host_name(host))?,
        };
        list.iter().find(|route| path.starts_with(&route.path_prefix))
    }

    /// Accounts; `None` if requests need no key.
    pub fn accounts(&self) -> Option<&AccountTable> {
        self.accounts.as_ref()
    }

    /// Identifies the sender of a request with `key` to a route that may be public. Known accounts
    /// are identified on public routes too.
    pub fn identify(&self, key: Option<AccountKey>, is_public: bool) -> CallerIdentity {
        let Some(accounts) = &self.accounts else { return CallerIdentity::Anyone };
        match key.and_then(|key| accounts.find(key)) {
            Some(account) => CallerIdentity::Account(Arc::clone(account)),
            None if is_public => CallerIdentity::Anyone,
            None => CallerIdentity::Unknown,
        }
    }

    /// Whether `host` has a public batch route, in which case calls about its jobs need no key
    /// either.
    pub fn is_public_host(&self, host: &str) -> bool {
        let list = self.routes.get(host).or_else(|| self.routes.get(&host_name(host)));
        let batch = list.into_iter().flatten().filter(|route| route.job_terms.is_some());
        batch.into_iter().any(|route| route.is_public)
    }

    /// All routes.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes.values().flatten()
    }
}

/// Normalizes a host for look-ups: lower case, without the port.
fn host_name(host: &str) -> String {
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    name.to_ascii_lowercase()
}
