//! Focused failures of the catalogue.

use std::time::Duration;

use notch_catalogue::{
    CatalogueEffect, CatalogueEvent, CatalogueNode, CatalogueSettings, EntryTable, SurveyReport,
    probe::{
        CatalogueFleet, StoreFate, ToldEffect, account_key, account_text, settled_fleet,
        usual_store,
    },
    table::bucket_of,
};
use notch_membership::{MemberRoster, RosterMember, probe::usual_link};
use notch_messages::{
    entry::{EntryKey, EntryKind, EntryRecord, EntryStamp},
    gossip::{EntrySummary, GossipMessage},
};
use notch_types::{
    object::{ObjectVersion, StoreFailure, StoreOp, StoreReply, StoredObject},
    prelude::*,
};
use rand::{SeedableRng, rngs::SmallRng};
use rstest::rstest;

const NODES: usize = 20;
const ENTRIES: usize = 30;
/// The promise: a change is in force everywhere within this time.
const PROMISE: Duration = Duration::from_secs(4);

fn fleet() -> CatalogueFleet {
    settled_fleet(NODES, 4, ENTRIES, &CatalogueSettings::default(), |_| 1)
}

fn target_key() -> EntryKey {
    EntryKey { kind: EntryKind::Target, name: "t".to_owned() }
}

fn run(fleet: &mut CatalogueFleet, millis: u64) {
    let until = fleet.now() + Duration::from_millis(millis);
    fleet.run_until(until, &mut usual_link, &mut usual_store);
}

fn down(_: &VmName, _: &StoreOp, _: MonoTime) -> StoreFate {
    StoreFate::Fail(Duration::from_millis(20), StoreFailure::Unavailable)
}

fn hanging_watch(from: &VmName, op: &StoreOp, at: MonoTime) -> StoreFate {
    match op {
        StoreOp::Watch { wait_ms, .. } if *wait_ms > 0 => StoreFate::Hang,
        _ => usual_store(from, op, at),
    }
}

fn count(told: &[ToldEffect], counter: &'static str) -> usize {
    let wanted = CatalogueEffect::Count(Counter::Event(counter));
    told.iter().filter(|(_, _, effect)| *effect == wanted).count()
}

// Symptom: an edit has no effect anywhere, though the store took it and nothing reports a fault.
// Sequence: every watch goes silent for good while other calls go through.
// Cause: a watch without an answer looks like a store without changes.
#[test]
fn a_change_is_in_force_in_time_though_every_watch_hangs() {
    let mut fleet = fleet();
    let until = fleet.now() + Duration::from_secs(120);
    fleet.run_until(until, &mut usual_link, &mut hanging_watch);
    assert!(count(&fleet.take_told(), "catalogue_watches_hung") > 0);
    let text = account_text(3, 7);
    let version = fleet.edit(&account_key(3), &text, &mut usual_link, &mut hanging_watch);
    let until = fleet.now() + PROMISE;
    fleet.run_until(until, &mut usual_link, &mut hanging_watch);
    assert_eq!(fleet.in_force(&account_key(3), version), NODES);
}

// Symptom: gateways that restart while the store is down refuse everything until it is back.
// Sequence: the store goes down; a gateway starts with nothing in force.
// Cause: it loads from the store alone.
#[test]
fn a_node_that_starts_in_an_outage_takes_all_from_peers() {
    let mut fleet = fleet();
    let vm = fleet.names()[7].clone();
    fleet.stop(&vm);
    fleet.start(&vm);
    let until = fleet.now() + Duration::from_secs(3);
    fleet.run_until(until, &mut usual_link, &mut down);
    let node = fleet.node(&vm).unwrap();
    assert!(node.is_ready());
    assert_eq!(node.table().len(), ENTRIES);
}

