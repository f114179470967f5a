//! Selection of the target for a request.

use std::{sync::LazyLock, time::Duration};

use notch_relay::prelude::*;
use notch_types::prelude::*;
use rstest::rstest;

fn entry(id: &str, state: TargetState) -> TargetEntry {
    TargetEntry {
        id: id.to_owned(),
        name: id.to_owned(),
        born: 0,
        software_version: "v1".to_owned(),
        service: "llm".to_owned(),
        address: ([127, 0, 0, 1], 9).into(),
        domain: "a".to_owned(),
        slots: 4,
        state,
        cold_left: Duration::ZERO,
    }
}

/// A query for a request without information on its prompt.
fn query(work: WorkKind, avoid: &[String]) -> TargetQuery<'_> {
    static NO_PROMPT: LazyLock<PromptPrefixes> = LazyLock::new(PromptPrefixes::default);
    TargetQuery {
        service: "llm",
        work,
        avoid,
        queue: QueueLimit::Any,
        version: None,
        prompt: &NO_PROMPT,
    }
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
fn online_requests_use_the_least_loaded_target() {
    let mut table = table(&["t1", "t2"]);
    let now = MonoTime::from_millis(1);
    let uses = [("t1".to_owned(), TargetUse { online: 2, batch: 0 })];
    table.take_report(&VmName::new("peer"), uses.into_iter().collect(), now);
    assert_eq!(online(&mut table, now).as_deref(), Some("t2"));
    assert_eq!(online(&mut table, now).as_deref(), Some("t2"));
}

/// Guards against sending requests to a target after it announced that it leaves: its entry changes
/// to draining or is removed while the other targets are full.
#[rstest]
#[case::draining(true)]
#[case::removed(false)]
fn a_leaving_target_gets_no_new_requests(#[case] draining: bool) {
    let mut table = table(&["t1"]);
    if draining {
        table.put(entry("t1", TargetState::Draining), MonoTime::default());
    } else {
        table.remove("t1", MonoTime::default());
    }
    assert_eq!(online(&mut table, MonoTime::default()), None);
}

/// Guards against running a request at another service: a target ends and its address is reused by
/// another one, which answers that it is not the target named in the request.
#[test]
fn a_target_with_a_reused_address_waits_for_its_entry() {
    let mut table = table(&["t1"]);
    let now = MonoTime::from_millis(1);
    online(&mut table, now).expect("a target is free");
    table.finish("t1", WorkKind::Online, Some(Err(AttemptFailure::OtherTarget)), now);
    assert_eq!(online(&mut table, now), None);
    table.put(entry("t1", TargetState::Ready), now);
    assert_eq!(online(&mut table, now).as_deref(), Some("t1"));
}

/// Guards against each request to a failing target losing time: the target truncates answers, and
/// its low load attracts further requests.
#[test]
fn a_failed_target_is_avoided_and_probed_by_one_request() {
    let mut table = table(&["t1", "t2"]);
    let start = MonoTime::from_millis(1_000);
    let first = online(&mut table, start).expect("a target is free");
    let failure = Some(Err(AttemptFailure::CutAnswer));
    table.finish(&first, WorkKind::Online, failure, start);
    for _ in 0..4 {
        assert_ne!(
            online(&mut table, start).as_ref(),
            Some(&first),
            "avoided while other targets are free"
        );
    }
    let later = start + Duration::from_millis(400);
    assert_eq!(online(&mut table, later).as_ref(), Some(&first), "a single probe");
    assert_ne!(online(&mut table, later).as_ref(), Some(&first), "only one request probes");
}

/// Guards against losing a request every second to an unreachable target because real requests are
/// used to find out whether it is back.
#[test]
fn a_silent_target_must_answer_a_probe_first() {
    let mut table = table(&["t1", "t2"]);
    let start = MonoTime::from_millis(1_000);
    let first = online(&mut table, start).expect("a target is free");
    let failure = Some(Err(AttemptFailure::SilentBeforeAnswer));
    table.finish(&first, WorkKind::Online, failure, start);
    assert_eq!(table.silent_targets(start), [], "not immediately");
    let later = start + Duration::from_millis(400);
    assert_eq!(table.silent_targets(later).len(), 1);
    assert_ne!(
        online(&mut table, later).as_ref(),
        Some(&first),
        "no request before the probe is answered"
    );
    table.note_silence(&first, later);
    assert_eq!(table.silent_targets(later), [], "the next probe comes later");
    let back = later + Duration::from_millis(2_000);
    table.note_liveness(&first);
    assert_eq!(online(&mut table, back).as_ref(), Some(&first), "a single request probes further");
    assert_ne!(online(&mut table, back).as_ref(), Some(&first), "only one request probes");
}

