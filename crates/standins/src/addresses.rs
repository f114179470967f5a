//! Addresses that stay a server's own while it is down.

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::atomic::{AtomicU32, Ordering},
};

/// Lowest second number of the hosts given out; the ones below are left to others.
const HOSTS_FIRST: u8 = 64;
/// Ports given out of one host.
const PORTS_EACH: u32 = 64;
/// The first of them.
const PORT_FIRST: u16 = 7_201;

/// An address for a server that starts later, or more than once.
///
/// A port of the system's choice is free only until somebody connects somewhere: the system may give
/// it to that connection, and the server can't listen there any more. So each address has a loopback
/// host of its own, which connections never come from.
pub fn lasting_address() -> SocketAddr {
    static TAKEN: AtomicU32 = AtomicU32::new(0);
    let [_, _, process_high, process_low] = std::process::id().to_be_bytes();
    let number = TAKEN.fetch_add(1, Ordering::Relaxed);
    let host = HOSTS_FIRST + (number / PORTS_EACH) as u8 % HOSTS_FIRST;
    let port = PORT_FIRST + (number % PORTS_EACH) as u16;
    (Ipv4Addr::new(127, host, process_high, process_low), port).into()
}
