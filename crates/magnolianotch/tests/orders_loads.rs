//! Loads, roll-outs and repairs, from the catalogue entry to the engine.

#![allow(clippy::unwrap_used, reason = "a surprise fails the test")]

#[path = "support/orders.rs"]
mod orders;

use async_std::task;
use magnolianotch::{fleet::local_fleet::target_vm, load::client::ReplyEnd};
use notch_telemetry::prelude::Gauge;
use notch_types::prelude::*;
use rstest::rstest;

use self::orders::{OrdersFleet, SteadyCaller, settings, turn, until};

// Symptom: requests to a model that no engine holds get the engine's own 404, or wait.
// Sequence: an entry gets a model spec; the engines hold nothing; a request comes; then permits,
// orders and loads; then a request again.
// Cause: a sidecar that serves its named target whatever its engine holds.
#[async_std::test]
async fn a_new_model_is_refused_truthfully_then_loaded_then_served() {
    let _turn = turn().await;
    let mut settings = settings();
    settings.platform.weights.known = [("diary-assistant".to_owned(), "v2".to_owned())].into();
    let fleet = OrdersFleet::start(settings).await;
    fleet.want("v1", 2, 1).await;
    // The weight store has no v1 yet: the copies can't come while this looks.
    until("a sidecar with nothing to serve", || async {
        let sidecars = fleet.fleet.sidecars.iter().flatten();
        sidecars.map(|sidecar| sidecar.metrics().value(Gauge::TargetsUp)).sum::<i64>() == 0
    })
    .await;
    fleet.until_no_target().await;
    let denied = Counter::Event("placement_permits_denied");
    until("a permit denied", || async { fleet.counted(denied) > 0 }).await;
    assert!(fleet.holders("v1").is_empty());

    fleet.want("v2", 2, 1).await;
    fleet.until_held("v2", 2).await;
    assert_eq!(fleet.fleet.platform.weights().given(), 2);
    fleet.until_served().await;
    let domains: Vec<usize> = fleet.holders("v2").iter().map(|number| number % 3).collect();
    assert_ne!(domains[0], domains[1], "copies lie in two failure domains");

    // Two targets hold nothing: routing must leave them out.
    for _ in 0..20 {
        assert_eq!(fleet.ask().await, ReplyEnd::Right);
    }
    let notes = fleet.explain("target", "diary-assistant").await.to_string();
    for word in ["load_planned", "order_done", "permit_denied", "copies of 2 wanted"] {
        assert!(notes.contains(word), "{word} is missing in {notes}");
    }
    let holder = target_vm(fleet.holders("v2")[0]);
    let notes = fleet.explain("vm", holder.as_str()).await.to_string();
    assert!(notes.contains("order_done"), "{notes}");
    fleet.stop().await;
}

// Symptom: callers meet refusals while a new version rolls out.
// Sequence: copies serve v1; the entry names v2; engines drop the old version before they load the
// new one. Where no copy can be spared, one more is loaded first.
// Cause: more copies changed at once than the entry's least number allows.
#[rstest]
#[case::one_to_spare(3, 2)]
#[case::none_to_spare(2, 2)]
#[async_std::test]
async fn a_new_version_rolls_out_while_the_least_copies_serve(
    #[case] replicas: u32,
    #[case] min_replicas: u32,
) {
    let _turn = turn().await;
    let fleet = OrdersFleet::start(settings()).await;
    fleet.want("v1", replicas, min_replicas).await;
    fleet.until_held("v1", replicas as usize).await;
    fleet.until_served().await;
    let caller = SteadyCaller::start(&fleet);
    fleet.want("v2", replicas, min_replicas).await;
    let mut fewest = usize::MAX;
    until("every copy at v2", || {
        let (old, new) = (fleet.holders("v1").len(), fleet.holders("v2").len());
        fewest = fewest.min(old + new);
        async move { old == 0 && new == replicas as usize }
    })
    .await;
    let replies = caller.stop().await;
    assert_eq!(fewest, min_replicas as usize, "copies that served at the lowest point");
    assert!(!replies.is_empty());
    assert!(replies.iter().all(|end| *end == ReplyEnd::Right), "{replies:?}");
    fleet.stop().await;
}

