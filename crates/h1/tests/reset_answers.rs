//! Peers that answer before they have read the request, and reset the connection while it is still being sent.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::{net::Shutdown, time::Duration};

use async_std::{
    io::WriteExt,
    net::{TcpListener, TcpStream},
    task,
};
use notch_h1::prelude::*;
use rstest::rstest;

/// Bytes of a request that no socket buffers hold: Linux buffers 4 MB for sending at most.
const UPLOAD_BYTES: usize = 6 << 20;
/// Time in which the reader receives what was sent: a reset drops what is still on the way.
const TRANSIT_TIME: Duration = Duration::from_millis(50);

/// How a peer ends a connection whose bytes it doesn't read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PeerEnd {
    /// Resets it.
    Reset,
    /// Ends its side first.
    Closed,
}

/// A reader of a connection on which an answer with `rest` behind its status line arrives, and whose peer ends it unread.
async fn answered_early(rest: &str, end: PeerEnd) -> WireReader {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut sender = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    let reader = WireReader::new(listener.accept().await.unwrap().0);
    sender.write_all(format!("HTTP/1.1 200 OK\r\n{rest}").as_bytes()).await.unwrap();
    task::spawn(async move {
        task::sleep(TRANSIT_TIME).await;
        if end == PeerEnd::Closed {
            sender.shutdown(Shutdown::Write).unwrap();
            task::sleep(TRANSIT_TIME).await;
        }
        // A socket that is dropped with unread bytes resets its connection.
        drop(sender);
    });
    reader
}

/// Guards against a part of an answer that counts as the whole one: the write of a request takes the reset from the socket,
/// and the read behind it sees a plain end of the connection.
#[rstest]
#[case::without_a_length("\r\nabc", PeerEnd::Reset, None)]
#[case::ended_without_a_length("\r\nabc", PeerEnd::Closed, Some("abc"))]
#[case::part_of_a_length("Content-Length: 10\r\n\r\nabc", PeerEnd::Reset, None)]
#[case::ended_part_of_a_length("Content-Length: 10\r\n\r\nabc", PeerEnd::Closed, None)]
#[case::whole_length("Content-Length: 3\r\n\r\nabc", PeerEnd::Reset, Some("abc"))]
#[case::part_of_chunks("Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", PeerEnd::Reset, None)]
#[case::whole_chunks(
    "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
    PeerEnd::Reset,
    Some("abc")
)]
fn a_body_is_complete_only_if_it_ended_before_a_reset(
    #[case] rest: &str,
    #[case] end: PeerEnd,
    #[case] expected: Option<&str>,
) {
    task::block_on(async {
        let mut reader = answered_early(rest, end).await;
        assert!(reader.send(&vec![0; UPLOAD_BYTES]).await.is_err());
        let head = reader.response_head(1_000).await.unwrap();
        let body = reader.whole_body(head.framing().unwrap(), 100).await.ok();
        assert_eq!(body.as_deref(), expected.map(str::as_bytes));
    });
}
