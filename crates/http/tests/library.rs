//! What the bare library does where this crate puts something around it. A failure here means
//! that the library has changed: the guard that goes with the line may be dropped.

#![allow(clippy::unwrap_used, reason = "a surprise fails the test")]

mod common;

use std::net::Shutdown;

use async_std::{
    net::{TcpListener, TcpStream},
    task::{self, block_on},
};
use common::{RawConnection, text};
use notch_http::http_types::{Method, Request, Response, Url};
use rstest::rstest;

/// What the library's server sends before it closes. Its handler echoes the body's length.
async fn served(sent: &str) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let socket = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    let mut connection = RawConnection(socket);
    let (socket, _) = listener.accept().await.unwrap();
    task::spawn(async_h1::accept(socket, |mut request: Request| async move {
        let mut response = Response::new(200);
        let body = request.body_bytes().await?;
        response.set_body(format!("{} got {}", request.url().path(), body.len()));
        Ok(response)
    }));
    connection.send(sent).await;
    connection.0.shutdown(Shutdown::Write).unwrap();
    connection.rest().await
}

#[rstest]
#[case::bad_head_gets_no_answer("GARBAGE\r\n\r\n".into(), "")]
#[case::not_ascii_panics(text("GET", "/", "X-A: \u{e9}\r\n", ""), "")]
#[case::signed_length_is_taken(text("POST", "/", "Content-Length: +3\r\n", "abc"), "got 3")]
#[case::last_length_wins(
    text("POST", "/", "Content-Length: 9\r\nContent-Length: 3\r\n", "abc"),
    "got 3"
)]
#[case::unknown_coding_has_no_body(
    text("POST", "/", "Transfer-Encoding: gzip\r\n", "abc"),
    "got 0"
)]
#[case::cut_body_is_whole(text("POST", "/", "Content-Length: 9\r\n", "abc"), "got 3")]
#[case::pipelined_head_is_lost(
    format!("{}{}", text("GET", "/one", "", ""), text("GET", "/two", "", "")), "/one got 0"
)]
fn faults_of_the_server(#[case] sent: String, #[case] end: &str) {
    let answer = block_on(served(&sent));
    assert!(answer.ends_with(end) && (!end.is_empty() || answer.is_empty()), "{answer}");
}

/// The body that the library's client sees in `answer`.
async fn received(answer: &'static str) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let url = Url::parse(&format!("http://{}/", listener.local_addr().unwrap())).unwrap();
    let socket = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    task::spawn(async move {
        let mut connection = RawConnection(listener.accept().await.unwrap().0);
        connection.until("\r\n\r\n").await;
        connection.send(answer).await;
    });
    let mut response = async_h1::connect(socket, Request::new(Method::Get, url)).await.unwrap();
    let forged = response.header("date").is_some_and(|date| date.as_str().contains("\r\n"));
    format!("{} {}", response.body_string().await.unwrap(), if forged { "forged" } else { "" })
}

#[rstest]
#[case::cut_body_is_whole("HTTP/1.1 200 OK\r\nDate: x\r\nContent-Length: 9\r\n\r\nab", "ab ")]
#[case::body_without_framing_is_empty("HTTP/1.1 200 OK\r\nDate: x\r\n\r\nab", " ")]
#[case::date_breaks_lines("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", "ab forged")]
fn faults_of_the_client(#[case] answer: &'static str, #[case] seen: &str) {
    assert_eq!(block_on(received(answer)), seen);
}
