//! Which gateway evicts another one and when, and when a gateway may act on jobs while its own entry may be gone.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::time::Duration;

use notch_relay::{
    jobs::eviction::{
        EVICTION_ANSWER_TIMEOUT, EVICTION_DUE, EVICTION_PAUSE, EVICTION_SILENCE, MAJORITY_SILENCE,
        OWN_ENTRY_INTERVAL, OWN_ENTRY_VALIDITY, is_majority, needed_for_majority,
    },
    prelude::*,
};
use notch_types::prelude::*;
use rstest::rstest;

/// Interval of a gateway's observations.
const TICK: Duration = Duration::from_millis(250);

fn at(millis: u64) -> MonoTime {
    MonoTime::default() + Duration::from_millis(millis)
}

fn vm(name: &str) -> VmName {
    VmName::new(name)
}

fn candidate(revision: u64, unlinked: Duration) -> EvictionCandidate {
    EvictionCandidate { vm: vm("gone"), owner: "gone#1".to_owned(), revision, unlinked }
}

/// A fleet of five of which one has no link, seen by one of the four others.
fn fleet(own: &str, candidate: EvictionCandidate) -> FleetView {
    let others = ["a", "b", "c", "d"].into_iter().filter(|name| *name != own);
    let linked: Vec<VmName> = others.map(vm).collect();
    FleetView {
        evictors: linked.clone(),
        heard: linked.len(),
        known: linked.len() + 1,
        candidates: vec![candidate],
        linked,
        is_unsure: false,
    }
}

/// The gateway that is ranked first for evicting `gone`.
fn first_evictor() -> &'static str {
    let rank = |name: &&str| stable_hash64(&[b"gone", name.as_bytes()]);
    ["a", "b", "c", "d"].into_iter().max_by_key(rank).unwrap()
}

/// An evictor that has known the entry for long enough, and the time.
fn ready(view: &FleetView) -> (GatewayEviction, VmName, MonoTime) {
    let own = vm(first_evictor());
    let mut eviction = GatewayEviction::default();
    assert_eq!(eviction.begin(&own, view, at(0)), None, "it has known the entry for a moment");
    (eviction, own, at(0) + EVICTION_SILENCE)
}

#[test]
fn the_first_by_rank_alone_evicts() {
    let gone = candidate(7, EVICTION_DUE);
    let evictors: Vec<&str> = ["a", "b", "c", "d"]
        .into_iter()
        .filter(|own| {
            let view = fleet(own, gone.clone());
            let mut eviction = GatewayEviction::default();
            eviction.begin(&vm(own), &view, at(0));
            eviction.begin(&vm(own), &view, at(0) + EVICTION_SILENCE).is_some()
        })
        .collect();
    assert_eq!(evictors, [first_evictor()]);
}

/// The evictor dies between the answers and the deletion.
#[test]
fn the_next_by_rank_evicts_without_the_first() {
    let gone = candidate(7, EVICTION_DUE);
    let first = first_evictor();
    let left: Vec<&str> = ["a", "b", "c", "d"].into_iter().filter(|own| *own != first).collect();
    let evicts = |own: &&&str| {
        let mut view = fleet(own, gone.clone());
        view.linked.retain(|other| *other != vm(first));
        view.evictors = view.linked.clone();
        view.heard = view.linked.len();
        let mut eviction = GatewayEviction::default();
        eviction.begin(&vm(own), &view, at(0));
        eviction.begin(&vm(own), &view, at(0) + EVICTION_SILENCE).is_some()
    };
    assert_eq!(left.iter().filter(evicts).count(), 1);
}

