//! Which target a request goes to.

use std::{sync::LazyLock, time::Duration};

use notch_relay::prelude::*;
use notch_types::prelude::*;
use rstest::rstest;

fn entry(id: &str, state: TargetState) -> TargetEntry {
    TargetEntry {
        id: id.to_owned(),
        name: id.to_owned(),
        born: 0,
        service: "llm".to_owned(),
        address: ([127, 0, 0, 1], 9).into(),
        domain: "a".to_owned(),
        slots: 4,
        state,
        cold_left: Duration::ZERO,
    }
}

/// What is chosen for: work without a word about its prompt.
fn query(work: WorkKind, avoid: &[String]) -> TargetQuery<'_> {
    static NO_PROMPT: LazyLock<PromptPrefixes> = LazyLock::new(PromptPrefixes::default);
    TargetQuery { service: "llm", work, avoid, queue: QueueLimit::Any, prompt: &NO_PROMPT }
}

fn table(ids: &[&str]) -> TargetTable {
    let mut table = TargetTable::new("a");
    for id in ids {
        table.put(entry(id, TargetState::Ready), MonoTime::default());
    }
    table
}

fn online(table: &mut TargetTable, now: MonoTime) -> Option<String> {
    table.choose(&query(WorkKind::Online, &[]), now, || 0.0).map(|choice| choice.id)
}

#[test]
fn online_takes_the_least_loaded() {
    let mut table = table(&["t1", "t2"]);
    let now = MonoTime::from_millis(1);
    let uses = [("t1".to_owned(), TargetUse { online: 2, batch: 0 })];
    table.take_report(&VmName::new("peer"), uses.into_iter().collect(), now);
    assert_eq!(online(&mut table, now).as_deref(), Some("t2"));
    assert_eq!(online(&mut table, now).as_deref(), Some("t2"));
}

/// Symptom: requests reach a target seconds after it said that it leaves. Sequence: its entry turns
/// to draining, or is removed, while others are full. Cause: it stayed eligible.
#[rstest]
#[case::draining(true)]
#[case::removed(false)]
fn a_leaving_target_gets_nothing_new(#[case] draining: bool) {
    let mut table = table(&["t1"]);
    if draining {
        table.put(entry("t1", TargetState::Draining), MonoTime::default());
    } else {
        table.remove("t1");
    }
    assert_eq!(online(&mut table, MonoTime::default()), None);
}

/// Symptom: a request runs at another service. Sequence: a target ends, its address goes to
/// another one, which answers that it isn't the one named. Cause: the entry stayed in use.
#[test]
fn a_displaced_target_waits_for_its_entry() {
    let mut table = table(&["t1"]);
    let now = MonoTime::from_millis(1);
    online(&mut table, now).expect("a target is free");
    table.finish("t1", WorkKind::Online, Some(Err(AttemptFailure::OtherTarget)), now);
    assert_eq!(online(&mut table, now), None);
    table.put(entry("t1", TargetState::Ready), now);
    assert_eq!(online(&mut table, now).as_deref(), Some("t1"));
}

/// Symptom: each request to an ill target loses its time. Sequence: a target cuts answers, requests
/// keep choosing it because none of them stays there. Cause: failures were not remembered.
#[test]
fn a_failed_target_is_avoided_and_probed_by_one() {
    let mut table = table(&["t1", "t2"]);
    let start = MonoTime::from_millis(1_000);
    let first = online(&mut table, start).expect("a target is free");
    let failure = Some(Err(AttemptFailure::CutAnswer));
    table.finish(&first, WorkKind::Online, failure, start);
    for _ in 0..4 {
        assert_ne!(
            online(&mut table, start).as_ref(),
            Some(&first),
            "avoided while others are free"
        );
    }
    let later = start + Duration::from_millis(400);
    assert_eq!(online(&mut table, later).as_ref(), Some(&first), "one probe");
    assert_ne!(online(&mut table, later).as_ref(), Some(&first), "the probe goes alone");
}

/// Symptom: a dark target takes a request every second. Sequence: a target goes silent, a real request
/// is sent to find out whether it is back. Cause: nothing cheaper was tried first.
#[test]
fn a_silent_target_must_answer_a_probe_first() {
    let mut table = table(&["t1", "t2"]);
    let start = MonoTime::from_millis(1_000);
    let first = online(&mut table, start).expect("a target is free");
    let failure = Some(Err(AttemptFailure::SilentBeforeAnswer));
    table.finish(&first, WorkKind::Online, failure, start);
    assert_eq!(table.silent_targets(start), [], "not at once");
    let later = start + Duration::from_millis(400);
    assert_eq!(table.silent_targets(later).len(), 1);
    assert_ne!(online(&mut table, later).as_ref(), Some(&first), "no request before it answers");
    table.note_silence(&first, later);
    assert_eq!(table.silent_targets(later), [], "the next probe comes later");
    let back = later + Duration::from_millis(2_000);
    table.note_liveness(&first);
    assert_eq!(online(&mut table, back).as_ref(), Some(&first), "one request finds out the rest");
    assert_ne!(online(&mut table, back).as_ref(), Some(&first), "it goes alone");
}