// Symptom: after a restart of the whole fleet in an outage, callers with valid keys are turned away
// as unknown.
// Sequence: all gateways start while the store is down; none has anything; all agree.
// Cause: agreement among empty nodes is taken for a complete catalogue.
#[test]
fn nodes_that_agree_on_nothing_are_not_ready() {
    let mut fleet = CatalogueFleet::new(6, 3, &CatalogueSettings::default(), |_| 1);
    for number in 0..ENTRIES {
        fleet.store.put(MonoTime::default(), &account_key(number), &account_text(number, 1));
    }
    fleet.start_all();
    let until = MonoTime::from_millis(60_000);
    fleet.run_until(until, &mut usual_link, &mut down);
    assert!(fleet.running().all(|(_, node)| !node.is_ready()));
    run(&mut fleet, 20_000);
    assert!(fleet.running().all(|(_, node)| node.is_ready() && node.table().len() == ENTRIES));
}

// Symptom: a retired target takes requests again; a lowered limit rises by itself.
// Sequence: an older copy is held up on its way, or comes from a node that was away for long.
// Cause: what arrives last wins.
#[test]
fn a_late_older_copy_changes_nothing() {
    let mut fleet = fleet();
    let first = r#"{"owner":"o"}"#;
    let old = fleet.edit(&target_key(), first, &mut usual_link, &mut usual_store);
    let retired = r#"{"owner":"o","retired":true}"#;
    let new = fleet.edit(&target_key(), retired, &mut usual_link, &mut usual_store);
    run(&mut fleet, 4_000);
    let late = EntryRecord { key: target_key(), version: old, body: Payload::from(first) };
    let message = GossipMessage::Entries { entries: vec![late], covers: vec![] };
    for vm in fleet.names() {
        let event = CatalogueEvent::Received { from: vm.clone(), message: message.clone() };
        fleet.tell(&vm, event, &mut usual_link, &mut usual_store);
    }
    run(&mut fleet, 4_000);
    assert_eq!(fleet.in_force(&target_key(), new), NODES);
    let name = TargetName::new("t");
    assert!(fleet.running().all(|(_, node)| node.table().target(&name).is_none()));
}

// Symptom: a mistyped entry takes a target out of service fleet-wide.
// Sequence: an entry that breaks the schema is written past the command line; a gateway restarts
// after that, when the store no longer has the valid version.
// Cause: what can't be read replaces what could; or the last valid version is lost with a restart.
#[test]
fn an_invalid_version_leaves_the_last_valid_one_in_force() {
    let mut fleet = fleet();
    let valid = r#"{"owner":"o"}"#;
    let good = fleet.edit(&target_key(), valid, &mut usual_link, &mut usual_store);
    run(&mut fleet, 4_000);
    let invalid = r#"{"owner":"o","limits":{"queue":-1}}"#;
    let bad = fleet.edit(&target_key(), invalid, &mut usual_link, &mut usual_store);
    run(&mut fleet, 4_000);
    let vm = fleet.names()[3].clone();
    fleet.stop(&vm);
    fleet.start(&vm);
    run(&mut fleet, 10_000);
    let told = fleet.take_told();
    let refused = told.iter().filter(|(_, _, effect)| {
        matches!(effect, CatalogueEffect::Invalid { version, in_force, faults, .. }
            if *version == bad && *in_force == Some(good) && faults[0].field == "limits.queue")
    });
    assert!(refused.count() >= NODES);
    let in_force = |node: &CatalogueNode| node.table().record(&target_key()).unwrap().version;
    assert!(fleet.running().all(|(_, node)| in_force(node) == good));
}

