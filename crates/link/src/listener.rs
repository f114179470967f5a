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

/// Pause after a failed `accept`, which prevents a busy loop when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Listens for links until it is stopped or dropped.
#[derive(Debug)]
pub struct LinkListener {
    address: SocketAddr,
    accept_task: Option<task::JoinHandle<()>>,
    /// Closed to end the tasks of all accepted links.
    stop: async_channel::Sender<()>,
}

impl LinkListener {
    /// Binds `address` and starts accepting links, whose events are reported to `sink`.
    ///
    /// # Errors
    /// The error of the operating system when the address can't be bound.
    pub async fn start(
        address: SocketAddr,
        settings: LinkSettings,
        sink: LinkSink,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let (stop, stopped) = async_channel::bounded(1);
        let accept_task = task::spawn(accept_loop(listener, Arc::new(settings), sink, stopped));
        Ok(Self { address, accept_task: Some(accept_task), stop })
    }

    /// The address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting and ends the accepted links.
    pub async fn stop(mut self) {
        self.stop.close();
        if let Some(accept_task) = self.accept_task.take() {
            accept_task.cancel().await;
        }
    }
}

impl Drop for LinkListener {
    fn drop(&mut self) {
        self.stop.close();
        if let Some(accept_task) = self.accept_task.take() {
            task::spawn(accept_task.cancel());
        }
    }
}

async fn accept_loop(
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
    let accepted = timeout(settings.handshake_timeout, accept(stream, &settings)).await;
    handshakes.fetch_sub(1, Ordering::AcqRel);
    match accepted {
        Ok(Ok((socket, peer))) => connection::run(socket, peer, &settings, &sink).await,
        Ok(Err(fault)) => debug!("incoming link refused: {fault}"),
        Err(_) => debug!("incoming link refused: {}", LinkError::TimedOut),
    }
}

async fn accept(
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
