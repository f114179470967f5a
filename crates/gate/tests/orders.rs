//! Orders to the engine: fenced, one at a time, answered alike when repeated.

mod common;

use common::*;
use notch_gate::prelude::*;
use notch_messages::prelude::*;
use notch_types::prelude::*;

fn order(epoch: u64, number: u64) -> TargetOrder {
    TargetOrder {
        order: number,
        epoch: Epoch(epoch),
        vm: VmName::new("target-vm"),
        action: OrderAction::Role { role: format!("role-{number}") },
    }
}

fn ends(effects: &[GateEffect]) -> Vec<(u64, OrderOutcome)> {
    let told = messages(effects).into_iter().filter_map(|message| match message {
        GatewayMessage::OrderEnded { order, outcome, .. } => Some((*order, outcome.clone())),
        _ => None,
    });
    told.collect()
}

fn given(effects: &[GateEffect]) -> Vec<u64> {
    let orders = effects.iter().filter_map(|effect| match effect {
        GateEffect::Order(order) => Some(order.order),
        _ => None,
    });
    orders.collect()
}

fn done(bench: &mut Bench, epoch: u64, number: u64, outcome: OrderOutcome) -> Vec<GateEffect> {
    bench.feed(GateEvent::OrderEnded { epoch: Epoch(epoch), order: number, outcome })
}

#[test]
fn a_former_holders_order_is_refused_even_where_the_engine_would_take_it() {
    // Symptom: a model disappears minutes after it was placed.
    // Sequence: a holder is paused past its lease, wakes and orders; its successor has ordered.
    // Cause: the engine ignores fencing tokens and nobody else looked.
    let mut bench = Bench::new(still(), fixed(1));
    let early = bench.say(SidecarMessage::Order(order(7, 1)));
    assert_eq!(ends(&early), [(1, OrderOutcome::EpochUnknown)], "a restarted sidecar can't know");
    bench.say(SidecarMessage::PlacementEpoch(Epoch(7)));
    assert_eq!(given(&bench.say(SidecarMessage::Order(order(7, 1)))), [1]);
    done(&mut bench, 7, 1, OrderOutcome::Done);
    let stale = bench.say(SidecarMessage::Order(order(6, 9)));
    assert_eq!(ends(&stale), [(9, OrderOutcome::Stale { current: Epoch(7) })]);
    assert!(given(&stale).is_empty());
    assert!(stale.contains(&GateEffect::Count(Counter::Refused(RefusalReason::StaleEpoch))));
}

#[test]
fn an_order_that_waited_is_refused_when_a_newer_holder_spoke_meanwhile() {
    // Symptom: an old order is carried out after newer ones.
    // Sequence: it waits behind a long load; the lease changes hands; the load ends.
    // Cause: its token was checked only when it came.
    let mut bench = Bench::new(still(), fixed(1));
    bench.say(SidecarMessage::PlacementEpoch(Epoch(7)));
    bench.say(SidecarMessage::Order(order(7, 1)));
    assert!(given(&bench.say(SidecarMessage::Order(order(7, 2)))).is_empty());
    bench.say(SidecarMessage::Order(order(8, 1)));
    let effects = done(&mut bench, 7, 1, OrderOutcome::Done);
    assert!(ends(&effects).contains(&(2, OrderOutcome::Stale { current: Epoch(8) })));
    assert_eq!(given(&effects), [1], "the newer holder's order is next");
}

#[test]
fn the_same_order_again_is_answered_alike_and_a_lost_one_is_done_again() {
    // Symptom: a holder that lost an answer never gets another one, or loads a model twice.
    // Sequence: the answer is lost with the link and asked for again; another order's end is
    // never told by the engine.
    // Cause: orders had no memory; a lost one blocked the next.
    let mut bench = Bench::new(still(), fixed(1));
    bench.say(SidecarMessage::PlacementEpoch(Epoch(7)));
    bench.say(SidecarMessage::Order(order(7, 1)));
    assert!(given(&bench.say(SidecarMessage::Order(order(7, 1)))).is_empty(), "on its way");
    done(&mut bench, 7, 1, OrderOutcome::Done);
    let again = bench.say(SidecarMessage::Order(order(7, 1)));
    assert_eq!(ends(&again), [(1, OrderOutcome::Done)]);
    assert!(given(&again).is_empty());
    bench.say(SidecarMessage::Order(order(7, 2)));
    let lost = bench.pass(301_000);
    assert!(matches!(ends(&lost)[..], [(2, OrderOutcome::Failed { .. })]));
    assert_eq!(given(&bench.say(SidecarMessage::Order(order(7, 2)))), [2], "done again");
    let other = TargetOrder { action: order(7, 3).action, ..order(7, 1) };
    let clash = bench.say(SidecarMessage::Order(other));
    assert!(matches!(ends(&clash)[..], [(1, OrderOutcome::Failed { .. })]));
}