// Symptom: some gateways report an entry as invalid and others know nothing of it; one of a newer
// release, which could take the version, never gets it.
// Sequence: the push of the refused version is lost for some nodes.
// Cause: the digest tells only of what is in force, so that nobody sees a difference.
#[test]
fn a_refused_version_shows_in_the_digest_and_is_passed_on_once() {
    let record = |version: u64, text: &str| EntryRecord {
        key: target_key(),
        version: EntryVersion(version),
        body: Payload::from(text),
    };
    let mut tables = [EntryTable::new(10), EntryTable::new(10)];
    for table in &mut tables {
        table.adopt(record(1, r#"{"owner":"o"}"#));
    }
    assert_eq!(tables[0].root(), tables[1].root());
    tables[0].adopt(record(2, "{}"));
    assert_ne!(tables[0].root(), tables[1].root());
    let bucket = bucket_of(&target_key()) as u16;
    let key = target_key();
    let in_force = FastMap::from_iter([(&key, EntryVersion(1))]);
    let passed = tables[0].newer_than(bucket, &in_force, &FastMap::default());
    assert_eq!(passed, vec![record(2, "{}")]);
    tables[1].adopt(passed[0].clone());
    assert_eq!(tables[0].root(), tables[1].root());
    let refused = FastMap::from_iter([(&key, EntryVersion(2))]);
    assert!(tables[0].newer_than(bucket, &in_force, &refused).is_empty());
}

// Symptom: an entry vanishes, or one deleted by mistake takes its callers' access with it.
// Sequence: the object is deleted; a watch tells of it.
// Cause: a deletion has no version that a late older copy could be measured by.
#[test]
fn a_deleted_object_stays_in_force() {
    let mut fleet = fleet();
    let vm = fleet.names()[0].clone();
    let key = format!("catalogue/account/{}", account_key(1).name);
    let version = ObjectVersion(9_999);
    let gone = StoredObject { key, version, value: None, written_at: WallTime(0) };
    fleet.tell(&vm, CatalogueEvent::Stored(gone), &mut usual_link, &mut usual_store);
    assert!(fleet.node(&vm).unwrap().table().record(&account_key(1)).is_some());
    assert_eq!(count(&fleet.take_told(), "catalogue_deletions_ignored"), 1);
}

// Symptom: after a parting of the regions one of them goes on with old limits.
// Sequence: the regions lose each other for an hour, one also loses the store; entries change.
// Cause: changes were pushed once and never compared later.
#[test]
fn a_region_parted_for_an_hour_catches_up() {
    let mut fleet = fleet();
    let names = fleet.names();
    let west = |vm: &VmName| names.iter().position(|name| name == vm).unwrap() % 2 == 0;
    let mut parted = |from: &VmName, to: &VmName, at| {
        if west(from) == west(to) { usual_link(from, to, at) } else { None }
    };
    let mut half = |from: &VmName, op: &StoreOp, at| {
        if west(from) { usual_store(from, op, at) } else { down(from, op, at) }
    };
    let mut newest = EntryVersion(0);
    for minute in 0..60 {
        let number = minute % ENTRIES;
        let text = account_text(number, minute + 2);
        newest = fleet.edit(&account_key(number), &text, &mut parted, &mut half);
        let until = fleet.now() + Duration::from_secs(60);
        fleet.run_until(until, &mut parted, &mut half);
    }
    let last = account_key(59 % ENTRIES);
    assert_eq!(fleet.in_force(&last, newest), NODES / 2);
    run(&mut fleet, 15_000);
    assert!(fleet.is_settled());
    assert_eq!(fleet.in_force(&last, newest), NODES);
}

// Symptom: a change takes minutes to reach some nodes.
// Sequence: links lose one message in five.
// Cause: a push that is lost is never made good.
#[test]
fn changes_are_in_force_in_time_over_links_that_lose_messages() {
    let settings = CatalogueSettings::default();
    let mut fleet = settled_fleet(64, 5, ENTRIES, &settings, |_| 1);
    let mut sent = 0_u64;
    let mut lossy = |from: &VmName, to: &VmName, at| {
        sent += 1;
        if sent.is_multiple_of(5) { None } else { usual_link(from, to, at) }
    };
    for change in 0..10 {
        let key = account_key(change);
        let text = account_text(change, change + 2);
        let version = fleet.edit(&key, &text, &mut lossy, &mut usual_store);
        let until = fleet.now() + PROMISE;
        fleet.run_until(until, &mut lossy, &mut usual_store);
        assert_eq!(fleet.in_force(&key, version), 64, "change {change}");
    }
}

// Symptom: a script that edits everything at once fills the network between gateways.
// Sequence: 2,500 edits within a moment.
// Cause: every node pushes every change to several others.
#[test]
fn a_burst_of_edits_is_pushed_within_a_budget_and_still_arrives() {
    let settings = CatalogueSettings::default();
    let mut fleet = settled_fleet(16, 4, 100, &settings, |message| match message {
        GossipMessage::Entries { entries, covers } if covers.is_empty() => {
            entries.iter().map(|record| record.body.len()).sum()
        }
        _ => 0,
    });
    let mut newest = EntryVersion(0);
    for number in 0..2_500 {
        let text = account_text(number, 5);
        newest = fleet.edit(&account_key(number), &text, &mut usual_link, &mut usual_store);
        run(&mut fleet, 1);
    }
    run(&mut fleet, 500);
    let pushed = fleet.take_sent().bytes as usize / 16;
    // Wants answered by a repair count here as well, once an entry and node.
    let wanted = 2_500 * account_text(2_499, 5).len();
    let most = settings.push_burst + 4 * settings.push_rate + wanted;
    assert!(pushed <= most, "{pushed} of {most}");
    run(&mut fleet, 10_000);
    assert_eq!(fleet.in_force(&account_key(2_499), newest), 16);
    assert!(fleet.is_settled());
}

// Symptom: the store's rate of calls is used up by the catalogue.
// Sequence: a store answers watches at once and empty, or asks for patience.
// Cause: each answer is followed by the next call without a pause.
#[rstest]
#[case::answers_at_once(Ok(StoreReply::Changes { objects: vec![], upto: ObjectVersion(5) }), 200)]
#[case::throttled(Err(StoreFailure::Throttled { retry_after_ms: 20_000 }), 8)]
#[case::down(Err(StoreFailure::Unavailable), 20)]
fn a_store_that_misbehaves_is_not_asked_in_a_loop(
    #[case] result: notch_types::object::StoreResult,
    #[case] most: usize,
) {
    let mut node = lone_node();
    let mut calls = 0;
    let mut effects = Vec::new();
    let mut now = 0;
    node.handle(Now::at_millis(now), CatalogueEvent::Tick, &mut effects);
    while now < 60_000 {
        let call = effects.drain(..).find_map(|effect| match effect {
            CatalogueEffect::Call(call) => Some(call),
            _ => None,
        });
        if let Some(call) = call {
            calls += 1;
            let result = result.clone();
            let event = CatalogueEvent::StoreAnswered { call: call.call, result };
            node.handle(Now::at_millis(now), event, &mut effects);
            continue;
        }
        now = node.next_wake().map_or(60_000, |wake| (wake.0 / 1_000).max(now + 1));
        node.handle(Now::at_millis(now), CatalogueEvent::Tick, &mut effects);
    }
    assert!(calls <= most, "{calls}");
}

fn lone_node() -> CatalogueNode {
    let (vm, domain) = (VmName::new("gw-0"), DomainName::new("d-0"));
    let random = SmallRng::seed_from_u64(3);
    let mut node = CatalogueNode::new(&vm, &domain, CatalogueSettings::default(), random);
    let seats = ["gw-0", "gw-1"].map(|name| RosterMember::new(&VmName::new(name), &domain));
    let roster = MemberRoster::new(seats.to_vec());
    let partners = vec![VmName::new("gw-1")];
    node.handle(Now::default(), CatalogueEvent::Members { roster, partners }, &mut Vec::new());
    node
}

// Symptom: during an upgrade gateways spend more on comparing catalogues than on anything else.
// Sequence: one release refuses an entry that the other has in force; their digests differ for good.
// Cause: a repair that brought nothing is repeated each second.
#[test]
fn a_repair_that_brings_nothing_is_not_repeated_at_once() {
    let mut node = lone_node();
    let peer = VmName::new("gw-1");
    let buckets = vec![1_u64; 256];
    let digest = notch_catalogue::table::root_of(&buckets);
    let mut repairs = 0;
    for second in 0..30 {
        let summary = EntrySummary { digest, complete: true, ..EntrySummary::default() };
        let mut queue = vec![
            GossipMessage::EntryRoot(summary),
            GossipMessage::EntryDigests { buckets: buckets.clone(), complete: true },
        ];
        let now = Now::at_millis(second * 1_000);
        while let Some(message) = queue.pop() {
            let mut effects = Vec::new();
            let event = CatalogueEvent::Received { from: peer.clone(), message };
            node.handle(now, event, &mut effects);
            for effect in effects {
                let CatalogueEffect::Send { message, .. } = effect else { continue };
                if let GossipMessage::EntryStamps { buckets, .. } = message {
                    queue.push(GossipMessage::Entries { entries: vec![], covers: buckets });
                } else if let GossipMessage::EntryDigests { .. } = message {
                    repairs += 1;
                }
            }
        }
    }
    assert!(node.is_ready());
    assert_eq!(repairs, 0, "the peer's root is known to bring nothing");
}

fn survey(fleet: &mut CatalogueFleet, vm: &VmName) -> SurveyReport {
    fleet.take_told();
    let event = CatalogueEvent::SurveyWanted { survey: 5 };
    fleet.tell(vm, event, &mut usual_link, &mut usual_store);
    run(fleet, 2_000);
    let told = fleet.take_told();
    let report = told.into_iter().find_map(|(_, _, effect)| match effect {
        CatalogueEffect::Surveyed { survey: 5, report } => Some(report),
        _ => None,
    });
    report.expect("a survey ends")
}

// Symptom: the status says that a version is in force everywhere while a node still runs the old.
// Sequence: one node is cut off from the others and the store, another doesn't answer.
// Cause: nodes are counted by what was sent to them, or silence is taken for consent.
#[test]
fn the_survey_counts_only_what_nodes_say_they_have_in_force() {
    let mut fleet = fleet();
    let names = fleet.names();
    let (asker, behind, silent) = (names[0].clone(), names[5].clone(), names[9].clone());
    let whole = survey(&mut fleet, &asker);
    assert_eq!((whole.answered, whole.entries.len()), (NODES, ENTRIES));
    assert!(whole.entries.values().all(|entry| entry.gateways == NODES));

    // The one behind adopts nothing for a moment: its messages of entries are lost.
    let mut cut = |from: &VmName, to: &VmName, at| {
        if *to == behind || *from == behind { None } else { usual_link(from, to, at) }
    };
    let mut blind = |from: &VmName, op: &StoreOp, at| {
        if *from == behind { StoreFate::Hang } else { usual_store(from, op, at) }
    };
    let version = fleet.edit(&account_key(2), &account_text(2, 9), &mut cut, &mut blind);
    let until = fleet.now() + PROMISE;
    fleet.run_until(until, &mut cut, &mut blind);
    assert_eq!(fleet.in_force(&account_key(2), version), NODES - 1);

    fleet.take_told();
    let mut mute = |from: &VmName, to: &VmName, at| {
        // Only the survey's questions and answers pass to the one behind: no repair in between.
        let asked = (*from == asker && *to == behind) || (*from == behind && *to == asker);
        let cut = *from == silent || ((*to == behind || *from == behind) && !asked);
        if cut { None } else { usual_link(from, to, at) }
    };
    let event = CatalogueEvent::SurveyWanted { survey: 6 };
    fleet.tell(&asker, event, &mut mute, &mut blind);
    let until = fleet.now() + Duration::from_secs(2);
    fleet.run_until(until, &mut mute, &mut blind);
    let told = fleet.take_told();
    let report = told.iter().find_map(|(_, _, effect)| match effect {
        CatalogueEffect::Surveyed { survey: 6, report } => Some(report),
        _ => None,
    });
    let report = report.expect("a survey ends");
    assert_eq!((report.gateways, report.answered), (NODES, NODES - 1));
    assert_eq!(report.silent, vec![silent]);
    let in_force = |number| report.entries[&account_key(number)].gateways;
    assert_eq!((in_force(2), in_force(3)), (NODES - 2, NODES - 1));
}

// Symptom: a sidecar runs with old limits after its link was replaced, or learns callers' keys.
// Sequence: an entry changes while the link is down; the link comes back.
// Cause: entries are only sent when they change; or all kinds are sent to everybody.
#[test]
fn a_sidecar_gets_what_it_lacks_and_no_accounts() {
    let mut fleet = fleet();
    let gateway = fleet.names()[0].clone();
    let sidecar = VmName::new("target-1");
    let report = |stamps: Vec<EntryStamp>| CatalogueEvent::SidecarInForce {
        vm: sidecar.clone(),
        stamps,
        first: true,
    };
    let sent = |fleet: &mut CatalogueFleet| -> Vec<EntryRecord> {
        let told = fleet.take_told();
        told.into_iter()
            .filter_map(|(_, _, effect)| match effect {
                CatalogueEffect::SendSidecar { entries, .. } => Some(entries),
                _ => None,
            })
            .flatten()
            .collect()
    };
    let text = r#"{"owner":"o"}"#;
    let version = fleet.edit(&target_key(), text, &mut usual_link, &mut usual_store);
    run(&mut fleet, 4_000);
    fleet.take_told();
    fleet.tell(&gateway, report(vec![]), &mut usual_link, &mut usual_store);
    let entries = sent(&mut fleet);
    assert_eq!(entries.len(), 1, "accounts stay at the gateways");
    assert_eq!((&entries[0].key, entries[0].version), (&target_key(), version));
    let before = survey(&mut fleet, &gateway);
    assert_eq!((before.sidecars, before.sidecars_current), (1, 0));

    fleet.tell(&gateway, report(vec![entries[0].stamp()]), &mut usual_link, &mut usual_store);
    assert!(sent(&mut fleet).is_empty());
    assert_eq!(survey(&mut fleet, &gateway).sidecars_current, 1);
    let newer = fleet.edit(&target_key(), text, &mut usual_link, &mut usual_store);
    run(&mut fleet, 1_000);
    let entries = sent(&mut fleet);
    assert!(entries.len() == 1 && entries[0].version == newer, "pushed as it changes");
    assert_eq!(survey(&mut fleet, &gateway).sidecars_current, 0);
}

// Symptom: thousands of messages a second between a gateway and a sidecar with nothing to do.
// Sequence: a sidecar refuses an entry, or leaves one out of its report; each report is answered
// with what it lacks, and each answer with a report.
// Cause: a report is answered without regard to what was sent on the same link already.
#[test]
fn a_sidecar_that_goes_on_lacking_an_entry_is_not_sent_it_again() {
    let mut fleet = fleet();
    let gateway = fleet.names()[0].clone();
    let vm = VmName::new("target-1");
    fleet.edit(&target_key(), r#"{"owner":"o"}"#, &mut usual_link, &mut usual_store);
    run(&mut fleet, 4_000);
    let report = || CatalogueEvent::SidecarInForce { vm: vm.clone(), stamps: vec![], first: true };
    let sends = |fleet: &mut CatalogueFleet, event: CatalogueEvent| {
        fleet.take_told();
        fleet.tell(&gateway, event, &mut usual_link, &mut usual_store);
        let told = fleet.take_told();
        told.iter()
            .filter(|(_, _, effect)| matches!(effect, CatalogueEffect::SendSidecar { .. }))
            .count()
    };
    assert_eq!(sends(&mut fleet, report()), 1);
    for _ in 0..10 {
        assert_eq!(sends(&mut fleet, report()), 0);
    }
    sends(&mut fleet, CatalogueEvent::SidecarGone { vm: vm.clone() });
    assert_eq!(sends(&mut fleet, report()), 1, "a new link starts anew");
}
