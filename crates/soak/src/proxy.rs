//! TCP proxy on loopback that injects network faults.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU8, Ordering},
    },
    time::Duration,
};

use async_std::{
    io::{ReadExt, WriteExt},
    net::{Shutdown, TcpListener, TcpStream},
    task,
};

/// How long each chunk is delayed in [`ProxyMode::Delay`].
const CHUNK_DELAY: Duration = Duration::from_millis(60);
/// Interval at which a stalled connection checks whether the proxy's mode has changed.
const SILENCE_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Most bytes forwarded at a time.
const CHUNK_BYTES: usize = 16 << 10;

/// How the proxy treats its connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum ProxyMode {
    /// Forwards everything.
    Pass = 0,
    /// Forwards everything with a delay.
    Delay = 1,
    /// Closes new connections at once, and existing ones as soon as data arrives.
    Reset = 2,
    /// Forwards nothing and closes nothing.
    Silent = 3,
    /// Forwards requests but no answers.
    OneWay = 4,
}

impl ProxyMode {
    /// All modes that inject a fault.
    pub const FAULTS: [Self; 4] = [Self::Delay, Self::Reset, Self::Silent, Self::OneWay];

    fn of(byte: u8) -> Self {
        match byte {
            1 => Self::Delay,
            2 => Self::Reset,
            3 => Self::Silent,
            4 => Self::OneWay,
            _ => Self::Pass,
        }
    }
}

/// A proxy in front of one address.
#[derive(Debug, Clone)]
pub struct FaultProxy {
    /// Address at which the proxy listens.
    pub address: SocketAddr,
    mode: Arc<AtomicU8>,
}

impl FaultProxy {
    /// Starts a proxy to `destination` that accepts connections on `listener`.
    pub fn start(listener: TcpListener, address: SocketAddr, destination: SocketAddr) -> Self {
        let proxy = Self { address, mode: Arc::default() };
        let shared = proxy.clone();
        task::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                task::spawn(forward(shared.clone(), client, destination));
            }
        });
        proxy
    }

    /// Sets the mode for all connections.
    pub fn set(&self, mode: ProxyMode) {
        self.mode.store(mode as u8, Ordering::Release);
    }

    fn mode(&self) -> ProxyMode {
        ProxyMode::of(self.mode.load(Ordering::Acquire))
    }
}

async fn forward(proxy: FaultProxy, client: TcpStream, destination: SocketAddr) {
    if proxy.mode() == ProxyMode::Reset {
        return;
    }
    while proxy.mode() == ProxyMode::Silent {
        task::sleep(SILENCE_POLL_INTERVAL).await;
    }
    let Ok(server) = TcpStream::connect(destination).await else { return };
    let requests =
        task::spawn(forward_one_way(proxy.clone(), client.clone(), server.clone(), false));
    forward_one_way(proxy, server.clone(), client.clone(), true).await;
    let _ = (client.shutdown(Shutdown::Both), server.shutdown(Shutdown::Both));
    requests.await;
}

/// Forwards one direction until either side closes or a fault loses data.
async fn forward_one_way(
    proxy: FaultProxy,
    mut from: TcpStream,
    mut to: TcpStream,
    is_answer: bool,
) {
    let mut chunk = vec![0; CHUNK_BYTES];
    while let Ok(count @ 1..) = from.read(&mut chunk).await {
        let is_held = |mode| mode == ProxyMode::Silent || (is_answer && mode == ProxyMode::OneWay);
        let was_held = is_held(proxy.mode());
        while is_held(proxy.mode()) {
            task::sleep(SILENCE_POLL_INTERVAL).await;
        }
        // Data that a real network holds back for long is lost, and the connection with it.
        if was_held || proxy.mode() == ProxyMode::Reset {
            break;
        }
        if proxy.mode() == ProxyMode::Delay {
            task::sleep(CHUNK_DELAY).await;
        }
        if to.write_all(&chunk[..count]).await.is_err() {
            break;
        }
    }
    let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
}
