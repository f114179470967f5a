//! Starts, kills and stops the parts of a fleet.

use std::{fmt, io, net::SocketAddr, time::Duration};

use futures_util::future::join_all;
use notch_catalogue::key_digest;
use notch_gateway::prelude::*;
use notch_messages::prelude::{EntryKey, EntryKind};
use notch_platform::{ObjectApi, VmRecord, VmRole, VmState};
use notch_settings::{GatewayConfig, SidecarConfig};
use notch_sidecar::prelude::*;
use notch_standins::{EngineHandle, EngineSettings, PlatformHandle, PlatformSettings};
use notch_types::{
    object::{StoreOp, WriteCondition},
    prelude::*,
};
use serde_json::{Value, json};

use crate::fleet::profile::FleetProfile;

/// The secret of links inside a local fleet.
pub const SECRET: &str = "a local fleet's own secret";
/// Key of the account that the fleet's catalogue holds.
pub const ACCOUNT_KEY: &str = "demo-key";
/// Name of that account.
pub const ACCOUNT: &str = "demo";
/// How long the fleet may take to see itself.
const READY_WAIT: Duration = Duration::from_secs(20);

/// What to start.
#[derive(Debug, Clone)]
pub struct FleetSettings {
    /// Whose deployment.
    pub profile: FleetProfile,
    /// Number of gateways.
    pub gateways: usize,
    /// Number of engines, each with its sidecar.
    pub sidecars: usize,
    /// Ledger shards.
    pub shards: u16,
    /// Work at one sidecar at once, at most.
    pub concurrency: u32,
    /// What the engines are like.
    pub engine: EngineSettings,
    /// What the platform is like.
    pub platform: PlatformSettings,
    /// Changes of each gateway's settings.
    pub gateway: GatewayConfig,
    /// Changes of each sidecar's settings.
    pub sidecar: SidecarSettings,
}

impl Default for FleetSettings {
    fn default() -> Self {
        let mut gateway = GatewayConfig::default();
        gateway.platform.vm_list_every = Duration::from_millis(500);
        gateway.platform.calls_per_s = 400;
        gateway.ledger.commit_delay_max = Duration::from_millis(100);
        gateway.jobs.lot_lease = Duration::from_secs(6);
        Self {
            profile: FleetProfile::rahbar(),
            gateways: 2,
            sidecars: 4,
            shards: 4,
            concurrency: 16,
            engine: EngineSettings::default(),
            platform: PlatformSettings::default(),
            gateway,
            sidecar: SidecarSettings::default(),
        }
    }
}

/// Why a fleet does not stand.
#[derive(Debug)]
pub enum FleetError {
    /// A stand-in can't listen.
    StandIn(io::Error),
    /// A gateway can't start.
    Gateway(GatewayError),
    /// A sidecar can't start.
    Sidecar(SidecarError),
    /// A catalogue entry can't be written.
    Entry(String),
    /// It did not see itself in time.
    NotReady,
}

impl fmt::Display for FleetError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::StandIn(error) => write!(f, "a stand-in can't listen: {error}"),
            Self::Gateway(error) => write!(f, "a gateway can't start: {error}"),
            Self::Sidecar(error) => write!(f, "a sidecar can't start: {error}"),
            Self::Entry(name) => write!(f, "the entry {name} can't be written"),
            Self::NotReady => f.write_str("the fleet did not see itself in time"),
        }
    }
}

impl std::error::Error for FleetError {}

/// A running fleet. Lost parts leave an empty place, so that numbers stay.
pub struct LocalFleet {
    settings: FleetSettings,
    /// The platform.
    pub platform: PlatformHandle,
    /// Engines, by number.
    pub engines: Vec<EngineHandle>,
    /// Sidecars, by number.
    pub sidecars: Vec<Option<SidecarHandle>>,
    /// Gateways, by number.
    pub gateways: Vec<Option<GatewayHandle>>,
}

