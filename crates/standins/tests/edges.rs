//! The VM list, the weight store, the plain service and the control pages.

mod support;

use std::{collections::BTreeMap, time::Duration};

use async_std::task;
use notch_http::prelude::*;
use notch_platform::{
    HttpVms, HttpWeights, ListingFailure, PermitFailure, PermitRequest, VmListing, VmRecord,
    VmRole, VmState, WeightPermits,
};
use notch_standins::{
    CRASH_MARKER, FaultSettings, PlatformHandle, PlatformSettings, RunCounts, ServiceHandle,
    ServiceSettings, VmsSettings, WeightsSettings, expected_answer, service::body_key,
};
use rstest::rstest;
use support::{call, request};

const LIMIT: Duration = Duration::from_secs(20);

fn vm(name: &str) -> VmRecord {
    VmRecord {
        vm: name.into(),
        role: VmRole::Target,
        address: "127.0.0.1:1".to_string(),
        domain: "domain-a".into(),
        state: VmState::Live,
    }
}

#[rstest]
#[case::at_once(Duration::ZERO, VmState::Leaving, 2)]
#[case::an_hour_late(Duration::from_secs(3_600), VmState::Live, 1)]
#[async_std::test]
async fn a_change_of_the_vm_list_shows_after_its_lag(
    #[case] lag: Duration,
    #[case] state: VmState,
    #[case] count: usize,
) {
    let vms = VmsSettings { lag, vms: vec![vm("a")] };
    let settings = PlatformSettings { vms, ..PlatformSettings::default() };
    let platform = PlatformHandle::start(settings).await.expect("a port");
    let list = HttpVms::new(&platform.address().to_string(), LIMIT);
    assert_eq!(list.list().await, Ok(vec![vm("a")]));
    platform.vms().mark(&"a".into(), VmState::Leaving);
    platform.vms().put(vm("b"));
    let shown = list.list().await.expect("a list");
    assert_eq!((shown[0].state, shown.len()), (state, count));
    assert_eq!(platform.vms().list().await, Ok(shown));
    platform.vms().set_down(true);
    assert_eq!(list.list().await, Err(ListingFailure::Unavailable));
    platform.cut().await;
    assert_eq!(list.list().await, Err(ListingFailure::Unavailable));
}

#[async_std::test]
async fn an_unchanged_vm_list_is_not_sent_again() {
    // Symptom: reading the VM list takes most of a gateway's bytes, and more with each VM.
    // Sequence: nothing changes between two readings; the whole list is sent each time.
    // Cause: the reader didn't say which list it has.
    let vms = VmsSettings { lag: Duration::ZERO, vms: (0..970).map(numbered).collect() };
    let settings = PlatformSettings { vms, ..PlatformSettings::default() };
    let platform = PlatformHandle::start(settings).await.expect("a port");
    let client = HttpClient::default();
    let ask = async |tag: Option<&str>| {
        let mut get = request(platform.address(), Method::Get, "/v1/vms", "".into());
        if let Some(tag) = tag {
            get.insert_header("if-none-match", tag);
        }
        let mut answer = client.send(get).await.expect("an answer");
        let body = read_body(answer.take_body(), 1 << 20).await.expect("whole");
        let tag = answer.header("etag").map(|values| values.last().to_string());
        (u16::from(answer.status()), body.len(), tag)
    };
    let (status, length, tag) = ask(None).await;
    assert_eq!((status, length > 90_000), (200, true));
    assert_eq!(ask(tag.as_deref()).await, (304, 0, None));
    let list = HttpVms::new(&platform.address().to_string(), LIMIT);
    let first = list.list().await;
    assert_eq!(list.list().await, first, "the same list from a 304");
    platform.vms().mark(&numbered(7).vm, VmState::Leaving);
    let shown = list.list().await.expect("a list");
    assert_eq!((shown[7].state, shown.len()), (VmState::Leaving, 970), "a change comes at once");
    assert_eq!(ask(tag.as_deref()).await.0, 200);
}

fn numbered(number: usize) -> VmRecord {
    vm(&format!("target-{number:04}"))
}

#[async_std::test]
async fn permits_come_at_the_stores_rate() {
    let known = [("model-a".to_string(), "2".to_string())].into();
    let weights =
        WeightsSettings { permits_per_second: 0.001, burst: 2.0, known, ..Default::default() };
    let settings = PlatformSettings { weights, ..PlatformSettings::default() };
    let platform = PlatformHandle::start(settings).await.expect("a port");
    let store = HttpWeights::new(&platform.address().to_string(), LIMIT);
    let ask = async |version: &str| {
        let version = version.to_string();
        store.ask(PermitRequest { vm: "a".into(), model: "model-a".into(), version }).await
    };
    assert_eq!(ask("9").await, Err(PermitFailure::NoSuchVersion));
    let permits = [ask("2").await, ask("2").await].map(|permit| permit.expect("a permit").permit);
    assert_eq!(permits, [1, 2]);
    let refused = ask("2").await;
    let Err(PermitFailure::Throttled { retry_after_ms }) = refused else { panic!("{refused:?}") };
    assert!(retry_after_ms > 100_000);
    platform.weights().set_down(true);
    assert_eq!(ask("2").await, Err(PermitFailure::Unavailable));
    assert_eq!(platform.weights().given(), 2);
}

