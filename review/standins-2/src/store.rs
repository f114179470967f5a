//! The platform's store: objects by kind and name, conditional writes, lists, watches. Each gateway has an endpoint of
//! its own, at which its calls can be turned away or left without an answer.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{respond, Message, Reader},
    json,
    record::Record,
};

/// A list answers with at most about this many bytes and objects.
const PAGE_BYTES: usize = 1_000_000;
const PAGE_OBJECTS: usize = 500;
/// Largest object.
const OBJECT_BYTES: usize = 1_048_576;

#[derive(Debug, Clone)]
struct Object {
    revision: u64,
    created: u64,
    spec: String,
    status: String,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    /// Changes: revision, kind, whether deleted, text of the object.
    log: Vec<(u64, String, bool, Arc<str>)>,
    /// Addresses of links, and of the proxies in front of them under which the gateways find each other.
    relocations: Vec<(String, String)>,
}

/// What an endpoint does with calls.
#[derive(Debug, Clone, Default)]
pub struct Manner {
    /// Every call is answered with 503: nothing is done.
    pub is_rejecting: bool,
    /// Calls whose first line begins so get no answer, and are done after this time. Nothing more comes on their
    /// channels.
    pub late: Option<(String, Duration)>,
}

#[derive(Debug)]
pub struct Endpoint {
    pub name: String,
    pub address: SocketAddr,
    manner: Mutex<Manner>,
    /// Calls that were left without an answer.
    late_calls: Mutex<Vec<Instant>>,
}

impl Endpoint {
    pub fn set(&self, manner: Manner) {
        *self.manner.lock().unwrap() = manner;
    }

    pub fn late_calls(&self) -> usize {
        self.late_calls.lock().unwrap().len()
    }
}

#[derive(Debug)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    record: Arc<Record>,
    /// A text in what is stored, and the bytes that stand in its place.
    raw: Mutex<Option<(String, Vec<u8>)>>,
}

fn object_text(name: &str, object: &Object) -> String {
    format!(
        "{{\"metadata\":{{\"name\":{},\"revision\":{},\"createRev\":{},\"finalizers\":[],\"deleting\":false}},\"spec\":{},\"status\":{}}}",
        json::quote(name),
        object.revision,
        object.created,
        object.spec,
        object.status
    )
}

fn query<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query.split('&').filter_map(|pair| pair.split_once('=')).find(|(n, _)| *n == name).map(|p| p.1)
}

impl Store {
    pub fn new(record: Arc<Record>) -> Arc<Self> {
        let state = State { revision: 100, ..State::default() };
        Arc::new(Self {
            state: Mutex::new(state),
            changed: Condvar::new(),
            record,
            raw: Mutex::default(),
        })
    }

