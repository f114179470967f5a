//! Which gateways search the store for jobs without an owner.

use std::time::Duration;

use notch_relay::prelude::SearchSchedule;
use notch_types::prelude::*;

const GATEWAYS: usize = 274;
const TICK: u64 = 250;
const NEWS_DELAY: u64 = 50;

fn at(millis: u64) -> MonoTime {
    MonoTime::default() + Duration::from_millis(millis)
}

/// Lets all gateways learn of a loss at 1 s and run for 12 s. `is_able` tells which can reach the store. Returns the
/// number of searches.
fn searches_after_a_loss(is_able: impl Fn(usize) -> bool) -> usize {
    let mut schedules = vec![SearchSchedule::default(); GATEWAYS];
    schedules.iter_mut().for_each(|schedule| schedule.note_reason(at(1_000)));
    let mut searches = 0;
    for now in (1_000..13_000).step_by(TICK as usize) {
        for rank in 0..GATEWAYS {
            if !schedules[rank].is_due(rank, at(now)) {
                continue;
            }
            searches += 1;
            schedules[rank].note_searched(at(now + 1), !is_able(rank), at(now + 20));
            if is_able(rank) {
                let told = schedules.iter_mut().enumerate().filter(|(other, _)| *other != rank);
                told.for_each(|(_, schedule)| schedule.note_announced(at(now + 1)));
            }
        }
    }
    searches
}

/// Guards against a list of all jobs by every gateway whenever one is lost.
#[test]
fn one_gateway_searches_after_a_loss() {
    assert_eq!(searches_after_a_loss(|_| true), 1);
}

/// Guards against jobs that nobody takes over because the first gateways can't search.
#[test]
fn the_next_ones_search_if_the_first_can_not() {
    let searches = searches_after_a_loss(|rank| rank >= 3);
    assert!((4..=8).contains(&searches), "{searches}");
}

#[test]
fn a_search_that_began_before_the_loss_settles_nothing() {
    let mut schedule = SearchSchedule::default();
    schedule.note_reason(at(1_000));
    schedule.note_announced(at(1_000 - NEWS_DELAY));
    assert!(schedule.is_due(1, at(2_000)));
    schedule.note_announced(at(1_900));
    assert!(!schedule.is_due(0, at(60_000)));
}

/// Guards against a reason that is heard of after the search that already covers it, and causes another one.
#[test]
fn a_search_announced_before_the_reason_is_heard_of_settles_it() {
    let mut schedule = SearchSchedule::default();
    schedule.note_announced(at(1_500));
    schedule.note_reason(at(1_400));
    assert!(!schedule.is_due(0, at(60_000)));
}

#[test]
fn a_reason_during_a_search_causes_another_one() {
    let mut schedule = SearchSchedule::default();
    schedule.note_reason(at(1_000));
    schedule.note_reason(at(1_200));
    schedule.note_searched(at(1_100), false, at(1_300));
    assert!(schedule.is_due(0, at(1_300)));
    schedule.note_searched(at(1_301), false, at(1_400));
    assert!(!schedule.is_due(0, at(60_000)));
}

#[test]
fn a_search_that_left_jobs_is_repeated() {
    let mut schedule = SearchSchedule::default();
    schedule.note_reason(at(1_000));
    schedule.note_searched(at(1_001), true, at(1_100));
    assert!(!schedule.is_due(0, at(1_200)));
    assert!(schedule.is_due(0, at(2_700)));
}

/// Guards against searches that follow one another until a reason that lies in the future.
#[test]
fn a_search_before_the_reason_arises_is_repeated_once_it_does() {
    let mut schedule = SearchSchedule::default();
    schedule.note_reason(at(2_000));
    schedule.note_reason(at(1_000));
    assert!(schedule.is_due(0, at(1_000)));
    schedule.note_searched(at(1_000), false, at(1_020));
    assert!(!schedule.is_due(0, at(1_900)));
    assert!(schedule.is_due(0, at(2_000)));
}

/// Guards against searches by every gateway of a fleet that starts: none is linked to those ranked before it when the
/// reason arises, but all are when the search is due.
#[test]
fn the_rank_counts_when_the_search_is_due() {
    let mut schedule = SearchSchedule::default();
    schedule.note_reason(at(1_000));
    assert!(!schedule.is_due(5, at(1_000)));
    assert!(schedule.is_due(5, at(6_000)));
}

/// Guards against refusals that wait for a search that other gateways have no reason for.
#[test]
fn a_search_that_is_needed_here_waits_for_no_other_gateway() {
    let mut schedule = SearchSchedule::default();
    schedule.demand(at(1_000));
    assert!(schedule.is_due(8, at(1_000)));
}
