//! Responses whose head is none: without a valid status, or with a field name that is no token.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use async_std::{
    io::WriteExt,
    net::{TcpListener, TcpStream},
    task,
};
use notch_h1::prelude::*;
use rstest::rstest;

/// A whole response.
const WHOLE: &str = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

/// The head of the response that `bytes` begin with, on a connection that is then closed.
async fn head_of(bytes: String) -> Result<ResponseHead, WireError> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut sender = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    let mut reader = WireReader::new(listener.accept().await.unwrap().0);
    sender.write_all(bytes.as_bytes()).await.unwrap();
    drop(sender);
    reader.response_head(1_000).await
}

/// Guards against a response without a status: its head was taken for an interim one, and its body for the next head.
#[rstest]
fn a_status_outside_its_range_is_malformed(
    #[values("000", "001", "099", "101", "600", "999")] status: &str,
    #[values("", "HTTP/1.1 100 Continue\r\n\r\n")] before: &str,
) {
    let length = WHOLE.len();
    let bytes = format!("{before}HTTP/1.1 {status} X\r\nContent-Length: {length}\r\n\r\n{WHOLE}");
    assert_eq!(task::block_on(head_of(bytes)), Err(WireError::Malformed));
}

/// Guards against a field whose name is no token: another reader may skip it, or read a length from it.
#[rstest]
fn a_field_name_that_is_no_token_is_malformed(
    #[values(
        "X Y: z",
        "X : z",
        "X\t: z",
        " X: z",
        ": z",
        "X\0: z",
        "X\u{1f}Y: z",
        "X\u{7f}: z",
        "X\rY: z",
        "Content-Length : 3",
        "Transfer-Encoding\u{1}: chunked",
        "X-Of-More-Than-Sixteen-Bytes\u{1}: z"
    )]
    line: &str,
    #[values("200 OK", "100 Continue")] status: &str,
) {
    let bytes = format!("HTTP/1.1 {status}\r\nA: b\r\n{line}\r\n\r\n{WHOLE}");
    assert_eq!(task::block_on(head_of(bytes)), Err(WireError::Malformed));
}
