//! Answers of engines and services in trouble: reset while the call is still being sent, without a valid status, or with a
//! field name that is no token.

use std::{net::SocketAddr, time::Duration};

use async_std::{
    io::{ReadExt, WriteExt},
    net::{TcpListener, TcpStream},
    task::{self, block_on},
};
use notch_target::prelude::*;
use notch_types::prelude::*;
use rstest::rstest;

/// Bytes of a call that no socket buffers hold: Linux buffers 4 MB for sending at most.
const CALL_BYTES: usize = 6 << 20;
/// Time in which the caller receives what was sent: a reset drops what is still on the way.
const TRANSIT_TIME: Duration = Duration::from_millis(50);

/// A whole stream of an engine.
const STREAM: &str = "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"a\"},\"finish_reason\":\"stop\"}]}\n\n\
                      data: [DONE]\n\n";

/// The way to a target, and how its answer is taken.
#[derive(Debug, Clone, Copy)]
enum TargetWay {
    /// From an engine.
    Engine(CallMode),
    /// From a plain service.
    Service,
}

struct DeafSink;

impl CallSink for DeafSink {
    fn started(&mut self) {}

    fn bytes(&mut self, _bytes: &[u8]) {}
}

/// A target that answers the head of each call with `answer` and drops the connection.
async fn target(answer: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    task::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            task::spawn(serve(stream, answer.clone()));
        }
    });
    address
}

async fn serve(mut stream: TcpStream, answer: String) {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") && matches!(stream.read(&mut byte).await, Ok(1)) {
        head.extend_from_slice(&byte);
    }
    let _ = stream.write_all(answer.as_bytes()).await;
    task::sleep(TRANSIT_TIME).await;
}

/// How a call with a body of `bytes` bytes ends at a target that answers with `answer`.
async fn end_of(way: TargetWay, answer: String, bytes: usize) -> CallEnd {
    let address = target(answer).await;
    let mode = match way {
        TargetWay::Engine(mode) => mode,
        TargetWay::Service => CallMode::Whole,
    };
    let text = "x".repeat(bytes);
    let call = TargetCall {
        id: "stream-1".to_owned(),
        request: RequestId(1),
        path: "match".to_owned(),
        body: Payload::from(
            format!("{{\"model\":\"m\",\"messages\":[],\"user\":\"{text}\"}}").as_str(),
        ),
        mode,
        idempotent: true,
        progress: None,
    };
    let link: Box<dyn TargetLink> = match way {
        TargetWay::Engine(_) => {
            Box::new(HttpEngine::new(EngineSettings { address, ..EngineSettings::default() }))
        }
        TargetWay::Service => {
            Box::new(HttpService::new(ServiceSettings { address, ..ServiceSettings::default() }))
        }
    };
    link.run(&call, &mut DeafSink).await.end
}

fn is_complete(end: CallEnd) -> bool {
    matches!(end, CallEnd::Complete { .. })
}

/// Guards the tests below: the same target is heard to the end if its answer is sound.
#[rstest]
fn a_sound_answer_completes(
    #[values(
        TargetWay::Engine(CallMode::Stream),
        TargetWay::Engine(CallMode::Whole),
        TargetWay::Engine(CallMode::Collect),
        TargetWay::Service
    )]
    way: TargetWay,
) {
    let answer =
        format!("HTTP/1.1 200 OK\r\nX-Y: z\r\nContent-Length: {}\r\n\r\n{STREAM}", STREAM.len());
    assert!(is_complete(block_on(end_of(way, answer, 2))));
}

/// Guards against a part of an answer that counts as the whole one: the write of the call takes the reset from the socket.
#[rstest]
fn an_answer_that_is_reset_during_the_call_does_not_complete_it(
    #[values(
        TargetWay::Engine(CallMode::Stream),
        TargetWay::Engine(CallMode::Whole),
        TargetWay::Engine(CallMode::Collect),
        TargetWay::Service
    )]
    way: TargetWay,
    #[values("", "Content-Length: 1000\r\n")] framing: &str,
) {
    let answer = format!("HTTP/1.1 200 OK\r\n{framing}\r\n{STREAM}");
    assert!(!is_complete(block_on(end_of(way, answer, CALL_BYTES))));
}

/// Guards against an answer without a status, or with a field whose name is no token, that completes a call.
#[rstest]
fn an_answer_with_an_invalid_head_does_not_complete_a_call(
    #[values(
        TargetWay::Engine(CallMode::Stream),
        TargetWay::Engine(CallMode::Whole),
        TargetWay::Engine(CallMode::Collect),
        TargetWay::Service
    )]
    way: TargetWay,
    #[values(
        "000 X\r\nX: y",
        "099 X\r\nX: y",
        "999 X\r\nX: y",
        "200 OK\r\nX Y: z",
        "200 OK\r\nX\0: z",
        "200 OK\r\n X: z",
        "200 OK\r\nTransfer-Encoding : chunked"
    )]
    head: &str,
) {
    let answer = format!("HTTP/1.1 {head}\r\nContent-Length: {}\r\n\r\n{STREAM}", STREAM.len());
    assert!(!is_complete(block_on(end_of(way, answer, 2))));
}
