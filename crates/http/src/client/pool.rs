//! Connections kept between requests.

use std::{
    collections::BTreeMap,
    pin::Pin,
    sync::{Mutex, MutexGuard, PoisonError},
    task::{Context, Waker},
    time::Instant,
};

use async_std::{io::Read, net::TcpStream};

use super::settings::ClientSettings;

/// Where a connection leads.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct PeerAddress {
    /// The host, an IP number as a rule.
    pub(super) host: String,
    /// The port.
    pub(super) port: u16,
}

/// A connection without a request.
#[derive(Debug)]
struct IdleConnection {
    /// The socket; nothing was read from it beyond the last answer.
    socket: TcpStream,
    /// When it was put here.
    since: Instant,
}

/// Kept connections by address. Bounded by the settings for each address and in all; each is
/// dropped once its idle time is over, at the latest when the next connection is put back.
#[derive(Debug, Default)]
pub(super) struct ConnectionPool {
    idle: Mutex<BTreeMap<PeerAddress, Vec<IdleConnection>>>,
}

impl ConnectionPool {
    fn idle(&self) -> MutexGuard<'_, BTreeMap<PeerAddress, Vec<IdleConnection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The connection to `address` used last, if one is still open.
    pub(super) fn take(
        &self,
        address: &PeerAddress,
        settings: &ClientSettings,
    ) -> Option<TcpStream> {
        let mut idle = self.idle();
        let connections = idle.get_mut(address)?;
        while let Some(connection) = connections.pop() {
            if connection.since.elapsed() < settings.idle_timeout && is_open(&connection.socket) {
                return Some(connection.socket);
            }
        }
        idle.remove(address);
        None
    }

    /// Keeps a connection whose last answer was read to its end.
    pub(super) fn put(&self, address: &PeerAddress, socket: TcpStream, settings: &ClientSettings) {
        let mut idle = self.idle();
        for connections in idle.values_mut() {
            connections.retain(|connection| connection.since.elapsed() < settings.idle_timeout);
        }
        idle.retain(|_, connections| !connections.is_empty());
        if idle.values().map(Vec::len).sum::<usize>() >= settings.idle_in_all {
            return;
        }
        let connections = idle.entry(address.clone()).or_default();
        if connections.len() < settings.idle_per_address {
            connections.push(IdleConnection { socket, since: Instant::now() });
        }
    }
}

/// Whether an idle connection is still usable: an end, an error or bytes nobody asked for mean
/// that it is not. The peer may close it a moment later; the client's retry is for that.
fn is_open(socket: &TcpStream) -> bool {
    let mut cx = Context::from_waker(Waker::noop());
    let mut byte = [0_u8];
    Pin::new(&mut &*socket).poll_read(&mut cx, &mut byte).is_pending()
}
