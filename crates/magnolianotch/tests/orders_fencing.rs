//! Orders of former holders of the placement lease, and sidecars that don't know the epoch.

#![allow(clippy::unwrap_used, reason = "a surprise fails the test")]

#[path = "support/orders.rs"]
mod orders;

use magnolianotch::{fleet::local_fleet::target_vm, load::client::ReplyEnd};
use notch_messages::prelude::*;
use notch_types::prelude::*;
use rstest::rstest;

use self::orders::{OrdersFleet, SteadyCaller, settings, turn, until};

/// Number of an order that no holder gave.
const LATE_ORDER: u64 = 1_000_000;

/// An order to load `version`, as a holder of `epoch` would give it.
fn load(fleet: &OrdersFleet, number: usize, epoch: Epoch, version: &str) -> TargetOrder {
    TargetOrder {
        order: LATE_ORDER,
        epoch,
        vm: target_vm(number),
        action: OrderAction::Load {
            model: TargetName::new(fleet.model()),
            version: version.to_owned(),
            adapters: Vec::new(),
        },
    }
}

// Symptom: a roll-out stops half-way for good, or a copy falls back to the former version.
// Sequence: a roll-out is under way; the gateway that holds the lease dies; another takes over; an
// order of the dead holder, held up on its way, reaches a sidecar.
// Cause: no second holder; or an order of an older epoch is carried out, by an engine that doesn't
// check epochs behind a sidecar that doesn't either.
#[rstest]
#[case::engines_that_check(true)]
#[case::engines_that_do_not(false)]
#[async_std::test]
async fn a_successor_ends_the_roll_out_and_the_old_holder_is_refused(#[case] checks_epoch: bool) {
    let _turn = turn().await;
    let mut settings = settings();
    settings.engine.checks_epoch = checks_epoch;
    let mut fleet = OrdersFleet::start(settings).await;
    fleet.want("v1", 3, 2).await;
    fleet.until_held("v1", 3).await;
    fleet.until_served().await;
    let (holder, old) = fleet.holder().await;

    fleet.want("v2", 3, 2).await;
    until("the first copy of v2", || async { !fleet.holders("v2").is_empty() }).await;
    fleet.fleet.kill_gateway(holder).await;
    let caller = SteadyCaller::start(&fleet);
    fleet.until_held("v2", 3).await;
    let replies = caller.stop().await;
    assert!(replies.iter().all(|end| *end == ReplyEnd::Right), "{replies:?}");
    let (successor, new) = fleet.holder().await;
    assert_ne!(successor, holder);
    assert!(new > old, "{new:?} follows {old:?}");

    for number in fleet.holders("v2") {
        let late = fleet.impostor(number).await;
        let outcome = late.order(load(&fleet, number, old, "v1")).await;
        assert_eq!(outcome, OrderOutcome::Stale { current: new });
    }
    assert_eq!(fleet.holders("v2").len(), 3, "no copy fell back");
    for engine in &fleet.fleet.engines {
        let state = engine.state();
        assert_eq!((state.stale_orders_done, state.stale_orders_refused), (0, 0));
    }
    fleet.stop().await;
}

// Symptom: after a sidecar's restart its engine falls back to what a former holder ordered.
// Sequence: a sidecar starts again between two orders; before any gateway finds it, an order of a
// former epoch reaches it; then the gateways link, and a load is wanted there.
// Cause: the sidecar kept nothing, and takes the first epoch it meets for the newest.
#[rstest]
#[case::engines_that_check(true)]
#[case::engines_that_do_not(false)]
#[async_std::test]
async fn a_restarted_sidecar_takes_no_order_before_it_knows_the_epoch(#[case] checks_epoch: bool) {
    let _turn = turn().await;
    let mut settings = settings();
    settings.engine.checks_epoch = checks_epoch;
    let mut fleet = OrdersFleet::start(settings).await;
    fleet.want("v1", 4, 1).await;
    fleet.until_held("v1", 4).await;
    let (_, epoch) = fleet.holder().await;

    fleet.fleet.restart_sidecar(2).await.unwrap();
    let late = fleet.impostor(2).await;
    let outcome = late.order(load(&fleet, 2, epoch, "v0")).await;
    assert_eq!(outcome, OrderOutcome::EpochUnknown);
    assert_eq!(fleet.held(2).as_deref(), Some("v1"));

    fleet.fleet.list_sidecar(2);
    fleet.want("v2", 4, 1).await;
    fleet.until_held("v2", 4).await;
    let outcome = late.order(load(&fleet, 2, Epoch(epoch.0 - 1), "v0")).await;
    assert_eq!(outcome, OrderOutcome::Stale { current: epoch });
    fleet.until_served().await;
    fleet.stop().await;
}