// Symptom: a model stays short of a copy after a VM is lost.
// Sequence: two copies serve; one's VM is lost, engine and sidecar, and leaves the VM list.
// Cause: the loss is not told to the planner, or the copy counts for ever.
#[async_std::test]
async fn a_lost_targets_copy_is_loaded_elsewhere() {
    let _turn = turn().await;
    let mut fleet = OrdersFleet::start(settings()).await;
    fleet.want("v1", 2, 1).await;
    fleet.until_held("v1", 2).await;
    let lost = fleet.holders("v1")[0];
    fleet.fleet.kill_target(lost).await;
    fleet.fleet.platform.vms().remove(&target_vm(lost));
    until("a copy elsewhere", || async {
        fleet.holders("v1").iter().filter(|number| **number != lost).count() == 2
    })
    .await;
    fleet.until_served().await;
    fleet.stop().await;
}

// Symptom: a model gets no copy although a fitting target is free.
// Sequence: a sidecar leaves gracefully, for a new build, and starts again on the same VM; later a
// model needs every target.
// Cause: the word of the sidecar that left was kept for its successor.
#[async_std::test]
async fn a_sidecar_that_left_and_came_back_takes_loads_again() {
    let _turn = turn().await;
    let mut fleet = OrdersFleet::start(settings()).await;
    fleet.holder().await;
    fleet.fleet.sidecars[1].take().unwrap().stop().await;
    fleet.fleet.restart_sidecar(1).await.unwrap();
    fleet.fleet.list_sidecar(1);
    fleet.want("v1", 4, 1).await;
    fleet.until_held("v1", 4).await;
    fleet.stop().await;
}

// Symptom: the planner hammers the weight store, or gives up on the model.
// Sequence: the weight store is down when loads are planned; it comes back.
// Cause: a permit refused is taken for an order that failed, or is never asked for again.
#[async_std::test]
async fn loads_wait_while_the_weight_store_says_no() {
    let _turn = turn().await;
    let fleet = OrdersFleet::start(settings()).await;
    fleet.want("v1", 1, 1).await;
    fleet.until_held("v1", 1).await;
    fleet.fleet.platform.weights().set_down(true);
    fleet.want("v1", 3, 1).await;
    let denied = Counter::Event("placement_permits_denied");
    until("permits denied", || async { fleet.counted(denied) >= 3 }).await;
    assert_eq!(fleet.holders("v1").len(), 1, "nothing is loaded without a permit");
    assert_eq!(fleet.ask().await, ReplyEnd::Right, "the copy there goes on");
    fleet.fleet.platform.weights().set_down(false);
    fleet.until_held("v1", 3).await;
    assert_eq!(fleet.counted(Counter::Event("placement_orders_failed")), 0);
    fleet.stop().await;
}

// Symptom: requests go to a target whose copy was taken away, and are refused there.
// Sequence: three copies serve; the entry wants one; two are unloaded while requests go on; then
// the entry is retired of its last copy.
// Cause: the sidecar's list of targets doesn't follow what its engine holds.
#[async_std::test]
async fn routing_follows_unloads() {
    let _turn = turn().await;
    let fleet = OrdersFleet::start(settings()).await;
    fleet.want("v1", 3, 1).await;
    fleet.until_held("v1", 3).await;
    fleet.until_served().await;
    let caller = SteadyCaller::start(&fleet);
    fleet.want("v1", 1, 1).await;
    fleet.until_held("v1", 1).await;
    task::sleep(std::time::Duration::from_millis(500)).await;
    let replies = caller.stop().await;
    assert!(replies.iter().all(|end| *end == ReplyEnd::Right), "{replies:?}");
    fleet.want("v1", 0, 0).await;
    fleet.until_held("v1", 0).await;
    fleet.until_no_target().await;
    fleet.stop().await;
}
