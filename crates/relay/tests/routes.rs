//! Selection of a request's route.

use std::time::Duration;

use notch_relay::prelude::*;
use notch_types::prelude::*;
use rstest::rstest;

fn route(name: &str, host: &str, prefix: &str, kind: RouteKind, resumable: bool) -> Route {
    Route {
        name: name.to_owned(),
        host: host.to_owned(),
        path_prefix: prefix.to_owned(),
        kind,
        timeout: Duration::from_secs(5),
        objective: Duration::from_millis(300),
        services: vec![WeightedService { service: "llm".to_owned(), weight: 1 }],
        max_attempts: 2,
        resumable,
        event_gap: Duration::from_millis(250),
        waiting_limit: 0,
        job_terms: None,
        is_public: false,
    }
}

fn table() -> RouteTable {
    let stream = RouteKind::Streaming;
    RouteTable::new(Configuration {
        version: 7,
        routes: vec![
            route("short", "a.example", "/x/", stream, true),
            route("long", "a.example", "/x/y/", stream, true),
            route("other", "b.example", "/x/", stream, true),
        ],
        ..Configuration::default()
    })
}

#[rstest]
#[case("a.example", "/x/y/1", Some("long"))]
#[case("a.example", "/x/z", Some("short"))]
#[case("a.example", "/x/z?p=/x/y/", Some("short"))]
#[case("A.Example:8080", "/x/1", Some("short"))]
#[case("b.example", "/x/y/1", Some("other"))]
#[case("a.example", "/x", None)]
#[case("c.example", "/x/1", None)]
fn the_longest_matching_prefix_wins(
    #[case] host: &str,
    #[case] path: &str,
    #[case] name: Option<&str>,
) {
    assert_eq!(table().find(host, path).map(|route| route.name.as_str()), name);
}

#[rstest]
#[case(RouteKind::Idempotent, false, true)]
#[case(RouteKind::NonIdempotent, true, false)]
#[case(RouteKind::Streaming, true, true)]
#[case(RouteKind::Streaming, false, false)]
fn only_resumable_streams_may_repeat(
    #[case] kind: RouteKind,
    #[case] resumable: bool,
    #[case] may_repeat: bool,
) {
    assert_eq!(route("r", "h", "/", kind, resumable).may_repeat(), may_repeat);
}

#[test]
fn weights_divide_requests() {
    let mut route = route("r", "h", "/", RouteKind::Streaming, true);
    let weighted = |service: &str, weight| WeightedService { service: service.to_owned(), weight };
    route.services = vec![weighted("a", 90), weighted("none", 0), weighted("b", 10)];
    let count = |name: &str| (0..100).filter(|draw| route.service_for(*draw) == name).count();
    assert_eq!((count("a"), count("none"), count("b")), (90, 0, 10));
}

/// Guards against a gateway's memory growing for months: each configuration change removes the
/// route that the change before added, and the state of a removed route must not be kept forever.
#[test]
fn state_of_removed_routes_is_dropped() {
    let mut dropped = DroppedRoutes::default();
    let mut known = Vec::new();
    for change in 0..5_000_u64 {
        let newest = format!("r{change}");
        known.push(newest.clone());
        let now = MonoTime::from_millis(change * 35_000);
        let due = dropped.due(known.clone(), |route| route == newest, now);
        known.retain(|route| !due.contains(route));
        assert!(known.len() <= 5, "{known:?}");
    }
}

#[test]
fn state_of_a_restored_route_is_kept() {
    let mut dropped = DroppedRoutes::default();
    let known = || vec!["r1".to_owned()];
    for second in [0, 60, 125, 185, 244] {
        // The route is in the configuration again at second 125, but not later.
        let is_named = |_: &str| second == 125;
        let now = MonoTime::from_millis(second * 1_000);
        assert!(dropped.due(known(), is_named, now).is_empty(), "at {second} s");
    }
    let now = MonoTime::from_millis(305_000);
    assert_eq!(dropped.due(known(), |_| false, now), ["r1"]);
    assert!(dropped.due(Vec::new(), |_| false, now).is_empty(), "no state is left");
    assert!(dropped.due(known(), |_| false, now).is_empty(), "the retention starts again");
}
