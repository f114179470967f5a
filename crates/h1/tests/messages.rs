//! Tests of reading messages from a connection.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use async_std::{
    io::WriteExt,
    net::{TcpListener, TcpStream},
    task,
};
use notch_h1::prelude::*;
use rstest::rstest;

/// A reader of a connection on which `bytes` arrive and which is then closed.
async fn reader(bytes: &[u8]) -> WireReader {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut sender = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    let (receiver, _) = listener.accept().await.unwrap();
    sender.write_all(bytes).await.unwrap();
    WireReader::new(receiver)
}

#[test]
fn messages_follow_each_other() {
    task::block_on(async {
        let bytes = b"POST /a?q=1 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabcGET /b HTTP/1.1\r\n\r\n";
        let mut reader = reader(bytes).await;
        let first = reader.request_head(1_000).await.unwrap().unwrap();
        assert_eq!((first.path(), first.query()), ("/a", "q=1"));
        let body = reader.whole_body(first.framing().unwrap(), 100).await.unwrap();
        assert_eq!(body, b"abc");
        let second = reader.request_head(1_000).await.unwrap().unwrap();
        assert_eq!(second.target, "/b");
        assert_eq!(reader.request_head(1_000).await, Ok(None));
    });
}

/// Guards against request smuggling: a request declares two lengths, or one that another parser reads differently. If
/// one of them is trusted, the target runs a request that no client sent.
#[rstest]
#[case("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n")]
#[case("Content-Length: 3\r\nContent-Length: 4\r\n")]
#[case("Content-Length: +3\r\n")]
#[case("Content-Length: 3, 3\r\n")]
#[case("Transfer-Encoding: gzip, chunked\r\n")]
#[case("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n")]
fn ambiguous_lengths_are_rejected(#[case] headers: &str) {
    task::block_on(async {
        let mut reader = reader(format!("POST / HTTP/1.1\r\n{headers}\r\n").as_bytes()).await;
        let head = reader.request_head(1_000).await.unwrap().unwrap();
        assert_eq!(head.framing(), Err(WireError::Malformed));
    });
}

#[test]
fn chunks_are_joined_and_trailers_skipped() {
    task::block_on(async {
        let bytes = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n2\r\nde\r\n0\r\nT: 1\r\n\r\n";
        let mut reader = reader(bytes).await;
        let head = reader.response_head(1_000).await.unwrap();
        let body = reader.whole_body(head.framing().unwrap(), 100).await.unwrap();
        assert_eq!(body, b"abcde");
        assert!(!reader.has_buffered());
    });
}

/// Guards against passing on a truncated answer as a complete one: a target crashes within a body, and the end of the
/// connection is taken for the end of the body.
#[rstest]
#[case("Content-Length: 10\r\n\r\nabc")]
#[case("Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n")]
#[case("Transfer-Encoding: chunked\r\n\r\n3\r\nab")]
#[case("Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n")]
fn a_truncated_body_is_not_complete(#[case] rest: &str) {
    task::block_on(async {
        let mut reader = reader(format!("HTTP/1.1 200 OK\r\n{rest}").as_bytes()).await;
        let head = reader.response_head(1_000).await.unwrap();
        let body = reader.whole_body(head.framing().unwrap(), 100).await;
        assert_eq!(body, Err(WireError::Closed));
    });
}

#[test]
fn interim_responses_are_skipped() {
    task::block_on(async {
        let bytes = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n";
        let head = reader(bytes).await.response_head(1_000).await.unwrap();
        assert_eq!(head.status, 204);
        assert_eq!(head.framing(), Ok(BodyFraming::Length(0)));
    });
}

#[test]
fn size_limits_are_enforced() {
    task::block_on(async {
        let long = format!("GET /{} HTTP/1.1\r\n", "x".repeat(20_000));
        assert_eq!(
            reader(long.as_bytes()).await.request_head(9_000).await,
            Err(WireError::TooLarge)
        );
        let mut reader = reader(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n").await;
        let head = reader.response_head(1_000).await.unwrap();
        let body = reader.whole_body(head.framing().unwrap(), 8).await;
        assert_eq!(body, Err(WireError::TooLarge));
    });
}

/// Guards against delivering an answer to the wrong client: a target sends a second answer on an idle connection, which
/// is then reused for another request without a check.
#[test]
fn bytes_on_an_idle_connection_make_it_unusable() {
    task::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let mut sender = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
        let (receiver, _) = listener.accept().await.unwrap();
        let reader = WireReader::new(receiver.clone());
        assert!(!reader.is_unusable());
        sender.write_all(b"HTTP/1.1 200 OK\r\n").await.unwrap();
        receiver.peek(&mut [0; 1]).await.unwrap();
        assert!(reader.is_unusable());
    });
}
