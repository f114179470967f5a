//! A fleet whose gateways and sidecars are processes of their own, started from INI files. The
//! platform and the engines, which are no part of the system, stand in this process.

#![allow(unreachable_pub, reason = "a module of a test program")]

use std::{
    fs::{self, File},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    sync::OnceLock,
    time::Duration,
};

use magnolianotch::{
    fleet::{FleetProfile, local_fleet::ACCOUNT, local_fleet::ACCOUNT_KEY, local_fleet::target_vm},
    load::LoadClient,
};
use notch_catalogue::{key_digest, object_key};
use notch_http::prelude::*;
use notch_messages::prelude::*;
use notch_platform::{ObjectApi, VmRecord, VmRole, VmState};
use notch_standins::{
    EngineHandle, EngineSettings, PlatformHandle, PlatformSettings, lasting_address,
};
use notch_types::{
    object::{StoreOp, WriteCondition},
    prelude::*,
};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};

use super::support::{find, until};

/// The folder of the built programs: that of the command line, where the daemons are built too.
fn programs() -> &'static Path {
    static BUILT: OnceLock<PathBuf> = OnceLock::new();
    BUILT.get_or_init(|| {
        let command_line = Path::new(env!("CARGO_BIN_EXE_magnolianotch"));
        let folder = command_line.parent().expect("it is in a folder").to_owned();
        let mut build = Command::new(env!("CARGO"));
        build.args(["build", "--quiet", "--offline", "--locked"]);
        build.args(["-p", "notch-gateway", "-p", "notch-sidecar"]);
        if folder.ends_with("release") {
            build.arg("--release");
        }
        build.arg("--manifest-path").arg(concat!(env!("CARGO_MANIFEST_DIR"), "/Cargo.toml"));
        build.arg("--target-dir").arg(folder.parent().expect("a profile's folder is in another"));
        assert!(build.status().expect("cargo runs").success(), "the daemons are built");
        folder
    })
}

/// One daemon; dropping it kills it.
pub struct Daemon {
    child: Child,
}

impl Daemon {
    /// Starts one; its log stands beside its settings, and goes on over restarts.
    fn start(program: &str, config: &Path) -> Self {
        let log = File::options().create(true).append(true).open(config.with_extension("log"));
        let log = log.expect("the log is opened");
        let mut command = Command::new(programs().join(program));
        command.arg("--config").arg(config).stdout(Stdio::null()).stderr(log);
        Self { child: command.spawn().expect("the daemon starts") }
    }

    /// Ends it at once, as when its VM is lost.
    pub fn kill(&mut self) {
        self.child.kill().expect("it can be killed");
        self.child.wait().expect("it ends");
    }

    /// Asks it to end, as at a planned stop.
    pub fn ask_to_end(&self) {
        let pid = Pid::from_child(&self.child);
        kill_process(pid, Signal::TERM).expect("it runs");
    }