impl LocalFleet {
    /// Starts everything and waits until each gateway sees the catalogue, each other and every
    /// sidecar.
    ///
    /// # Errors
    /// See [`FleetError`].
    pub async fn start(settings: FleetSettings) -> Result<Self, FleetError> {
        let platform = PlatformHandle::start(settings.platform.clone()).await;
        let platform = platform.map_err(FleetError::StandIn)?;
        let mut fleet = Self {
            settings,
            platform,
            engines: Vec::new(),
            sidecars: Vec::new(),
            gateways: Vec::new(),
        };
        fleet.write_entries().await?;
        for number in 0..fleet.settings.sidecars {
            fleet.add_target(number).await?;
        }
        for number in 0..fleet.settings.gateways {
            let gateway = fleet.start_gateway(number).await?;
            fleet.gateways.push(Some(gateway));
        }
        fleet.wait_ready().await?;
        Ok(fleet)
    }

    /// The settings it was started with.
    pub fn settings(&self) -> &FleetSettings {
        &self.settings
    }

    /// Where callers reach each gateway that runs.
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.gateways.iter().flatten().map(GatewayHandle::callers).collect()
    }

    /// Writes a catalogue entry, whatever stands there.
    ///
    /// # Errors
    /// When the store does not take it.
    pub async fn put_entry(
        &self,
        kind: EntryKind,
        name: &str,
        entry: &Value,
    ) -> Result<(), FleetError> {
        let key = EntryKey { kind, name: name.to_owned() };
        let put = StoreOp::Put {
            key: notch_catalogue::object_key(&key),
            value: entry.to_string().into_bytes().into(),
            condition: WriteCondition::Always,
        };
        let written = self.platform.objects().call(put).await;
        written.map(|_| ()).map_err(|_| FleetError::Entry(name.to_owned()))
    }

    /// Ends a gateway at once, as when its VM is lost. The VM list goes on showing it.
    pub async fn kill_gateway(&mut self, number: usize) {
        if let Some(gateway) = self.gateways.get_mut(number).and_then(Option::take) {
            gateway.kill().await;
        }
    }

    /// Starts a gateway again under the same name.
    ///
    /// # Errors
    /// When it can't start.
    pub async fn restart_gateway(&mut self, number: usize) -> Result<(), FleetError> {
        let gateway = self.start_gateway(number).await?;
        self.gateways[number] = Some(gateway);
        Ok(())
    }

    /// Ends a target VM at once: its sidecar and its engine.
    pub async fn kill_target(&mut self, number: usize) {
        drop(self.sidecars.get_mut(number).and_then(Option::take));
        if let Some(engine) = self.engines.get(number) {
            engine.crash(Duration::from_secs(3_600));
        }
    }

    /// Starts a sidecar again beside its engine, in place of the one that may still run. The VM
    /// list goes on showing the former address until [`LocalFleet::list_sidecar`].
    ///
    /// # Errors
    /// When it can't start.
    pub async fn restart_sidecar(&mut self, number: usize) -> Result<(), FleetError> {
        drop(self.sidecars[number].take());
        let mut settings = self.settings.sidecar.clone();
        settings.config = self.sidecar_config(number, self.engines[number].address());
        let sidecar = SidecarHandle::start(settings).await.map_err(FleetError::Sidecar)?;
        self.sidecars[number] = Some(sidecar);
        Ok(())
    }

    /// Has the VM list show where a sidecar is now.
    pub fn list_sidecar(&self, number: usize) {
        let sidecar = self.sidecars.get(number).and_then(Option::as_ref);
        if let Some(address) = sidecar.and_then(SidecarHandle::links_address) {
            self.list(&target_vm(number), VmRole::Target, address, number);
        }
    }

    /// Stops everything gracefully; says whether every part did in time.
    pub async fn stop(mut self) -> bool {
        let gateways = self.gateways.drain(..).flatten().map(GatewayHandle::stop);
        let graceful = join_all(gateways).await.into_iter().all(|graceful| graceful);
        self.sidecars.clear();
        for engine in self.engines.drain(..) {
            engine.stop().await;
        }
        self.platform.stop().await;
        graceful
    }

    async fn write_entries(&self) -> Result<(), FleetError> {
        let profile = &self.settings.profile;
        let target = profile.target_entry(self.settings.concurrency);
        self.put_entry(EntryKind::Target, profile.model, &target).await?;
        self.put_entry(EntryKind::Policy, "default", &profile.policy_entry()).await?;
        let account = json!({
            "owner": profile.name,
            "class": "online",
            "key_sha256": hex(&key_digest(ACCOUNT_KEY)),
            "limits": { "requests_per_s": 100_000.0, "burst": 100_000, "concurrency": 100_000 },
        });
        self.put_entry(EntryKind::Account, ACCOUNT, &account).await
    }

    async fn add_target(&mut self, number: usize) -> Result<(), FleetError> {
        let engine = EngineSettings { seed: number as u64 + 1, ..self.settings.engine.clone() };
        let engine = EngineHandle::start(engine).await.map_err(FleetError::StandIn)?;
        let mut settings = self.settings.sidecar.clone();
        settings.config = self.sidecar_config(number, engine.address());
        let sidecar = SidecarHandle::start(settings).await.map_err(FleetError::Sidecar)?;
        if let Some(address) = sidecar.links_address() {
            self.list(&target_vm(number), VmRole::Target, address, number);
        }
        self.engines.push(engine);
        self.sidecars.push(Some(sidecar));
        Ok(())
    }

    fn sidecar_config(&self, number: usize, engine: SocketAddr) -> SidecarConfig {
        let mut config = self.settings.sidecar.config.clone();
        config.node.vm = target_vm(number);
        config.node.domain = self.domain(number);
        config.listen.links = any_port();
        config.listen.metrics = any_port();
        config.links.secret = Some(SECRET.to_owned());
        config.links.secret_file = None;
        config.target.address = engine;
        config.target.name = TargetName::new(self.settings.profile.model);
        config.admission.limit_max = self.settings.concurrency;
        config.admission.limit_start = config.admission.limit_start.min(self.settings.concurrency);
        config
    }

    async fn start_gateway(&self, number: usize) -> Result<GatewayHandle, FleetError> {
        let mut config = self.settings.gateway.clone();
        config.node.vm = entry_vm(number);
        config.node.domain = self.domain(number);
        config.listen.callers = any_port();
        config.listen.links = any_port();
        config.listen.metrics = any_port();
        config.links.secret = Some(SECRET.to_owned());
        config.links.secret_file = None;
        config.ledger.shards = self.settings.shards;
        let platform = self.platform.address();
        config.platform.objects = platform;
        config.platform.vm_list = platform;
        config.platform.weights = platform;
        let edges = GatewayEdges::over_http(&config);
        let gateway = GatewayHandle::start(config, edges).await.map_err(FleetError::Gateway)?;
        self.list(&entry_vm(number), VmRole::Entry, gateway.links(), number);
        Ok(gateway)
    }

    fn list(&self, vm: &VmName, role: VmRole, address: SocketAddr, number: usize) {
        self.platform.vms().put(VmRecord {
            vm: vm.clone(),
            role,
            address: address.to_string(),
            domain: self.domain(number),
            state: VmState::Live,
        });
    }

    fn domain(&self, number: usize) -> DomainName {
        let domains = &self.settings.profile.domains;
        DomainName::new(domains[number % domains.len()])
    }

    async fn wait_ready(&self) -> Result<(), FleetError> {
        let started = std::time::Instant::now();
        while started.elapsed() < READY_WAIT {
            if self.is_ready() {
                return Ok(());
            }
            async_std::task::sleep(Duration::from_millis(50)).await;
        }
        Err(FleetError::NotReady)
    }

    fn is_ready(&self) -> bool {
        let gateways: Vec<&GatewayHandle> = self.gateways.iter().flatten().collect();
        let sidecars = self.sidecars.iter().flatten().count();
        let owned: i64 = gateways.iter().map(|gateway| gateway.shards_owned()).sum();
        let linked = |gateway: &&GatewayHandle| {
            gateway.is_ready() && gateway.sidecars_linked() == sidecars as i64
        };
        gateways.iter().all(linked) && owned == i64::from(self.settings.shards)
    }
}

/// The name of a target VM.
pub fn target_vm(number: usize) -> VmName {
    VmName::new(&format!("target-{number}"))
}

/// The name of an entry VM.
pub fn entry_vm(number: usize) -> VmName {
    VmName::new(&format!("entry-{number}"))
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