    /// Serves the store at an address of its own.
    pub fn endpoint(self: &Arc<Self>, name: &str) -> Arc<Endpoint> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let endpoint = Arc::new(Endpoint {
            name: name.to_owned(),
            address,
            manner: Mutex::default(),
            late_calls: Mutex::default(),
        });
        let (store, shared) = (Arc::clone(self), Arc::clone(&endpoint));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, endpoint) = (Arc::clone(&store), Arc::clone(&shared));
                thread::spawn(move || store.serve(&endpoint, stream));
            }
        });
        endpoint
    }

    fn serve(self: &Arc<Self>, endpoint: &Endpoint, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(read) = stream.try_clone() else { return };
        let mut reader = Reader::new(read);
        while let Ok(Some(call)) = reader.message() {
            let manner = endpoint.manner.lock().unwrap().clone();
            if manner.is_rejecting {
                if respond(&mut stream, 503, &[], b"").is_err() {
                    return;
                }
                continue;
            }
            if let Some((start, delay)) = manner.late.filter(|(s, _)| call.start.starts_with(s)) {
                endpoint.late_calls.lock().unwrap().push(Instant::now());
                let line = format!(
                    "store: '{}' of {} gets no answer, is done {:.1} s later",
                    call.start,
                    endpoint.name,
                    delay.as_secs_f64()
                );
                self.record.line(&line);
                let (store, name, start) = (Arc::clone(self), endpoint.name.clone(), start.clone());
                thread::spawn(move || {
                    thread::sleep(delay);
                    let (status, _) = store.execute(&call);
                    store.record.line(&format!("store: late '{start}' of {name} done: {status}"));
                });
                // Nothing more comes on this channel.
                thread::sleep(Duration::from_secs(300));
                return;
            }
            let (status, body) = self.execute(&call);
            let kind = [("Content-Type", "application/json")];
            if respond(&mut stream, status, &kind, &self.with_raw(&body)).is_err() {
                return;
            }
        }
    }

    /// Has these bytes stand in the place of a text in what is stored.
    pub fn set_raw(&self, text: &str, bytes: &[u8]) {
        *self.raw.lock().unwrap() = Some((text.to_owned(), bytes.to_vec()));
    }

    fn with_raw(&self, body: &str) -> Vec<u8> {
        let raw = self.raw.lock().unwrap();
        let Some((text, bytes)) = raw.as_ref() else { return body.as_bytes().to_vec() };
        let parts: Vec<&[u8]> = body.split(text.as_str()).map(str::as_bytes).collect();
        parts.join(bytes.as_slice())
    }

    fn execute(&self, call: &Message) -> (u16, String) {
        let (method, target) = (call.word(0).to_owned(), call.word(1).to_owned());
        let (path, tail) = target.split_once('?').unwrap_or((&target, ""));
        let Some(rest) = path.strip_prefix("/magnolianotch/objects/") else {
            return (404, String::new());
        };
        let mut parts = rest.split('/');
        let kind = parts.next().unwrap_or("").to_owned();
        let name = parts.next().map(str::to_owned);
        let is_status = parts.next() == Some("status");
        match (method.as_str(), name) {
            ("GET", None) if query(tail, "watch").is_some() => self.watch(&kind, tail),
            ("GET", None) => self.list(&kind, query(tail, "after")),
            ("GET", Some(name)) => self.get(&kind, &name),
            ("POST", None) => self.write(&kind, None, false, &call.text()),
            ("PUT", Some(name)) => self.write(&kind, Some(&name), is_status, &call.text()),
            ("DELETE", Some(name)) => {
                let revision = query(tail, "revision").and_then(|r| r.parse().ok());
                self.delete(&kind, &name, revision)
            }
            _ => (405, String::new()),
        }
    }

    fn get(&self, kind: &str, name: &str) -> (u16, String) {
        let state = self.state.lock().unwrap();
        match state.objects.get(&(kind.to_owned(), name.to_owned())) {
            Some(object) => (200, object_text(name, object)),
            None => (404, String::new()),
        }
    }

    fn list(&self, kind: &str, after: Option<&str>) -> (u16, String) {
        let state = self.state.lock().unwrap();
        let from = (kind.to_owned(), after.unwrap_or("").to_owned());
        let (mut items, mut bytes, mut more) = (Vec::new(), 0, false);
        for ((of, name), object) in state.objects.range(from..) {
            if of != kind {
                break;
            }
            if after == Some(name) {
                continue;
            }
            if items.len() >= PAGE_OBJECTS || (bytes > 0 && bytes + object.spec.len() > PAGE_BYTES)
            {
                more = true;
                break;
            }
            bytes += object.spec.len();
            items.push(object_text(name, object));
        }
        let body = format!(
            "{{\"items\":[{}],\"more\":{more},\"storeRevision\":{}}}",
            items.join(","),
            state.revision
        );
        (200, body)
    }

    fn watch(&self, kind: &str, tail: &str) -> (u16, String) {
        let since: u64 = query(tail, "watch").and_then(|r| r.parse().ok()).unwrap_or(0);
        let wait: u64 = query(tail, "waitMs").and_then(|w| w.parse().ok()).unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait.min(30_000));
        let mut state = self.state.lock().unwrap();
        loop {
            let newer = state.log.iter().filter(|(at, of, ..)| *at > since && of == kind);
            let events: Vec<String> = newer
                .map(|(_, _, deleted, text)| format!("{{\"deleted\":{deleted},\"object\":{text}}}"))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), state.revision);
                return (200, format!("{{\"events\":[{events}],\"storeRevision\":{revision}}}"));
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn write(&self, kind: &str, path: Option<&str>, is_status: bool, body: &str) -> (u16, String) {
        if body.len() > OBJECT_BYTES {
            return (413, String::new());
        }
        let Some(fields) = json::raw_fields(body) else { return (400, String::new()) };
        let raw = |key: &str| fields.iter().find(|(k, _)| k == key).map(|(_, v)| v.clone());
        let metadata = raw("metadata").and_then(|text| json::parse(&text));
        let named = metadata.as_ref().and_then(|m| m.get("name")).and_then(|n| n.str());
        let Some(name) = path.or(named).map(str::to_owned) else { return (400, String::new()) };
        let condition = metadata.as_ref().and_then(|m| m.get("revision")).and_then(|r| r.u64());
        let mut state = self.state.lock().unwrap();
        let raw = |key: &str| {
            let text = raw(key)?;
            if kind != "notch-gateways" {
                return Some(text);
            }
            let placed =
                state.relocations.iter().fold(text, |text, (from, to)| text.replace(from, to));
            Some(placed)
        };
        let (new_spec, new_status) = (raw("spec"), raw("status"));
        let key = (kind.to_owned(), name.clone());
        let known = state.objects.get(&key).cloned();
        let mut object = match (&known, path) {
            (Some(known), None) => return (409, object_text(&name, known)),
            (None, Some(_)) => return (404, String::new()),
            (Some(known), Some(_)) => known.clone(),
            (None, None) => Object {
                revision: 0,
                created: state.revision + 1,
                spec: "null".to_owned(),
                status: "null".to_owned(),
            },
        };
        if known.is_some() && condition.is_some_and(|revision| revision != object.revision) {
            return (409, object_text(&name, &object));
        }
        if is_status {
            object.status = new_status.unwrap_or_else(|| "null".to_owned());
        } else {
            object.spec = new_spec.unwrap_or_else(|| "null".to_owned());
        }
        let is_same = known
            .as_ref()
            .is_some_and(|known| known.spec == object.spec && known.status == object.status);
        if !is_same {
            state.revision += 1;
            object.revision = state.revision;
            let text: Arc<str> = object_text(&name, &object).into();
            // The history of jobs is read by nobody here, and would only take memory.
            let is_watched = !kind.starts_with("notch-job") || kind == "notch-job-ends";
            if is_watched && !kind.starts_with("notch-result") {
                let revision = state.revision;
                state.log.push((revision, kind.to_owned(), false, text));
            }
            state.objects.insert(key, object.clone());
            self.changed.notify_all();
        }
        (200, object_text(&name, &object))
    }

    fn delete(&self, kind: &str, name: &str, condition: Option<u64>) -> (u16, String) {
        let mut state = self.state.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        let Some(object) = state.objects.get(&key).cloned() else { return (404, String::new()) };
        if condition.is_some_and(|revision| revision != object.revision) {
            return (409, object_text(name, &object));
        }
        state.objects.remove(&key);
        state.revision += 1;
        let text: Arc<str> = object_text(name, &object).into();
        let revision = state.revision;
        state.log.push((revision, kind.to_owned(), true, text));
        self.changed.notify_all();
        (200, object_text(name, &object))
    }

    /// Writes an object as the operator or a server does.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let body = format!("{{\"metadata\":{{\"name\":{}}},\"spec\":{spec}}}", json::quote(name));
        let (status, _) = self.write(kind, None, false, &body);
        if status == 409 {
            self.write(kind, Some(name), false, &body);
        }
    }

    /// Has the gateways find a link's address under that of the proxy in front of it.
    pub fn relocate(&self, link: SocketAddr, proxy: SocketAddr) {
        let pair = (format!("\"{link}\""), format!("\"{proxy}\""));
        self.state.lock().unwrap().relocations.push(pair);
    }

    /// Number of objects of a kind, and the bytes of their specs.
    pub fn size(&self, kind: &str) -> (usize, usize) {
        let state = self.state.lock().unwrap();
        let of_kind = state.objects.iter().filter(|((of, _), _)| of == kind);
        of_kind.fold((0, 0), |(n, bytes), (_, object)| (n + 1, bytes + object.spec.len()))
    }

    pub fn spec(&self, kind: &str, name: &str) -> Option<String> {
        let state = self.state.lock().unwrap();
        state.objects.get(&(kind.to_owned(), name.to_owned())).map(|object| object.spec.clone())
    }
}
