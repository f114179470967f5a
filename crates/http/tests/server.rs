//! The server under bad, slow and leaving callers.

#![allow(clippy::unwrap_used, reason = "a surprise fails the test")]

mod common;

use std::time::Duration;

use async_std::task::block_on;
use common::{eventually, start, text, within};
use notch_http::prelude::*;
use proptest::{prelude::*, test_runner::RngSeed};
use rstest::rstest;

const SOON: Duration = Duration::from_millis(50);

/// The head's limit is above the library's own: the smaller one holds.
fn small() -> ServerLimits {
    ServerLimits {
        body_bytes: 1_000,
        drain_bytes: 100,
        head_bytes: 16 << 10,
        ..ServerLimits::default()
    }
}

// Symptom: a caller's connection closes without a word, or the server dies or misreads a body.
// Sequence: a head arrives that is too large, malformed, not ASCII or ambiguous about its body.
// Cause: the library answers nothing, panics on some heads and takes the last of two lengths.
#[rstest]
#[case::garbage("GARBAGE\r\n\r\n".into(), 400)]
#[case::no_host("GET /hello HTTP/1.1\r\n\r\n".into(), 400)]
#[case::unknown_method(text("FETCH", "/hello", "", ""), 400)]
#[case::old_version("GET /hello HTTP/1.0\r\nHost: a\r\n\r\n".into(), 505)]
#[case::bad_url(text("GET", "hello", "", ""), 400)]
#[case::not_ascii(text("GET", "/hello", "X-Name: Jos\u{e9}\r\n", ""), 400)]
#[case::long_head(text("GET", "/hello", &format!("X-Long: {}\r\n", "a".repeat(9_000)), ""), 431)]
#[case::endless_line(format!("GET /{}", "a".repeat(20_000)), 431)]
#[case::many_headers(text("GET", "/hello", &"X-A: b\r\n".repeat(101), ""), 431)]
#[case::signed_length(text("POST", "/echo", "Content-Length: +3\r\n", "abc"), 400)]
#[case::two_lengths(
    text("POST", "/echo", "Content-Length: 3\r\nContent-Length: 4\r\n", "abcd"),
    400
)]
#[case::huge_length(text("POST", "/echo", "Content-Length: 99999999999999999999\r\n", ""), 400)]
#[case::length_and_coding(
    text("POST", "/echo", "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n", "abc"),
    400
)]
#[case::unknown_coding(text("POST", "/echo", "Transfer-Encoding: gzip\r\n", "abc"), 501)]
#[case::two_codings(
    text("POST", "/echo", "Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n", ""),
    501
)]
#[case::over_limit(text("POST", "/echo", "Content-Length: 1001\r\n", "abc"), 413)]
fn bad_heads_are_refused(#[case] head: String, #[case] status: u16) {
    block_on(async {
        let bench = start(small()).await;
        let answer = bench.connect().await.ask(&head).await;
        assert!(answer.starts_with(&format!("HTTP/1.1 {status} ")), "{answer}");
        assert!(answer.contains("\"ran\":\"no\""), "{answer}");
        let counts = bench.server.counts();
        assert_eq!(counts.heads_refused + counts.bodies_refused, 1);
        assert_eq!(counts.requests, 0);
        let close = "Connection: close\r\n";
        let next = bench.connect().await.ask(text("GET", "/hello", close, "")).await;
        assert!(next.ends_with("hello"), "{next}");
    });
}