// Guards against items that queue, and against places that stay idle while items wait: at an own target an
// item yields at once, so none is kept free of them.
#[test]
fn batch_takes_every_own_place_and_fills_no_queue() {
    let mut table = table(&["t1"]);
    let now = MonoTime::default();
    let mut batch = || table.choose(&query(WorkKind::Batch, &[]), now, || 0.0).is_some();
    assert_eq!([batch(), batch(), batch(), batch(), batch()], [true, true, true, true, false]);
}

// Guards against items in the last places of a target whose load is known late.
#[test]
fn batch_leaves_three_places_free_at_another_gateways_target() {
    let mut table = table(&["t1"]);
    table.assign_homes(
        "g2",
        &[("g1".to_owned(), "a".to_owned()), ("g2".to_owned(), "b".to_owned())],
    );
    let now = MonoTime::default();
    let mut batch = || table.choose(&query(WorkKind::Batch, &[]), now, || 0.0).is_some();
    assert_eq!([batch(), batch()], [true, false]);
}

/// Symptom: items are broken off by the thousand and none gets on. Sequence: one online request
/// waits at a target; every gateway with an item there sees it and breaks one off. Cause: each
/// counted for itself what only one of them had to give.
#[test]
fn gateways_share_what_is_to_be_broken_off() {
    let mut table = table(&["t1"]);
    let now = MonoTime::default();
    for _ in 0..2 {
        table.choose(&query(WorkKind::Batch, &[]), now, || 0.0).expect("places are free");
    }
    let uses = [("t1".to_owned(), TargetUse { online: 2, batch: 2 })];
    table.take_report(&VmName::new("peer"), uses.into_iter().collect(), now);
    // Six requests at four places: two wait, half of the four items are ours.
    assert_eq!(table.items_to_preempt("t1", || 0.0), 1);
    assert_eq!(table.items_to_preempt("t1", || 0.99), 1);
}

#[test]
fn every_target_is_at_home_at_one_gateway_of_its_domain() {
    let ids: Vec<String> = (0..10).map(|n| format!("t{n}")).collect();
    let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
    let pair = |name: &str, domain: &str| (name.to_owned(), domain.to_owned());
    let gateways = [pair("g1", "a"), pair("g2", "a"), pair("g3", "b")];
    let mut homes = Vec::new();
    for own in ["g1", "g2", "g3"] {
        let mut table = table(&ids);
        table.assign_homes(own, &gateways);
        for _ in 0..ids.len() {
            let now = MonoTime::default();
            let choice = table.choose(&query(WorkKind::Online, &[]), now, || 0.0);
            homes.extend(choice.filter(|choice| choice.is_home).map(|choice| choice.id));
        }
    }
    homes.sort();
    homes.dedup();
    assert_eq!(homes.len(), ids.len(), "g1 and g2 share all ten, g3 is in another domain");
}

/// Symptom: a job is left lying while its targets are well again. Sequence: a run breaks off at every
/// target, no online request comes. Cause: items waited for an online request to clear the target.
#[test]
fn an_item_probes_a_failed_target() {
    let mut table = table(&["t1"]);
    let start = MonoTime::from_millis(1_000);
    let batch = |table: &mut TargetTable, now| {
        table.choose(&query(WorkKind::Batch, &[]), now, || 0.0).is_some()
    };
    assert!(batch(&mut table, start));
    table.finish("t1", WorkKind::Batch, Some(Err(AttemptFailure::CutAnswer)), start);
    assert!(!batch(&mut table, start));
    assert!(batch(&mut table, start + Duration::from_millis(400)));
}

#[test]
fn a_silent_peers_report_expires() {
    let mut table = table(&["t1"]);
    let uses = [("t1".to_owned(), TargetUse { online: 8, batch: 0 })];
    table.take_report(&VmName::new("peer"), uses.into_iter().collect(), MonoTime::default());
    assert_eq!(online(&mut table, MonoTime::default()), None);
    let later = MonoTime::from_millis(10_000);
    table.expire_reports(later);
    assert_eq!(online(&mut table, later).as_deref(), Some("t1"));
}