/// Guards against an attempt that is refused, and repeated only 5 s later, because another gateway noticed the loss of its
/// link a moment after the asker did.
#[test]
fn an_eviction_is_not_asked_for_before_the_others_can_agree() {
    let heartbeat = Duration::from_millis(300);
    let view = fleet(first_evictor(), candidate(7, EVICTION_SILENCE + heartbeat));
    let (mut eviction, own, now) = ready(&view);
    assert_eq!(eviction.begin(&own, &view, now), None);
    let view = fleet(first_evictor(), candidate(7, EVICTION_DUE));
    assert!(eviction.begin(&own, &view, now).is_some());
}

#[test]
fn all_linked_gateways_must_agree() {
    let view = fleet(first_evictor(), candidate(7, EVICTION_DUE));
    let (mut eviction, own, now) = ready(&view);
    assert!(eviction.begin(&own, &view, now).is_some());
    assert_eq!(eviction.begin(&own, &view, now), None, "one eviction at a time");
    for peer in &view.linked {
        assert_eq!(eviction.verdict(&own, &view, now), EvictionVerdict::Pending);
        eviction.note_answer(peer, AbsenceVote::Gone);
    }
    assert_eq!(eviction.answers(), (3, 3));
    assert_eq!(eviction.verdict(&own, &view, now), EvictionVerdict::Agreed);
}

/// Guards against the eviction of a gateway that this one alone has no link to.
#[test]
fn a_refusal_postpones() {
    let view = fleet(first_evictor(), candidate(7, EVICTION_DUE));
    let (mut eviction, own, now) = ready(&view);
    eviction.begin(&own, &view, now).unwrap();
    view.linked.iter().for_each(|peer| eviction.note_answer(peer, AbsenceVote::Gone));
    eviction.note_answer(&view.linked[0], AbsenceVote::Objection);
    let refused = EvictionVerdict::Postponed(EvictionOutcome::Refused);
    assert_eq!(eviction.verdict(&own, &view, now), refused);
    eviction.end(now);
    let early = now + EVICTION_PAUSE - TICK;
    assert_eq!(eviction.begin(&own, &view, early), None);
    assert!(eviction.begin(&own, &view, now + EVICTION_PAUSE).is_some());
}

/// Guards against counting a gateway that is frozen, or of a build without evictions, as one that agrees.
#[test]
fn a_missing_answer_postpones() {
    let view = fleet(first_evictor(), candidate(7, EVICTION_DUE));
    let (mut eviction, own, now) = ready(&view);
    eviction.begin(&own, &view, now).unwrap();
    view.linked[1..].iter().for_each(|peer| eviction.note_answer(peer, AbsenceVote::Gone));
    let unanswered = EvictionVerdict::Postponed(EvictionOutcome::Unanswered);
    assert_eq!(eviction.verdict(&own, &view, now + EVICTION_ANSWER_TIMEOUT), unanswered);
}

/// Changes while the answers are collected.
#[rstest]
#[case::linked(|view: &mut FleetView| view.candidates.clear())]
#[case::registered_again(|view: &mut FleetView| view.candidates[0].revision += 1)]
#[case::a_new_link_to_one_not_asked(|view: &mut FleetView| view.linked.push(vm("e")))]
#[case::majority_lost(|view: &mut FleetView| view.heard = 1)]
#[case::paused_or_entries_outdated(|view: &mut FleetView| view.is_unsure = true)]
fn a_change_meanwhile_postpones(#[case] change: fn(&mut FleetView)) {
    let mut view = fleet(first_evictor(), candidate(7, EVICTION_DUE));
    let (mut eviction, own, now) = ready(&view);
    eviction.begin(&own, &view, now).unwrap();
    view.linked.iter().for_each(|peer| eviction.note_answer(peer, AbsenceVote::Gone));
    change(&mut view);
    let not_due = EvictionVerdict::Postponed(EvictionOutcome::NotDue);
    assert_eq!(eviction.verdict(&own, &view, now), not_due);
}

