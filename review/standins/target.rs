//! A server of a service: runs requests in its slots, as PROTOCOL describes it.

use std::{
    net::{Shutdown, SocketAddr, TcpStream},
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

use crate::{
    record::Record,
    store::Store,
    wire::{self, Connection, Message},
};

/// Requests that run at once.
pub const SLOTS: u32 = 8;
/// Requests that wait beyond those.
const QUEUE: u32 = 24;

/// How a server answers a request that it runs.
#[derive(Clone)]
pub enum Reply {
    /// A stream of `events` events, one each `gap`, with the data that `data` gives.
    Stream { events: u64, gap: Duration, data: fn(&str, u64) -> String },
    /// A body of known length.
    Whole(Arc<Vec<u8>>),
}

/// One request that ran.
#[derive(Debug, Clone)]
pub struct Run {
    pub attempt: String,
    pub ended: Option<Instant>,
    /// Whether the answer was written to its end.
    pub is_complete: bool,
}

#[derive(Default)]
struct State {
    born: u64,
    is_down: bool,
    active: u32,
    waiting: u32,
    connections: Vec<TcpStream>,
    runs: Vec<Run>,
}

/// A server.
#[derive(Clone)]
pub struct Target {
    pub id: String,
    pub address: SocketAddr,
    service: String,
    zone: String,
    state: Arc<(Mutex<State>, Condvar)>,
    reply: Arc<dyn Fn(&Message) -> Reply + Send + Sync>,
    record: Record,
}

impl Target {
    /// Starts a server that registers in the store. `born` is 0 where servers don't tell it.
    pub fn start(
        (id, service, zone): (&str, &str, &str),
        born: u64,
        (store, record): (&Store, &Record),
        reply: impl Fn(&Message) -> Reply + Send + Sync + 'static,
    ) -> Self {
        let mut target = Self {
            id: id.to_owned(),
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            service: service.to_owned(),
            zone: zone.to_owned(),
            state: Arc::new((Mutex::new(State { born, ..State::default() }), Condvar::new())),
            reply: Arc::new(reply),
            record: record.clone(),
        };
        let shared = target.clone();
        target.address = wire::serve(move |stream| shared.serve(stream));
        target.register(store);
        target
    }

    fn register(&self, store: &Store) {
        let born = match self.lock().born {
            0 => String::new(),
            born => format!(",\"born\":{born}"),
        };
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
             \"slots\":{SLOTS},\"state\":\"ready\",\"coldLeftMs\":0,\"seq\":1{born}}}",
            self.service, self.address, self.zone
        );
        store.put("servers", &self.id, &entry);
    }

    /// Crashes: its connections end, and new ones are closed.
    pub fn crash(&self) {
        self.record.note(&format!("server {}: crashes", self.id));
        let mut state = self.lock();
        state.is_down = true;
        for connection in state.connections.drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    /// Starts again under the same id and address; it holds nothing of before.
    pub fn start_again(&self, born: u64, store: &Store) {
        {
            let mut state = self.lock();
            state.born = born;
            state.is_down = false;
        }
        self.record.note(&format!("server {}: starts again, born {born}", self.id));
        self.register(store);
    }

    /// Requests that ran, in order.
    pub fn runs(&self) -> Vec<Run> {
        self.lock().runs.clone()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().expect("no thread panics with the lock")
    }

    fn serve(&self, stream: TcpStream) {
        {
            let mut state = self.lock();
            if state.is_down {
                return;
            }
            state.connections.extend(stream.try_clone().ok());
        }
        let mut connection = Connection::new(stream);
        while let Some(request) = connection.request() {
            if !self.answer(&mut connection, &request) {
                break;
            }
        }
        let _ = connection.stream.shutdown(Shutdown::Both);
    }

    fn answer(&self, connection: &mut Connection, request: &Message) -> bool {
        let attempt = request.header("Attempt-Id").unwrap_or_default().to_owned();
        if request.target() == "/magnolianotch/report" {
            let born = self.lock().born;
            let body = format!(
                "{{\"phase\":\"both\",\"models\":[],\"busy\":false,\"seq\":0,\"queuedReqs\":0,\
                 \"activeReqs\":0,\"kvUsed\":0,\"kvTotal\":90000,\"handles\":0,\"born\":{born}}}"
            );
            return connection.send(&wire::answer(200, "", body.as_bytes())).is_ok();
        }
        if request.target() == "/healthz" {
            let id = format!("Instance-Id: {}\r\n", self.id);
            return connection.send(&wire::answer(200, &id, b"")).is_ok();
        }
        let echo = format!("Attempt-Id: {attempt}\r\n");
        let is_other = request.header("Expect-Instance").is_some_and(|id| id != self.id);
        let refusal = match () {
            () if attempt.is_empty() => Some(400),
            () if is_other => Some(421),
            () if !self.take_slot() => Some(503),
            () => None,
        };
        if let Some(status) = refusal {
            let headers = format!("{echo}Not-Executed: 1\r\n");
            return connection.send(&wire::answer(status, &headers, b"")).is_ok();
        }
        let number = {
            let mut state = self.lock();
            let attempt = attempt.clone();
            state.runs.push(Run { attempt, ended: None, is_complete: false });
            state.runs.len() - 1
        };
        self.record.note(&format!("server {}: runs {attempt}", self.id));
        let is_complete = match (self.reply)(request) {
            Reply::Stream { events, gap, data } => {
                let last = request.header("Last-Event-Id").and_then(|id| id.parse().ok());
                let head = format!(
                    "HTTP/1.1 200 OK\r\n{echo}Server-Seal: s.{attempt}\r\n\
                     Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                );
                let mut is_sent = connection.send(head.as_bytes()).is_ok();
                for id in last.unwrap_or(0) + 1..=events {
                    thread::sleep(gap);
                    let event = format!("id: {id}\ndata: {}\n\n", data(&attempt, id));
                    let chunk = format!("{:x}\r\n{event}\r\n", event.len());
                    is_sent = is_sent && connection.send(chunk.as_bytes()).is_ok();
                    if !is_sent {
                        break;
                    }
                }
                is_sent && connection.send(b"0\r\n\r\n").is_ok()
            }
            Reply::Whole(body) => {
                let headers = format!("{echo}Server-Seal: s.{attempt}\r\n");
                connection.send(&wire::answer(200, &headers, &body)).is_ok()
            }
        };
        let mut state = self.lock();
        state.active -= 1;
        state.runs[number].ended = Some(Instant::now());
        state.runs[number].is_complete = is_complete;
        drop(state);
        self.state.1.notify_all();
        let end = if is_complete { "completes" } else { "is cut off in" };
        self.record.note(&format!("server {}: {end} {attempt}", self.id));
        is_complete
    }

    /// Waits for a slot; false if too many wait.
    fn take_slot(&self) -> bool {
        let mut state = self.lock();
        if state.active >= SLOTS && state.waiting >= QUEUE {
            return false;
        }
        state.waiting += 1;
        while state.active >= SLOTS {
            state = self.state.1.wait(state).expect("the lock isn't poisoned");
        }
        state.waiting -= 1;
        state.active += 1;
        true
    }
}