/// Symptom: a client is told "not run" and the request runs. Sequence: a request that can't be
/// repeated is sent, the connection is reset. Cause: the reset was taken for a refusal.
#[rstest]
#[case(AttemptFailure::ConnectFailed, RunVerdict::NotRun)]
#[case(AttemptFailure::RefusedNotRun, RunVerdict::NotRun)]
#[case(AttemptFailure::OtherTarget, RunVerdict::NotRun)]
#[case(AttemptFailure::ClosedBeforeAnswer, RunVerdict::Unknown)]
#[case(AttemptFailure::SilentBeforeAnswer, RunVerdict::Unknown)]
#[case(AttemptFailure::SpoiledAnswer, RunVerdict::Unknown)]
#[case(AttemptFailure::CutAnswer, RunVerdict::Unknown)]
#[case(AttemptFailure::StalledAnswer, RunVerdict::Unknown)]
#[case(AttemptFailure::TargetError, RunVerdict::Unknown)]
#[case(AttemptFailure::TargetRestarted, RunVerdict::Unknown)]
fn only_proof_counts_as_not_run(#[case] failure: AttemptFailure, #[case] verdict: RunVerdict) {
    assert_eq!(failure.verdict(), verdict);
}

/// Symptom: a target that is back stays avoided or counts as full. Sequence: requests are under way at a
/// target that went dark, some failed, another gateway reported more there; it starts again under its
/// name. Cause: all of that was held against the new start.
#[test]
fn a_target_that_started_again_begins_anew() {
    let now = MonoTime::from_millis(1);
    let started = |born| TargetEntry {
        id: TargetEntry::start_id("t1", born),
        born,
        ..entry("t1", TargetState::Ready)
    };
    let mut table = TargetTable::new("a");
    table.put(started(1_000), now);
    let first = online(&mut table, now).expect("places");
    let second = online(&mut table, now).expect("places");
    table.finish(&second, WorkKind::Online, Some(Err(AttemptFailure::OtherTarget)), now);
    let uses = [(first.clone(), TargetUse { online: 4, batch: 0 })].into_iter().collect();
    table.take_report(&VmName::new("g-2"), uses, now);
    assert_eq!(online(&mut table, now), None, "displaced and full");
    assert!(!table.has_restarted(&first));
    table.remove_restarted(&first);
    table.put(started(2_000), now);
    assert!(table.has_restarted(&first), "what is under way there is over");
    let choice = table.choose(&query(WorkKind::Online, &[]), now, || 0.0).expect("places");
    assert_eq!((choice.id.as_str(), choice.name.as_str()), ("t1#2000", "t1"));
    assert_eq!((choice.own_load, choice.reported_load), (0, 0));
    assert_eq!(table.own_uses().map(|(id, _)| id).collect::<Vec<_>>(), ["t1#2000"]);
    table.finish(&first, WorkKind::Online, Some(Err(AttemptFailure::TargetRestarted)), now);
    assert!(!table.has_restarted(&first), "nothing is left of it");
}

/// Symptom: requests to a target that has just started come late while others have places. Sequence:
/// it registers as slow for a while. Cause: it was chosen as if it were as quick as the others.
#[test]
fn a_cold_target_is_chosen_when_others_are_fuller() {
    let mut table = table(&["t1"]);
    let now = MonoTime::from_millis(1);
    let cold = TargetEntry { cold_left: Duration::from_secs(5), ..entry("t2", TargetState::Ready) };
    table.put(cold, now);
    let picks: Vec<_> = (0..4).map(|_| online(&mut table, now).expect("places")).collect();
    assert_eq!(picks.iter().filter(|id| *id == "t1").count(), 3, "{picks:?}");
    assert_eq!(online(&mut table, now).as_deref(), Some("t2"), "never left idle beside a full one");
    let warm = MonoTime::from_millis(5_100);
    assert_eq!(online(&mut table, warm).as_deref(), Some("t2"), "then it counts like the others");
}

/// Symptom: a stream is cut by its target's end. Sequence: the target closes its connections after
/// each answer, as one that is about to leave does; its entry comes later. Cause: new requests went
/// there all the same.
#[test]
fn a_target_that_closes_connections_is_avoided_for_a_moment() {
    let mut table = table(&["t1", "t2"]);
    let now = MonoTime::from_millis(1);
    table.note_closing("t1", now);
    assert_eq!(online(&mut table, now).as_deref(), Some("t2"));
    assert_eq!(online(&mut table, now).as_deref(), Some("t2"));
    let later = MonoTime::from_millis(1_100);
    assert_eq!(online(&mut table, later).as_deref(), Some("t1"));
}