/// Guards against the eviction of a gateway that has just started under the name of one that is long gone: there was
/// no link to either for 8 s, but the new entry has been known for a moment.
#[test]
fn a_renewed_entry_is_judged_anew() {
    let view = fleet(first_evictor(), candidate(7, EVICTION_SILENCE * 3));
    let (mut eviction, own, now) = ready(&view);
    let renewed = fleet(first_evictor(), candidate(8, EVICTION_SILENCE * 3));
    assert_eq!(eviction.begin(&own, &renewed, now), None);
    assert_eq!(eviction.begin(&own, &renewed, now + EVICTION_SILENCE - TICK), None);
    assert!(eviction.begin(&own, &renewed, now + EVICTION_SILENCE).is_some());
}

#[rstest]
#[case::linked(None, true, Some("gone#1"), AbsenceVote::Objection)]
#[case::linked_a_moment_ago(Some(EVICTION_SILENCE - TICK), true, Some("gone#1"), AbsenceVote::Objection)]
#[case::gone(Some(EVICTION_SILENCE), true, Some("gone#1"), AbsenceVote::Gone)]
#[case::entry_unknown(Some(EVICTION_SILENCE), true, None, AbsenceVote::Gone)]
#[case::started_again(Some(EVICTION_SILENCE), true, Some("gone#2"), AbsenceVote::Objection)]
#[case::asked_after_a_start(Some(EVICTION_SILENCE - TICK), false, Some("gone#1"), AbsenceVote::NeverLinked)]
#[case::up_for_long(Some(EVICTION_SILENCE), false, Some("gone#1"), AbsenceVote::Gone)]
#[case::both_started(Some(EVICTION_SILENCE - TICK), false, Some("gone#2"), AbsenceVote::Objection)]
fn a_gateway_agrees_only_if_it_had_no_link(
    #[case] unlinked: Option<Duration>,
    #[case] was_linked: bool,
    #[case] owner: Option<&str>,
    #[case] vote: AbsenceVote,
) {
    let absence = PeerAbsence { owner: owner.map(str::to_owned), unlinked, was_linked };
    assert_eq!(absence.vote("gone#1"), vote);
}

/// Guards against replacements that keep the removed gateway's entry for as long as new ones start: one gateway is
/// removed, and one of four others started 5 s ago.
#[test]
fn a_new_gateway_does_not_keep_the_others_from_an_eviction() {
    let mut view = fleet(first_evictor(), candidate(7, EVICTION_DUE));
    let new = view.linked[0].clone();
    view.evictors.retain(|vm| *vm != new);
    let (mut eviction, own, now) = ready(&view);
    assert!(eviction.begin(&own, &view, now).is_some());
    eviction.note_answer(&new, AbsenceVote::NeverLinked);
    view.evictors.iter().for_each(|peer| eviction.note_answer(peer, AbsenceVote::Gone));
    assert_eq!(eviction.verdict(&own, &view, now), EvictionVerdict::Agreed);
}

/// Guards against the eviction of a gateway that may still have heard a majority a moment ago: most of the others
/// have just started, and what they had a link to before is not known.
#[test]
fn a_majority_that_has_been_up_for_long_is_needed() {
    let mut view = fleet(first_evictor(), candidate(7, EVICTION_DUE));
    view.evictors.truncate(1);
    let (mut eviction, own, now) = ready(&view);
    assert!(eviction.begin(&own, &view, now).is_some());
    view.linked[1..].iter().for_each(|peer| eviction.note_answer(peer, AbsenceVote::NeverLinked));
    eviction.note_answer(&view.linked[0], AbsenceVote::Gone);
    let refused = EvictionVerdict::Postponed(EvictionOutcome::Refused);
    assert_eq!(eviction.verdict(&own, &view, now), refused);
}

