//! Finds the route of a request.

use std::sync::Arc;

use notch_types::prelude::*;

use crate::routes::{
    configuration::{ClientLimits, Configuration},
    route::Route,
};

/// A configuration, ordered for look-ups.
#[derive(Debug, Default)]
pub struct RouteTable {
    version: u64,
    limits: ClientLimits,
    /// By host. Invariant: longest prefix first.
    routes: FastMap<String, Vec<Arc<Route>>>,
}

impl RouteTable {
    /// Orders a configuration.
    pub fn new(configuration: Configuration) -> Self {
        let mut routes: FastMap<String, Vec<Arc<Route>>> = FastMap::default();
        for route in configuration.routes {
            routes.entry(route.host.to_ascii_lowercase()).or_default().push(Arc::new(route));
        }
        for list in routes.values_mut() {
            list.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        Self { version: configuration.version, limits: configuration.limits, routes }
    }

    /// The configuration's version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Bounds on clients.
    pub fn limits(&self) -> &ClientLimits {
        &self.limits
    }

    /// The route with the longest prefix of `path` among those of `host`. The query takes no part.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let path = path.split_once('?').map_or(path, |(path, _)| path);
        let list = match self.routes.get(host) {
            Some(list) => list,
            None => self.routes.get(&host_name(host))?,
        };
        list.iter().find(|route| path.starts_with(&route.path_prefix))
    }

    /// Every route.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes.values().flatten()
    }
}

/// A host as look-ups spell it: lower case, without its port.
fn host_name(host: &str) -> String {
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    name.to_ascii_lowercase()
}
