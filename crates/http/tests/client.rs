//! The client under peers that refuse, close, cut, stall or speak badly.

#![allow(clippy::unwrap_used, reason = "a surprise fails the test")]

mod common;

use std::time::Duration;

use async_std::{
    io::WriteExt,
    net::TcpListener,
    task::{self, block_on},
};
use common::{RawConnection, start, within};
use notch_http::prelude::*;
use rstest::rstest;

const SOON: Duration = Duration::from_millis(50);

fn request(method: Method, url: &str) -> Request {
    Request::new(method, Url::parse(url).unwrap())
}

async fn body_of(response: &mut Response) -> Result<Vec<u8>, BodyError> {
    within(read_body(response.take_body(), 1 << 20)).await
}

/// What a scripted peer does with the next request's head, once it has read it.
#[derive(Debug, Clone, Copy)]
enum Act {
    /// Answers with these bytes and goes on reading from the same connection.
    Answer(&'static str),
    /// Answers with these bytes and closes.
    AnswerAndClose(&'static str),
    /// Waits for the client to give up.
    Stall,
}

const GOOD: &str = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood";

/// A peer that follows `acts` over as many connections as it takes; returns its URL.
async fn scripted(acts: Vec<Act>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let url = format!("http://{}/", listener.local_addr().unwrap());
    task::spawn(async move {
        let mut acts = acts.into_iter().peekable();
        while acts.peek().is_some() {
            let mut connection = RawConnection(listener.accept().await.unwrap().0);
            let mut open = true;
            while let Some(act) = acts.next_if(|_| open) {
                connection.until("\r\n\r\n").await;
                open = matches!(act, Act::Answer(_));
                match act {
                    Act::Answer(text) | Act::AnswerAndClose(text) => {
                        connection.0.write_all(text.as_bytes()).await.unwrap();
                    }
                    Act::Stall => drop(connection.rest().await),
                }
            }
        }
    });
    url
}

/// Guards against a head that is cut off and taken for the whole head of an answer with an empty body.
#[test]
fn an_answer_whose_head_is_cut_off_is_lost() {
    block_on(async {
        let head = &GOOD[..GOOD.len() - "good".len()];
        for cut in 0..head.len() {
            let url = scripted(vec![Act::AnswerAndClose(&head[..cut])]).await;
            let sent = within(HttpClient::default().send(request(Method::Post, &url))).await;
            assert!(matches!(sent, Err(ClientError::Lost(_))), "cut after {cut} bytes: {sent:?}");
        }
    });
}

#[test]
fn connections_are_kept_and_answers_stay_apart() {
    block_on(async {
        let bench = start(ServerLimits::default()).await;
        let client = HttpClient::default();
        for number in 0..20 {
            let mut ask = request(Method::Post, &bench.url("/echo"));
            ask.set_body(format!("body {number}"));
            let mut answer = client.send(ask).await.unwrap();
            assert_eq!(body_of(&mut answer).await.unwrap(), format!("body {number}").as_bytes());
        }
        let counts = client.counts();
        assert_eq!((counts.connected, counts.reused, counts.answers), (1, 19, 20));
        assert_eq!(bench.server.counts().connections, 1);

        // A body dropped before its end takes its connection with it.
        drop(client.send(request(Method::Get, &bench.url("/flood"))).await.unwrap());
        assert_eq!(bench.event().await, "gone");
        assert!(client.send(request(Method::Get, &bench.url("/hello"))).await.is_ok());
        assert_eq!(client.counts().connected, 2);
    });
}

// Symptom: a request fails, or runs twice, after a pause. Sequence: the peer closes a kept
// connection just as the next request is sent on it. Cause: nobody can tell whether the request
// was read; only one that may run twice may be sent again, and a conditional write may not.
#[rstest]
#[case::get(Method::Get, None, false, true)]
#[case::put(Method::Put, None, false, true)]
#[case::conditional_put(Method::Put, Some(("If-Match", "7")), false, false)]
#[case::creating_put(Method::Put, Some(("If-None-Match", "*")), false, false)]
#[case::post(Method::Post, None, false, false)]
#[case::repeatable_post(Method::Post, None, true, true)]
fn stale_connection_is_replaced_where_safe(
    #[case] method: Method,
    #[case] header: Option<(&str, &str)>,
    #[case] repeatable: bool,
    #[case] sent_again: bool,
) {
    block_on(async {
        let acts = vec![Act::Answer(GOOD), Act::AnswerAndClose(""), Act::Answer(GOOD)];
        let url = scripted(acts).await;
        let client = HttpClient::default();
        let mut first = client.send(request(Method::Get, &url)).await.unwrap();
        assert_eq!(body_of(&mut first).await.unwrap(), b"good");
        let mut ask = request(method, &url);
        ask.set_body(Body::empty());
        if let Some((name, value)) = header {
            ask.insert_header(name, value);
        }
        let answer =
            if repeatable { client.send_repeatable(ask).await } else { client.send(ask).await };
        if sent_again {
            assert_eq!(body_of(&mut answer.unwrap()).await.unwrap(), b"good");
        } else {
            assert_eq!(answer.unwrap_err(), ClientError::Lost(LostCause::Closed));
        }
        assert_eq!(client.counts().stale_retried, u64::from(sent_again));
    });
}

// Symptom: a write is told as never sent although it took effect.
// Sequence: the peer runs a PUT that came on a kept connection, closes without an answer and
// leaves; the client sends it again and is refused.
// Cause: the error of the second try alone was told.
#[test]
fn a_first_try_that_may_have_run_is_never_told_as_not_sent() {
    block_on(async {
        let url = scripted(vec![Act::Answer(GOOD), Act::AnswerAndClose("")]).await;
        let client = HttpClient::default();
        let mut first = client.send(request(Method::Get, &url)).await.unwrap();
        assert_eq!(body_of(&mut first).await.unwrap(), b"good");
        let mut ask = request(Method::Put, &url);
        ask.set_body("value");
        let answer = client.send(ask).await;
        assert_eq!(answer.unwrap_err(), ClientError::Lost(LostCause::Closed));
    });
}

// Symptom: a request that did not run is reported as doubtful, or one that may have run as not
// run. Sequence: each way in which a peer fails to answer. Cause: the library has one error for
// all of them and takes an answer without framing for an empty one.
#[rstest]
#[case::closed(Act::AnswerAndClose(""), LostCause::Closed)]
#[case::half_a_head(Act::AnswerAndClose("HTTP/1.1 200 OK\r\nCont"), LostCause::Closed)]
#[case::garbage(Act::Answer("SSH-2.0-x\r\n\r\n"), LostCause::Malformed)]
#[case::no_framing(Act::AnswerAndClose("HTTP/1.1 200 OK\r\n\r\nbody"), LostCause::Malformed)]
#[case::not_ascii(
    Act::Answer("HTTP/1.1 200 OK\r\nX-A: \u{e9}\r\nContent-Length: 0\r\n\r\n"),
    LostCause::Malformed
)]
#[case::two_lengths(
    Act::Answer("HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab"),
    LostCause::Malformed
)]
#[case::gzip(
    Act::Answer("HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nab"),
    LostCause::Malformed
)]
#[case::status_000(
    Act::Answer("HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n"),
    LostCause::Malformed
)]
#[case::status_099(
    Act::Answer("HTTP/1.1 099 X\r\nContent-Length: 0\r\n\r\n"),
    LostCause::Malformed
)]
#[case::status_101(
    Act::Answer("HTTP/1.1 101 X\r\nContent-Length: 0\r\n\r\n"),
    LostCause::Malformed
)]
#[case::status_600(
    Act::Answer("HTTP/1.1 600 X\r\nContent-Length: 0\r\n\r\n"),
    LostCause::Malformed
)]
#[case::status_999(
    Act::Answer("HTTP/1.1 999 X\r\nContent-Length: 0\r\n\r\n"),
    LostCause::Malformed
)]
#[case::blank_in_a_name(
    Act::Answer("HTTP/1.1 200 OK\r\nX Y: z\r\nContent-Length: 0\r\n\r\n"),
    LostCause::Malformed
)]
#[case::blank_before_a_name(
    Act::Answer("HTTP/1.1 200 OK\r\n X: z\r\nContent-Length: 0\r\n\r\n"),
    LostCause::Malformed
)]
#[case::blank_after_a_name(
    Act::Answer("HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\nContent-Length: 0\r\n\r\n"),
    LostCause::Malformed
)]
#[case::control_byte_in_a_name(
    Act::Answer("HTTP/1.1 200 OK\r\nX\0Y: z\r\nContent-Length: 0\r\n\r\n"),
    LostCause::Malformed
)]
#[case::control_byte_in_a_long_name(
    Act::Answer(
        "HTTP/1.1 200 OK\r\nX-Of-More-Than-Sixteen-Bytes\u{1}: z\r\nContent-Length: 0\r\n\r\n"
    ),
    LostCause::Malformed
)]
#[case::stalled(Act::Stall, LostCause::TimedOut)]
fn lost_answers_are_told(#[case] act: Act, #[case] cause: LostCause) {
    block_on(async {
        let url = scripted(vec![act]).await;
        let settings = ClientSettings { response_timeout: SOON * 4, ..ClientSettings::default() };
        let client = HttpClient::new(settings);
        let answer = within(client.send(request(Method::Post, &url))).await;
        assert_eq!(answer.unwrap_err(), ClientError::Lost(cause));
        assert_eq!(client.counts().lost, 1);
    });
}