/// Symptom: a long prompt is read again by target after target. Sequence: requests that share its
/// beginning come one after another. Cause: each went wherever the load happened to be least.
#[rstest]
#[case::long(9_000, true)]
#[case::short(60, false)]
fn a_target_that_has_read_the_prompt_is_nearer(#[case] tokens: u32, #[case] follows: bool) {
    let mut table = table(&["t1", "t2"]);
    let now = MonoTime::from_millis(1);
    let prompt = |own| PromptPrefixes::of_parts("m", [("shared", tokens), (own, 5)]);
    let mut choose = |prompt: &PromptPrefixes| {
        let query = TargetQuery { prompt, ..query(WorkKind::Online, &[]) };
        let choice = table.choose(&query, now, || 0.0).expect("places");
        choice.id
    };
    let first = choose(&prompt("a"));
    assert_eq!(choose(&prompt("b")) == first, follows);
    let other = PromptPrefixes::of_parts("m", [("other", tokens)]);
    choose(&other);
    let spread: Vec<_> = (0..4).map(|_| choose(&prompt("c"))).collect();
    assert!(spread.contains(&"t1".to_owned()) && spread.contains(&"t2".to_owned()), "{spread:?}");
}

#[test]
fn another_model_or_order_of_parts_is_another_prompt() {
    let heads = |model, parts: &[(&'static str, u32)]| {
        PromptPrefixes::of_parts(model, parts.iter().copied()).as_slice().to_vec()
    };
    let one = heads("m", &[("a", 10), ("b", 20)]);
    assert_eq!(one.iter().map(|head| head.tokens).collect::<Vec<_>>(), [10, 30]);
    assert_eq!(one[0], heads("m", &[("a", 10)])[0]);
    assert_ne!(one[1].fingerprint, heads("m", &[("b", 20), ("a", 10)])[1].fingerprint);
    assert_ne!(one[0].fingerprint, heads("n", &[("a", 10)])[0].fingerprint);
}

/// Symptom: in a crest a little above what all places take everybody is late. Sequence: more requests
/// come than places become free, for seconds; engines take them first come first served. Cause: all were
/// let in, so each waited as long as all before it.
#[test]
fn a_request_that_would_be_late_is_turned_away_and_one_that_came_back_is_not() {
    let now = MonoTime::from_millis(1);
    let mut table = table(&["t1", "t2"]);
    table.note_online_run("llm", Duration::from_millis(400), Some(Duration::from_millis(50)));
    let within = QueueLimit::Within(Duration::from_millis(300));
    let mut admit = |queue| {
        let query = TargetQuery { queue, ..query(WorkKind::Online, &[]) };
        table.choose(&query, now, || 0.0).is_some()
    };
    let admitted = (0..20).filter(|_| admit(within)).count();
    assert_eq!(admitted, 12, "eight places, and two at each of which an end comes every 100 ms");
    assert!(admit(QueueLimit::Any), "one that came back waits");
}

/// Symptom: clients are turned away though places are free. Sequence: a gateway's own targets are full, and
/// so are those of the others' that it happens to look at. Cause: the rest weren't looked at.
#[test]
fn nobody_is_turned_away_while_a_place_is_free_anywhere() {
    let now = MonoTime::from_millis(1);
    let ids: Vec<String> = (0..20).map(|n| format!("t{n:02}")).collect();
    let mut table = table(&ids.iter().map(String::as_str).collect::<Vec<_>>());
    let gateways: Vec<_> = (0..10).map(|n| (format!("g-{n}"), "a".to_owned())).collect();
    table.assign_homes("g-0", &gateways);
    table.note_online_run("llm", Duration::from_secs(4), Some(Duration::from_millis(50)));
    let queue = QueueLimit::Within(Duration::from_millis(300));
    let query = TargetQuery { queue, ..query(WorkKind::Online, &[]) };
    let mut draws = (0..).map(|n| f64::from(n * 37 % 101) / 101.0);
    let admitted = (0..100)
        .filter(|_| table.choose(&query, now, || draws.next().unwrap_or(0.0)).is_some())
        .count();
    assert_eq!(admitted, 80);
}

#[rstest]
#[case::all_places_free(0, true)]
#[case::last_place(7, true)]
#[case::two_ends_away(9, true)]
#[case::three_ends_away(10, false)]
fn an_answer_is_in_time_by_the_ends_that_it_waits_for(#[case] ahead: u32, #[case] in_time: bool) {
    let mut pace = ServiceLatency::default();
    assert!(pace.is_in_time(1_000, 8, Duration::from_millis(300)), "nothing is known yet");
    for _ in 0..200 {
        pace.note(Duration::from_millis(760), Some(Duration::from_millis(45)));
    }
    assert_eq!(pace.is_in_time(ahead, 8, Duration::from_millis(300)), in_time);
}

#[test]
fn a_client_with_less_time_than_others_has_come_back() {
    let mut table = RetryDetector::default();
    let millis = Duration::from_millis;
    assert!(!table.is_retry("r1", millis(5_000)));
    assert!(!table.is_retry("r1", millis(4_990)));
    assert!(table.is_retry("r1", millis(4_100)));
    assert!(!table.is_retry("r2", millis(4_100)), "another route's clients");
}
