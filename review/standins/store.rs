//! The platform's store: objects by kind and name, conditional writes and watches.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpStream},
    sync::{Arc, Condvar, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use crate::{
    json,
    record::Record,
    wire::{self, Connection, Message},
};

/// `valueBytes` of the settings: an object is that long at most.
pub const VALUE_BYTES: usize = 1_048_576;
/// Objects of one page of a list.
const PAGE_ITEMS: usize = 500;
/// Bytes of one page of a list.
const PAGE_BYTES: usize = 1 << 20;

#[derive(Debug, Clone)]
struct Object {
    revision: u64,
    created: u64,
    spec: String,
    status: Option<String>,
}

impl Object {
    fn text(&self, name: &str) -> String {
        let (revision, created, spec) = (self.revision, self.created, &self.spec);
        let status = self.status.as_ref().map(|s| format!(",\"status\":{s}")).unwrap_or_default();
        format!(
            "{{\"metadata\":{{\"name\":{},\"revision\":{revision},\"createRev\":{created},\
             \"finalizers\":[],\"deleting\":false}},\"spec\":{spec}{status}}}",
            json::quoted(name)
        )
    }
}

#[derive(Debug)]
struct Change {
    revision: u64,
    kind: String,
    is_deleted: bool,
    text: String,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    changes: Vec<Change>,
    is_down: bool,
}

/// The store. It loses nothing that it has acknowledged; while it is down, it answers 503 to every call.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    record: Record,
}

impl Store {
    pub fn start(record: &Record) -> (Self, SocketAddr) {
        let state = State { revision: 500, ..State::default() };
        let store =
            Self { state: Arc::new((Mutex::new(state), Condvar::new())), record: record.clone() };
        let shared = store.clone();
        let address = wire::serve(move |stream| shared.serve(stream));
        (store, address)
    }

