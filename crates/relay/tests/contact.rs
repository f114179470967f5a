//! Whether missing links show that other gateways are gone.

use std::time::Duration;

use notch_relay::prelude::{OwnContact, RELINK_TIMEOUT};
use notch_types::prelude::MonoTime;

const USUAL: Duration = Duration::from_secs(1);

fn at(millis: u64) -> MonoTime {
    MonoTime::default() + Duration::from_millis(millis)
}

/// A gateway that has had no link to its two peers since 10 s.
fn isolated() -> OwnContact {
    let mut contact = OwnContact::default();
    contact.note_silence(2, 2, at(10_000));
    contact
}

/// Guards against a gateway that takes over from all others as soon as its own cut ends.
#[test]
fn a_gateway_that_was_cut_off_gives_the_others_time_to_link() {
    let mut contact = isolated();
    assert!(!contact.shows_absence(at(10_000), USUAL, at(15_000)), "the store doesn't answer");
    contact.note_confirmed(at(15_000), at(15_010));
    assert!(!contact.shows_absence(at(10_000), USUAL, at(17_000)));
    contact.note_silence(1, 2, at(16_000));
    assert!(!contact.shows_absence(at(10_000), USUAL, at(17_000)), "one of the two has linked");
    assert!(contact.shows_absence(at(10_000), USUAL, at(15_010) + RELINK_TIMEOUT));
}

/// Guards against an answer that was on the way through the whole cut.
#[test]
fn an_answer_to_a_request_before_the_cut_is_no_contact() {
    let mut contact = isolated();
    contact.note_confirmed(at(9_900), at(15_000));
    assert!(contact.needs_confirmation(at(15_000)));
    assert!(!contact.shows_absence(at(10_000), USUAL, at(60_000)));
}

/// Guards against a second cut while the others are still silent.
#[test]
fn contact_must_be_confirmed_again_while_most_are_silent() {
    let mut contact = isolated();
    contact.note_confirmed(at(10_000), at(10_010));
    assert!(contact.needs_confirmation(at(10_600)));
    contact.note_silence(2, 2, at(13_000));
    assert!(!contact.shows_absence(at(10_000), USUAL, at(13_000)));
}

/// Guards against a takeover that waits although only the owner is silent.
#[test]
fn a_gateway_that_hears_most_others_waits_as_usual() {
    let mut contact = OwnContact::default();
    contact.note_silence(1, 2, at(10_500));
    assert!(!contact.needs_confirmation(at(10_500)));
    assert!(!contact.shows_absence(at(10_000), USUAL, at(10_900)));
    assert!(contact.shows_absence(at(10_000), USUAL, at(11_000)));
}
