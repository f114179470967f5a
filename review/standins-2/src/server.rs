//! A model server: runs requests for tokens and answers with a stream of events.

use std::{
    collections::{HashMap, HashSet},
    io::Write,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc, Mutex,
    },
    thread,
    time::Duration,
};

use crate::{
    http::{respond, Message, Reader},
    record::Record,
    store::Store,
};

/// A request that began to run.
#[derive(Debug, Clone)]
pub struct Run {
    pub server: String,
    pub attempt: String,
    pub tenant: Option<String>,
    /// Status of the answer; 0 while it runs.
    pub status: u16,
}

/// How the servers answer.
#[derive(Debug, Clone)]
pub struct Terms {
    pub events: u64,
    /// Time from one event to the next.
    pub pause: Duration,
    /// Requests with these ids are answered with this status.
    pub refusals: HashMap<String, u16>,
}

impl Default for Terms {
    fn default() -> Self {
        Self { events: 5, pause: Duration::from_millis(20), refusals: HashMap::new() }
    }
}

/// The servers of one service, and what they ran.
#[derive(Debug)]
pub struct Fleet {
    pub terms: Mutex<Terms>,
    pub runs: Mutex<Vec<Run>>,
    /// Items that a server has answered completely.
    pub finished: Mutex<HashSet<String>>,
    service: String,
    store: Arc<Store>,
    record: Arc<Record>,
    starts: AtomicU64,
    /// Whether each run is recorded.
    pub is_quiet: bool,
}

const SLOTS: u32 = 8;

impl Fleet {
    pub fn new(
        service: &str,
        store: &Arc<Store>,
        record: &Arc<Record>,
        is_quiet: bool,
    ) -> Arc<Self> {
        Arc::new(Self {
            terms: Mutex::default(),
            runs: Mutex::default(),
            finished: Mutex::default(),
            service: service.to_owned(),
            store: Arc::clone(store),
            record: Arc::clone(record),
            starts: AtomicU64::new(0),
            is_quiet,
        })
    }

    /// Starts a server.
    pub fn start(self: &Arc<Self>, zone: &str) {
        let (fleet, zone) = (Arc::clone(self), zone.to_owned());
        thread::spawn(move || fleet.live(&zone));
    }

    fn live(self: &Arc<Self>, zone: &str) {
        let number = self.starts.fetch_add(1, Ordering::SeqCst);
        let id = format!("i-{:08x}", 0x5a00_0000_u64 + number);
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        self.register(&id, address, zone);
        self.record.line(&format!("server {id} starts at {address}"));
        for stream in listener.incoming().flatten() {
            let (fleet, id) = (Arc::clone(self), id.clone());
            thread::spawn(move || fleet.serve(&id, stream));
        }
    }

    fn register(&self, id: &str, address: SocketAddr, zone: &str) {
        let spec = format!(
            "{{\"service\":\"{}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":{SLOTS},\"state\":\"ready\",\"coldLeftMs\":0,\"phase\":\"both\",\"models\":[{{\"name\":\"m\",\"version\":1,\"loraAdapters\":[]}}],\"seq\":1}}",
            self.service
        );
        self.store.put("servers", id, &spec);
    }

    fn serve(self: &Arc<Self>, id: &str, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(read) = stream.try_clone() else { return };
        let mut reader = Reader::new(read);
        while let Ok(Some(request)) = reader.message() {
            if request.word(1).starts_with("/magnolianotch/report") {
                let body = br#"{"phase":"both","models":[{"name":"m","version":1,"loraAdapters":[]}],"busy":false,"seq":1,"queuedReqs":0,"activeReqs":0,"kvUsed":0,"kvTotal":147261,"handles":0}"#;
                if respond(&mut stream, 200, &[("Content-Type", "application/json")], body).is_err()
                {
                    return;
                }
                continue;
            }
            if request.header("expect-instance").is_some_and(|expected| expected != id) {
                if respond(&mut stream, 421, &[("Instance-Id", id)], b"").is_err() {
                    return;
                }
                continue;
            }
            let terms = self.terms.lock().unwrap().clone();
            let index = self.begin(id, &request);
            let attempt = request.header("attempt-id").unwrap_or("").to_owned();
            if self.answer(&mut stream, &request, &attempt, &terms, index).is_err() {
                return;
            }
        }
    }

    fn begin(&self, id: &str, request: &Message) -> usize {
        let attempt = request.header("attempt-id").unwrap_or("").to_owned();
        let (path, tenant) =
            (request.word(1).to_owned(), request.header("tenant").map(str::to_owned));
        if !self.is_quiet {
            let after = request.header("last-event-id").unwrap_or("-");
            let tenant = tenant.as_deref().unwrap_or("-");
            self.record.line(&format!(
                "server {id} runs {attempt} path {path} after {after} tenant {tenant}"
            ));
        }
        let run = Run { server: id.to_owned(), attempt, tenant, status: 0 };
        let mut runs = self.runs.lock().unwrap();
        runs.push(run);
        runs.len() - 1
    }

    fn end(&self, index: usize, status: u16) {
        self.runs.lock().unwrap()[index].status = status;
    }

    fn answer(
        &self,
        stream: &mut TcpStream,
        request: &Message,
        attempt: &str,
        terms: &Terms,
        index: usize,
    ) -> std::io::Result<()> {
        let headers = [
            ("Attempt-Id", attempt),
            ("Server-Seal", "3e1b.07.5a2.600.0.c9f2a4d1"),
            ("Keep-Alive", "timeout=5"),
        ];
        if let Some(status) = terms.refusals.get(attempt) {
            self.end(index, *status);
            return respond(stream, *status, &headers, b"");
        }
        let mut head =
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
                .to_owned();
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str("\r\n");
        stream.write_all(head.as_bytes())?;
        let after: Option<u64> = request.header("last-event-id").and_then(|id| id.parse().ok());
        for event in after.map_or(1, |id| id + 1)..=terms.events {
            thread::sleep(terms.pause);
            let text = format!("id: {event}\ndata: {attempt}/{event}\n\n");
            stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
        }
        stream.write_all(b"0\r\n\r\n")?;
        self.finished.lock().unwrap().insert(attempt.to_owned());
        self.end(index, 200);
        Ok(())
    }

    pub fn runs_of(&self, attempt: &str) -> Vec<Run> {
        let runs = self.runs.lock().unwrap();
        runs.iter().filter(|run| run.attempt == attempt).cloned().collect()
    }
}
