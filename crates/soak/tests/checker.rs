//! The checker finds a violation of each promise, and none in a valid run.

use std::time::Duration;

use notch_platform_standins::{
    client::item_id,
    store::ACCOUNT,
    target::{EVENTS, marked_data, marked_events},
};
use notch_soak::{config::REVOCATION_BOUND, prelude::*};
use rstest::rstest;

fn answered(attempt: &str, status: u16) -> Observation {
    Observation::Answered {
        attempt: attempt.to_owned(),
        may_repeat: true,
        status,
        named: Some(attempt.to_owned()),
        body: if status == 200 { marked_events(attempt) } else { String::new() },
        is_whole: true,
    }
}

fn result(job: &str, index: usize) -> SeenResult {
    let item = item_id(job, index);
    let output: Vec<String> = (1..=EVENTS).map(|id| marked_data(&item, id)).collect();
    SeenResult { item, is_completed: true, output: output.join("\n") }
}

fn ran(attempt: &str) -> Observation {
    ran_for(attempt, Some(ACCOUNT), false)
}

fn ran_for(attempt: &str, account: Option<&str>, has_key: bool) -> Observation {
    let account = account.map(str::to_owned);
    Observation::Ran { attempt: attempt.to_owned(), account, has_key }
}

fn sent(attempt: &str, revoked_for: Duration) -> Observation {
    let revoked_for = Some(revoked_for);
    Observation::Sent { attempt: attempt.to_owned(), revoked_for }
}

fn read(results: Vec<SeenResult>) -> Observation {
    Observation::JobRead { job: "j".to_owned(), results }
}

fn asked(version: u64, is_known: bool) -> Observation {
    Observation::RouteAsked { process: "g#1".to_owned(), version, is_known }
}

fn recovered(not_ready: &[&str], version: u64) -> Observation {
    Observation::Recovered {
        not_ready: not_ready.iter().map(|name| (*name).to_owned()).collect(),
        processes: vec!["g#1".to_owned()],
        version,
    }
}

/// Observations of a run in which every promise is kept.
fn valid_run() -> Vec<Observation> {
    vec![
        answered("a", 200),
        ran("a"),
        answered("b", 503),
        sent("c", REVOCATION_BOUND),
        ran("c"),
        sent("d", REVOCATION_BOUND + Duration::from_millis(1)),
        answered("d", 401),
        Observation::JobAccepted { job: "j".to_owned(), items: 2 },
        read(vec![]),
        read(vec![result("j", 1)]),
        read(vec![result("j", 1), result("j", 0)]),
        read(vec![result("j", 1)]),
        asked(1, true),
        asked(3, false),
        asked(3, true),
        recovered(&[], 3),
    ]
}

#[test]
fn a_valid_run_breaks_no_promise() {
    assert_eq!(check(&valid_run()), []);
}

fn corrupted(
    attempt: &str,
    edit: impl Fn(&mut String, &mut bool, &mut Option<String>),
) -> Observation {
    let mut observation = answered(attempt, 200);
    if let Observation::Answered { body, is_whole, named, .. } = &mut observation {
        edit(body, is_whole, named);
    }
    observation
}

