//! Which new client connections a gateway takes.

use std::time::Duration;

use notch_relay::prelude::*;

fn slow() -> Duration {
    Duration::from_millis(150)
}

/// Guards against a gateway that goes on taking connections which it can't serve in time.
#[test]
fn lasting_overload_turns_connections_away() {
    let mut gate = ConnectionGate::default();
    assert!(gate.admits(10, 0.0));
    (0..10).for_each(|_| {
        gate.note_lag(slow());
    });
    assert!(!gate.admits(10, 0.9));
    assert!(gate.admits(10, 0.99), "some show whether the overload has ended");
}

/// Guards against connections that are turned away because the process was paused once.
#[test]
fn a_single_pause_turns_nothing_away() {
    let mut gate = ConnectionGate::default();
    for _ in 0..10 {
        gate.note_lag(Duration::from_secs(5));
        gate.note_lag(Duration::ZERO);
        assert!(gate.admits(10, 0.0));
    }
}

/// Guards against a gateway that goes on turning connections away after the overload.
#[test]
fn connections_are_taken_again_after_the_overload() {
    let mut gate = ConnectionGate::default();
    (0..10).for_each(|_| {
        gate.note_lag(slow());
    });
    let ends = (0..80).filter(|_| gate.note_lag(Duration::ZERO)).count();
    assert_eq!(ends, 1, "the end is told once");
    assert!(gate.admits(10, 0.0));
}

/// Guards against a process without descriptors for the connections that it has taken.
#[test]
fn no_more_connections_are_open_than_allowed() {
    let settings = ConnectionGateSettings { max_open: 10, ..ConnectionGateSettings::default() };
    let gate = ConnectionGate::new(settings);
    assert!(gate.admits(9, 0.5));
    assert!(!gate.admits(10, 0.5));
}
