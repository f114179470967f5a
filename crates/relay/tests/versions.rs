//! Targets with several versions of their software, and where streams began.

use std::time::Duration;

use notch_relay::prelude::*;
use notch_types::prelude::*;
use rstest::rstest;

const SERVICE: &str = "llm";

fn at(seconds: u64) -> MonoTime {
    MonoTime::from_millis(seconds * 1_000)
}

fn entry(id: &str, version: &str) -> TargetEntry {
    TargetEntry {
        id: id.to_owned(),
        name: id.split('#').next().unwrap_or(id).to_owned(),
        born: 0,
        software_version: version.to_owned(),
        service: SERVICE.to_owned(),
        address: ([127, 0, 0, 1], 9).into(),
        domain: "a".to_owned(),
        slots: 1,
        state: TargetState::Ready,
        cold_left: Duration::ZERO,
    }
}

fn table_of(own: &str) -> TargetTable {
    let mut table = TargetTable::new("a");
    table.put(entry("t1", "v1"), at(0));
    table.put(entry("t2", "v2"), at(0));
    let gateways = [("g1".to_owned(), "a".to_owned()), ("g2".to_owned(), "a".to_owned())];
    table.assign_homes(own, &gateways);
    table
}

fn query<'a>(version: Option<&'a str>, prompt: &'a PromptPrefixes) -> TargetQuery<'a> {
    let (work, queue) = (WorkKind::Online, QueueLimit::Any);
    TargetQuery { service: SERVICE, work, avoid: &[], queue, version, prompt }
}

/// Guards against a stream that goes on at another version because a way to a target ignores the version: a free slot, a
/// queue, a slot granted by the home gateway.
#[rstest]
#[case("v1", "t1")]
#[case("v2", "t2")]
fn only_targets_of_the_version_are_selected(#[case] version: &str, #[case] expected: &str) {
    let prompt = PromptPrefixes::default();
    let query = query(Some(version), &prompt);
    let mut granted = Vec::new();
    for own in ["g1", "g2"] {
        let mut table = table_of(own);
        let picked = |table: &TargetTable| {
            let choice = table.pick(&query, at(0), || 0.5);
            choice.map(|choice| (choice.id, choice.software_version))
        };
        let expected = Some((expected.to_owned(), version.to_owned()));
        assert_eq!(picked(&table), expected, "a free slot");
        let choice = table.pick(&query, at(0), || 0.5).expect("a target of the version");
        table.take(&query, choice);
        assert_eq!(picked(&table), expected, "its queue");
        let grant = table_of(own).grant(&VmName::new("other"), &query, true, at(0));
        granted.extend(grant.map(|grant| grant.id));
        let other = if version == "v1" { "t2" } else { "t1" };
        assert_eq!(table.take_granted(&query, other), None, "granted at another version");
    }
    assert_eq!(granted, [expected], "by the home of that target alone");
}

/// Guards against waiting for a version that no target can serve any more.
#[test]
fn a_version_is_gone_with_its_last_ready_target() {
    let mut table = table_of("g1");
    assert!(table.has_version(SERVICE, "v1"));
    table.put(TargetEntry { state: TargetState::Draining, ..entry("t1", "v1") }, at(1));
    assert!(!table.has_version(SERVICE, "v1"));
    assert!(table.has_version(SERVICE, "v2") && !table.has_version("another", "v2"));
}

