//! Failures one by one.

mod support;

use std::time::Duration;

use notch_ledger::{
    AppendTicket, AppendUrgency, LedgerHead, LedgerShard, RejectCertainty, ShardEffect, ShardEvent,
    ShardStanding,
};
use notch_types::{
    object::{StoreCall, StoreOp, StoreReply},
    prelude::Now,
};
use rstest::rstest;
use support::{
    naive::Fate,
    scenes::{fill, head, keep, owned, puts_head, puts_segment},
    world::{Fault, Weather, World},
};

// Symptom: a record is in the ledger twice, or an acknowledged one isn't there.
// Sequence: the write of a commit gets no answer; it took effect at once, later, or never.
// Cause: the writer guesses. It reads back instead and compares its mark; until then it's silent.
#[rstest]
fn a_lost_answer_is_settled_by_reading_back(
    #[values(10, 300)] size: usize,
    #[values(
        Fault::UnknownApplied,
        Fault::UnknownNotApplied,
        Fault::AppliedLate(20),
        Fault::AppliedLate(3_000),
        Fault::Slow(350),
        Fault::Slow(900),
        Fault::Silent,
        Fault::Unavailable,
        Fault::Throttled
    )]
    fault: Fault,
    #[values(puts_head, puts_segment)] aim: fn(&StoreOp) -> bool,
) {
    let mut world = owned(2);
    world.aimed = vec![(aim, fault), (aim, fault)];
    let tickets = (0..3).map(|_| world.append(0, 2, size)).collect::<Vec<_>>();
    world.run(30);
    let later = world.append(0, 1, size);
    world.run(5_000);
    for ticket in tickets.into_iter().chain([later]) {
        assert!(matches!(world.fate(ticket), Fate::Committed(_)), "{:?}", world.fate(ticket));
    }
    world.finish();
}

// Symptom: a commit whose answer was lost is reported wrongly after a takeover.
// Sequence: the owner writes, the answer is lost, the owner is paused, another takes over and
// commits, perhaps many epochs go by; the owner wakes and reads a head that isn't its own.
// Cause: the newest head alone doesn't tell whether an older write is part of the history. The
// ends of the last epochs in the head do; when those are gone too, the truth is "unknown".
#[rstest]
#[case::took_effect(Fault::UnknownApplied, 1, "committed")]
#[case::had_no_effect(Fault::UnknownNotApplied, 1, "not committed")]
#[case::took_effect_long_ago(Fault::UnknownApplied, 20, "unknown")]
#[case::never_sent(Fault::Unavailable, 20, "not committed")]
fn a_deposed_owner_tells_the_truth(
    #[case] fault: Fault,
    #[case] epochs: usize,
    #[case] truth: &str,
) {
    let mut world = owned(3);
    // An outright refusal must be known before the pause: else it's just another lost answer.
    let (times, wait) = if fault == Fault::Unavailable { (9, 15) } else { (1, 4) };
    world.aimed = vec![(puts_head, fault); times];
    let sent = world.append_with(0, 2, 10, AppendUrgency::Prompt, None);
    world.run(wait);
    world.aimed.clear();
    let queued = world.append(0, 1, 10);
    world.pause(0, 90_000);
    for _ in 0..epochs {
        world.run(2_300);
        assert_eq!(world.owner(), Some(1));
        world.append(1, 1, 10);
        world.run(100);
        world.restart(1);
    }
    world.nodes[0].paused_until = 0;
    let woken = world.append(0, 1, 10);
    world.run(2_000);
    let told = match world.fate(sent) {
        Fate::Committed(_) => "committed",
        Fate::Rejected(RejectCertainty::NotCommitted) => "not committed",
        Fate::Rejected(RejectCertainty::Unknown) => "unknown",
        Fate::Open | Fate::Orphan => "nothing",
    };
    assert_eq!(told, truth);
    for ticket in [queued, woken] {
        assert_eq!(world.fate(ticket), Fate::Rejected(RejectCertainty::NotCommitted));
    }
    world.finish();
}

