//! Dials a link and redials it whenever it is lost.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use async_std::{future::timeout, net::TcpStream, task};
use log::debug;
use notch_types::prelude::*;
use tokio_tungstenite::client_async_with_config;
use tokio_util::compat::FuturesAsyncReadCompatExt;

use crate::{
    connection,
    error::LinkError,
    event::{LinkPeer, LinkSink},
    handshake,
    settings::LinkSettings,
};

/// Keeps one link to one address connected until it is stopped or dropped.
#[derive(Debug)]
pub struct LinkDialer {
    dial_task: Option<task::JoinHandle<()>>,
}

impl LinkDialer {
    /// Starts dialling `address`, at which the VM `expected` is registered. A different VM that
    /// answers there is refused: addresses are reused, and its messages would be attributed to the
    /// former VM.
    pub fn start(
        address: SocketAddr,
        expected: &VmName,
        settings: LinkSettings,
        sink: LinkSink,
    ) -> Self {
        let expected = expected.clone();
        let dial_task = task::spawn(dial_loop(address, expected, Arc::new(settings), sink));
        Self { dial_task: Some(dial_task) }
    }

    /// Stops dialling and ends the link, which reports `Down`.
    pub async fn stop(mut self) {
        if let Some(dial_task) = self.dial_task.take() {
            dial_task.cancel().await;
        }
    }
}

impl Drop for LinkDialer {
    fn drop(&mut self) {
        if let Some(dial_task) = self.dial_task.take() {
            task::spawn(dial_task.cancel());
        }
    }
}

async fn dial_loop(
    address: SocketAddr,
    expected: VmName,
    settings: Arc<LinkSettings>,
    sink: LinkSink,
) {
    let mut backoff = settings.redial_min;
    loop {
        let connecting =
            timeout(settings.handshake_timeout, connect(address, &expected, &settings));
        match connecting.await.unwrap_or(Err(LinkError::TimedOut)) {
            Ok((socket, peer)) => {
                backoff = settings.redial_min;
                connection::run(socket, peer, &settings, &sink).await;
            }
            Err(fault) => debug!("link to {expected} could not be established: {fault}"),
        }
        // Random jitter, so that VMs that lost the same peer don't redial it at the same time.
        task::sleep(backoff.mul_f64(0.5 + 0.5 * rand::random::<f64>())).await;
        backoff = next_backoff(backoff, settings.redial_max);
    }
}

fn next_backoff(backoff: Duration, limit: Duration) -> Duration {
    (backoff * 2).min(limit)
}

async fn connect(
    address: SocketAddr,
    expected: &VmName,
    settings: &LinkSettings,
) -> Result<(handshake::LinkSocket, LinkPeer), LinkError> {
    let stream = TcpStream::connect(address).await.map_err(|_| LinkError::Transport)?;
    stream.set_nodelay(true).map_err(|_| LinkError::Transport)?;
    let config = connection::socket_config(settings);
    let url = format!("ws://{address}/link");
    let (mut socket, _) = client_async_with_config(url, stream.compat(), Some(config))
        .await
        .map_err(|_| LinkError::Transport)?;
    let peer = handshake::dial(&mut socket, settings).await?;
    if peer.vm != *expected {
        return Err(LinkError::Unproved);
    }
    Ok((socket, peer))
}
