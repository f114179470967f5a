//! Failures of targets, links and sidecars, with the real stand-ins over loopback.

mod common;

use std::time::Duration;

use async_std::task::{self, block_on};
use common::*;
use notch_http::prelude::*;
use notch_messages::prelude::*;
use notch_sidecar::prelude::*;
use notch_standins::{EngineHandle, EngineSettings, ServiceHandle, ServiceSettings, expected_text};
use notch_types::{class::TargetKind, prelude::*};
use rstest::rstest;

/// An engine slow enough that its answers are met in their midst.
fn slow() -> EngineSettings {
    EngineSettings { base_step: Duration::from_millis(10), ..EngineSettings::default() }
}

async fn beside(engine: &EngineHandle, limit: u32) -> SidecarHandle {
    let mut settings = settings(TargetKind::Engine, engine.address());
    settings.config.admission.limit_max = limit;
    settings.config.admission.limit_start = limit;
    settings.config.target.idle_timeout = Duration::from_secs(1);
    SidecarHandle::start(settings).await.expect("it starts")
}

async fn returned(gateway: &FakeGateway) -> ItemReturn {
    gateway
        .find(|message| match message {
            GatewayMessage::ItemsReturned { mut returns, .. } => returns.pop(),
            _ => None,
        })
        .await
}

async fn target_is(gateway: &FakeGateway, up: bool) {
    gateway
        .find(|message| match message {
            GatewayMessage::Load(load) => load.targets.iter().all(|l| l.up == up).then_some(()),
            _ => None,
        })
        .await;
}

#[test]
fn a_crash_hands_items_back_with_their_progress_and_names_suspects() {
    // Symptom: a lot never ends and its half-made texts are lost after an engine died.
    // Sequence: an item streams; the engine crashes, comes back, and gets the item again.
    // Cause: the text so far was only in the call that died.
    block_on(async {
        let engine = EngineHandle::start(slow()).await.expect("a port");
        let sidecar = beside(&engine, 4).await;
        let (gateway, _) = FakeGateway::dial("gateway-1", &sidecar).await;
        let body = chat("plan the week", 60, false);
        gateway.say(SidecarMessage::Lot(lot(1, 1, std::slice::from_ref(&body))));
        while engine.state().tokens < 5 {
            task::sleep(Duration::from_millis(5)).await;
        }
        engine.crash(Duration::from_millis(300));
        let fingerprints = gateway
            .find(|message| match message {
                GatewayMessage::Suspects { fingerprints, alone: true, .. } => Some(fingerprints),
                _ => None,
            })
            .await;
        assert_eq!(fingerprints, [Fingerprint::of(&target(), &body)]);
        let back = returned(&gateway).await;
        assert_eq!(back.reason, ReturnReason::TargetCrashed);
        let progress = back.progress.expect("progress goes back");
        let whole = expected_text("plan the week", 60);
        assert!(whole.starts_with(&*String::from_utf8_lossy(&progress)));
        target_is(&gateway, true).await;
        let mut again = lot(2, 1, &[body]);
        again.items[0].progress = Some(progress);
        again.items[0].attempt = 2;
        gateway.say(SidecarMessage::Lot(again));
        let body = gateway
            .find(|message| match message {
                GatewayMessage::ItemsDone { results, .. } => match &results[0].outcome {
                    ItemOutcome::Answered { body, .. } => Some(body.clone()),
                    ItemOutcome::Failed { .. } => panic!("failed: {results:?}"),
                },
                _ => None,
            })
            .await;
        assert_eq!(whole_text(&body), whole, "resumed, and whole");
    });
}

#[rstest]
#[case::crashed(false)]
#[case::frozen(true)]
fn an_online_stream_on_a_lost_target_never_looks_whole(#[case] frozen: bool) {
    // Symptom: a cut answer is taken for a whole one; or the caller waits for ever.
    // Sequence: the engine dies, or stops in its tracks with connections open, in mid-answer.
    // Cause: an end of the connection was taken for the end of the answer; silence had no bound.
    block_on(async {
        let engine = EngineHandle::start(slow()).await.expect("a port");
        let sidecar = beside(&engine, 4).await;
        let (gateway, _) = FakeGateway::dial("gateway-1", &sidecar).await;
        let offer = offer(1, &sidecar, chat("hello there", 200, true));
        let attempt = offer.attempt;
        gateway.say(SidecarMessage::Offer(offer));
        let mut bytes = Vec::new();
        assert_eq!(gateway.answer_into(attempt, &mut bytes, 100).await, None);
        match frozen {
            true => engine.freeze(),
            false => engine.crash(Duration::from_millis(300)),
        }
        let outcome = gateway.answer_into(attempt, &mut bytes, usize::MAX).await;
        assert_eq!(outcome, Some(AttemptOutcome::Crashed));
        if frozen {
            engine.thaw();
        }
        target_is(&gateway, true).await;
        let next = common::offer(2, &sidecar, chat("hello again", 5, true));
        let attempt = next.attempt;
        gateway.say(SidecarMessage::Offer(next));
        let (bytes, outcome) = gateway.answer(attempt).await;
        assert_eq!(outcome, AttemptOutcome::Complete { status: 200 });
        assert_eq!(streamed_text(&bytes), expected_text("hello again", 5));
    });
}