// Symptom: after an outage of the store every shard changes hands, or work is lost or refused
// with a lie.
// Sequence: the store is down for several leases while appends arrive; then it comes back.
// Cause: nobody could renew, so every standby finds the lease lapsed, and all call at once. An
// observation with a gap starts anew, the owner's backoff is shorter than the lease, appends wait
// in a bounded queue, and what doesn't fit is refused as not committed.
#[rstest]
fn an_outage_moves_no_shard_and_loses_nothing(
    #[values(Weather::Outage, Weather::Mute)] weather: Weather,
    #[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64,
) {
    let mut world = World::new(3, seed);
    // Snapshots would add calls that have nothing to do with the outage.
    world.snapshots = false;
    world.run(500);
    fill(&mut world, 0, 5);
    // So long that by some seeds a standby has seen the last version before the outage.
    world.run(600 + seed * 40);
    world.weather = weather;
    world.run(3_000);
    let tickets = (0..60).map(|_| world.append(0, 2, 90)).collect::<Vec<_>>();
    world.run(3_000);
    assert!(world.owner().is_none(), "no lease lasts that long");
    let before = world.ops.values().sum::<u64>();
    world.weather = Weather::Fair;
    // The standbys come first.
    world.pause(0, 400);
    world.run(100);
    let calls = world.ops.values().sum::<u64>() - before;
    assert!(calls < 40, "{calls} calls at once");
    world.run(1_000);
    assert_eq!(world.owner(), Some(0), "the owner has gone on");
    assert_eq!(head(&world).epoch.0, 1, "nobody took over");
    let refused = tickets
        .iter()
        .filter(|ticket| world.fate(**ticket) == Fate::Rejected(RejectCertainty::NotCommitted));
    let refused = refused.count();
    assert!(refused > 0, "the queue is bounded");
    let committed =
        tickets.iter().filter(|ticket| matches!(world.fate(**ticket), Fate::Committed(_)));
    assert_eq!(committed.count(), tickets.len() - refused, "and all the rest is committed");
    world.finish();
}

// Symptom: at a planned stop callers wait for a lease to lapse, or lose what was queued.
// Sequence: an owner is told to shut down while a batch is on its way and another gathers.
// Cause: a stop that only stops. Here the rest is committed, and the last write gives the lease up.
#[rstest]
fn a_release_commits_the_rest_and_needs_no_lapse(#[values(10, 300)] size: usize) {
    let mut world = owned(8);
    let first = world.append_with(0, 2, size, AppendUrgency::Prompt, None);
    world.run(5);
    let second = world.append_with(0, 2, size, AppendUrgency::Relaxed, None);
    world.tell(0, ShardEvent::Release);
    let late = world.append(0, 1, 10);
    world.run(60);
    for ticket in [first, second] {
        assert!(matches!(world.fate(ticket), Fate::Committed(_)), "{:?}", world.fate(ticket));
    }
    assert_eq!(world.fate(late), Fate::Rejected(RejectCertainty::NotCommitted));
    assert_eq!(head(&world).owner, None);
    assert!(world.nodes[0].shard.as_ref().is_some_and(|shard| shard.is_idle()));
    world.run(700);
    assert_eq!(world.owner(), Some(1), "taken over before the lease would have lapsed");
    world.run(5_000);
    assert_eq!(world.nodes[0].owned, None, "a retired node stays away");
    world.restart(0);
    world.finish();
}

// Symptom: two nodes push a shard to and fro, or a shard never returns to its preferred node.
// Sequence: the preferred node dies, a standby takes over; the preferred node comes back.
// Cause: nobody gives up what it holds. An owner that isn't preferred hands over, after its least
// tenure, by a write that gives the lease up.
#[test]
fn a_standby_hands_over_to_the_preferred_node() {
    let mut world = World::tuned(2, 9, |settings| {
        settings.least_tenure = Duration::from_secs(3);
    });
    world.run(500);
    world.crash(0);
    world.run(1_000);
    assert_eq!(world.owner(), None, "no takeover before the lease has lapsed");
    world.run(1_500);
    assert_eq!(world.owner(), Some(1));
    world.start(0);
    world.run(4_000);
    assert_eq!(world.owner(), Some(0));
    let epoch = head(&world).epoch;
    world.run(10_000);
    assert_eq!(head(&world).epoch, epoch, "and it stays there");
    world.finish();
}