    /// Waits for its end.
    pub async fn ended(&mut self) -> ExitStatus {
        let mut status = None;
        until("the daemon ends", || {
            status = self.child.try_wait().expect("it is a child of this process");
            status.is_some()
        })
        .await;
        status.expect("it ended")
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The fleet.
pub struct ProcessFleet {
    folder: PathBuf,
    pub profile: FleetProfile,
    pub platform: PlatformHandle,
    pub engines: Vec<EngineHandle>,
    pub gateways: Vec<Daemon>,
    pub sidecars: Vec<Daemon>,
    /// Where callers reach each gateway; the same over restarts.
    pub callers: Vec<SocketAddr>,
}

impl ProcessFleet {
    /// Starts two gateways and three sidecars, and waits until each gateway answers.
    pub async fn start(name: &str) -> Self {
        Self::start_after(name, |_| ()).await
    }

    /// The same; each daemon's addresses are told before it starts.
    pub async fn start_after(name: &str, mut tell: impl FnMut(SocketAddr)) -> Self {
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        // Logs of an earlier run would be taken for this one's.
        let _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(&folder).expect("the folder is made");
        let platform = PlatformHandle::start(PlatformSettings::default()).await;
        let mut fleet = Self {
            folder,
            profile: FleetProfile::rahbar(),
            platform: platform.expect("it listens"),
            engines: Vec::new(),
            gateways: Vec::new(),
            sidecars: Vec::new(),
            callers: Vec::new(),
        };
        fleet.write_entries().await;
        for number in 0..3 {
            fleet.add_sidecar(number, &mut tell).await;
        }
        for number in 0..2 {
            fleet.add_gateway(number, &mut tell);
        }
        for number in 0..2 {
            fleet.until_ready(number).await;
        }
        fleet
    }

    /// Starts a gateway again from its file.
    pub async fn restart_gateway(&mut self, number: usize) {
        self.gateways[number] = Daemon::start("notch-gateway", &self.file("gateway", number));
        self.until_ready(number).await;
    }

    fn file(&self, role: &str, number: usize) -> PathBuf {
        self.folder.join(format!("{role}-{number}.ini"))
    }

    async fn add_sidecar(&mut self, number: usize, tell: &mut impl FnMut(SocketAddr)) {
        let settings =
            EngineSettings { base_step: Duration::from_millis(4), ..EngineSettings::default() };
        let engine = EngineHandle::start(settings).await.expect("it listens");
        let addresses @ [links, metrics] = daemon_addresses();
        addresses.into_iter().for_each(tell);
        let vm = target_vm(number);
        let text = format!(
            "[node]\nvm = {vm}\ndomain = {}\n\n[listen]\nlinks = {links}\nmetrics = {metrics}\n\n\
             {}\n[target]\nname = {}\nkind = engine\naddress = {}\n",
            self.domain(number),
            self.common(),
            self.profile.model,
            engine.address(),
        );
        let file = self.file("sidecar", number);
        fs::write(&file, text).expect("the file is written");
        self.sidecars.push(Daemon::start("notch-sidecar", &file));
        self.engines.push(engine);
        self.list(vm, VmRole::Target, links, number);
    }

    fn add_gateway(&mut self, number: usize, tell: &mut impl FnMut(SocketAddr)) {
        let addresses @ [callers, links, metrics] = daemon_addresses();
        addresses.into_iter().for_each(tell);
        let vm = VmName::new(&format!("entry-{number}"));
        let text = format!(
            "[node]\nvm = {vm}\ndomain = {}\n\n[listen]\ncallers = {callers}\nlinks = {links}\n\
             metrics = {metrics}\n\n{}\n[ledger]\nshards = 2\n\n[jobs]\nlot_lease = 6s\n",
            self.domain(number),
            self.common(),
        );
        let file = self.file("gateway", number);
        fs::write(&file, text).expect("the file is written");
        self.gateways.push(Daemon::start("notch-gateway", &file));
        self.callers.push(callers);
        self.list(vm, VmRole::Entry, links, number);
    }

    fn common(&self) -> String {
        let platform = self.platform.address();
        format!(
            "[platform]\nobjects = {platform}\nvm_list = {platform}\nweights = {platform}\n\
             vm_list_every = 500ms\n\n[links]\nsecret = a secret of these tests\n"
        )
    }

    fn domain(&self, number: usize) -> DomainName {
        DomainName::new(self.profile.domains[number % self.profile.domains.len()])
    }

    fn list(&self, vm: VmName, role: VmRole, address: SocketAddr, number: usize) {
        let (address, domain) = (address.to_string(), self.domain(number));
        let record = VmRecord { vm, role, address, domain, state: VmState::Live };
        self.platform.vms().put(record);
    }

    async fn until_ready(&self, number: usize) {
        let http = HttpClient::default();
        let client = LoadClient::new(&http, self.callers[number], ACCOUNT_KEY);
        find("a gateway is ready", || async {
            let request = client.request(Method::Get, "/readyz", Body::empty());
            client.whole(request).await.filter(|(status, _)| *status == 200)
        })
        .await;
    }

    async fn write_entries(&self) {
        let digest = key_digest(ACCOUNT_KEY);
        let digest: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
        let account = json!({
            "owner": self.profile.name,
            "class": "online",
            "key_sha256": digest,
            "limits": { "requests_per_s": 10_000.0, "burst": 10_000, "concurrency": 10_000 },
        });
        self.put(EntryKind::Account, ACCOUNT, &account).await;
        self.put(EntryKind::Target, self.profile.model, &self.profile.target_entry(16)).await;
        self.put(EntryKind::Policy, "default", &self.profile.policy_entry()).await;
    }

    async fn put(&self, kind: EntryKind, name: &str, entry: &Value) {
        let key = object_key(&EntryKey { kind, name: name.to_owned() });
        let value = entry.to_string().into_bytes().into();
        let put = StoreOp::Put { key, value, condition: WriteCondition::Always };
        self.platform.objects().call(put).await.expect("the store takes it");
    }
}

/// Addresses of one daemon, which no connection can take before it starts, or while it is down.
fn daemon_addresses<const N: usize>() -> [SocketAddr; N] {
    std::array::from_fn(|_| lasting_address())
}