#[rstest]
#[case::answer_of_another_request(PromiseKind::OwnAnswer, vec![corrupted("x", |body, _, _| *body = marked_events("y"))])]
#[case::extra_event(PromiseKind::OwnAnswer, vec![corrupted("x", |body, _, _| body.push_str("id: 6\n\n"))])]
#[case::truncated_but_complete(PromiseKind::OwnAnswer, vec![corrupted("x", |body, _, _| body.truncate(20))])]
#[case::missing_attempt_name(PromiseKind::OwnAnswer, vec![corrupted("x", |_, _, named| *named = None)])]
#[case::refused_and_run(PromiseKind::TrueRefusal, vec![answered("x", 503), ran("x")])]
#[case::run_twice(PromiseKind::RunsOnce, vec![
    Observation::Answered { attempt: "x".into(), may_repeat: false, status: 502, named: None, body: String::new(), is_whole: true },
    ran("x"), ran("x"),
])]
#[case::no_account(PromiseKind::OwnAccount, vec![ran_for("x", None, false)])]
#[case::other_account(PromiseKind::OwnAccount, vec![ran_for("x", Some("two"), false)])]
#[case::key_sent_to_target(PromiseKind::OwnAccount, vec![ran_for("x", Some(ACCOUNT), true)])]
#[case::revoked_key(PromiseKind::TakenAway, vec![ran("d")])]
#[case::lost_item(PromiseKind::OneResult, vec![Observation::JobAccepted { job: "k".into(), items: 1 }])]
#[case::listed_twice(PromiseKind::OneResult, vec![read(vec![result("j", 1), result("j", 0), result("j", 0)])])]
#[case::wrong_output(PromiseKind::OneResult, vec![
    Observation::JobAccepted { job: "k".into(), items: 1 },
    Observation::JobRead { job: "k".into(), results: vec![SeenResult { output: "no".into(), ..result("k", 0) }] },
])]
#[case::other_order(PromiseKind::GrowingList, vec![read(vec![result("j", 0)])])]
#[case::reverted(PromiseKind::NoReversion, vec![asked(2, false)])]
#[case::not_ready(PromiseKind::Recovery, vec![recovered(&["g#1"], 3)])]
#[case::old_configuration(PromiseKind::Recovery, vec![recovered(&[], 4)])]
#[case::process_ended(PromiseKind::Recovery, vec![Observation::EndedByItself { process: "g#1".into() }])]
fn an_injected_violation_is_found(#[case] kind: PromiseKind, #[case] injected: Vec<Observation>) {
    let mut observations = valid_run();
    observations.extend(injected);
    let kinds: Vec<PromiseKind> = check(&observations).iter().map(|broken| broken.kind).collect();
    assert_eq!(kinds, [kind]);
}

/// A whole answer whose two halves name the versions that wrote them.
fn written_by(versions: [&str; 2]) -> Observation {
    let event = |id: u64| {
        let version = versions[usize::from(id > EVENTS / 2)];
        format!("id: {id}\ndata: {} by {version}\n\n", marked_data("a", id))
    };
    Observation::Answered {
        attempt: "a".to_owned(),
        may_repeat: true,
        status: 200,
        named: Some("a".to_owned()),
        body: (1..=EVENTS).map(event).collect(),
        is_whole: true,
    }
}

fn taken_up(version: &str) -> Observation {
    let event = |id| format!("id: {id}\ndata: {} by {version}\n\n", marked_data("a-r1", id));
    Observation::TakenUp {
        attempt: "a-r1".to_owned(),
        begun_by: "a".to_owned(),
        last: EVENTS - 1,
        status: 200,
        body: event(EVENTS),
        is_whole: true,
    }
}

fn kinds(observations: &[Observation]) -> Vec<PromiseKind> {
    check(observations).into_iter().map(|broken| broken.kind).collect()
}

/// Guards against a soak that would not notice a stream of two versions: in one answer, over a client's attempts, or in a
/// result.
#[test]
fn events_of_two_versions_are_found() {
    assert_eq!(kinds(&[written_by(["v1", "v1"]), taken_up("v1")]), []);
    assert_eq!(kinds(&[written_by(["v1", "v2"])]), [PromiseKind::OneVersion]);
    assert_eq!(
        kinds(&[written_by(["v1", "v1"]), taken_up("v2")]),
        [PromiseKind::OneVersion],
        "over two attempts"
    );
    let mut mixed = result("j", 0);
    let lines: Vec<String> = (1..=EVENTS)
        .map(|id| {
            let version = if id == 1 { "v1" } else { "v2" };
            format!("{} by {version}", marked_data(&mixed.item, id))
        })
        .collect();
    mixed.output = lines.join("\n");
    let job = Observation::JobAccepted { job: "j".to_owned(), items: 1 };
    assert_eq!(kinds(&[job, read(vec![mixed])]), [PromiseKind::OneVersion]);
}

fn poison_run(culprit: CrashCulprit, late: usize, disturbed: bool) -> Vec<Observation> {
    let mut observations = Vec::new();
    let allowed = culprit.crashes_allowed();
    for number in 0..allowed + late {
        let attempt = format!("p{number}");
        let seconds = if number < allowed { 1 } else { 10 };
        let at = Duration::from_secs(seconds);
        observations.push(Observation::SentPoison {
            attempt: attempt.clone(),
            gateway: 0,
            culprit,
        });
        observations.push(Observation::Crashed { attempt, at });
    }
    if disturbed {
        for (second, begins) in [(8, true), (9, false)] {
            let at = Duration::from_secs(second);
            observations.push(Observation::Disturbed { gateway: Some(0), at, begins });
        }
    }
    observations
}

