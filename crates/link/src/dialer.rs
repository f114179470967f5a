//! Dials a link and dials it again whenever it is lost.

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

/// Keeps one link to one address standing until stopped or dropped.
#[derive(Debug)]
pub struct LinkDialer {
    dialing: Option<task::JoinHandle<()>>,
}

impl LinkDialer {
    /// Starts dialling `address`, where `expected` is said to live. Another VM answering there is
    /// refused: addresses are used again, and its answers would be taken for the old VM's.
    pub fn start(
        address: SocketAddr,
        expected: &VmName,
        settings: LinkSettings,
        sink: LinkSink,
    ) -> Self {
        let expected = expected.clone();
        let dialing = task::spawn(dial_forever(address, expected, Arc::new(settings), sink));
        Self { dialing: Some(dialing) }
    }

    /// Ends the link, with its `Down`, and dials no more.
    pub async fn stop(mut self) {
        if let Some(dialing) = self.dialing.take() {
            dialing.cancel().await;
        }
    }
}

impl Drop for LinkDialer {
    fn drop(&mut self) {
        if let Some(dialing) = self.dialing.take() {
            task::spawn(dialing.cancel());
        }
    }
}

async fn dial_forever(
    address: SocketAddr,
    expected: VmName,
    settings: Arc<LinkSettings>,
    sink: LinkSink,
) {
    let mut wait = settings.redial_min;
    loop {
        let shaken = timeout(settings.handshake_timeout, shake(address, &expected, &settings));
        match shaken.await.unwrap_or(Err(LinkError::TimedOut)) {
            Ok((socket, peer)) => {
                wait = settings.redial_min;
                connection::run(socket, peer, &settings, &sink).await;
            }
            Err(fault) => debug!("link to {expected} not made: {fault}"),
        }
        // Full jitter: the VMs that lost the same peer must not come back in step.
        task::sleep(wait.mul_f64(0.5 + 0.5 * rand::random::<f64>())).await;
        wait = grown(wait, settings.redial_max);
    }
}

fn grown(wait: Duration, limit: Duration) -> Duration {
    (wait * 2).min(limit)
}

async fn shake(
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