#[async_std::test]
async fn the_platform_takes_its_faults_over_http() {
    let platform = PlatformHandle::start(PlatformSettings::default()).await.expect("a port");
    let client = HttpClient::default();
    let address = platform.address();
    let set = call(&client, address, Method::Put, "/control/faults", r#"{"slow_ms":7}"#).await;
    assert_eq!(set.0, 204);
    assert_eq!(platform.objects().faults().settings(), FaultSettings::slow(7));
    let (_, faults) = call(&client, address, Method::Get, "/control/faults", "").await;
    assert_eq!(serde_json::from_str::<FaultSettings>(&faults).unwrap(), FaultSettings::slow(7));
    let down = r#"{"vms":true,"weights":false}"#;
    assert_eq!(call(&client, address, Method::Put, "/control/down", down).await.0, 204);
    assert_eq!(platform.vms().shown(), Err(ListingFailure::Unavailable));
    assert_eq!(call(&client, address, Method::Get, "/v1/objects/none", "").await.0, 404);
    let (_, calls) = call(&client, address, Method::Get, "/control/calls", "").await;
    let calls: BTreeMap<String, u64> = serde_json::from_str(&calls).unwrap();
    assert_eq!(calls["get.done"], 1);
    assert_eq!(call(&client, address, Method::Put, "/control/faults", "{").await.0, 400);
}

async fn service(crash_down: Duration) -> (ServiceHandle, HttpClient) {
    let settings =
        ServiceSettings { delay: Duration::from_millis(1), crash_down, ..Default::default() };
    (ServiceHandle::start(settings).await.expect("a port"), HttpClient::default())
}

fn keyed(service: &ServiceHandle, key: &str, body: &str) -> Request {
    let mut post = request(service.address(), Method::Post, "/call/book", body.into());
    post.insert_header("idempotency-key", key);
    post
}

async fn wait_until(mut holds: impl FnMut() -> bool) {
    while !holds() {
        task::sleep(Duration::from_millis(2)).await;
    }
}

#[async_std::test]
async fn a_service_counts_each_run_by_its_key() {
    let (service, client) = service(Duration::from_millis(50)).await;
    for _ in 0..2 {
        let mut response = client.send(keyed(&service, "k-1", "slot 7")).await.expect("an answer");
        let answer = response.body_string().await.expect("a body");
        assert_eq!(answer, expected_answer("book", b"slot 7"));
    }
    let address = service.address();
    assert_eq!(call(&client, address, Method::Post, "/call/book", "slot 8").await.0, 200);
    assert_eq!(service.runs().of("k-1"), RunCounts { started: 2, finished: 2 });
    let (_, runs) =
        call(&client, service.control_address(), Method::Get, "/control/runs", "").await;
    let runs: BTreeMap<String, RunCounts> = serde_json::from_str(&runs).expect("runs");
    assert_eq!(runs[&body_key(b"slot 8")], RunCounts { started: 1, finished: 1 });
}

/// Symptom: a slot is booked though its caller was told that the call failed.
/// Sequence: a call is sent; its caller leaves; the service goes on and books.
/// Cause: a service doesn't undo what it began because its caller hung up.
#[async_std::test]
async fn a_call_goes_on_when_its_caller_leaves() {
    let (service, client) = service(Duration::from_millis(50)).await;
    service.set_delay(Duration::from_millis(100));
    let call = keyed(&service, "k-1", "slot 7");
    let sending = task::spawn(async move { client.send(call).await });
    wait_until(|| service.runs().of("k-1").started == 1).await;
    sending.cancel().await;
    wait_until(|| service.runs().of("k-1").finished == 1).await;
}

/// Symptom: a call gets no answer, though its connection is open.
/// Sequence: the service freezes; a call comes; the service thaws.
/// Cause: a target that neither answers nor hangs up.
#[async_std::test]
async fn a_frozen_service_answers_nothing_until_it_thaws() {
    let (service, client) = service(Duration::from_millis(50)).await;
    let control = service.control_address();
    assert_eq!(call(&client, control, Method::Post, "/control/freeze", "").await.0, 204);
    let held = keyed(&service, "k-1", "slot 7");
    let sender = client.clone();
    let sending = task::spawn(async move { sender.send(held).await.is_ok() });
    task::sleep(Duration::from_millis(50)).await;
    assert_eq!(service.runs().of("k-1"), RunCounts::default());
    assert_eq!(call(&client, control, Method::Post, "/control/thaw", "").await.0, 204);
    assert!(sending.await);
}

/// Symptom: calls beside a bad one fail with it, and the service seems gone for good.
/// Sequence: a call runs; another with the marker crashes the service; it comes back.
/// Cause: a single request that crashes each target that runs it.
#[async_std::test]
async fn a_crash_ends_the_calls_in_flight() {
    let (service, client) = service(Duration::from_millis(50)).await;
    service.set_delay(LIMIT);
    let running = client.clone();
    let neighbour = keyed(&service, "neighbour", "slot 7");
    let neighbour = task::spawn(async move { running.send(neighbour).await });
    wait_until(|| service.runs().of("neighbour").started == 1).await;
    let crashed = client.send(keyed(&service, "bad", CRASH_MARKER)).await;
    assert!(matches!(crashed, Err(ClientError::Lost(_))), "{crashed:?}");
    let neighbour = neighbour.await;
    assert!(matches!(neighbour, Err(ClientError::Lost(_))), "{neighbour:?}");
    service.set_delay(Duration::ZERO);
    while client.send(keyed(&service, "later", "slot 8")).await.is_err() {
        task::sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(service.runs().of("neighbour"), RunCounts { started: 1, finished: 0 });
    assert_eq!(service.runs().of("bad"), RunCounts { started: 1, finished: 0 });
    assert_eq!(service.runs().of("later"), RunCounts { started: 1, finished: 1 });
}