/// Guards against a first-ranked gateway that keeps the others from an eviction for good: it hears no majority, or it
/// missed a registration and tries to delete an outdated revision.
#[test]
fn the_next_by_rank_follows_when_the_first_does_not_evict() {
    let rank = |name: &&str| stable_hash64(&[b"gone", name.as_bytes()]);
    let mut names = ["a", "b", "c", "d"];
    names.sort_by_key(rank);
    for (ahead, name) in names.iter().rev().enumerate() {
        let due = EVICTION_DUE + EVICTION_PAUSE * ahead as u32;
        let begins = |unlinked: Duration| {
            let view = fleet(name, candidate(7, unlinked));
            let mut eviction = GatewayEviction::default();
            eviction.begin(&vm(name), &view, at(0));
            eviction.begin(&vm(name), &view, at(0) + EVICTION_SILENCE).is_some()
        };
        assert!(!begins(due - TICK), "{name} with {ahead} ahead began too early");
        assert!(begins(due), "{name} with {ahead} ahead never began");
    }
}

/// Guards against attempts by all gateways every five seconds on one to which a few still have a link: each attempt asks
/// all linked gateways, and every gateway in a fleet of 100 would make one once it had been gone for 8 minutes.
#[test]
fn attempts_that_fail_do_not_grow_with_the_fleet() {
    let names: Vec<VmName> = (0..100).map(|number| vm(&format!("g{number}"))).collect();
    let mut attempts = 0;
    for own in &names {
        let linked: Vec<VmName> = names.iter().filter(|other| *other != own).cloned().collect();
        let mut view = FleetView {
            evictors: linked.clone(),
            heard: linked.len(),
            known: linked.len() + 1,
            candidates: vec![candidate(7, Duration::ZERO)],
            linked,
            is_unsure: false,
        };
        let mut eviction = GatewayEviction::default();
        for second in 0..=900 {
            let now = at(second * 1_000);
            view.candidates[0].unlinked = Duration::from_secs(second);
            if eviction.begin(own, &view, now).is_some() {
                eviction.note_answer(&view.linked[0], AbsenceVote::Objection);
                eviction.end(now);
                attempts += u32::from(second > 600);
            }
        }
    }
    let by_the_first = 300 / EVICTION_PAUSE.as_secs() as u32;
    assert!((by_the_first..by_the_first * 6).contains(&attempts), "{attempts} in five minutes");
}

/// Guards against an answer that counts twice, or that counts although its sender was not asked or does not count
/// towards a majority, as it leaves: two of five agree, this one included.
#[test]
fn only_asked_gateways_that_count_agree_and_only_once() {
    let mut view = fleet(first_evictor(), candidate(7, EVICTION_DUE));
    let (leaving, new) = (view.linked[1].clone(), view.linked[2].clone());
    view.evictors.truncate(1);
    let (mut eviction, own, now) = ready(&view);
    assert!(eviction.begin(&own, &view, now).is_some());
    for from in [&view.linked[0], &view.linked[0], &leaving, &vm("stranger")] {
        eviction.note_answer(from, AbsenceVote::Gone);
    }
    eviction.note_answer(&new, AbsenceVote::NeverLinked);
    assert_eq!(eviction.answers(), (3, 1));
    let refused = EvictionVerdict::Postponed(EvictionOutcome::Refused);
    assert_eq!(eviction.verdict(&own, &view, now), refused);
}

#[test]
fn needed_gateways_make_up_a_majority() {
    for known in 0..50 {
        let needed = needed_for_majority(known);
        assert!(is_majority(needed, known));
        assert!(needed == 0 || !is_majority(needed - 1, known), "{known}");
    }
}

/// A guard that has observed a majority until `until`, in milliseconds.
fn guard_with_majority(until: u64) -> OwnEntryGuard {
    let mut guard = OwnEntryGuard::default();
    for millis in (0..=until).step_by(TICK.as_millis() as usize) {
        guard.observe(Some(Duration::ZERO), at(millis));
    }
    guard
}

