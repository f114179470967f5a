//! A proxy in front of a socket, which a cut holds up: nothing passes either way. What was held up on a channel passes
//! when the cut is over. The opening packet of a new channel is lost during a cut, and sent again after 1, 3 and 7 s, as
//! TCP does.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
    thread,
    time::Duration,
};

#[derive(Debug, Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    is_cut: Arc<AtomicBool>,
}

impl Proxy {
    pub fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let is_cut = Arc::new(AtomicBool::new(false));
        let shared = Arc::clone(&is_cut);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let is_cut = Arc::clone(&shared);
                thread::spawn(move || carry(stream, target, &is_cut));
            }
        });
        Self { address, is_cut }
    }

    pub fn set_cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::SeqCst);
    }
}

fn await_open(is_cut: &AtomicBool) {
    while is_cut.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_millis(5));
    }
}

/// Waits until an opening packet gets through.
fn await_opening(is_cut: &AtomicBool) {
    let mut wait = Duration::from_secs(1);
    while is_cut.load(Ordering::SeqCst) {
        thread::sleep(wait);
        wait *= 2;
    }
}

fn carry(near: TcpStream, target: SocketAddr, is_cut: &Arc<AtomicBool>) {
    await_opening(is_cut);
    let Ok(far) = TcpStream::connect(target) else { return };
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let (Ok(near_read), Ok(far_read)) = (near.try_clone(), far.try_clone()) else { return };
    let shared = Arc::clone(is_cut);
    let back = thread::spawn(move || pump(far_read, near, &shared));
    pump(near_read, far, is_cut);
    let _ = back.join();
}

fn pump(mut from: TcpStream, mut to: TcpStream, is_cut: &AtomicBool) {
    let mut buffer = [0_u8; 16 << 10];
    // Wakes up at times, so that a cut holds up what comes after it has begun.
    let _ = from.set_read_timeout(Some(Duration::from_millis(20)));
    loop {
        await_open(is_cut);
        match from.read(&mut buffer) {
            Ok(0) => break,
            Ok(read) => {
                await_open(is_cut);
                if to.write_all(&buffer[..read]).is_err() {
                    break;
                }
            }
            Err(error)
                if matches!(
                    error.kind(),
                    std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
                ) => {}
            Err(_) => break,
        }
    }
    await_open(is_cut);
    let _ = to.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
}
