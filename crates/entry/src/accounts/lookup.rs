//! Looks up the route and the caller of a request in the configuration in force.
//!
//! A client doesn't retry after a 401, a 404 or a 413, so these must not follow from what a configuration lacks that may be
//! older than the route, the key or the limit.

use std::{sync::Arc, time::Duration};

use async_std::task;
use notch_h1::prelude::RequestHead;
use notch_platform_wire::client::account_key;
use notch_relay::prelude::*;

use crate::{accounts::admission::AdmissionRefusal, node::EntryNode};

/// How long a request waits for the store to confirm a configuration that lacks its route or key.
const CONFIRMATION_WAIT: Duration = Duration::from_millis(400);
/// Poll interval of that wait.
const CONFIRMATION_POLL: Duration = Duration::from_millis(5);

/// The route and the caller of a request.
#[derive(Debug)]
pub struct RoutedCaller {
    /// The configuration in which they were found.
    pub routes: Arc<RouteTable>,
    /// The route.
    pub route: Arc<Route>,
    /// The caller.
    pub caller: CallerIdentity,
}

/// Finds the route of a request, and its caller, whose key the configuration is recent enough to honour.
///
/// # Errors
/// `NoRoute` and `UnknownKey` if the newest configuration lacks the route or the key, `Unconfirmed` if that can't be
/// determined, `StaleConfiguration` and `NoConfiguration`.
pub async fn find_route(
    node: &EntryNode,
    head: &RequestHead,
) -> Result<RoutedCaller, AdmissionRefusal> {
    let host = head.headers.get("Host").unwrap_or_default();
    let look_up = |routes: &Arc<RouteTable>, is_fresh: bool| {
        let route = routes.find(host, &head.target).ok_or(AdmissionRefusal::NoRoute)?;
        let caller = identify(routes, head, route.is_public)?;
        if !is_fresh && matches!(caller, CallerIdentity::Account(_)) {
            return Err(AdmissionRefusal::StaleConfiguration);
        }
        Ok(RoutedCaller { routes: Arc::clone(routes), route: Arc::clone(route), caller })
    };
    look_up_confirmed(node, look_up).await
}

/// Finds the caller of a call about a job. The call doesn't name the route that the job came on.
///
/// # Errors
/// As [`find_route`], but for the route.
pub async fn find_caller(
    node: &EntryNode,
    head: &RequestHead,
) -> Result<CallerIdentity, AdmissionRefusal> {
    let host = head.headers.get("Host").unwrap_or_default();
    let look_up = |routes: &Arc<RouteTable>, _| identify(routes, head, routes.is_public_host(host));
    look_up_confirmed(node, look_up).await
}

/// Judges a request that exceeds one of `limits`.
///
/// # Errors
/// `TooLarge` if the newest configuration has the same limits, else why the client may send the request again.
pub async fn check_limits(node: &EntryNode, limits: &ClientLimits) -> Result<(), AdmissionRefusal> {
    let look_up = |routes: &Arc<RouteTable>, _| match routes.limits() == limits {
        true => Err(AdmissionRefusal::TooLarge),
        false => Ok(()),
    };
    look_up_confirmed(node, look_up).await
}

fn identify(
    routes: &RouteTable,
    head: &RequestHead,
    is_public: bool,
) -> Result<CallerIdentity, AdmissionRefusal> {
    match routes.identify(account_key(&head.headers), is_public) {
        CallerIdentity::Unknown => Err(AdmissionRefusal::UnknownKey),
        caller => Ok(caller),
    }
}

/// Looks up in the configuration in force, told whether that is recent enough to honour keys, and again in a newer one
/// unless the store has confirmed what it lacks.
async fn look_up_confirmed<T>(
    node: &EntryNode,
    look_up: impl Fn(&Arc<RouteTable>, bool) -> Result<T, AdmissionRefusal>,
) -> Result<T, AdmissionRefusal> {
    let asked = node.clock.boot();
    loop {
        // Read first: the routes are then at least as new as what the proof is about.
        let now = node.clock.boot();
        let (proof, is_fresh) = {
            let age = node.accounts.age();
            (age.proof(), age.is_fresh(now))
        };
        let Some(routes) = node.routes() else { return Err(AdmissionRefusal::NoConfiguration) };
        let refusal = match look_up(&routes, is_fresh) {
            Err(
                refusal @ (AdmissionRefusal::NoRoute
                | AdmissionRefusal::UnknownKey
                | AdmissionRefusal::TooLarge),
            ) => refusal,
            outcome => return outcome,
        };
        if proof.is_some_and(|proof| proof.as_of >= asked) {
            return Err(refusal);
        }
        if now.since(asked) >= CONFIRMATION_WAIT {
            return Err(AdmissionRefusal::Unconfirmed);
        }
        node.confirmation_wanted.notify(usize::MAX);
        task::sleep(CONFIRMATION_POLL).await;
    }
}
