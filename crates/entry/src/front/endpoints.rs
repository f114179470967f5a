//! Endpoints for the platform and for operators: readiness and metrics.

use std::{sync::Arc, time::Duration};

use async_std::{future::timeout, net::TcpStream};
use notch_h1::prelude::*;
use notch_platform_wire::prelude::ClientCall;

use crate::node::EntryNode;

/// Maximum size of a request head.
const MAX_HEAD_BYTES: usize = 8 << 10;
/// How long a connection may stay idle.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Serves the readiness endpoint: 200 while this VM should receive new connections, else 503.
pub async fn serve_ready(node: Arc<EntryNode>, stream: TcpStream) {
    serve_endpoint(stream, |head| match ClientCall::decode(head) {
        ClientCall::Ready if node.is_ready() => (200, Vec::new()),
        ClientCall::Ready => (503, Vec::new()),
        _ => (404, Vec::new()),
    })
    .await;
}

/// Serves the metrics endpoint.
pub async fn serve_metrics(node: Arc<EntryNode>, stream: TcpStream) {
    serve_endpoint(stream, |head| match head.path() {
        "/metrics" => (200, node.metrics.render().into_bytes()),
        _ => (404, Vec::new()),
    })
    .await;
}

async fn serve_endpoint(stream: TcpStream, respond: impl Fn(&RequestHead) -> (u16, Vec<u8>)) {
    let mut reader = WireReader::new(stream.clone());
    loop {
        let Ok(Ok(Some(head))) = timeout(IDLE_TIMEOUT, reader.request_head(MAX_HEAD_BYTES)).await
        else {
            return;
        };
        let (status, body) = respond(&head);
        let bytes = MessageWriter::response(status).with_body(&body);
        if write_all(&stream, &bytes).await.is_err() || !head.keep_alive {
            return;
        }
    }
}
