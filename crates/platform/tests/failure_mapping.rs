//! What the object API's client makes of each way in which a call can go wrong.
//!
//! Symptom: a shard's owner takes a write for void (or for done) that wasn't.
//! Sequence: the write is sent; the connection is cut, the answer is late, or something between
//! answers in the store's place; the owner writes again, or gives a promise.
//! Cause: a failure mapped to a certainty that the exchange didn't give.

use std::{sync::Arc, time::Duration};

use async_std::{
    io::{ReadExt, WriteExt},
    net::{TcpListener, TcpStream},
    sync::Mutex,
    task,
};
use notch_platform::{CallEnd, CallKind, HttpObjects, ObjectApi, ObjectsSettings};
use notch_types::object::{
    ObjectVersion, StoreFailure, StoreOp, StoreReply, StoreResult, WriteCondition,
};
use rstest::rstest;

/// What the far end does with a request that it has read.
#[derive(Debug, Clone, Copy)]
enum FarEnd {
    /// Sends these bytes and keeps the connection.
    Says(&'static str),
    /// Sends these bytes and closes.
    SaysAndCloses(&'static str),
    /// Sends nothing and keeps the connection.
    Silent,
}

use FarEnd::{Says, SaysAndCloses, Silent};

/// Serves one script line for each request, over all connections; the last line repeats.
/// The second value lists the request lines that were read.
async fn far_end(script: Vec<FarEnd>) -> (String, Arc<Mutex<Vec<String>>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    let seen = Arc::new(Mutex::new(Vec::new()));
    let log = seen.clone();
    task::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            task::spawn(serve(stream, script.clone(), log.clone()));
        }
    });
    (address, seen)
}

async fn serve(mut stream: TcpStream, script: Vec<FarEnd>, log: Arc<Mutex<Vec<String>>>) {
    while let Some(line) = read_request(&mut stream).await {
        let mut seen = log.lock().await;
        let step = script[seen.len().min(script.len() - 1)];
        seen.push(line);
        drop(seen);
        match step {
            Says(bytes) => stream.write_all(bytes.as_bytes()).await.expect("the client reads"),
            SaysAndCloses(bytes) => {
                stream.write_all(bytes.as_bytes()).await.expect("the client reads");
                return;
            }
            Silent => std::future::pending().await,
        }
    }
}

/// Reads one request with its body; its first line.
async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    let mut part = [0_u8; 4096];
    loop {
        let text = String::from_utf8_lossy(&bytes).to_lowercase();
        if let Some(end) = text.find("\r\n\r\n") {
            let length = text.split("content-length: ").nth(1);
            let length = length.and_then(|rest| rest.split("\r\n").next()?.parse().ok());
            if bytes.len() >= end + 4 + length.unwrap_or(0) {
                return text.lines().next().map(str::to_string);
            }
        }
        match stream.read(&mut part).await {
            Ok(count) if count > 0 => bytes.extend_from_slice(&part[..count]),
            _ => return None,
        }
    }
}

fn client(address: &str) -> HttpObjects {
    HttpObjects::new(ObjectsSettings {
        address: address.to_string(),
        time_limit: Duration::from_millis(400),
        ..ObjectsSettings::default()
    })
}

fn put() -> StoreOp {
    let condition = WriteCondition::IfVersion(ObjectVersion(3));
    StoreOp::Put { key: "ledger/1".to_string(), value: "body".into(), condition }
}

fn get() -> StoreOp {
    StoreOp::Get { key: "ledger/1".to_string() }
}

const HUNG_BODY: &str = "HTTP/1.1 200 OK\r\netag: \"4\"\r\ncontent-length: 9\r\n\r\nabc";
const UNTAGGED: &str = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";

