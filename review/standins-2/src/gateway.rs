//! Gateways: the project's own program, started with the command of the deploy file and settings filled in from its
//! template.

use std::{
    collections::HashMap,
    fs::{self, File},
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{self, Child, Command, Stdio},
    sync::{
        atomic::{AtomicI32, AtomicU32, Ordering},
        Arc, Mutex,
    },
    time::{Duration, Instant},
};

use crate::{http, proxy::Proxy, record::Record, store::Endpoint};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn signal(number: i32, handler: extern "C" fn(i32)) -> usize;
    fn _exit(status: i32) -> !;
}

pub const SIGKILL: i32 = 9;
pub const SIGINT: i32 = 2;
pub const SIGTERM: i32 = 15;
pub const SIGSTOP: i32 = 19;

const PROGRAM: &str = "target/release/notch-entry";
const TEMPLATE: &str = "deploy/gateway.ini";

/// What the platform's settings say.
#[derive(Debug, Clone, Default)]
pub struct Sheet {
    pub values: HashMap<String, String>,
}

impl Sheet {
    /// The fields that every deployment has.
    pub fn new(contracts: &str) -> Self {
        let mut sheet = Self::default();
        sheet.set("region", "pk-central");
        sheet.set("contracts", contracts);
        sheet.set("contracts.0", "base");
        sheet.set("platform.valueBytes", "1048576");
        sheet.set("limits.maxFds", "4200");
        sheet.set("limits.memoryMb", "260");
        sheet.set("bounds.graceS", "8");
        sheet.set("bounds.quotaOverrun", "0.1");
        sheet
    }

    pub fn set(&mut self, key: &str, value: &str) {
        self.values.insert(key.to_owned(), value.to_owned());
    }

    /// Fills in a template: values, and sections that stand once where their value is there.
    pub fn fill(&self, template: &str) -> String {
        let (mut out, mut rest) = (String::new(), template);
        while let Some(at) = rest.find("{{") {
            out.push_str(&rest[..at]);
            let end = at + rest[at..].find("}}").expect("a closed placeholder");
            let word = rest[at + 2..end].trim();
            rest = &rest[end + 2..];
            if let Some(key) = word.strip_prefix('#') {
                let close = format!("{{{{/{key}}}}}");
                let to = rest.find(&close).expect("a closed section");
                if self.values.contains_key(key) {
                    out.push_str(&self.fill(&rest[..to]));
                }
                rest = &rest[to + close.len()..];
            } else {
                out.push_str(self.values.get(word).map_or("", String::as_str));
            }
        }
        out.push_str(rest);
        out
    }
}

