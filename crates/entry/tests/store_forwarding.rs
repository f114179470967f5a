//! When calls to the store go through another gateway.

use std::time::Duration;

use notch_entry::store::forwarding::{CallRouting, DirectWait, ForwardingState};
use notch_types::prelude::*;

const LONGEST: Duration = Duration::from_millis(1_500);

fn at(millis: u64) -> MonoTime {
    MonoTime::default() + Duration::from_millis(millis)
}

/// Guards against jobs that are late because the first call of each VM waits its whole timeout when the store is silent to
/// a part of the VMs.
#[test]
fn a_call_to_a_quick_store_is_given_up_soon() {
    let mut wait = DirectWait::default();
    (0..20).for_each(|_| wait.note(Duration::from_millis(4)));
    assert!(wait.limit(LONGEST) <= Duration::from_millis(300));
}

/// Guards against a store that became slow for all and is taken for one that is silent to this VM.
#[test]
fn a_store_that_became_slow_is_waited_for() {
    let mut wait = DirectWait::default();
    (0..20).for_each(|_| wait.note(Duration::from_millis(4)));
    wait.note(wait.limit(LONGEST));
    assert!(wait.limit(LONGEST) >= Duration::from_millis(700));
    wait.note(Duration::from_millis(600));
    assert_eq!(wait.limit(LONGEST), LONGEST);
}

#[test]
fn nothing_is_given_up_early_without_a_gateway_to_ask() {
    let mut state = ForwardingState::default();
    assert_eq!(state.direct_limit(LONGEST), LONGEST);
    state.set_can_forward(true);
    assert!(state.direct_limit(LONGEST) < LONGEST);
}

/// Guards against a second call that waits for the silent store although the first has just shown that it is silent.
#[test]
fn the_call_after_a_failed_one_is_forwarded_and_one_in_three_seconds_tried_directly() {
    let mut state = ForwardingState::default();
    assert_eq!(state.way(None, at(1_000)), CallRouting::Direct);
    let down = Some(at(2_000));
    assert_eq!(state.way(down, at(2_400)), CallRouting::Forwarded);
    assert_eq!(state.way(down, at(4_900)), CallRouting::Forwarded);
    assert_eq!(state.way(down, at(5_000)), CallRouting::DirectFirst);
    assert_eq!(state.way(down, at(5_100)), CallRouting::Forwarded);
}