/// Guards against a soak that would not notice a prompt part or a request that goes on crashing targets, or sound requests
/// that are refused in its place.
#[test]
fn crashes_by_a_known_culprit_are_found() {
    for culprit in [
        CrashCulprit::Part,
        CrashCulprit::Request(0),
        CrashCulprit::Request(1),
        CrashCulprit::Resent(ResendInterval::Seconds160),
    ] {
        let run = |late, disturbed| kinds(&poison_run(culprit, late, disturbed));
        assert_eq!(run(3, false), []);
        assert_eq!(run(4, false), [PromiseKind::NoMoreCrashes]);
        assert_eq!(run(4, true), [], "sent by a gateway that was disturbed");
    }
    let served = |served| Observation::SoundRequests { sent: 60, served };
    assert_eq!(kinds(&[served(30)]), []);
    assert_eq!(kinds(&[served(29)]), [PromiseKind::NoMoreCrashes]);
}

/// Guards against a soak that would not notice an item that goes on crashing targets, or that counts sends of a disturbed gateway
/// against it without telling how many it excused.
#[test]
fn crashes_by_items_are_found() {
    let job = format!("{}1", CrashCulprit::ITEM_PREFIX);
    let run = |late: u64, disturbed: bool| {
        let mut observations = vec![Observation::JobAccepted { job: job.clone(), items: 1 }];
        for number in 0..3 + late {
            let at = Duration::from_secs(if number < 3 { 1 } else { 10 });
            observations.push(Observation::Crashed { attempt: item_id(&job, 0), at });
        }
        if disturbed {
            let at = Duration::from_secs(9);
            observations.push(Observation::Disturbed { gateway: Some(2), at, begins: true });
        }
        observations
    };
    assert_eq!(kinds(&run(3, false)), []);
    assert_eq!(kinds(&run(4, false)), [PromiseKind::NoMoreCrashes]);
    assert_eq!(kinds(&run(4, true)), [], "by whichever gateway");
    let count = &count_crashes(&run(4, true))[0];
    assert_eq!((count.crashes, count.late.len(), count.excused), (7, 0, 4));
}

/// Runs of `count` attempts that were sent with a deadline of a second and handed on with `left` after `delay`; with `repeated`,
/// each runs once more 0.6 s later, with as much time.
fn handed_on(count: usize, left: Option<u64>, delay: u64, repeated: bool) -> Vec<Observation> {
    let mut observations = Vec::new();
    for number in 0..count {
        let (attempt, sent) = (format!("h{number}"), Duration::from_secs(60));
        let (gateway, deadline) = (0, Duration::from_secs(1));
        let (id, at) = (attempt.clone(), sent);
        observations.push(Observation::SentWithin { attempt: id, gateway, at, deadline });
        for millis in [Some(delay), repeated.then_some(delay + 600)].into_iter().flatten() {
            let (attempt, at) = (attempt.clone(), sent + Duration::from_millis(millis));
            let left = left.map(Duration::from_millis);
            observations.push(Observation::HandedOn { attempt, at, left });
        }
    }
    observations
}

/// Guards against a soak that would not notice targets that are handed more time than clients have left.
#[test]
fn too_much_time_handed_on_is_found() {
    assert_eq!(kinds(&handed_on(40, Some(1_500), 10, false)), [], "half a second is allowed");
    assert_eq!(kinds(&handed_on(40, Some(1_501), 10, false)), [PromiseKind::TimeLeft]);
    assert_eq!(kinds(&handed_on(40, None, 10, false)), [PromiseKind::TimeLeft], "none is named");
    assert_eq!(kinds(&handed_on(20, None, 10, false)), [], "twenty are allowed");
    assert_eq!(kinds(&handed_on(40, Some(800), 10, true)), [], "it ends in time");
    assert_eq!(kinds(&handed_on(40, Some(1_000), 10, true)), [PromiseKind::TimeLeft]);
    let mut mixed = handed_on(250, Some(900), 10, false);
    for (number, observation) in mixed.iter_mut().enumerate() {
        if let Observation::HandedOn { left, .. } = observation
            && number < 80
        {
            *left = None;
        }
    }
    assert_eq!(kinds(&mixed), [], "forty of 250 are less than a fifth");
    mixed.push(Observation::Disturbed {
        gateway: Some(0),
        at: Duration::from_secs(59),
        begins: true,
    });
    mixed.extend(handed_on(40, None, 10, false));
    assert_eq!(kinds(&mixed), [], "the gateway was disturbed");
}