/// A free port below those that the system hands out for channels, so that none of these takes it.
fn free_port() -> u16 {
    static TRIED: AtomicU32 = AtomicU32::new(0);
    loop {
        let step = TRIED.fetch_add(1, Ordering::SeqCst);
        let port = 12_000 + (process::id().wrapping_mul(97).wrapping_add(step) % 18_000) as u16;
        if TcpListener::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
}

/// Processes to be ended if this one is told to end.
static CHILDREN: [AtomicI32; 16] = [const { AtomicI32::new(0) }; 16];

extern "C" fn end_children(_signal: i32) {
    for child in &CHILDREN {
        let id = child.load(Ordering::SeqCst);
        if id > 0 {
            // SAFETY: `kill` may be called in a signal handler; the child was not waited for.
            unsafe { kill(id, SIGKILL) };
        }
    }
    // SAFETY: ends the process without unwinding, which is allowed in a signal handler.
    unsafe { _exit(2) };
}

/// Ends the gateways if this process is told to end.
pub fn end_children_on_signals() {
    for number in [SIGINT, SIGTERM] {
        // SAFETY: the handler only calls what may be called in one.
        unsafe { signal(number, end_children) };
    }
}

fn remember(id: i32) {
    let free = CHILDREN
        .iter()
        .find(|slot| slot.compare_exchange(0, id, Ordering::SeqCst, Ordering::SeqCst).is_ok());
    assert!(free.is_some(), "more processes than expected");
}

fn forget(id: i32) {
    for slot in &CHILDREN {
        let _ = slot.compare_exchange(id, 0, Ordering::SeqCst, Ordering::SeqCst);
    }
}

pub struct Gateway {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub links: SocketAddr,
    pub endpoint: Arc<Endpoint>,
    /// Proxies of its way to the store and of the links that others open to it.
    cut: [Proxy; 2],
    settings: PathBuf,
    log: PathBuf,
    child: Mutex<Option<Child>>,
    record: Arc<Record>,
}

impl Gateway {
    /// Prepares a gateway; [`start`](Self::start) starts it.
    pub fn new(
        name: &str,
        zone: &str,
        sheet: &Sheet,
        endpoint: Arc<Endpoint>,
        folder: &Path,
        record: &Arc<Record>,
    ) -> Self {
        let ports: [u16; 4] = std::array::from_fn(|_| free_port());
        let at = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
        let mut sheet = sheet.clone();
        sheet.set("nodeName", name);
        sheet.set("zone", zone);
        sheet.set("ip", "127.0.0.1");
        sheet.set("listen.front", &at(ports[0]).to_string());
        sheet.set("listen.readyAddr", &at(ports[1]).to_string());
        sheet.set("internalPorts.0", &ports[2].to_string());
        sheet.set("internalPorts.1", &ports[3].to_string());
        let store = Proxy::start(endpoint.address);
        sheet.set("platform.address", &store.address.to_string());
        let link = Proxy::start(at(ports[2]));
        let template = fs::read_to_string(TEMPLATE).expect("the template of the settings");
        let settings = folder.join(format!("{name}.ini"));
        fs::write(&settings, sheet.fill(&template)).expect("the settings can be written");
        Self {
            name: name.to_owned(),
            front: at(ports[0]),
            ready: at(ports[1]),
            links: at(ports[2]),
            cut: [store, link],
            endpoint,
            settings,
            log: folder.join(format!("{name}.log")),
            child: Mutex::default(),
            record: Arc::clone(record),
        }
    }

    pub fn start(&self) {
        let log = File::options().create(true).append(true).open(&self.log).expect("a log file");
        let errors = log.try_clone().expect("a log file");
        let child = Command::new(PROGRAM)
            .arg("gateway")
            .env("MAGNOLIANOTCH_BOOT", &self.settings)
            .env("ASYNC_STD_THREAD_COUNT", "1")
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("the program is built");
        self.record.line(&format!("{} is started, process {}", self.name, child.id()));
        remember(child.id() as i32);
        *self.child.lock().unwrap() = Some(child);
    }

    /// Address of the proxy in front of its links.
    pub fn link_proxy(&self) -> SocketAddr {
        self.cut[1].address
    }

    /// Cuts it off from the store and from the gateways that open links to it: from all if its name is the last one.
    pub fn set_cut(&self, is_cut: bool) {
        let word =
            if is_cut { "cut off from the store and all gateways" } else { "no longer cut off" };
        self.record.line(&format!("{} is {word}", self.name));
        self.cut.iter().for_each(|proxy| proxy.set_cut(is_cut));
    }

    pub fn signal(&self, signal: i32) {
        if let Some(child) = self.child.lock().unwrap().as_ref() {
            self.record.line(&format!("signal {signal} to {}", self.name));
            // SAFETY: sends a signal to a child that was not waited for yet.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Ends the process at once.
    pub fn kill(&self) {
        self.signal(SIGKILL);
        self.reap();
    }

    pub fn reap(&self) {
        if let Some(mut child) = self.child.lock().unwrap().take() {
            forget(child.id() as i32);
            let _ = child.wait();
        }
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&self) -> bool {
        let mut child = self.child.lock().unwrap();
        child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    /// Memory of the process, bytes: what it has now and its highest.
    pub fn memory(&self) -> (u64, u64) {
        let child = self.child.lock().unwrap();
        let Some(child) = child.as_ref() else { return (0, 0) };
        let status = fs::read_to_string(format!("/proc/{}/status", child.id())).unwrap_or_default();
        let field = |name: &str| {
            let line = status.lines().find(|line| line.starts_with(name))?;
            line.split_whitespace().nth(1)?.parse::<u64>().ok()
        };
        (field("VmRSS:").unwrap_or(0) * 1024, field("VmHWM:").unwrap_or(0) * 1024)
    }

    pub fn is_ready(&self) -> bool {
        let wait = Duration::from_secs(1);
        let answer = http::call(self.ready, "GET", "/magnolianotch/readyz", &[], b"", wait);
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    pub fn await_ready(&self, wait: Duration) -> bool {
        let began = Instant::now();
        while began.elapsed() < wait {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.lock().unwrap().take() {
            forget(child.id() as i32);
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