#[test]
fn a_stream_is_resumed_by_offset_over_a_new_link() {
    // Symptom: a caller's answer has a hole, or a part twice, after a link was replaced.
    // Sequence: the link goes in mid-stream; the gateway dials again and asks from its offset.
    // Cause: output was sent once and kept nowhere.
    block_on(async {
        let engine = EngineHandle::start(slow()).await.expect("a port");
        let sidecar = beside(&engine, 4).await;
        let (gateway, _) = FakeGateway::dial("gateway-1", &sidecar).await;
        let offer = offer(1, &sidecar, chat("tell me all", 120, true));
        let attempt = offer.attempt;
        gateway.say(SidecarMessage::Offer(offer));
        let mut bytes = Vec::new();
        gateway.answer_into(attempt, &mut bytes, 200).await;
        gateway.hang_up().await;
        let (gateway, welcome) = FakeGateway::dial("gateway-1", &sidecar).await;
        assert_eq!(welcome.incarnation, attempt.incarnation);
        let offset = bytes.len() as u64;
        gateway.say(SidecarMessage::Resume { attempt, offset });
        let outcome = gateway.answer_into(attempt, &mut bytes, usize::MAX).await;
        assert_eq!(outcome, Some(AttemptOutcome::Complete { status: 200 }));
        assert_eq!(streamed_text(&bytes), expected_text("tell me all", 120));
        assert_eq!(engine.runs().all().values().map(|counts| counts.started).sum::<u64>(), 1);
    });
}

#[test]
fn batch_steps_aside_for_online_and_is_resumed() {
    // Symptom: a learner's reply waits behind week plans.
    // Sequence: a lot fills the target; an online request comes.
    // Cause: engines run what they have in the order it came.
    block_on(async {
        let engine = EngineHandle::start(slow()).await.expect("a port");
        let sidecar = beside(&engine, 1).await;
        let (gateway, _) = FakeGateway::dial("gateway-1", &sidecar).await;
        let body = chat("a long plan", 400, false);
        gateway.say(SidecarMessage::Lot(lot(1, 1, std::slice::from_ref(&body))));
        while engine.state().tokens < 10 {
            task::sleep(Duration::from_millis(5)).await;
        }
        let offer = offer(1, &sidecar, chat("is nine free?", 5, true));
        let attempt = offer.attempt;
        gateway.say(SidecarMessage::Offer(offer));
        let back = returned(&gateway).await;
        assert_eq!(back.reason, ReturnReason::Preempted);
        let (bytes, outcome) = gateway.answer(attempt).await;
        assert_eq!(outcome, AttemptOutcome::Complete { status: 200 });
        assert_eq!(streamed_text(&bytes), expected_text("is nine free?", 5));
        assert_eq!(engine.state().cancelled, 1);
        let progress = back.progress.expect("progress goes back");
        let done = String::from_utf8_lossy(&progress).into_owned();
        assert!(!done.is_empty() && expected_text("a long plan", 400).starts_with(&done));
    });
}

