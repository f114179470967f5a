//! Accepts links.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use async_std::{
    future::timeout,
    net::{TcpListener, TcpStream},
    task,
};
use log::debug;
use tokio_tungstenite::accept_async_with_config;
use tokio_util::compat::FuturesAsyncReadCompatExt;

use crate::{connection, error::LinkError, event::LinkSink, handshake, settings::LinkSettings};

/// Pause after a failed `accept`, so that running out of descriptors doesn't spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// A listening port for links; stops when told or dropped.
#[derive(Debug)]
pub struct LinkListener {
    address: SocketAddr,
    accepting: Option<task::JoinHandle<()>>,
    /// Tasks of accepted links, so that a stop ends them too.
    stop: async_channel::Sender<()>,
}

impl LinkListener {
    /// Binds and starts accepting; every link's events go to `sink`.
    ///
    /// # Errors
    /// The operating system's, when the address can't be bound.
    pub async fn start(
        address: SocketAddr,
        settings: LinkSettings,
        sink: LinkSink,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let (stop, stopped) = async_channel::bounded(1);
        let accepting = task::spawn(accept_all(listener, Arc::new(settings), sink, stopped));
        Ok(Self { address, accepting: Some(accepting), stop })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting and ends the accepted links.
    pub async fn stop(mut self) {
        self.stop.close();
        if let Some(accepting) = self.accepting.take() {
            accepting.cancel().await;
        }
    }
}

impl Drop for LinkListener {
    fn drop(&mut self) {
        self.stop.close();
        if let Some(accepting) = self.accepting.take() {
            task::spawn(accepting.cancel());
        }
    }
}

async fn accept_all(
    listener: TcpListener,
    settings: Arc<LinkSettings>,
    sink: LinkSink,
    stopped: async_channel::Receiver<()>,
) {
    let handshakes = Arc::new(AtomicUsize::new(0));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            task::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        if handshakes.fetch_add(1, Ordering::AcqRel) >= settings.max_handshakes {
            handshakes.fetch_sub(1, Ordering::AcqRel);
            continue;
        }
        let serving =
            serve(stream, Arc::clone(&settings), Arc::clone(&sink), Arc::clone(&handshakes));
        let stopped = stopped.clone();
        task::spawn(async move {
            futures_util::pin_mut!(serving);
            let stop = stopped.recv();
            futures_util::pin_mut!(stop);
            futures_util::future::select(serving, stop).await;
        });
    }
}

async fn serve(
    stream: TcpStream,
    settings: Arc<LinkSettings>,
    sink: LinkSink,
    handshakes: Arc<AtomicUsize>,
) {
    let shaken = timeout(settings.handshake_timeout, shake(stream, &settings)).await;
    handshakes.fetch_sub(1, Ordering::AcqRel);
    match shaken {
        Ok(Ok((socket, peer))) => connection::run(socket, peer, &settings, &sink).await,
        Ok(Err(fault)) => debug!("link refused: {fault}"),
        Err(_) => debug!("link refused: {}", LinkError::TimedOut),
    }
}

async fn shake(
    stream: TcpStream,
    settings: &LinkSettings,
) -> Result<(handshake::LinkSocket, crate::event::LinkPeer), LinkError> {
    stream.set_nodelay(true).map_err(|_| LinkError::Transport)?;
    let config = connection::socket_config(settings);
    let mut socket = accept_async_with_config(stream.compat(), Some(config))
        .await
        .map_err(|_| LinkError::Transport)?;
    let peer = handshake::accept(&mut socket, settings).await?;
    Ok((socket, peer))
}