// Guards against items that queue, and against slots left idle while items wait: an item at an own
// target is preempted immediately, so no slot has to be kept free.
#[test]
fn batch_fills_own_slots_without_queueing() {
    let mut table = table(&["t1"]);
    let now = MonoTime::default();
    let mut batch = || table.choose(&query(WorkKind::Batch, &[]), now, || 0.0).is_some();
    assert_eq!([batch(), batch(), batch(), batch(), batch()], [true, true, true, true, false]);
}

// Guards against items in the last slots of a target whose load is known late.
#[test]
fn batch_leaves_three_slots_free_at_a_remote_target() {
    let mut table = table(&["t1"]);
    table.assign_homes(
        "g2",
        &[("g1".to_owned(), "a".to_owned()), ("g2".to_owned(), "b".to_owned())],
    );
    let now = MonoTime::default();
    let mut batch = || table.choose(&query(WorkKind::Batch, &[]), now, || 0.0).is_some();
    assert_eq!([batch(), batch()], [true, false]);
}

/// Guards against preempting items by the thousand so that none makes progress: one online request
/// waits at a target, and every gateway with an item there preempts one of its own.
#[test]
fn gateways_share_the_items_to_preempt() {
    let mut table = table(&["t1"]);
    let now = MonoTime::default();
    for _ in 0..2 {
        table.choose(&query(WorkKind::Batch, &[]), now, || 0.0).expect("slots are free");
    }
    let uses = [("t1".to_owned(), TargetUse { online: 2, batch: 2 })];
    table.take_report(&VmName::new("peer"), uses.into_iter().collect(), now);
    // Six requests at four slots: two wait, and half of the four items belong to this gateway.
    assert_eq!(table.items_to_preempt("t1", || 0.0), 1);
    assert_eq!(table.items_to_preempt("t1", || 0.99), 1);
}

