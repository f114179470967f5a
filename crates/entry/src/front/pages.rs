//! Pages for the platform and for operators: readiness and metrics.

use std::{sync::Arc, time::Duration};

use async_std::{future::timeout, net::TcpStream};
use notch_h1::prelude::*;
use notch_platform_wire::prelude::ClientCall;

use crate::node::EntryNode;

/// Bytes of a request for a page, at most.
const HEAD_BYTES: usize = 8 << 10;
/// How long a connection for pages may stay idle.
const IDLE: Duration = Duration::from_secs(30);

/// Serves the readiness page: 200 while this VM should take new connections.
pub async fn serve_ready(node: Arc<EntryNode>, stream: TcpStream) {
    serve_pages(stream, |head| match ClientCall::decode(head) {
        ClientCall::Ready if node.is_ready() => (200, Vec::new()),
        ClientCall::Ready => (503, Vec::new()),
        _ => (404, Vec::new()),
    })
    .await;
}

/// Serves the metrics.
pub async fn serve_metrics(node: Arc<EntryNode>, stream: TcpStream) {
    serve_pages(stream, |head| match head.path() {
        "/metrics" => (200, node.metrics.render().into_bytes()),
        _ => (404, Vec::new()),
    })
    .await;
}

async fn serve_pages(stream: TcpStream, page: impl Fn(&RequestHead) -> (u16, Vec<u8>)) {
    let mut reader = WireReader::new(stream.clone());
    loop {
        let Ok(Ok(Some(head))) = timeout(IDLE, reader.request_head(HEAD_BYTES)).await else {
            return;
        };
        let (status, body) = page(&head);
        let bytes = MessageWriter::response(status).with_body(&body);
        if write_all(&stream, &bytes).await.is_err() || !head.keep_alive {
            return;
        }
    }
}
