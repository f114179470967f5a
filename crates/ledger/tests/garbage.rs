//! Failures around what is deleted, one by one.

mod support;

use notch_ledger::{AppendUrgency, RecordPlace, RejectCertainty, Seq};
use notch_types::object::StoreOp;
use rstest::rstest;
use support::{
    naive::Fate,
    scenes::{deletes, fill, lists_ledger, owned, puts_head, puts_segment, segments},
    world::Fault,
};

// Symptom: an owner that was paused believes that it committed, and nobody else sees the record.
// Sequence: the owner's segment is on its way when it's paused. Others take over, go on, compact
// and sweep everything they don't name. Then the old segment's write arrives and succeeds, for its
// key is free; the owner wakes and goes on with its commit.
// Cause: a ledger that commits by creating numbered segments takes that free key for proof of the
// order. Here a segment proves nothing: the head's version does, and versions aren't reused.
#[test]
fn a_segment_created_again_after_the_sweep_commits_nothing() {
    let mut world = owned(4);
    world.aimed = vec![(puts_segment, Fault::AppliedLate(30_000))];
    let old = world.append_with(0, 4, 200, AppendUrgency::Prompt, None);
    world.run(10);
    world.pause(0, 35_000);
    world.run(2_500);
    fill(&mut world, 1, 60);
    world.run(15_000);
    assert!(world.store.deleted > 0, "the sweep has been at work");
    let named = segments(&world);
    world.run(13_000);
    let created = segments(&world).into_iter().find(|key| !named.contains(key));
    let created = created.expect("the old segment has arrived");
    world.run(8_000);
    assert_eq!(world.fate(old), Fate::Rejected(RejectCertainty::NotCommitted));
    world.run(15_000);
    assert!(!world.store.objects.contains_key(&created), "it's garbage and swept");
    world.finish();
}

// Symptom: records that the new owner has named are deleted by the old one.
// Sequence: the old owner has asked for a page of its sweep, or has decided on deletions, and is
// paused; another takes over, names new segments and lets them grow old; the old one wakes and
// goes on.
// Cause: it judges by names as they were. A page is judged only after a write of the head sent
// after the page had come has succeeded; a deposed owner's never does. What was judged before the
// takeover can't be named any more, so a late deletion does no harm (the store checks each one).
#[rstest]
fn an_owner_that_wakes_in_a_sweep_deletes_nothing_named(
    #[values(lists_ledger, deletes)] aim: fn(&StoreOp) -> bool,
    #[values(Fault::Slow(1), Fault::AppliedLate(12_000), Fault::Silent)] fault: Fault,
) {
    let mut world = owned(5);
    fill(&mut world, 0, 40);
    world.run(6_000);
    world.aimed = vec![(aim, fault)];
    while world.aimed.iter().any(|(aimed, _)| std::ptr::fn_addr_eq(*aimed, aim)) {
        world.run(5);
        if world.now > 60_000_000 {
            panic!("the sweep never came by");
        }
        if world.owner() == Some(0) && world.now.is_multiple_of(200_000) {
            world.append(0, 4, 60);
        }
    }
    world.pause(0, 15_000);
    world.run(2_800);
    assert_eq!(world.owner(), Some(1));
    fill(&mut world, 1, 30);
    world.run(20_000);
    world.check_reads();
    world.finish();
}

