//! Targets lost, frozen, crashed by a request, and leaving, while work runs at them.

mod support;

use std::time::Duration;

use async_std::task;
use futures_util::future::join_all;
use magnolianotch::{
    demo::batch::JobOutcome,
    fleet::{FleetSettings, LocalFleet, local_fleet::target_vm},
    load::{OnlinePrompt, ReplyEnd},
};
use notch_messages::prelude::EntryKind;
use notch_platform::VmState;
use notch_standins::CRASH_MARKER;
use rstest::rstest;
use serde_json::{Value, json};

use support::{
    caller::FleetCaller,
    find,
    jobs::{AcceptedJob, known_job},
    small_fleet, until, with_fleet,
};

/// Requests at once of a burst.
const BURST: u64 = 48;
/// Longer than a target may take to get no new work any more.
const NO_NEW_WORK_AFTER: Duration = Duration::from_secs(5);

fn settings() -> FleetSettings {
    let mut settings = small_fleet();
    settings.sidecar.config.target.idle_timeout = Duration::from_secs(3);
    settings
}

/// Targets that crashed; a target that comes back and crashes again is one.
fn crashed_targets(fleet: &LocalFleet) -> usize {
    fleet.engines.iter().filter(|engine| engine.state().crashes > 0).count()
}

fn started_at(fleet: &LocalFleet, engine: usize) -> u64 {
    fleet.engines[engine].runs().all().values().map(|counts| counts.started).sum()
}

// Symptom: one request that crashes its target takes the whole fleet down, again and again.
// Sequence: the request is sent; its target crashes; its caller sends it again through the other
// gateway, under the same key or a fresh one, while other callers' streams run beside it.
// Cause: each send is taken for a new request; or its neighbours are blamed for the crashes.
#[rstest]
#[case::under_one_key(true)]
#[case::under_fresh_keys(false)]
fn a_poison_request_crashes_two_targets_at_most(#[case] one_key: bool) {
    with_fleet(settings(), |fleet| async move {
        let model = fleet.settings().profile.model;
        let caller = FleetCaller::new(fleet.callers());
        let mut poison = OnlinePrompt::numbered("poison", 1, 30, 20);
        poison.text.push_str(&format!(" {CRASH_MARKER}"));
        let neighbours: Vec<_> =
            (0..16).map(|number| OnlinePrompt::numbered("neighbour", number, 40, 120)).collect();
        let calls = neighbours.iter().enumerate().map(|(number, prompt)| {
            let caller = caller.clone();
            async move { caller.chat(number, prompt, model, &format!("neighbour {number}")).await }
        });
        let mut sends = 0;
        let poisoning = find("the poison request is quarantined", || {
            sends += 1;
            let key = if one_key { "poison".to_owned() } else { format!("poison {sends}") };
            let (caller, poison) = (caller.clone(), poison.clone());
            async move {
                match caller.chat_once(sends, &poison, model, Some(&key)).await {
                    ReplyEnd::Refused { code, .. } if code == "quarantined" => Some(()),
                    ReplyEnd::Right | ReplyEnd::Wrong => panic!("it has no answer"),
                    _ => None,
                }
            }
        });
        let (ends, ()) = futures_util::future::join(join_all(calls), poisoning).await;
        assert!(ends.iter().all(|end| *end == ReplyEnd::Right), "neighbours: {ends:?}");
        for turn in 0..6 {
            let end = caller.chat_once(turn, &poison, model, Some(&format!("more {turn}"))).await;
            let code = match &end {
                ReplyEnd::Refused { code, .. } => code.as_str(),
                _ => "",
            };
            assert_eq!(code, "quarantined", "at every gateway: {end:?}");
        }
        let crashed = crashed_targets(&fleet);
        assert!(crashed <= 2, "{crashed} targets crashed");
        fleet
    });
}

// Symptom: one hopeless item holds a whole job, or crashes target after target.
// Sequence: a job holds one item that crashes each target which runs it.
// Cause: the item is given out again and again; its lot's other items are blamed with it.
#[test]
fn a_poison_item_fails_and_its_job_ends() {
    with_fleet(settings(), |fleet| async move {
        let model = fleet.settings().profile.model;
        let caller = FleetCaller::new(fleet.callers());
        let job = known_job(model, "poison item", 60);
        let poisoned = job.lines().replace("statement line 7 of", CRASH_MARKER);
        let accepted = AcceptedJob::submit_lines(&caller, job, &poisoned).await;
        let lines = accepted.result_lines(&caller).await;
        let outcome = accepted.job.check(&lines);
        let wanted = JobOutcome { accepted: 60, completed: 59, failed: 1, ..JobOutcome::default() };
        assert_eq!(outcome, wanted);
        let failed = lines.lines().find(|line| line.contains("\"line-7\"")).expect("it has one");
        let failed: Value = serde_json::from_str(failed).expect("JSON");
        assert!(failed["error"]["code"].is_string(), "{failed}");
        let crashed = crashed_targets(&fleet);
        assert!(crashed <= 2, "{crashed} targets crashed");
        fleet
    });
}