/// Observes from `from` to `until` (milliseconds) that a majority was last heard at `heard`.
fn observe_silence(guard: &mut OwnEntryGuard, heard: u64, from: u64, until: u64) {
    for millis in (from..=until).step_by(TICK.as_millis() as usize) {
        guard.observe(Some(Duration::from_millis(millis - heard)), at(millis));
    }
}

#[test]
fn normal_operation_needs_no_read() {
    let mut guard = OwnEntryGuard::default();
    for millis in (0..60_000).step_by(250) {
        guard.observe(Some(Duration::from_millis(300)), at(millis));
        assert!(guard.may_act(at(millis)) && !guard.needs_read(at(millis)));
    }
}

/// A fleet that starts, and a fleet of one.
#[test]
fn a_gateway_that_never_heard_a_majority_acts_without_reads() {
    let mut guard = OwnEntryGuard::default();
    for millis in (0..60_000).step_by(250) {
        guard.observe(None, at(millis));
        assert!(guard.may_act(at(millis)) && !guard.needs_read(at(millis)));
    }
}

/// Guards against a gateway that was frozen while the others evicted it, and accepts a job or tells a reader that there
/// is nothing more before it has observed anything: messages from before the pause are still to be read, so it seems to
/// hear all others.
#[test]
fn after_a_pause_the_entry_is_read_first() {
    let mut guard = guard_with_majority(10_000);
    assert!(guard.may_act(at(10_000)));
    let woken = 10_000 + 20_000;
    assert!(!guard.may_act(at(woken)), "before the first observation");
    assert!(guard.needs_read(at(woken)));
    guard.observe(Some(Duration::ZERO), at(woken + 10));
    assert!(!guard.may_act(at(woken + 10)), "old messages count as heard");
    assert!(!guard.note_read(at(9_000), true, at(woken + 20)), "a read from before the pause");
    assert!(!guard.may_act(at(woken + 20)));
    guard.note_read(at(woken + 20), true, at(woken + 30));
    assert!(guard.may_act(at(woken + 30)));
    assert!(!guard.needs_read(at(woken + 30)), "one read is enough");
}

/// Guards against certainty that rests on one read after a pause: what seems to be heard may be from before it, and the
/// others may still delete the entry until they have heard this gateway again.
#[test]
fn after_a_pause_one_read_permits_only_for_a_while() {
    let mut guard = guard_with_majority(10_000);
    let woken = 30_000;
    guard.observe(Some(Duration::ZERO), at(woken));
    guard.note_read(at(woken + 1), true, at(woken + 5));
    assert!(guard.may_act(at(woken + 5)));
    let validity = OWN_ENTRY_VALIDITY.as_millis() as u64;
    for millis in (woken + 250..=woken + validity + 250).step_by(250) {
        guard.observe(Some(Duration::ZERO), at(millis));
    }
    assert!(guard.needs_read(at(woken + validity + 250)), "it is read again");
    assert!(!guard.may_act(at(woken + validity + 250)));
    let trusted = woken + EVICTION_SILENCE.as_millis() as u64;
    for millis in (woken + validity + 500..=trusted + 250).step_by(250) {
        guard.observe(Some(Duration::ZERO), at(millis));
        guard.note_read(at(millis), true, at(millis + 5));
    }
    assert!(!guard.needs_read(at(trusted + 5_000 - 1_500)), "links are trusted again");
}

/// Guards against ownership that is trusted after a pause: jobs may have been taken over meanwhile, although the links
/// and the entries look as before.
#[test]
fn a_pause_invalidates_ownership() {
    let mut guard = guard_with_majority(10_000);
    assert!(!guard.note_entries(true) && guard.has_current_entries());
    guard.observe(Some(Duration::ZERO), at(30_000));
    assert!(!guard.has_current_entries());
    assert!(guard.note_entries(true), "ownership is to be invalidated");
    guard.note_invalidated();
    assert!(guard.has_current_entries());
}