#[rstest]
#[case::closed_without_a_word(SaysAndCloses(""), StoreFailure::Unknown, StoreFailure::Unknown)]
#[case::silent(Silent, StoreFailure::Unknown, StoreFailure::Unknown)]
#[case::half_a_head(
    SaysAndCloses("HTTP/1.1 200 OK\r\neta"),
    StoreFailure::Unknown,
    StoreFailure::Unknown
)]
#[case::no_http(SaysAndCloses("what?\r\n\r\n"), StoreFailure::Unknown, StoreFailure::Unknown)]
#[case::cut_body(SaysAndCloses(HUNG_BODY), StoreFailure::Unknown, StoreFailure::Unknown)]
#[case::hung_body(Says(HUNG_BODY), StoreFailure::Unknown, StoreFailure::Unknown)]
#[case::no_version(Says(UNTAGGED), StoreFailure::Unknown, StoreFailure::Malformed)]
#[case::someone_elses_404(
    Says("HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n"),
    StoreFailure::Unknown,
    StoreFailure::Unknown
)]
#[case::conflict_409(
    Says("HTTP/1.1 409 Conflict\r\netag: \"7\"\r\ncontent-length: 0\r\n\r\n"),
    StoreFailure::Conflict(Some(ObjectVersion(7))),
    StoreFailure::Conflict(Some(ObjectVersion(7)))
)]
#[case::conflict_412(
    Says("HTTP/1.1 412 Precondition Failed\r\ncontent-length: 0\r\n\r\n"),
    StoreFailure::Conflict(None),
    StoreFailure::Conflict(None)
)]
#[case::too_large(
    Says("HTTP/1.1 413 Payload Too Large\r\ncontent-length: 0\r\n\r\n"),
    StoreFailure::TooLarge,
    StoreFailure::TooLarge
)]
#[case::throttled_ms(
    Says("HTTP/1.1 429 Too Many Requests\r\nretry-after: 9\r\nretry-after-ms: 35\r\ncontent-length: 0\r\n\r\n"),
    StoreFailure::Throttled { retry_after_ms: 35 }, StoreFailure::Throttled { retry_after_ms: 35 }
)]
#[case::throttled_seconds(
    Says("HTTP/1.1 429 Too Many Requests\r\nretry-after: 9\r\ncontent-length: 0\r\n\r\n"),
    StoreFailure::Throttled { retry_after_ms: 9_000 }, StoreFailure::Throttled { retry_after_ms: 9_000 }
)]
#[case::refused_outright(
    Says("HTTP/1.1 503 Service Unavailable\r\nx-effect: none\r\ncontent-length: 0\r\n\r\n"),
    StoreFailure::Unavailable,
    StoreFailure::Unavailable
)]
#[case::gateway_503(
    Says("HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n"),
    StoreFailure::Unknown,
    StoreFailure::Unknown
)]
#[case::server_error(
    Says("HTTP/1.1 500 Internal Server Error\r\ncontent-length: 0\r\n\r\n"),
    StoreFailure::Unknown,
    StoreFailure::Unknown
)]
#[case::bad_request(
    Says("HTTP/1.1 400 Bad Request\r\ncontent-length: 0\r\n\r\n"),
    StoreFailure::Malformed,
    StoreFailure::Malformed
)]
#[async_std::test]
async fn each_end_is_mapped_to_what_it_proves(
    #[case] end: FarEnd,
    #[case] of_put: StoreFailure,
    #[case] of_get: StoreFailure,
) {
    let (address, seen) = far_end(vec![end]).await;
    let objects = client(&address);
    assert_eq!(objects.call(put()).await, Err(of_put));
    assert_eq!(seen.lock().await.len(), 1, "a write goes out once");
    assert_eq!(objects.call(get()).await, Err(of_get));
    assert_eq!(objects.meter().count(CallKind::Put, CallEnd::of(&Err(of_put))), 1);
}

/// Symptom: none of the store's; a refused connection alone proves that nothing was sent.
#[async_std::test]
async fn a_refused_connection_is_unavailable() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    drop(listener);
    assert_eq!(client(&address).call(put()).await, Err(StoreFailure::Unavailable));
}

/// Symptom: a conflict is reported for a write that took effect.
/// Sequence: a write goes over a kept connection; the store carries it out; the connection is cut
/// before the answer; the client sends the write again, and its condition no longer holds.
/// Cause: HTTP calls PUT idempotent, but a conditional one isn't.
#[async_std::test]
async fn a_write_cut_on_a_kept_connection_is_not_sent_again() {
    const WRITTEN: &str =
        "HTTP/1.1 200 OK\r\netag: \"4\"\r\nx-store-time: 5\r\ncontent-length: 0\r\n\r\n";
    const CONFLICT: &str = "HTTP/1.1 412 Precondition Failed\r\ncontent-length: 0\r\n\r\n";
    let script = vec![Says(WRITTEN), SaysAndCloses(""), Says(CONFLICT)];
    let (address, seen) = far_end(script).await;
    let objects = client(&address);
    assert_eq!(objects.call(put()).await, Ok(StoreReply::Written(ObjectVersion(4))));
    assert_eq!(objects.call(put()).await, Err(StoreFailure::Unknown));
    assert_eq!(seen.lock().await.len(), 2, "the second write went out once");
}

/// Symptom: an empty ledger in an outage; see the client's note on 404.
#[async_std::test]
async fn only_the_stores_own_404_means_absent() {
    const ABSENT: &str = "HTTP/1.1 404 Not Found\r\nx-store-time: 5\r\ncontent-length: 0\r\n\r\n";
    let (address, _) = far_end(vec![Says(ABSENT)]).await;
    assert_eq!(client(&address).call(get()).await, Ok(StoreReply::Object(None)));
}

#[rstest]
#[case("")]
#[case(".")]
#[case("..")]
#[async_std::test]
async fn a_key_that_is_no_segment_is_never_sent(#[case] key: &str) {
    let (address, seen) = far_end(vec![Silent]).await;
    let result = client(&address).call(StoreOp::Get { key: key.to_string() }).await;
    assert_eq!(result, Err(StoreFailure::Malformed));
    assert!(seen.lock().await.is_empty());
}

/// Symptom: one node in a tight loop takes the platform's rate from the whole fleet.
#[async_std::test]
async fn calls_over_the_local_budget_stay_here() {
    const ABSENT: &str = "HTTP/1.1 404 Not Found\r\nx-store-time: 5\r\ncontent-length: 0\r\n\r\n";
    let (address, seen) = far_end(vec![Says(ABSENT)]).await;
    let budget = notch_platform::BudgetSettings { calls_per_second: 0.001, burst: 3.0 };
    let settings = ObjectsSettings { address, budget, ..ObjectsSettings::default() };
    let objects = HttpObjects::new(settings);
    let mut results: Vec<StoreResult> = Vec::new();
    for _ in 0..5 {
        results.push(objects.call(get()).await);
    }
    assert!(results[..3].iter().all(Result::is_ok));
    let throttled = |result: &StoreResult| matches!(result, Err(StoreFailure::Throttled { retry_after_ms }) if *retry_after_ms > 0);
    assert!(results[3..].iter().all(throttled));
    assert_eq!(seen.lock().await.len(), 3);
    assert_eq!(objects.meter().total(CallKind::Get), 5);
    assert!(objects.call_rate() > 0.0);
}
