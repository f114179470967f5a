//! The sidecar between a make-believe gateway and the stand-in targets, over loopback.

mod common;

use std::time::Duration;

use async_std::task::block_on;
use common::*;
use notch_messages::prelude::*;
use notch_sidecar::prelude::*;
use notch_standins::{
    EngineHandle, EngineSettings, ServiceHandle, ServiceSettings, expected_answer, expected_text,
};
use notch_types::{class::TargetKind, prelude::*};
use rstest::rstest;

/// An engine with little to do per token, so that tests end soon.
fn quick() -> EngineSettings {
    EngineSettings { base_step: Duration::from_millis(2), ..EngineSettings::default() }
}

async fn engine_and_sidecar(engine: EngineSettings) -> (EngineHandle, SidecarHandle) {
    let engine = EngineHandle::start(engine).await.expect("a port");
    let sidecar = SidecarHandle::start(settings(TargetKind::Engine, engine.address()))
        .await
        .expect("it starts");
    (engine, sidecar)
}

#[rstest]
#[case::streamed(true)]
#[case::whole(false)]
fn an_online_request_gets_its_whole_answer(#[case] stream: bool) {
    block_on(async {
        let (engine, sidecar) = engine_and_sidecar(quick()).await;
        let (gateway, welcome) = FakeGateway::dial("gateway-1", &sidecar).await;
        assert_eq!(welcome.incarnation, sidecar.incarnation());
        let offer = offer(1, &sidecar, chat("book a slot", 20, stream));
        let attempt = offer.attempt;
        gateway.say(SidecarMessage::Offer(offer));
        let (bytes, outcome) = gateway.answer(attempt).await;
        assert_eq!(outcome, AttemptOutcome::Complete { status: 200 });
        let text = if stream { streamed_text(&bytes) } else { whole_text(&bytes) };
        assert_eq!(text, expected_text("book a slot", 20));
        drop(engine);
        sidecar.stop().await;
    });
}

#[test]
fn a_pulled_lot_comes_back_as_results_until_settled() {
    block_on(async {
        let (_engine, sidecar) = engine_and_sidecar(quick()).await;
        let (gateway, _) = FakeGateway::dial("gateway-1", &sidecar).await;
        let pull = gateway
            .find(|message| match message {
                GatewayMessage::Pull(pull) => Some(pull),
                _ => None,
            })
            .await;
        assert_eq!(pull.target, target());
        assert!(pull.slots > 0);
        let bodies: Vec<Payload> =
            (0..4).map(|i| chat(&format!("plan week {i}"), 10, false)).collect();
        gateway.say(SidecarMessage::Lot(lot(1, 9, &bodies)));
        let mut results = Vec::new();
        while results.len() < bodies.len() {
            let done = gateway
                .find(|message| match message {
                    GatewayMessage::ItemsDone { results, .. } => Some(results),
                    _ => None,
                })
                .await;
            let keys = done.iter().map(|result| result.key).collect();
            gateway.say(SidecarMessage::ItemsSettled(keys));
            results.extend(done);
        }
        for result in results {
            let ItemOutcome::Answered { status: 200, body } = &result.outcome else {
                panic!("not answered: {result:?}")
            };
            let prompt = format!("plan week {}", result.key.item);
            assert_eq!(whole_text(body), expected_text(&prompt, 10));
        }
        sidecar.stop().await;
    });
}

#[test]
fn a_service_call_runs_once_and_is_answered() {
    block_on(async {
        let service = ServiceHandle::start(ServiceSettings::default()).await.expect("a port");
        let sidecar = SidecarHandle::start(settings(TargetKind::Service, service.address()))
            .await
            .expect("it starts");
        let (gateway, _) = FakeGateway::dial("gateway-1", &sidecar).await;
        let body = Payload::from("{\"slot\":7}");
        let offer = AttemptOffer {
            path: "book".to_owned(),
            idempotent: false,
            ..offer(1, &sidecar, body.clone())
        };
        let attempt = offer.attempt;
        gateway.say(SidecarMessage::Offer(offer.clone()));
        // The same offer again starts nothing.
        gateway.say(SidecarMessage::Offer(offer));
        let (bytes, outcome) = gateway.answer(attempt).await;
        assert_eq!(outcome, AttemptOutcome::Complete { status: 200 });
        assert_eq!(String::from_utf8_lossy(&bytes), expected_answer("book", &body));
        assert_eq!(service.runs().of(&attempt.request.to_string()).started, 1);
        sidecar.stop().await;
    });
}
