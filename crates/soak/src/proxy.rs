//! A proxy on loopback that spoils the connections through it.

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

/// How long each piece is held back by a slow proxy.
const DELAY: Duration = Duration::from_millis(60);
/// How often a silent connection looks whether it still is.
const SILENCE_TICK: Duration = Duration::from_millis(50);
/// Bytes carried at a time.
const PIECE_BYTES: usize = 16 << 10;

/// What the proxy does with connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum ProxyMode {
    /// Carries everything.
    Pass = 0,
    /// Carries everything late.
    Delay = 1,
    /// Closes every connection, old and new.
    Reset = 2,
    /// Carries nothing and closes nothing.
    Silent = 3,
    /// Carries what is asked, not what is answered.
    OneWay = 4,
}

impl ProxyMode {
    /// Every way to spoil connections.
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

/// A proxy to one address.
#[derive(Debug, Clone)]
pub struct FaultProxy {
    /// Where it listens.
    pub address: SocketAddr,
    mode: Arc<AtomicU8>,
}

impl FaultProxy {
    /// A proxy to `destination`, on `listener`.
    pub fn start(listener: TcpListener, address: SocketAddr, destination: SocketAddr) -> Self {
        let proxy = Self { address, mode: Arc::default() };
        let shared = proxy.clone();
        task::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                task::spawn(carry(shared.clone(), client, destination));
            }
        });
        proxy
    }

    /// Sets what it does.
    pub fn set(&self, mode: ProxyMode) {
        self.mode.store(mode as u8, Ordering::Release);
    }

    fn mode(&self) -> ProxyMode {
        ProxyMode::of(self.mode.load(Ordering::Acquire))
    }
}

async fn carry(proxy: FaultProxy, client: TcpStream, destination: SocketAddr) {
    if proxy.mode() == ProxyMode::Reset {
        return;
    }
    while proxy.mode() == ProxyMode::Silent {
        task::sleep(SILENCE_TICK).await;
    }
    let Ok(server) = TcpStream::connect(destination).await else { return };
    let there = task::spawn(carry_one_way(proxy.clone(), client.clone(), server.clone(), false));
    carry_one_way(proxy, server.clone(), client.clone(), true).await;
    let _ = (client.shutdown(Shutdown::Both), server.shutdown(Shutdown::Both));
    there.await;
}

/// Carries one direction until either side ends or a fault lost a piece of it.
async fn carry_one_way(proxy: FaultProxy, mut from: TcpStream, mut to: TcpStream, is_answer: bool) {
    let mut piece = vec![0; PIECE_BYTES];
    while let Ok(count @ 1..) = from.read(&mut piece).await {
        let holds = |mode| mode == ProxyMode::Silent || (is_answer && mode == ProxyMode::OneWay);
        let was_held = holds(proxy.mode());
        while holds(proxy.mode()) {
            task::sleep(SILENCE_TICK).await;
        }
        // What a real network holds back for long is lost, and its connection with it.
        if was_held || proxy.mode() == ProxyMode::Reset {
            break;
        }
        if proxy.mode() == ProxyMode::Delay {
            task::sleep(DELAY).await;
        }
        if to.write_all(&piece[..count]).await.is_err() {
            break;
        }
    }
    let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
}