#[test]
fn refused_connection_is_not_sent() {
    block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let url = format!("http://{}/", listener.local_addr().unwrap());
        drop(listener);
        let client = HttpClient::default();
        let answer = client.send(request(Method::Post, &url)).await;
        assert_eq!(answer.unwrap_err(), ClientError::NotSent(SendFailure::Refused));
        let answer = client.send(request(Method::Get, "https://127.0.0.1/")).await;
        assert_eq!(answer.unwrap_err(), ClientError::NotSent(SendFailure::BadAddress));
    });
}

// Symptom: half an answer is taken for a whole one, or its reader waits for ever. Sequence: the
// peer closes or falls silent inside the body. Cause: the library ends a body of known length
// with the connection and waits without limit.
#[rstest]
#[case::cut_length(
    Act::AnswerAndClose("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab"),
    Err(BodyError::Cut)
)]
#[case::cut_chunks(
    Act::AnswerAndClose("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n"),
    Err(BodyError::Cut)
)]
#[case::silent(
    Act::Answer("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab"),
    Err(BodyError::TimedOut)
)]
#[case::whole_chunks(
    Act::Answer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n"),
    Ok(b"ab".to_vec())
)]
fn answers_are_whole_or_an_error(#[case] act: Act, #[case] expected: Result<Vec<u8>, BodyError>) {
    block_on(async {
        let url = scripted(vec![act, Act::Stall]).await;
        let settings = ClientSettings { body_timeout: SOON, ..ClientSettings::default() };
        let client = HttpClient::new(settings);
        let mut answer = within(client.send(request(Method::Get, &url))).await.unwrap();
        assert_eq!(body_of(&mut answer).await, expected);
    });
}