// Symptom: a job is accepted and its input is gone.
// Sequence: an intake writes a chunk and is delayed for longer than half the grace time before
// its submission reaches the owner; a deletion of the chunk may be decided or on its way.
// Cause: the age that the intake tells isn't to be trusted. The owner looks itself, by the
// store's clock, and refuses what is gone or old: the intake writes it anew.
#[rstest]
#[case::young(500, true)]
#[case::old(2_300, false)]
#[case::swept(12_000, false)]
fn a_chunk_is_named_only_while_young(#[case] age: u64, #[case] accepted: bool) {
    let mut world = owned(6);
    let chunk = world.write_chunk();
    world.run(age);
    let ticket = world.append_with(0, 1, 10, AppendUrgency::Prompt, Some(chunk.clone()));
    world.run(300);
    let expected = match accepted {
        true => matches!(world.fate(ticket), Fate::Committed(_)),
        false => world.fate(ticket) == Fate::Rejected(RejectCertainty::NotCommitted),
    };
    assert!(expected, "{:?}", world.fate(ticket));
    world.run(15_000);
    assert_eq!(world.store.objects.contains_key(&chunk), accepted, "kept exactly when named");
    world.finish();
}

// Symptom: a job's input is deleted although a committed record names it.
// Sequence: the owner is paused; another takes over and accepts a job, whose chunk grows old. The
// old owner wakes, sweeps at once, and its own state names no such chunk.
// Cause: it judges by the past. Its next write of the head fails first, however late that is.
#[test]
fn a_woken_owner_asks_nobody_about_chunks() {
    for seed in 0..10 {
        let mut world = owned(seed);
        world.pause(0, 20_000);
        world.run(2_800);
        let chunk = world.write_chunk();
        let ticket = world.append_with(1, 1, 10, AppendUrgency::Prompt, Some(chunk.clone()));
        world.run(17_190);
        assert!(matches!(world.fate(ticket), Fate::Committed(_)));
        world.aimed = vec![(puts_head, Fault::Slow(350)); 4];
        world.run(5_000);
        assert!(world.store.objects.contains_key(&chunk));
        world.finish();
    }
}

// Symptom: an accepted job's chunk is gone.
// Sequence: its append waits behind a batch whose segments can't be written, for longer than the
// grace time, while renewals go through and the sweep goes on.
// Cause: nothing committed names the chunk yet. An open append counts as a name. The segments
// themselves are written anew once older than half the grace time.
#[test]
fn what_waits_for_a_commit_is_not_swept() {
    let mut world = owned(17);
    world.aimed = vec![(puts_segment, Fault::Unavailable); 400];
    let big = world.append_with(0, 4, 200, AppendUrgency::Prompt, None);
    world.run(5);
    let chunk = world.write_chunk();
    let job = world.append_with(0, 1, 10, AppendUrgency::Prompt, Some(chunk.clone()));
    world.run(9_000);
    assert_eq!(world.fate(job), Fate::Open);
    assert!(world.count(0, "ledger_segments_renewed") > 0);
    world.aimed.clear();
    world.run(1_000);
    for ticket in [big, job] {
        assert!(matches!(world.fate(ticket), Fate::Committed(_)));
    }
    assert!(world.store.objects.contains_key(&chunk));
    world.finish();
}

// Symptom: a reader finds a record's segment gone though it was located a moment ago.
// Sequence: the segment is old; a snapshot passes it; the sweep comes by.
// Cause: the object's age says nothing about when it lost its name. It stays for a whole grace
// time after it was first seen without one.
#[test]
fn a_segment_stays_readable_for_a_grace_time_after_it_lost_its_name() {
    let mut world = owned(18);
    let mut located = std::collections::BTreeMap::new();
    for round in 0..500 {
        if round < 300 {
            world.append(0, 4, 60);
        }
        world.run(50);
        let shard = world.nodes[0].shard.as_ref().expect("alive");
        for seq in 0..world.naive.list.len() as u64 {
            if let Some(RecordPlace::Segment { key, .. }) = shard.locate(Seq(seq)) {
                located.insert(key, world.now);
            }
        }
        for (key, last) in &located {
            let young = world.now - last < 3_900_000;
            assert!(!young || world.store.objects.contains_key(key), "{key} went too soon");
        }
    }
    let gone = located.keys().filter(|key| !world.store.objects.contains_key(*key)).count();
    assert!(gone > 5, "only {gone} segments were swept");
    world.finish();
}