/// Guards against a gateway that was frozen before it had heard a majority: others may have heard and evicted it. One
/// read suffices, as there is no majority that it lacks.
#[test]
fn a_pause_counts_before_a_majority_was_heard() {
    let mut guard = OwnEntryGuard::default();
    guard.observe(None, at(1_000));
    assert!(!guard.may_act(at(20_000)) && guard.needs_read(at(20_000)));
    guard.observe(None, at(20_010));
    assert!(!guard.may_act(at(20_010)));
    guard.note_read(at(20_020), true, at(20_030));
    observe_silence(&mut guard, 20_030, 20_050, 20_050);
    assert!(guard.may_act(at(20_050)) && !guard.needs_read(at(20_050)));
}

/// Guards against a gateway that was cut off, is evicted, and goes on to accept jobs.
#[test]
fn without_a_majority_each_read_permits_for_a_while() {
    let mut guard = guard_with_majority(10_000);
    let limit = 10_000 + MAJORITY_SILENCE.as_millis() as u64;
    observe_silence(&mut guard, 10_000, 10_250, limit - 250);
    assert!(guard.may_act(at(limit - 250)) && !guard.needs_read(at(limit - 250)));
    observe_silence(&mut guard, 10_000, limit, limit);
    assert!(!guard.may_act(at(limit)) && guard.needs_read(at(limit)));
    guard.note_read(at(limit), true, at(limit + 5));
    assert!(guard.may_act(at(limit + 5)) && !guard.needs_read(at(limit + 5)));
    let next = at(limit) + OWN_ENTRY_INTERVAL;
    observe_silence(&mut guard, 10_000, limit + 250, limit + 2_500);
    assert!(guard.needs_read(next), "it is read again");
    assert!(guard.may_act(next), "nothing is refused during the next read");
    observe_silence(&mut guard, 10_000, limit + 2_750, limit + 3_500);
    assert!(!guard.may_act(at(limit) + OWN_ENTRY_VALIDITY), "the next read was not answered");
}

/// Guards against a gateway that trusts its links again although it was evicted before they came back.
#[test]
fn a_returning_majority_ends_the_doubt_only_with_a_later_read() {
    let mut guard = guard_with_majority(10_000);
    observe_silence(&mut guard, 10_000, 10_250, 20_000);
    guard.note_read(at(20_000), true, at(20_005));
    guard.observe(Some(Duration::ZERO), at(20_250));
    assert!(guard.needs_read(at(20_250)), "the entry may have been deleted since the last read");
    guard.note_read(at(20_251), true, at(20_260));
    assert!(!guard.needs_read(at(20_260)));
    observe_silence(&mut guard, 20_250, 20_500, 24_000);
    assert!(guard.may_act(at(24_000)) && !guard.needs_read(at(24_000)));
}

#[test]
fn a_gateway_whose_entry_is_gone_waits_until_the_others_know_it_again() {
    let mut guard = guard_with_majority(1_000);
    guard.doubt(at(1_000));
    assert!(!guard.may_act(at(1_000)) && guard.needs_read(at(1_000)));
    assert!(guard.note_read(at(1_001), false, at(1_010)), "found gone for the first time");
    assert!(!guard.note_read(at(1_002), false, at(1_020)), "known to be gone");
    assert!(guard.needs_registration(at(1_020)) && !guard.may_take_over(at(1_020)));
    guard.note_registered(at(8_000));
    observe_silence(&mut guard, 1_000, 1_250, 1_500);
    for millis in (1_750..8_000).step_by(250) {
        guard.observe(Some(Duration::ZERO), at(millis));
        guard.note_read(at(millis), true, at(millis + 5));
        assert!(!guard.may_take_over(at(millis)) && !guard.may_act(at(millis)), "at {millis}");
    }
    guard.observe(Some(Duration::ZERO), at(8_000));
    assert!(guard.may_take_over(at(8_000)) && guard.may_act(at(8_000)));
}