    /// Writes an object's spec, as the operator and the servers do.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        self.write(kind, name, |object| object.spec = spec.to_owned());
    }

    /// Begins or ends an outage.
    pub fn set_down(&self, is_down: bool) {
        self.lock().is_down = is_down;
        self.state.1.notify_all();
        self.record.note(if is_down { "store: down" } else { "store: back" });
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().expect("no thread panics with the lock")
    }

    fn write(&self, kind: &str, name: &str, edit: impl FnOnce(&mut Object)) -> String {
        let mut state = self.lock();
        let key = (kind.to_owned(), name.to_owned());
        let next = state.revision + 1;
        let known = state.objects.get(&key).cloned();
        let mut object = known.clone().unwrap_or(Object {
            revision: next,
            created: next,
            spec: "null".to_owned(),
            status: None,
        });
        edit(&mut object);
        let is_same =
            known.is_some_and(|known| known.spec == object.spec && known.status == object.status);
        if is_same {
            return object.text(name);
        }
        object.revision = next;
        state.revision = next;
        let text = object.text(name);
        state.objects.insert(key, object);
        let change =
            Change { revision: next, kind: kind.to_owned(), is_deleted: false, text: text.clone() };
        state.changes.push(change);
        drop(state);
        self.state.1.notify_all();
        text
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Some(call) = connection.request() {
            let (status, body) =
                if self.lock().is_down { (503, "{}".to_owned()) } else { self.answer(&call) };
            let bytes = wire::answer(status, "Content-Type: application/json\r\n", body.as_bytes());
            if connection.send(&bytes).is_err() {
                return;
            }
        }
    }

    fn answer(&self, call: &Message) -> (u16, String) {
        let (path, query) = call.target().split_once('?').unwrap_or((call.target(), ""));
        let Some(path) = path.strip_prefix("/magnolianotch/objects/") else {
            return (404, "{}".to_owned());
        };
        let path: Vec<&str> = path.split('/').collect();
        let body = call.text();
        let metadata = json::member(&body, "metadata").unwrap_or_default();
        let asked = json::member(metadata, "revision").and_then(|text| text.parse::<u64>().ok());
        match (call.method(), path.as_slice()) {
            ("GET", [kind]) => match number(query, "watch") {
                Some(from) => self.watch(kind, from, number(query, "waitMs").unwrap_or(0)),
                None => self.list(kind, text_of(query, "after")),
            },
            ("GET", [kind, name]) => match self.get(kind, name) {
                Some(object) => (200, object.text(name)),
                None => (404, "{}".to_owned()),
            },
            ("POST", [kind]) => {
                let name = json::unquoted(json::member(metadata, "name").unwrap_or_default());
                let spec = json::member(&body, "spec").unwrap_or("null");
                if let Some(object) = self.get(kind, &name) {
                    return (409, object.text(&name));
                }
                if spec.len() > VALUE_BYTES {
                    return self.too_large(kind, &name, spec.len());
                }
                self.record.note(&format!("store: creates {kind}/{name}, {} bytes", spec.len()));
                (200, self.write(kind, &name, |object| object.spec = spec.to_owned()))
            }
            ("PUT", [kind, name, rest @ ..]) => {
                let Some(object) = self.get(kind, name) else { return (404, "{}".to_owned()) };
                if asked.is_some_and(|asked| asked != object.revision) {
                    return (409, object.text(name));
                }
                let is_status = rest.first() == Some(&"status");
                let part = if is_status { "status" } else { "spec" };
                let value = json::member(&body, part).unwrap_or("null").to_owned();
                if value.len() > VALUE_BYTES {
                    return self.too_large(kind, name, value.len());
                }
                let text = self.write(kind, name, |object| match is_status {
                    true => object.status = Some(value),
                    false => object.spec = value,
                });
                (200, text)
            }
            ("DELETE", [kind, name]) => self.delete(kind, name),
            _ => (404, "{}".to_owned()),
        }
    }

    fn too_large(&self, kind: &str, name: &str, bytes: usize) -> (u16, String) {
        self.record.note(&format!("store: refuses {kind}/{name} of {bytes} bytes with 413"));
        (413, "{}".to_owned())
    }

    fn get(&self, kind: &str, name: &str) -> Option<Object> {
        self.lock().objects.get(&(kind.to_owned(), name.to_owned())).cloned()
    }

    fn delete(&self, kind: &str, name: &str) -> (u16, String) {
        let mut state = self.lock();
        let Some(object) = state.objects.remove(&(kind.to_owned(), name.to_owned())) else {
            return (404, "{}".to_owned());
        };
        state.revision += 1;
        let (revision, text) = (state.revision, object.text(name));
        let change =
            Change { revision, kind: kind.to_owned(), is_deleted: true, text: text.clone() };
        state.changes.push(change);
        drop(state);
        self.state.1.notify_all();
        (200, text)
    }

    fn list(&self, kind: &str, after: Option<&str>) -> (u16, String) {
        let state = self.lock();
        let mut items = Vec::new();
        let (mut bytes, mut is_more) = (0, false);
        for ((object_kind, name), object) in &state.objects {
            if object_kind != kind || after.is_some_and(|after| name.as_str() <= after) {
                continue;
            }
            let text = object.text(name);
            bytes += text.len();
            if !items.is_empty() && (items.len() >= PAGE_ITEMS || bytes > PAGE_BYTES) {
                is_more = true;
                break;
            }
            items.push(text);
        }
        let (items, revision) = (items.join(","), state.revision);
        (200, format!("{{\"items\":[{items}],\"more\":{is_more},\"storeRevision\":{revision}}}"))
    }

    fn watch(&self, kind: &str, from: u64, wait_ms: u64) -> (u16, String) {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.lock();
        loop {
            if state.is_down {
                return (503, "{}".to_owned());
            }
            let news = state.changes.iter().filter(|c| c.revision > from && c.kind == kind);
            let events: Vec<String> = news
                .map(|c| format!("{{\"deleted\":{},\"object\":{}}}", c.is_deleted, c.text))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), state.revision);
                return (200, format!("{{\"events\":[{events}],\"storeRevision\":{revision}}}"));
            }
            state = self.state.1.wait_timeout(state, left).expect("the lock isn't poisoned").0;
        }
    }
}

fn text_of<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.into_iter().find(|(known, _)| *known == name).map(|(_, value)| value)
}

fn number(query: &str, name: &str) -> Option<u64> {
    text_of(query, name)?.parse().ok()
}