#[test]
fn every_target_has_one_home_gateway_in_its_domain() {
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

/// Guards against a job that is not continued although its targets have recovered: runs failed at
/// every target, and without online requests nothing else probes the targets.
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

/// Guards against reporting "not run" to a client although the request runs: a non-repeatable
/// request is sent, and the connection reset is mistaken for a refusal.
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
fn only_proven_failures_are_not_run(#[case] failure: AttemptFailure, #[case] verdict: RunVerdict) {
    assert_eq!(failure.verdict(), verdict);
}

/// Guards against avoiding a restarted target or counting it as full: failures, requests in
/// progress and reports of other gateways belong to the incarnation before the restart.
#[test]
fn a_restarted_target_starts_without_history() {
    let now = MonoTime::from_millis(1);
    let started = |born| TargetEntry {
        id: TargetEntry::start_id("t1", born),
        born,
        ..entry("t1", TargetState::Ready)
    };
    let mut table = TargetTable::new("a");
    table.put(started(1_000), now);
    let first = online(&mut table, now).expect("a slot is free");
    let second = online(&mut table, now).expect("a slot is free");
    table.finish(&second, WorkKind::Online, Some(Err(AttemptFailure::OtherTarget)), now);
    let uses = [(first.clone(), TargetUse { online: 4, batch: 0 })].into_iter().collect();
    table.take_report(&VmName::new("g-2"), uses, now);
    assert_eq!(
        online(&mut table, now),
        None,
        "its address is reused, and the other slots are full"
    );
    assert!(!table.has_restarted(&first));
    table.remove_restarted(&first, MonoTime::default());
    table.put(started(2_000), now);
    assert!(table.has_restarted(&first), "requests in progress there have ended");
    let choice = table.choose(&query(WorkKind::Online, &[]), now, || 0.0).expect("a slot is free");
    assert_eq!((choice.id.as_str(), choice.name.as_str()), ("t1#2000", "t1"));
    assert_eq!((choice.own_load, choice.reported_load), (0, 0));
    assert_eq!(table.own_uses().map(|(id, _)| id).collect::<Vec<_>>(), ["t1#2000"]);
    table.finish(&first, WorkKind::Online, Some(Err(AttemptFailure::TargetRestarted)), now);
    assert!(!table.has_restarted(&first), "its last request has ended");
}

/// Guards against late answers from a target that has just started and registered as slow, while
/// other targets have free slots.
#[test]
fn a_cold_target_is_selected_when_others_are_fuller() {
    let mut table = table(&["t1"]);
    let now = MonoTime::from_millis(1);
    let cold = TargetEntry { cold_left: Duration::from_secs(5), ..entry("t2", TargetState::Ready) };
    table.put(cold, now);
    let selected: Vec<_> =
        (0..4).map(|_| online(&mut table, now).expect("a slot is free")).collect();
    assert_eq!(selected.iter().filter(|id| *id == "t1").count(), 3, "{selected:?}");
    assert_eq!(
        online(&mut table, now).as_deref(),
        Some("t2"),
        "not left idle when the other target is full"
    );
    let warm = MonoTime::from_millis(5_100);
    assert_eq!(online(&mut table, warm).as_deref(), Some("t2"), "no penalty when warm");
}

/// Guards against streams interrupted by the end of their target: the target closes its connections
/// after each answer, as one that is about to leave does, before its entry changes.
#[test]
fn a_target_that_closes_connections_is_avoided_briefly() {
    let mut table = table(&["t1", "t2"]);
    let now = MonoTime::from_millis(1);
    table.note_closing("t1", now);
    assert_eq!(online(&mut table, now).as_deref(), Some("t2"));
    assert_eq!(online(&mut table, now).as_deref(), Some("t2"));
    let later = MonoTime::from_millis(1_100);
    assert_eq!(online(&mut table, later).as_deref(), Some("t1"));
}

/// Guards against processing a long prompt at target after target when requests that share its
/// prefix arrive one after another.
#[rstest]
#[case::long(9_000, true)]
#[case::short(60, false)]
fn a_target_with_a_cached_prefix_is_preferred(#[case] tokens: u32, #[case] is_preferred: bool) {
    let mut table = table(&["t1", "t2"]);
    let now = MonoTime::from_millis(1);
    let prompt = |own| PromptPrefixes::of_parts("m", [("shared", tokens), (own, 5)]);
    let mut choose = |prompt: &PromptPrefixes| {
        let query = TargetQuery { prompt, ..query(WorkKind::Online, &[]) };
        let choice = table.choose(&query, now, || 0.0).expect("a slot is free");
        choice.id
    };
    let first = choose(&prompt("a"));
    assert_eq!(choose(&prompt("b")) == first, is_preferred);
    let other = PromptPrefixes::of_parts("m", [("other", tokens)]);
    choose(&other);
    let spread: Vec<_> = (0..4).map(|_| choose(&prompt("c"))).collect();
    assert!(spread.contains(&"t1".to_owned()) && spread.contains(&"t2".to_owned()), "{spread:?}");
}

#[test]
fn fingerprints_depend_on_model_and_part_order() {
    let prefixes = |model, parts: &[(&'static str, u32)]| {
        PromptPrefixes::of_parts(model, parts.iter().copied()).as_slice().to_vec()
    };
    let one = prefixes("m", &[("a", 10), ("b", 20)]);
    assert_eq!(one.iter().map(|head| head.tokens).collect::<Vec<_>>(), [10, 30]);
    assert_eq!(one[0], prefixes("m", &[("a", 10)])[0]);
    assert_ne!(one[1].fingerprint, prefixes("m", &[("b", 20), ("a", 10)])[1].fingerprint);
    assert_ne!(one[0].fingerprint, prefixes("n", &[("a", 10)])[0].fingerprint);
}

/// Guards against all requests being late at a peak slightly above capacity: requests arrive faster
/// than slots become free for seconds, and engines serve them first come, first served.
#[test]
fn late_requests_are_rejected_unless_they_are_retries() {
    let now = MonoTime::from_millis(1);
    let mut table = table(&["t1", "t2"]);
    table.note_online_run("llm", Duration::from_millis(400), Some(Duration::from_millis(50)));
    let within = QueueLimit::Within(Duration::from_millis(300));
    let mut admit = |queue| {
        let query = TargetQuery { queue, ..query(WorkKind::Online, &[]) };
        table.choose(&query, now, || 0.0).is_some()
    };
    let admitted = (0..20).filter(|_| admit(within)).count();
    assert_eq!(
        admitted, 12,
        "eight slots, and two queued at each target, where a slot becomes free every 100 ms"
    );
    assert!(admit(QueueLimit::Any), "a retry may queue");
}

/// Guards against rejecting requests while slots are free: a gateway's own targets are full, and so
/// are the remote targets that it happens to sample.
#[test]
fn no_request_is_rejected_while_any_slot_is_free() {
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
#[case::two_slots_must_become_free(9, true)]
#[case::three_slots_must_become_free(10, false)]
fn an_answer_in_time_depends_on_the_queue_ahead(#[case] ahead: u32, #[case] in_time: bool) {
    let mut latency = ServiceLatency::default();
    assert!(latency.is_in_time(1_000, 8, Duration::from_millis(300)), "no data yet");
    for _ in 0..200 {
        latency.note(Duration::from_millis(760), Some(Duration::from_millis(45)));
    }
    assert_eq!(latency.is_in_time(ahead, 8, Duration::from_millis(300)), in_time);
}

#[test]
fn a_request_with_less_time_than_others_is_a_retry() {
    let mut table = RetryDetector::default();
    let millis = Duration::from_millis;
    assert!(!table.is_retry("r1", millis(5_000)));
    assert!(!table.is_retry("r1", millis(4_990)));
    assert!(table.is_retry("r1", millis(4_100)));
    assert!(!table.is_retry("r2", millis(4_100)), "another route");
}