#[rstest]
#[case::engine_checks(true)]
#[case::engine_ignores(false)]
fn a_stale_order_never_reaches_the_engine(#[case] checks_epoch: bool) {
    // Symptom: an old placement holder undoes what its successor ordered.
    // Sequence: orders of epochs 2 and then 1; some engines ignore the number.
    // Cause: only the engine looked at fencing numbers.
    block_on(async {
        let settings = EngineSettings { checks_epoch, ..slow() };
        let engine = EngineHandle::start(settings).await.expect("a port");
        let sidecar = beside(&engine, 4).await;
        let (gateway, _) = FakeGateway::dial("gateway-1", &sidecar).await;
        let order = |epoch, role: &str| {
            SidecarMessage::Order(TargetOrder {
                order: epoch,
                epoch: Epoch(epoch),
                vm: vm(),
                action: OrderAction::Role { role: role.to_owned() },
            })
        };
        let ended = async || {
            gateway
                .find(|message| match message {
                    GatewayMessage::OrderEnded { outcome, .. } => Some(outcome),
                    _ => None,
                })
                .await
        };
        gateway.say(order(2, "serve"));
        assert_eq!(ended().await, OrderOutcome::EpochUnknown);
        gateway.say(SidecarMessage::PlacementEpoch(Epoch(2)));
        gateway.say(order(2, "serve"));
        assert_eq!(ended().await, OrderOutcome::Done);
        gateway.say(order(1, "standby"));
        assert_eq!(ended().await, OrderOutcome::Stale { current: Epoch(2) });
        assert_eq!(engine.models().role, "serve");
        assert_eq!(engine.state().stale_orders_done + engine.state().stale_orders_refused, 0);
        let holdings = gateway
            .find(|message| match message {
                GatewayMessage::Holdings(held) if held.role == "serve" => Some(held),
                _ => None,
            })
            .await;
        assert_eq!((holdings.epoch, holdings.ended_order), (Some(Epoch(2)), 2));
    });
}

#[test]
fn a_planned_stop_ends_online_work_and_hands_batch_back() {
    // Symptom: each rollout cuts replies.
    // Sequence: the sidecar is told to stop while a stream and an item run.
    // Cause: the process ended at once.
    block_on(async {
        let engine = EngineHandle::start(slow()).await.expect("a port");
        let sidecar = beside(&engine, 4).await;
        let (gateway, _) = FakeGateway::dial("gateway-1", &sidecar).await;
        gateway.say(SidecarMessage::Lot(lot(1, 1, &[chat("a plan", 2_000, false)])));
        let running = offer(1, &sidecar, chat("one reply", 40, true));
        let late = offer(2, &sidecar, chat("too late", 5, true));
        let attempt = running.attempt;
        gateway.say(SidecarMessage::Offer(running));
        let mut bytes = Vec::new();
        gateway.answer_into(attempt, &mut bytes, 50).await;
        sidecar.leave();
        gateway.find(|message| matches!(message, GatewayMessage::Leaving).then_some(())).await;
        let refused = late.attempt;
        gateway.say(SidecarMessage::Offer(late));
        let stopping = task::spawn(sidecar.stop());
        let mut reasons = Vec::new();
        let outcome = gateway
            .find(|message| match message {
                GatewayMessage::Chunk { offset, bytes: part, .. } => {
                    assert_eq!(offset as usize, bytes.len());
                    bytes.extend_from_slice(&part);
                    None
                }
                GatewayMessage::Refused(refusal) if refusal.attempt == refused => {
                    reasons.push(refusal.reason);
                    None
                }
                GatewayMessage::ItemsReturned { returns, .. } => {
                    assert_eq!(returns[0].reason, ReturnReason::Leaving);
                    reasons.push(RefusalReason::Cancelled);
                    None
                }
                GatewayMessage::Ended { outcome, .. } => Some(outcome),
                _ => None,
            })
            .await;
        assert_eq!(outcome, AttemptOutcome::Complete { status: 200 });
        assert_eq!(streamed_text(&bytes), expected_text("one reply", 40));
        assert_eq!(reasons.len(), 2, "the late one is refused, the item handed back");
        async_std::future::timeout(PATIENCE, stopping).await.expect("it ends");
    });
}

#[test]
fn a_restarted_sidecar_says_unknown_for_its_former_life() {
    // Symptom: a booking that ran is called "not run" and made twice.
    // Sequence: the sidecar dies with the call at the service and comes back.
    // Cause: the new process answered for attempts it never saw.
    block_on(async {
        let settings_of =
            |service: &ServiceHandle| settings(TargetKind::Service, service.address());
        let delay = Duration::from_millis(50);
        let service = ServiceSettings { delay, ..ServiceSettings::default() };
        let service = ServiceHandle::start(service).await.expect("a port");
        let sidecar = SidecarHandle::start(settings_of(&service)).await.expect("it starts");
        let (gateway, _) = FakeGateway::dial("gateway-1", &sidecar).await;
        let offer = offer(1, &sidecar, Payload::from("{\"slot\":7}"));
        let attempt = offer.attempt;
        gateway.say(SidecarMessage::Offer(AttemptOffer { idempotent: false, ..offer }));
        while service.runs().of(&attempt.request.to_string()).started == 0 {
            task::sleep(Duration::from_millis(2)).await;
        }
        drop(sidecar);
        let sidecar = SidecarHandle::start(settings_of(&service)).await.expect("it starts");
        let (gateway, _) = FakeGateway::dial("gateway-1", &sidecar).await;
        gateway.say(SidecarMessage::Seal { attempt });
        let verdict = gateway
            .find(|message| match message {
                GatewayMessage::Sealed { verdict, .. } => Some(verdict),
                _ => None,
            })
            .await;
        assert_eq!(verdict, SealVerdict::Unknown);
        assert_eq!(service.runs().of(&attempt.request.to_string()).started, 1);
    });
}