/// The pauses before the registrations of a gateway that is evicted again and again, 8 s after it registered, while it
/// hears a majority in the last `heard` before each eviction.
fn registration_pauses(guard: &mut OwnEntryGuard, mut now: MonoTime, heard: Duration) -> Vec<u64> {
    let mut pauses = Vec::new();
    for _ in 0..6 {
        assert!(guard.note_read(now, false, now), "found gone for the first time");
        let gone_at = now;
        while !guard.needs_registration(now) {
            now = now + TICK;
            guard.observe(None, now);
        }
        pauses.push(now.since(gone_at).as_secs());
        guard.note_registered(now);
        let evicted_at = now + EVICTION_SILENCE * 2;
        while now < evicted_at {
            now = now + TICK;
            let is_heard = evicted_at.since(now) <= heard;
            guard.observe(is_heard.then_some(Duration::ZERO), now);
        }
    }
    pauses
}

/// Guards against a gateway that only the store reaches and that is evicted and registers again in turns for ever, each
/// time with a read of all jobs by all owners.
#[rstest]
#[case::never(Duration::ZERO)]
#[case::shortly(EVICTION_SILENCE - TICK * 2)]
fn the_pause_between_registrations_grows_without_a_majority(#[case] heard: Duration) {
    let mut guard = guard_with_majority(1_000);
    observe_silence(&mut guard, 1_000, 1_250, 60_000);
    assert_eq!(registration_pauses(&mut guard, at(60_000), heard), [0, 8, 16, 32, 60, 60]);
}

/// Guards against a gateway that stays out for longer after evictions that lie far apart.
#[test]
fn a_majority_that_was_heard_for_a_while_resets_the_pause() {
    let mut guard = guard_with_majority(1_000);
    observe_silence(&mut guard, 1_000, 1_250, 60_000);
    let heard = EVICTION_SILENCE + TICK;
    assert_eq!(registration_pauses(&mut guard, at(60_000), heard), [0; 6]);
}

/// Guards against a gateway that stays out although its links are back, and against a pause of the process that counts
/// as time in which a majority was heard.
#[test]
fn a_majority_that_was_heard_for_a_while_ends_the_pause() {
    let mut guard = guard_with_majority(1_000);
    observe_silence(&mut guard, 1_000, 1_250, 20_000);
    guard.note_read(at(20_000), false, at(20_000));
    guard.note_registered(at(20_000));
    observe_silence(&mut guard, 1_000, 20_250, 30_000);
    guard.note_read(at(30_000), false, at(30_000));
    guard.note_registered(at(30_000));
    observe_silence(&mut guard, 1_000, 30_250, 50_000);
    guard.note_read(at(50_000), false, at(50_000));
    assert_eq!(guard.registration_wait(at(50_000)), EVICTION_SILENCE * 2);
    for millis in (50_250..52_000).step_by(250) {
        guard.observe(Some(Duration::ZERO), at(millis));
    }
    for millis in (56_000..64_000).step_by(250) {
        guard.observe(Some(Duration::ZERO), at(millis));
        assert!(!guard.needs_registration(at(millis)), "at {millis}");
    }
    guard.observe(Some(Duration::ZERO), at(64_000));
    assert!(guard.needs_registration(at(64_000)));
}

/// Guards against certainty from a confirmation that is older than a registration, a takeover and an eviction of another
/// gateway, all of which fell into a time without fresh entries.
#[test]
fn outdated_entries_end_certainty_until_ownership_is_invalidated() {
    let mut guard = OwnEntryGuard::default();
    assert!(!guard.note_entries(true) && guard.has_current_entries());
    assert!(!guard.note_entries(false) && !guard.has_current_entries());
    assert!(guard.note_entries(true), "ownership is to be invalidated");
    assert!(!guard.has_current_entries(), "it was not invalidated yet");
    guard.note_invalidated();
    assert!(!guard.note_entries(true) && guard.has_current_entries());
}
