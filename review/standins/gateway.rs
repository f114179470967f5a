//! A process of the deploy file's role `gateway`, started as the platform does it.

use std::{
    fs::{self, File},
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Mutex,
        atomic::{AtomicU16, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{record::Record, wire};

/// `graceS`: the platform kills a process that long after its SIGTERM.
pub const GRACE: Duration = Duration::from_secs(8);
/// Program, role and template of `deploy/system.toml`.
const PROGRAM: &str = "target/release/notch-entry";
const ROLE: &str = "gateway";
const TEMPLATE: &str = "deploy/gateway.ini";
const SIGTERM: i32 = 15;

/// Processes that were started and not ended yet, by id.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());
static NEXT_PORT: AtomicU16 = AtomicU16::new(0);

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

fn send_signal(pid: u32, signal: i32) {
    // SAFETY: a call without pointers, to a process that this one started.
    unsafe { kill(pid as i32, signal) };
}

/// Ends every process that was started and runs on.
pub fn end_all() {
    for pid in STARTED.lock().map(|list| list.clone()).unwrap_or_default() {
        send_signal(pid, 9);
    }
}

/// A port below those that the system gives to outgoing connections.
fn free_port() -> u16 {
    let first = 18_000 + (std::process::id() % 120 * 100) as u16;
    loop {
        let port = first + NEXT_PORT.fetch_add(1, Ordering::Relaxed) % 100;
        if TcpListener::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
}

/// A gateway process.
pub struct Gateway {
    pub name: String,
    pub clients: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    record: Record,
}

impl Gateway {
    /// Starts a gateway in `zone` with the settings that the platform fills into the template.
    /// `contracts` are those of the deployment.
    pub fn start(
        (name, zone): (&str, &str),
        contracts: &str,
        store: SocketAddr,
        (folder, record): (&Path, &Record),
    ) -> Self {
        let [clients, ready, links, metrics] = [(); 4].map(|()| free_port());
        let address = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
        let values: Vec<(&str, String)> = vec![
            ("nodeName", name.to_owned()),
            ("zone", zone.to_owned()),
            ("region", "r".to_owned()),
            ("ip", "127.0.0.1".to_owned()),
            ("listen.front", address(clients).to_string()),
            ("listen.readyAddr", address(ready).to_string()),
            ("internalPorts.0", links.to_string()),
            ("internalPorts.1", metrics.to_string()),
            ("platform.address", store.to_string()),
            ("bounds.quotaOverrun", "0.1".to_owned()),
            ("contracts", contracts.to_owned()),
            ("contracts.0", contracts.split(',').next().unwrap_or_default().to_owned()),
            ("limits.maxFds", "4200".to_owned()),
            ("limits.memoryMb", "260".to_owned()),
        ];
        let template = fs::read_to_string(TEMPLATE).expect("the template of the deploy file");
        let settings = folder.join(format!("{name}.ini"));
        fs::write(&settings, filled(&template, &values)).expect("the settings can be written");
        let mut gateway = Self {
            name: name.to_owned(),
            clients: address(clients),
            ready: address(ready),
            settings,
            log: folder.join(format!("{name}.log")),
            child: None,
            record: record.clone(),
        };
        gateway.spawn();
        gateway
    }

    /// Whether the program was built.
    pub fn is_built() -> bool {
        Path::new(PROGRAM).exists()
    }

    fn spawn(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log).expect("a log file");
        let child = Command::new(PROGRAM)
            .arg(ROLE)
            .env("MAGNOLIANOTCH_BOOT", &self.settings)
            .env("ASYNC_STD_THREAD_COUNT", "1")
            .stdin(Stdio::null())
            .stderr(log.try_clone().expect("a log file"))
            .stdout(log)
            .spawn()
            .expect("the program starts");
        if let Ok(mut started) = STARTED.lock() {
            started.push(child.id());
        }
        self.record.note(&format!("gateway {}: started at {}", self.name, self.clients));
        self.child = Some(child);
    }

    /// Whether it answers its readiness question with 200.
    pub fn is_ready(&self) -> bool {
        let question = wire::request("GET", "/magnolianotch/readyz", "Host: platform\r\n", b"");
        wire::call(self.ready, &question).is_some_and(|answer| answer.status() == 200)
    }

    pub fn await_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Sends SIGTERM. [`finish_stop`](Self::finish_stop) does the rest.
    pub fn terminate(&self) {
        self.record.note(&format!("gateway {}: SIGTERM", self.name));
        if let Some(child) = &self.child {
            send_signal(child.id(), SIGTERM);
        }
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_none_or(|child| matches!(child.try_wait(), Ok(Some(_)) | Err(_)))
    }

    /// Waits for the end of a process that got SIGTERM at `since`; kills it after the grace time.
    pub fn finish_stop(&mut self, since: Instant) {
        while since.elapsed() < GRACE && !self.has_ended() {
            thread::sleep(Duration::from_millis(10));
        }
        let how = if self.has_ended() { "ended" } else { "killed" };
        let after = since.elapsed().as_secs_f64();
        self.record.note(&format!("gateway {}: {how} {after:.2} s after SIGTERM", self.name));
        self.kill();
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        let Some(mut child) = self.child.take() else { return };
        let _ = child.kill();
        let _ = child.wait();
        if let Ok(mut started) = STARTED.lock() {
            started.retain(|pid| *pid != child.id());
        }
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The template with its values. A section stands where its name has a value.
fn filled(template: &str, values: &[(&str, String)]) -> String {
    let value = |name: &str| values.iter().find(|(known, _)| *known == name).map(|(_, v)| v);
    let mut lines = Vec::new();
    let mut is_left_out = false;
    for line in template.lines() {
        if let Some(name) = line.trim().strip_prefix("{{#").and_then(|l| l.strip_suffix("}}")) {
            is_left_out = value(name).is_none();
            continue;
        }
        if line.trim().starts_with("{{/") {
            is_left_out = false;
            continue;
        }
        if is_left_out {
            continue;
        }
        let mut line = line.to_owned();
        for (name, text) in values {
            line = line.replace(&format!("{{{{{name}}}}}"), text);
        }
        lines.push(line);
    }
    lines.join("\n") + "\n"
}