// Symptom: a handler holds a body without bound, takes a cut one for whole, or waits for ever.
// Sequence: the caller sends too much in chunks, hangs up inside the body, or stops sending.
// Cause: the library has no body limit or time-out, and ends a short body as if it were whole.
#[rstest]
#[case::chunked_over_limit(
    format!("{}3e9\r\n{}\r\n0\r\n\r\n", chunked(), "x".repeat(1_001)), "TooLarge { limit: 1000 }"
)]
#[case::cut_length(text("POST", "/echo", "Content-Length: 10\r\n", "abc"), "Cut")]
#[case::cut_chunk(format!("{}5\r\nab", chunked()), "Cut")]
#[case::cut_between_chunks(format!("{}2\r\nab\r\n", chunked()), "Cut")]
#[case::bad_chunk(format!("{}zz\r\nab\r\n0\r\n\r\n", chunked()), "Malformed")]
fn broken_bodies_are_told(#[case] request: String, #[case] told: &str) {
    block_on(async {
        let bench = start(small()).await;
        let mut connection = bench.connect().await;
        connection.send(&request).await;
        connection.0.shutdown(std::net::Shutdown::Write).unwrap();
        assert_eq!(bench.event().await, told);
    });
}

fn chunked() -> String {
    text("POST", "/echo", "Transfer-Encoding: chunked\r\n", "")
}

// Symptom: connections pile up. Sequence: callers connect and then send nothing, half a head or
// half a body. Cause: nothing ends a wait that only the caller could end.
#[test]
fn slow_callers_are_given_up() {
    block_on(async {
        let limits =
            ServerLimits { idle_timeout: SOON, head_timeout: SOON, body_timeout: SOON, ..small() };
        let bench = start(limits).await;
        assert_eq!(bench.connect().await.rest().await, "");
        let slow_head = bench.connect().await.ask("GET /hello HT").await;
        assert!(slow_head.starts_with("HTTP/1.1 408 "), "{slow_head}");
        let mut connection = bench.connect().await;
        connection.send(text("POST", "/echo", "Content-Length: 10\r\n", "abc")).await;
        assert_eq!(bench.event().await, "TimedOut");
        assert!(connection.rest().await.starts_with("HTTP/1.1 413 "));
    });
}

// Symptom: the next request on a connection is garbled or lost. Sequence: the handler leaves a
// body unread, or the caller sends the next request early. Cause: the library's reader takes
// bytes beyond the request and throws them away.
#[test]
fn next_request_starts_at_its_own_bytes() {
    block_on(async {
        let bench = start(small()).await;
        let ignored = text("POST", "/ignore", "Content-Length: 5\r\n", "abcde");
        let last = text("GET", "/hello", "Connection: close\r\n", "");
        let answer = bench.connect().await.ask(format!("{ignored}\r\n{ignored}{last}")).await;
        assert_eq!(answer.matches("ignored").count(), 2, "{answer}");
        assert!(answer.ends_with("hello"), "{answer}");

        // More unread than the server is ready to drain: it closes and says so.
        let body = "x".repeat(900);
        let large = text("POST", "/ignore", "Content-Length: 900\r\n", &body);
        let answer = bench.connect().await.ask(format!("{large}{last}")).await;
        assert!(answer.contains("connection: close") && answer.ends_with("ignored"), "{answer}");
    });
}

// Symptom: a body is taken for the next request. Sequence: the caller waits for `100 Continue`
// and the handler answers without reading. Cause: nobody can know whether the body will come.
#[test]
fn expect_continue_is_answered_or_closed() {
    block_on(async {
        let bench = start(small()).await;
        let headers = "Expect: 100-continue\r\nContent-Length: 5\r\n";
        let mut connection = bench.connect().await;
        connection.send(text("POST", "/echo", headers, "")).await;
        connection.until("100 Continue\r\n\r\n").await;
        connection.send("abcde").await;
        assert!(connection.until("abcde").await.starts_with("HTTP/1.1 200 "));
        let unread = connection.ask(text("POST", "/ignore", headers, "")).await;
        assert!(unread.contains("connection: close") && unread.ends_with("ignored"), "{unread}");
    });
}

// Symptom: the last bytes of a chunked body hang. Sequence: the final line break comes in two
// packets. Cause: the library's decoder asks to be polled again without waiting for the socket.
#[test]
fn split_end_of_chunked_body_is_read() {
    block_on(async {
        let bench = start(small()).await;
        let mut connection = bench.connect().await;
        connection.send(format!("{}2\r\nab\r\n0\r\n\r", chunked())).await;
        async_std::task::sleep(SOON).await;
        connection.send("\n").await;
        assert!(connection.rest().await.ends_with("ab"));
    });
}