/// Guards against a stream that goes on at another version although only one seems to serve: the version that began it has
/// just left, or the gateway has just started.
#[test]
fn a_version_counts_for_a_while_after_its_last_target() {
    let mut table = TargetTable::new("a");
    let view = |table: &TargetTable, now| table.version_view(SERVICE, at(now));
    assert_eq!(view(&table, 0), VersionView::Unknown);
    table.put(entry("t1", "v1"), at(0));
    assert_eq!(view(&table, 1), VersionView::Current("v1".to_owned()), "just started");
    assert_eq!(view(&table, 21), VersionView::Sole("v1".to_owned()));
    table.put(entry("t2", "v2"), at(30));
    assert_eq!(view(&table, 30), VersionView::Several);
    table.remove("t1", at(40));
    assert_eq!(view(&table, 50), VersionView::Several, "its streams may still be taken up");
    assert_eq!(view(&table, 61), VersionView::Sole("v2".to_owned()));
    table.put(entry("t2", "v3"), at(70));
    assert_eq!(view(&table, 71), VersionView::Several, "another version behind the same name");
    assert_eq!(view(&table, 91), VersionView::Sole("v3".to_owned()));
}

/// Guards against a stream without a record that goes on at a version which another gateway knows not to be the only one.
#[rstest]
#[case::the_only_one(VersionView::Sole("v1".into()), &[VersionView::Unknown], true)]
#[case::all_have_just_started(VersionView::Current("v1".into()), &[VersionView::Current("v1".into())], false)]
#[case::alone_and_just_started(VersionView::Current("v1".into()), &[], false)]
#[case::another_knows_it(VersionView::Current("v1".into()), &[VersionView::Sole("v1".into())], true)]
#[case::another_knows_several(VersionView::Current("v1".into()), &[VersionView::Several], false)]
#[case::another_knows_another(VersionView::Current("v1".into()), &[VersionView::Sole("v2".into())], false)]
#[case::several_here(VersionView::Several, &[VersionView::Sole("v1".into())], false)]
#[case::nothing_here(VersionView::Unknown, &[VersionView::Sole("v1".into())], false)]
fn a_version_is_agreed_if_no_view_contradicts(
    #[case] own: VersionView,
    #[case] told: &[VersionView],
    #[case] is_agreed: bool,
) {
    assert_eq!(own.agreed(told).is_some(), is_agreed);
}

/// Guards against a stream that goes on at the version that its target was thought to have: the target had restarted under
/// its name with another one.
#[test]
fn a_restart_with_other_software_makes_a_version_uncertain() {
    let mut table = TargetTable::new("a");
    table.put(entry("t1#1", "v1"), at(0));
    assert!(!table.is_version_uncertain("t1#1", "v1"));
    table.remove_restarted("t1#1", at(1));
    table.put(entry("t1#2", "v1"), at(1));
    assert!(!table.is_version_uncertain("t1#1", "v1"), "the same software");
    table.remove_restarted("t1#2", at(2));
    table.put(entry("t1#3", "v2"), at(2));
    assert!(table.is_version_uncertain("t1#1", "v1"));
}

fn origin(version: &str) -> StreamOrigin {
    let (service, version) = (SERVICE.to_owned(), version.to_owned());
    StreamOrigin { service, version, target: "t1".to_owned() }
}

/// Guards against a record that is replaced by a later attempt's, and against records that never end.
#[test]
fn the_first_record_of_a_stream_holds_until_it_expires() {
    let mut origins = StreamOrigins::default();
    origins.note("a1", origin("v1"), Duration::from_secs(10), at(0));
    origins.note("a1", origin("v2"), Duration::from_secs(10), at(5));
    assert_eq!(origins.get("a1"), Some(&origin("v1")));
    assert_eq!(origins.recent(SERVICE, at(14)).count(), 1, "the later attempt extends it");
    assert_eq!(origins.recent(SERVICE, at(16)).count(), 0);
    origins.note("a2", origin("v1"), Duration::from_secs(10), at(16));
    assert_eq!(origins.get("a1"), None, "expired records are dropped");
}

/// Guards against unbounded memory use by the ids of clients.
#[test]
fn the_number_of_records_is_bounded() {
    let mut origins = StreamOrigins::default();
    for number in 0..40_000 {
        origins.note(&format!("a{number}"), origin("v1"), Duration::from_secs(60), at(0));
    }
    assert!(origins.recent(SERVICE, at(1)).count() <= 16_384);
    assert!(origins.get("a39999").is_some());
}