// Symptom: a paused owner acknowledges from a state that another has moved on from.
// Sequence: a write takes effect, the owner is paused past its lease before the answer is read;
// then it reads that its write is still the newest.
// Cause: the answer is about the past. The acknowledgement waits for one more write.
#[test]
fn an_answer_older_than_the_lease_acknowledges_nothing_by_itself() {
    let mut world = World::new(1, 10);
    world.run(500);
    world.aimed = vec![(puts_head, Fault::UnknownApplied)];
    let ticket = world.append_with(0, 1, 10, AppendUrgency::Prompt, None);
    world.run(4);
    world.pause(0, 1_500);
    world.run(1_495);
    world.weather = Weather::Fair;
    world.run(12);
    assert_eq!(world.count(0, "ledger_acknowledgements_held"), 1);
    world.run(30);
    assert!(matches!(world.fate(ticket), Fate::Committed(_)));
    world.finish();
}

// Symptom: a crash at one particular moment loses, doubles or tears something.
// Sequence: the owner dies at its n-th call, which does or doesn't get out, for every n of a run
// with inline commits, sealed batches, snapshots and sweeps.
// Cause: any order of writes in which something is named before it is there.
#[rstest]
fn a_crash_at_any_call_loses_nothing(#[values(false, true)] sent: bool) {
    let run = |crash_at| {
        let mut world = World::tuned(2, 11, keep);
        world.crash_at = crash_at;
        world.run(300);
        fill(&mut world, 0, 14);
        world.run(5_500);
        fill(&mut world, 0, 6);
        world.run(1_500);
        world
    };
    let whole = run(None);
    let calls = whole.calls_of_first;
    assert!(whole.store.deleted > 0 && head(&whole).snapshot.is_some(), "the run covers all");
    for number in 1..=calls {
        let mut world = run(Some((number, sent)));
        world.crash_at = None;
        world.finish();
    }
}

// Symptom: the fleet's waiting nodes use up the platform's rates.
// Sequence: nothing happens on a shard for a minute.
// Cause: every node looks at every shard. Only the next in line do, the slower the further back.
#[rstest]
#[case::preferred(ShardStanding::Preferred, 540..=660)]
#[case::first(ShardStanding::Standby(1), 180..=220)]
#[case::second(ShardStanding::Standby(2), 108..=132)]
#[case::third(ShardStanding::Standby(3), 0..=0)]
#[case::bystander(ShardStanding::Bystander, 0..=0)]
fn a_waiting_node_polls_by_its_rank(
    #[case] standing: ShardStanding,
    #[case] polls: std::ops::RangeInclusive<u64>,
) {
    let mut world = owned(12);
    world.tell(1, ShardEvent::Stand(standing));
    world.run(1_000);
    world.ops.clear();
    world.run(60_000);
    let gets = world.ops.get("get").copied().unwrap_or(0);
    assert!(polls.contains(&gets), "{gets} polls");
    let puts = world.ops["put"];
    assert!((190..=205).contains(&puts), "{puts} renewals by the idle owner");
}

// Symptom: the store's call rate grows with the number of items.
// Sequence: ten times the records in the same time.
// Cause: a write for each append. Appends share a write, and the pace bounds the writes.
#[test]
fn writes_depend_on_time_and_not_on_records() {
    let writes = |appends_per_tick: usize| {
        let mut world = World::tuned(1, 13, |settings| {
            settings.inline_limit_bytes = 100_000;
            settings.segment_target_bytes = 100_000;
            settings.max_queue_appends = 100_000;
            settings.max_queue_bytes = 1_000_000;
        });
        world.snapshots = false;
        world.run(500);
        world.ops.clear();
        for _ in 0..1_000 {
            for _ in 0..appends_per_tick {
                world.append_with(0, 1, 10, AppendUrgency::Prompt, None);
            }
            world.run(2);
        }
        world.ops["put"]
    };
    let (few, many) = (writes(1), writes(20));
    // Two seconds at a longest delay of 20 ms, a burst of 3, and renewals.
    assert!(few <= 110, "{few} writes under load");
    assert!(many <= few + few / 10, "{few} writes, then {many}");
}