#[test]
fn a_service_that_is_gone_refuses_truthfully() {
    // Symptom: "not run" can't be said of calls that were never sent.
    // Sequence: a service crashes with a call in flight; another call comes while it is away.
    // Cause: a refused connection and a cut one were taken for the same.
    block_on(async {
        let delay = Duration::from_secs(60);
        let service = ServiceSettings { delay, ..ServiceSettings::default() };
        let service = ServiceHandle::start(service).await.expect("a port");
        let settings = settings(TargetKind::Service, service.address());
        let sidecar = SidecarHandle::start(settings).await.expect("it starts");
        let (gateway, _) = FakeGateway::dial("gateway-1", &sidecar).await;
        let first = offer(1, &sidecar, Payload::from("{\"n\":1}"));
        let (run, request) = (first.attempt, first.attempt.request.to_string());
        gateway.say(SidecarMessage::Offer(AttemptOffer { idempotent: false, ..first }));
        while service.runs().of(&request).started == 0 {
            task::sleep(Duration::from_millis(2)).await;
        }
        service.crash(Duration::from_secs(60));
        let (_, outcome) = gateway.answer(run).await;
        assert_eq!(outcome, AttemptOutcome::Crashed);
        let second = offer(2, &sidecar, Payload::from("{\"n\":2}"));
        let refused = second.attempt;
        gateway.say(SidecarMessage::Offer(second));
        let reason = gateway
            .find(|message| match message {
                GatewayMessage::Refused(refusal) if refusal.attempt == refused => {
                    Some(refusal.reason)
                }
                _ => None,
            })
            .await;
        assert_eq!(reason, RefusalReason::NoTarget);
        assert_eq!(service.runs().of(&refused.request.to_string()).started, 0);
    });
}

#[test]
fn pages_and_entries_tell_the_state() {
    block_on(async {
        let engine = EngineHandle::start(slow()).await.expect("a port");
        let sidecar = beside(&engine, 4).await;
        let (gateway, _) = FakeGateway::dial("gateway-1", &sidecar).await;
        let entry = |version, concurrency| EntryRecord {
            key: EntryKey { kind: EntryKind::Target, name: target().to_string() },
            version: EntryVersion(version),
            body: Payload::from(
                format!(
                    "{{\"owner\":\"ops\",\"class\":\"mixed\",\"kind\":\"engine\",\
                     \"limits\":{{\"concurrency\":{concurrency}}}}}"
                )
                .as_str(),
            ),
        };
        let in_force = async || {
            gateway
                .find(|message| match message {
                    GatewayMessage::EntriesInForce(stamps) => Some(stamps[0].version),
                    _ => None,
                })
                .await
        };
        gateway.say(SidecarMessage::Entries(vec![entry(9, 2)]));
        assert_eq!(in_force().await, EntryVersion(9));
        gateway.say(SidecarMessage::Entries(vec![entry(8, 3)]));
        assert_eq!(in_force().await, EntryVersion(9), "an older copy changes nothing");
        gateway
            .find(|message| match message {
                GatewayMessage::Load(load) => {
                    load.targets.iter().any(|l| l.limit == 2).then_some(())
                }
                _ => None,
            })
            .await;
        let address = sidecar.metrics_address().expect("it runs");
        let get = async |path: &str| {
            let url = Url::parse(&format!("http://{address}{path}")).expect("a URL");
            let client = HttpClient::new(ClientSettings::default());
            let mut response = client.send(Request::new(Method::Get, url)).await.expect("answers");
            let body = read_body(response.take_body(), 1 << 20).await.expect("whole");
            (u16::from(response.status()), String::from_utf8_lossy(&body).into_owned())
        };
        assert_eq!(get("/healthz").await.0, 200);
        while get("/readyz").await.0 != 200 {
            task::sleep(Duration::from_millis(20)).await;
        }
        assert!(get("/metrics").await.1.contains("notch_targets_up"));
    });
}