// Symptom: the last bytes of an answer hang. Sequence: its final line break comes in two packets.
// Cause: the library's decoder asks to be polled again without waiting for the socket.
#[test]
fn split_end_of_chunked_answer_is_read() {
    block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let url = format!("http://{}/", listener.local_addr().unwrap());
        task::spawn(async move {
            let mut connection = RawConnection(listener.accept().await.unwrap().0);
            connection.until("\r\n\r\n").await;
            let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
            connection.send(format!("{head}2\r\nab\r\n0\r\n\r")).await;
            task::sleep(SOON).await;
            connection.send("\n").await;
            connection.rest().await;
        });
        let mut answer = HttpClient::default().send(request(Method::Get, &url)).await.unwrap();
        assert_eq!(body_of(&mut answer).await.unwrap(), b"ab");
    });
}

// Symptom: "connection reset" in place of the reason. Sequence: the server refuses a large upload
// by its head, while the client is still sending. Cause: the client reads only after it has
// written everything, and a socket closed with unread bytes resets its peer.
#[rstest]
#[case::announced(Some(32 << 20))]
#[case::chunked(None)]
fn early_refusal_of_an_upload_is_seen(#[case] length: Option<usize>) {
    block_on(async {
        let limits = ServerLimits { body_bytes: 1 << 16, ..ServerLimits::default() };
        let bench = start(limits).await;
        let mut ask = request(Method::Post, &bench.url("/echo"));
        let bytes = async_std::io::Cursor::new(vec![b'x'; 32 << 20]);
        ask.set_body(Body::from_reader(bytes, length));
        let answer = within(HttpClient::default().send(ask)).await.unwrap();
        assert_eq!(answer.status(), StatusCode::PayloadTooLarge);
    });
}