// Symptom: an owner believes in its lease for longer than others must wait.
// Sequence: a write's answer is lost, it takes effect late, and the tries after it find it there.
// Cause: the lease is counted from the newest try. It counts from the first that may have worked.
#[test]
fn the_lease_counts_from_the_first_try_that_may_have_worked() {
    let mut world = World::new(1, 19);
    world.run(500);
    world.aimed = vec![(puts_head, Fault::AppliedLate(300))];
    world.aimed.extend([(puts_head as fn(&StoreOp) -> bool, Fault::UnknownNotApplied); 200]);
    let began = world.now;
    let ticket = world.append_with(0, 1, 10, AppendUrgency::Prompt, None);
    while world.fate(ticket) == Fate::Open {
        world.run(1);
    }
    world.run((began + 1_010_000 - world.now) / 1_000);
    assert_eq!(world.owner(), None);
    world.finish();
}

// Symptom: an append is both refused and committed.
// Sequence: the user takes an append back at every stage of its way.
// Cause: taking back what has already left. Only what still waits is taken back.
#[rstest]
fn an_append_is_withdrawn_or_committed(#[values(0, 1, 3, 8, 30)] millis: u64) {
    let mut world = owned(14);
    let ticket = world.append_with(0, 2, 200, AppendUrgency::Relaxed, None);
    world.run(millis);
    world.tell(0, ShardEvent::Withdraw { ticket: AppendTicket(ticket) });
    world.run(200);
    assert_ne!(world.fate(ticket), Fate::Open);
    world.finish();
}

// Symptom: a shard is never owned again after its owner's claim got lost.
// Sequence: a claim is given up as lost and takes effect much later: the head names a node that
// doesn't know.
// Cause: nobody renews and everyone waits. The node sees its own name and claims again at once.
#[rstest]
fn a_claim_that_arrives_late_is_taken_up(#[values(50, 450, 3_000)] millis: u64) {
    let mut world = World::new(1, 15);
    world.aimed = vec![(puts_head, Fault::AppliedLate(millis)); 3];
    world.run(700);
    assert_eq!(world.owner(), Some(0), "without waiting for a lapse");
    world.finish();
}

// Symptom: a segment holds another process's records.
// Sequence: two processes start from the same seed and write segments of the same first place.
// Cause: equal seeds give equal nonces, and so equal keys; each takes the other's object for its
// own earlier try. Writer and incarnation are part of what the nonces are drawn from.
#[test]
fn processes_of_equal_seed_draw_other_nonces() {
    let first_nonce = |node, life| {
        let mut shard = LedgerShard::new(support::small(node, life), 1);
        let mut effects = Vec::new();
        let now = Now::at_millis(1_000);
        shard.handle(now, ShardEvent::Stand(ShardStanding::Preferred), &mut effects);
        let poll = effects.drain(..).find_map(|effect| match effect {
            ShardEffect::Call(call) => Some(call.call),
            _ => None,
        });
        let result = Ok(StoreReply::Object(None));
        let event = ShardEvent::StoreAnswered { call: poll.expect("a poll"), result };
        shard.handle(now, event, &mut effects);
        let claim = effects.drain(..).find_map(|effect| match effect {
            ShardEffect::Call(StoreCall { op: StoreOp::Put { value, .. }, .. }) => Some(value),
            _ => None,
        });
        let head = LedgerHead::decode(&claim.expect("a claim")).expect("a head");
        head.writer.nonce
    };
    let nonces = [first_nonce(0, 1), first_nonce(0, 2), first_nonce(1, 1)];
    assert_eq!(nonces.iter().collect::<std::collections::BTreeSet<_>>().len(), 3);
    assert_eq!(first_nonce(0, 1), nonces[0], "and each run is the same");
}