// Symptom: tokens reach the caller in bursts. Sequence: a handler streams parts with pauses.
// Cause: a part is held back until the next one. The second part here is sent only after the
// caller has seen the first.
#[test]
fn each_part_of_a_stream_leaves_at_once() {
    block_on(async {
        let bench = start(small()).await;
        let mut connection = bench.connect().await;
        connection.send(text("GET", "/stream", "", "")).await;
        connection.until("first;").await;
        bench.release.send(()).await.unwrap();
        connection.until("second;\r\n0\r\n\r\n").await;
    });
}

// Symptom: work goes on for nobody. Sequence: the caller hangs up while its handler runs, while
// its answer has nothing to send, or stops reading an endless answer. Cause: the library looks
// at the socket only when it writes, and a write to a full socket waits for ever.
#[test]
fn leaving_and_stopped_callers_are_noticed() {
    block_on(async {
        let bench = start(ServerLimits { write_timeout: SOON, ..small() }).await;
        let mut waiting = bench.connect().await;
        waiting.send(text("POST", "/wait", "", "")).await;
        assert_eq!(bench.event().await, "waiting");
        waiting.close();
        assert_eq!(bench.event().await, "dropped");

        let mut streaming = bench.connect().await;
        streaming.send(text("GET", "/stream", "", "")).await;
        streaming.until("first;").await;
        streaming.close();
        assert_eq!(bench.event().await, "gone");
        eventually(|| bench.server.counts().peers_gone == 2).await;

        let mut stopped = bench.connect().await;
        stopped.send(text("GET", "/flood", "", "")).await;
        assert_eq!(bench.event().await, "gone");
        eventually(|| bench.server.counts().slow_readers == 1).await;
    });
}

// Symptom: one request takes the server, or another caller's answer, with it. Sequence: a handler
// panics, never ends, breaks its own framing or forges headers. Cause: the library passes a
// panic on, has no limit on a request's time and writes headers and short bodies as they are.
#[test]
fn faulty_handlers_cost_their_own_request_only() {
    block_on(async {
        let bench = start(ServerLimits { request_timeout: SOON, ..small() }).await;
        let panicked = bench.connect().await.ask(text("GET", "/panic", "", "")).await;
        assert!(panicked.starts_with("HTTP/1.1 500 "), "{panicked}");
        assert!(panicked.contains("\"ran\":\"unknown\""), "{panicked}");
        let endless = bench.connect().await.ask(text("GET", "/wait", "", "")).await;
        assert!(endless.starts_with("HTTP/1.1 504 "), "{endless}");
        let short = bench.connect().await.ask(text("GET", "/short", "", "")).await;
        assert!(short.ends_with("\r\n\r\nabc"), "{short}");
        let forged = bench.connect().await.ask(text("GET", "/forged", "", "")).await;
        assert!(forged.starts_with("HTTP/1.1 500 ") && !forged.contains("x-forged"), "{forged}");
        let counts = bench.server.counts();
        assert_eq!((counts.panics, counts.slow_requests, counts.answers_cut), (1, 1, 1));
        let client = HttpClient::default();
        let url = Url::parse(&bench.url("/hello")).unwrap();
        assert!(client.send(Request::new(Method::Get, url)).await.is_ok());
    });
}

#[test]
fn connections_are_bounded() {
    block_on(async {
        let bench = start(ServerLimits { max_connections: 1, ..small() }).await;
        let mut first = bench.connect().await;
        first.send(text("GET", "/hello", "", "")).await;
        first.until("hello").await;
        let refused = bench.connect().await.rest().await;
        assert!(refused.starts_with("HTTP/1.1 503 "), "{refused}");
        assert_eq!(bench.server.counts().connections_refused, 1);
        first.send(text("GET", "/hello", "", "")).await;
        first.until("hello").await;
    });
}