/// Guards against a part of an answer that counts as the whole one: the write of the upload takes the reset from the socket,
/// which the read behind it doesn't see.
#[rstest]
#[case::without_a_length("\r\nabc")]
#[case::with_a_length("Content-Length: 10\r\n\r\nabc")]
#[case::in_chunks("Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n")]
fn an_answer_that_is_reset_during_the_upload_is_not_whole(#[case] rest: &str) {
    block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let url = format!("http://{}/", listener.local_addr().unwrap());
        let answer = format!("HTTP/1.1 200 OK\r\n{rest}");
        task::spawn(async move {
            let mut connection = RawConnection(listener.accept().await.unwrap().0);
            connection.until("\r\n\r\n").await;
            connection.send(answer).await;
            task::sleep(SOON).await;
            // A socket that is dropped with unread bytes resets its connection.
        });
        let mut ask = request(Method::Post, &url);
        ask.set_body(vec![b'x'; 32 << 20]);
        if let Ok(mut answer) = within(HttpClient::default().send(ask)).await {
            assert_eq!(body_of(&mut answer).await, Err(BodyError::Cut));
        }
    });
}

// Symptom: a server takes half an upload for a whole one. Sequence: the file being sent can't be
// read to its end. Cause: the body is shorter than announced, or its end mark is written anyway.
#[rstest]
#[case::short_large(short_body(5 << 20), ClientError::Lost(LostCause::BodyUnreadable))]
#[case::short_small(short_body(10), ClientError::NotSent(SendFailure::BodyUnreadable))]
#[case::broken(broken_body(), ClientError::Lost(LostCause::BodyUnreadable))]
fn broken_upload_is_not_whole(#[case] body: Body, #[case] expected: ClientError) {
    block_on(async {
        let bench = start(ServerLimits::default()).await;
        let mut ask = request(Method::Post, &bench.url("/echo"));
        ask.set_body(body);
        let answer = within(HttpClient::default().send(ask)).await;
        assert_eq!(answer.unwrap_err(), expected);
        if matches!(expected, ClientError::Lost(_)) {
            assert_eq!(bench.event().await, "Cut");
        }
    });
}

fn short_body(announced: usize) -> Body {
    Body::from_reader(async_std::io::Cursor::new([1; 3]), Some(announced))
}

fn broken_body() -> Body {
    let (sender, body) = streamed_body();
    task::spawn(async move { sender.send(b"part".to_vec()).await });
    body
}