/// Who says that a target leaves.
#[derive(Debug, Clone, Copy)]
enum LeavingSign {
    VmList,
    OperatorsEntry,
    SidecarItself,
}

impl LeavingSign {
    async fn give(self, fleet: &LocalFleet, leaving: bool) {
        let vm = target_vm(0);
        match self {
            Self::VmList => {
                let state = if leaving { VmState::Leaving } else { VmState::Live };
                fleet.platform.vms().mark(&vm, state);
            }
            Self::OperatorsEntry => {
                let entry = json!({ "retired": !leaving });
                let put = fleet.put_entry(EntryKind::Leaving, vm.as_str(), &entry);
                put.await.expect("the store takes it");
            }
            Self::SidecarItself => {
                if let (true, Some(sidecar)) = (leaving, &fleet.sidecars[0]) {
                    sidecar.leave();
                }
            }
        }
    }
}

// Symptom: a target that leaves gets new work and is taken away with it.
// Sequence: a job and streams run; target 0 is told to leave; after a few seconds further streams
// come.
// Cause: one of the three signs doesn't reach every gateway, or what ran there is forgotten.
#[rstest]
#[case::vm_list(LeavingSign::VmList)]
#[case::operators_entry(LeavingSign::OperatorsEntry)]
#[case::sidecar_itself(LeavingSign::SidecarItself)]
fn a_leaving_target_gets_no_new_work(#[case] sign: LeavingSign) {
    with_fleet(settings(), |fleet| async move {
        let model = fleet.settings().profile.model;
        let caller = FleetCaller::new(fleet.callers());
        let accepted = AcceptedJob::submit(&caller, known_job(model, "leaving", 300)).await;
        until("items run at target 0", || started_at(&fleet, 0) > 0).await;
        sign.give(&fleet, true).await;
        task::sleep(NO_NEW_WORK_AFTER).await;
        let before = started_at(&fleet, 0);
        for number in 0..20 {
            let prompt = OnlinePrompt::numbered("leaving", number, 30, 12);
            let end = caller.chat_once(number as usize, &prompt, model, None).await;
            assert_eq!(end, ReplyEnd::Right, "request {number}");
        }
        accepted.check_whole(&caller).await;
        assert_eq!(started_at(&fleet, 0), before, "no new work");
        fleet
    });
}

// Symptom: a target whose leaving was called off stays idle for good.
// Sequence: target 0 is told to leave and gets no new work; then the sign is taken back.
// Cause: a gateway or the sidecar remembers a word that no longer holds.
#[rstest]
#[case::entry_is_retired(LeavingSign::OperatorsEntry)]
#[case::vm_list_shows_it_live(LeavingSign::VmList)]
fn a_drain_called_off_lets_work_in_again(#[case] sign: LeavingSign) {
    with_fleet(settings(), |fleet| async move {
        let model = fleet.settings().profile.model;
        let caller = FleetCaller::new(fleet.callers());
        sign.give(&fleet, true).await;
        task::sleep(NO_NEW_WORK_AFTER).await;
        let before = started_at(&fleet, 0);
        let first = OnlinePrompt::numbered("gone", 1, 30, 4);
        assert_eq!(caller.chat_once(0, &first, model, None).await, ReplyEnd::Right);
        assert_eq!(started_at(&fleet, 0), before, "it leaves");
        sign.give(&fleet, false).await;
        let mut round = 0;
        find("target 0 takes work again", || {
            round += 1;
            let (caller, fleet) = (caller.clone(), &fleet);
            async move {
                // A burst: the others, whose prefix caches are warm, can't take it alone.
                let calls = (0..BURST).map(|call| {
                    let prompt = OnlinePrompt::numbered("back", round * BURST + call, 30, 60);
                    let caller = caller.clone();
                    async move { caller.chat_once(call as usize, &prompt, model, None).await }
                });
                join_all(calls).await;
                (started_at(fleet, 0) > before).then_some(())
            }
        })
        .await;
        fleet
    });
}
