//! A TCP proxy whose open connections can go silent for good while new ones work.

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use async_std::{
    io::{ReadExt, WriteExt},
    net::{TcpListener, TcpStream},
    task,
};

/// Bytes passed on at once.
const PIECE_BYTES: usize = 16 << 10;

/// A proxy in front of one address; dropping it ends no connection.
pub struct SilentProxy {
    address: SocketAddr,
    shared: Arc<ProxyShared>,
    accepting: task::JoinHandle<()>,
}

#[derive(Default)]
struct ProxyShared {
    /// Rises each time all open connections go silent.
    era: AtomicU64,
    /// Bytes passed on towards those who dialled.
    answered: AtomicU64,
    /// Connections taken.
    taken: AtomicU64,
}

impl SilentProxy {
    /// Passes connections on to `target`.
    pub async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("it listens");
        let address = listener.local_addr().expect("it is bound");
        let shared = Arc::new(ProxyShared::default());
        let accepting = task::spawn(accept(listener, target, Arc::clone(&shared)));
        Self { address, shared, accepting }
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Passes nothing on any more over the connections open now, and closes none of them.
    pub fn silence(&self) {
        self.shared.era.fetch_add(1, Ordering::SeqCst);
    }

    /// Bytes passed on towards those who dialled.
    pub fn answered(&self) -> u64 {
        self.shared.answered.load(Ordering::SeqCst)
    }

    /// Connections taken so far.
    pub fn taken(&self) -> u64 {
        self.shared.taken.load(Ordering::SeqCst)
    }
}

impl Drop for SilentProxy {
    fn drop(&mut self) {
        let accepting = std::mem::replace(&mut self.accepting, task::spawn(async {}));
        task::spawn(accepting.cancel());
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, shared: Arc<ProxyShared>) {
    while let Ok((dialled, _)) = listener.accept().await {
        let Ok(onward) = TcpStream::connect(target).await else { continue };
        shared.taken.fetch_add(1, Ordering::SeqCst);
        let era = shared.era.load(Ordering::SeqCst);
        let (forth, back) = (Arc::clone(&shared), Arc::clone(&shared));
        task::spawn(pass(dialled.clone(), onward.clone(), forth, era, false));
        task::spawn(pass(onward, dialled, back, era, true));
    }
}

/// Passes bytes on until the connection ends, or swallows them once it is silent.
async fn pass(
    mut from: TcpStream,
    mut to: TcpStream,
    shared: Arc<ProxyShared>,
    era: u64,
    back: bool,
) {
    let mut piece = vec![0; PIECE_BYTES];
    while let Ok(count @ 1..) = from.read(&mut piece).await {
        if shared.era.load(Ordering::SeqCst) != era {
            continue;
        }
        if back {
            shared.answered.fetch_add(count as u64, Ordering::SeqCst);
        }
        if to.write_all(&piece[..count]).await.is_err() {
            return;
        }
    }
    if shared.era.load(Ordering::SeqCst) == era {
        let _ = to.shutdown(std::net::Shutdown::Both);
    }
}