// Symptom: a planned stop cuts answers. Sequence: stop while one connection is idle and another
// in mid-answer. Cause: the stop does not tell the two apart.
#[test]
fn stop_ends_running_answers_and_idle_connections() {
    block_on(async {
        let bench = start(small()).await;
        let address = bench.server.address();
        let mut idle = bench.connect().await;
        idle.send(text("GET", "/hello", "", "")).await;
        idle.until("hello").await;
        let mut running = bench.connect().await;
        running.send(text("GET", "/stream", "", "")).await;
        running.until("first;").await;
        let stopping = async_std::task::spawn(bench.server.stop(Duration::from_secs(3_600)));
        assert_eq!(idle.rest().await, "");
        bench.release.send(()).await.unwrap();
        running.until("second;\r\n0\r\n\r\n").await;
        drop(running);
        within(stopping).await;
        assert!(async_std::net::TcpStream::connect(address).await.is_err());
    });
}

// Symptom: the grace is over and the process does not end. Cause: a request that never ends.
#[test]
fn stop_cuts_what_outlives_the_grace() {
    block_on(async {
        let bench = start(small()).await;
        let mut waiting = bench.connect().await;
        waiting.send(text("GET", "/wait", "", "")).await;
        assert_eq!(within(bench.events.recv()).await.unwrap(), "waiting");
        within(bench.server.stop(SOON)).await;
        assert_eq!(within(bench.events.recv()).await.unwrap(), "dropped");
        assert_eq!(waiting.rest().await, "");
    });
}

fn fixed(seed: u64, cases: u32) -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(seed),
        cases,
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(fixed(31, 48))]

    /// Whatever the fragments and whoever reads the bodies, a connection gives the answers that
    /// the list of requests gives when each is asked alone.
    #[test]
    fn pipelined_requests_match_one_by_one(
        bodies in prop::collection::vec(("[a-z]{0,90}", any::<bool>()), 1..8),
        cuts in prop::collection::vec(1_usize..200, 0..12),
    ) {
        let mut sent = String::new();
        let mut expected = Vec::new();
        for (body, echo) in &bodies {
            let path = if *echo { "/echo" } else { "/ignore" };
            let length = format!("Content-Length: {}\r\n", body.len());
            sent.push_str(&text("POST", path, &length, body));
            expected.push(if *echo { body.clone() } else { "ignored".to_owned() });
        }
        sent.push_str(&text("GET", "/hello", "Connection: close\r\n", ""));
        expected.push("hello".to_owned());
        let answer = block_on(async {
            let bench = start(small()).await;
            let mut connection = bench.connect().await;
            connection.0.set_nodelay(true).unwrap();
            let mut rest = sent.as_str();
            for cut in cuts {
                let (part, after) = rest.split_at(cut.min(rest.len()));
                connection.send(part).await;
                async_std::task::yield_now().await;
                rest = after;
            }
            connection.ask(rest).await
        });
        let heads = answer.split("HTTP/1.1 200 OK\r\n").skip(1);
        let got = heads.map(|part| part.split_once("\r\n\r\n").unwrap().1.to_owned());
        prop_assert_eq!(got.collect::<Vec<_>>(), expected);
    }

    /// No bytes kill the server or keep a connection for good.
    #[test]
    fn any_bytes_end(bytes in prop::collection::vec(any::<u8>(), 0..600), as_head in any::<bool>()) {
        block_on(async {
            let bench = start(small()).await;
            let mut connection = bench.connect().await;
            if as_head {
                connection.send("POST /echo HTTP/1.1\r\nHost: a\r\n").await;
            }
            connection.send(&bytes).await;
            connection.0.shutdown(std::net::Shutdown::Write).unwrap();
            connection.rest().await;
            let mut next = bench.connect().await;
            next.send(text("GET", "/hello", "", "")).await;
            next.until("hello").await;
        });
    }
}
