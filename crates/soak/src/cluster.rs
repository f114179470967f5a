//! The cluster under test: stand-ins, proxies and gateway processes.

mod targets;

use std::{
    fs, io,
    path::Path,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use async_std::{future::timeout, net::TcpStream, task};
use notch_platform_standins::{
    any_port,
    client::StandInClient,
    store::{STEADY_KEY, StandInAccount, StandInStore, configuration_with_probes_and, passing_key},
    target::{SeenAccount, StandInTarget},
};
use notch_settings::{EntryConfig, prelude::FeatureSwitch};
use rustix::process::Signal;

use self::targets::{TargetConduct, TargetHandle, start_target};
use crate::{
    config::{REVOCATION_BOUND, gateway_config},
    fault::SoakFault,
    limited_accounts::{LIMITED_ACCOUNTS, QUOTA},
    observation::{Observation, ObservationLog},
    process::GatewayProcess,
    proxy::{FaultProxy, ProxyMode},
    settings::SoakSettings,
};

/// Time after which a gateway that was told to stop is killed, as the platform does it.
const STOP_TIMEOUT: Duration = Duration::from_millis(8_000);
/// Delay of each event where slots are offered for items. Items run for six events, so that some wait while the reports
/// and offers of other gateways arrive.
const OFFERED_EVENT_DELAY_MS: u64 = 40;
/// Delay of each event where clients take streams up, so that some break off in the middle.
const VERSIONED_EVENT_DELAY_MS: u64 = 5;
/// Descriptors that a gateway may use where it gets most new connections.
const FLOODED_DESCRIPTORS: u32 = 700;
/// Prompt part that crashes targets.
pub(crate) const POISON_PART: &str = "bad";
/// Interval of checks while waiting for a process or a fault.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between two checks of a process that starts: little is missed of the time in which signals come too early.
const SIGNAL_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// A gateway process and the number of faults that keep it down.
#[derive(Debug)]
struct GatewayHandle {
    process: GatewayProcess,
    /// Number of current faults that keep the process down or paused.
    outages: u32,
}

/// The cluster under test.
#[derive(Debug, Clone)]
pub struct SoakCluster {
    /// Observations so far.
    pub log: ObservationLog,
    store: StandInStore,
    store_proxies: Arc<Vec<FaultProxy>>,
    /// Proxies in front of the gateways' links; empty unless links are cut.
    link_proxies: Arc<Vec<FaultProxy>>,
    /// Accounts with a limit.
    limited: &'static [StandInAccount<'static>],
    conduct: TargetConduct,
    /// The gateway to which most new connections come, if any; `usize::MAX` for none.
    crowded: Arc<AtomicUsize>,
    started: Instant,
    gateways: Arc<Vec<Mutex<GatewayHandle>>>,
    targets: Arc<Vec<Mutex<TargetHandle>>>,
    /// Replaced targets, which still finish their runs.
    replaced: Arc<Mutex<Vec<StandInTarget>>>,
    /// Whether targets are being replaced by ones of a later version.
    is_releasing: Arc<AtomicBool>,
    version: Arc<AtomicU64>,
    /// When each configuration version was written, starting with version 1.
    written: Arc<Mutex<Vec<Instant>>>,
}

/// A client's API key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SoakKey {
    /// Text of the key.
    pub text: String,
    /// How long ago the key was revoked; `None` while it is valid.
    pub revoked_for: Option<Duration>,
}

impl SoakCluster {
    /// Starts the stand-ins, the proxies and the gateways.
    ///
    /// # Errors
    /// The settings can't be written or a gateway can't be started.
    pub async fn start(settings: &SoakSettings) -> io::Result<Self> {
        fs::create_dir_all(&settings.folder)?;
        let store = StandInStore::start().await;
        let limited: &[StandInAccount<'_>] =
            if settings.limits_accounts { &LIMITED_ACCOUNTS } else { &[] };
        let event_delay_ms = match settings {
            SoakSettings { offers_items: true, .. } => OFFERED_EVENT_DELAY_MS,
            SoakSettings { mixes_versions: true, .. }
            | SoakSettings { releases_versions: true, .. }
            | SoakSettings { crashes_parts: true, .. }
            | SoakSettings { crashes_requests: true, .. } => VERSIONED_EVENT_DELAY_MS,
            _ => 0,
        };
        store.put("config", "main", configuration_with_probes_and(1, limited));
        let conduct = TargetConduct {
            event_delay_ms,
            names_version: settings.has_versions(),
            releases: settings.releases_versions.then(Arc::default),
            fails_items: settings.fails_items,
            culprits: settings.culprits(),
        };
        let mut targets = Vec::new();
        for number in 0..settings.targets {
            targets.push(Mutex::new(start_target(&store, number, 0, &conduct).await));
        }
        let mut store_proxies = Vec::new();
        let mut link_proxies = Vec::new();
        let mut gateways = Vec::new();
        for number in 0..settings.gateways {
            let proxy = start_proxy(store.address).await;
            let mut config = gateway_config(&format!("gateway-{number}"), proxy.address);
            config.accounts.revocation_bound_millis = REVOCATION_BOUND.as_secs_f64() * 1_000.0;
            if settings.evicts_gateways {
                config.fleet.evict_gateways = FeatureSwitch::On;
            }
            if settings.floods_gateways {
                config.connections.max_descriptors = FLOODED_DESCRIPTORS;
            }
            if settings.offers_items {
                config.fleet.share_item_slots = FeatureSwitch::On;
            }
            if settings.limits_accounts {
                config.accounts.quota_window_seconds = QUOTA.window.as_secs_f64();
                config.accounts.quota_overrun = QUOTA.overrun;
                config.accounts.quota_slack = QUOTA.slack;
            }
            if settings.limits_accounts || settings.releases_versions {
                let link_proxy = start_proxy(config.listen.links).await;
                store.relocate(config.listen.links, link_proxy.address);
                link_proxies.push(link_proxy);
            }
            store_proxies.push(proxy);
            let process = start_gateway(&settings.program, &settings.folder, &config)?;
            gateways.push(Mutex::new(GatewayHandle { process, outages: 0 }));
        }
        Ok(Self {
            log: ObservationLog::default(),
            store,
            store_proxies: Arc::new(store_proxies),
            link_proxies: Arc::new(link_proxies),
            limited,
            conduct,
            crowded: Arc::new(AtomicUsize::new(usize::MAX)),
            started: Instant::now(),
            gateways: Arc::new(gateways),
            targets: Arc::new(targets),
            replaced: Arc::default(),
            is_releasing: Arc::default(),
            version: Arc::new(AtomicU64::new(1)),
            written: Arc::new(Mutex::new(vec![Instant::now()])),
        })
    }

    /// Number of gateways.
    pub fn gateway_count(&self) -> usize {
        self.gateways.len()
    }

    /// A client that calls the given gateway.
    pub fn client(&self, gateway: usize) -> StandInClient {
        StandInClient { address: self.gateway(gateway).process.clients }
    }

    /// Name of a gateway's current process, which changes with each start.
    pub fn incarnation(&self, gateway: usize) -> String {
        self.gateway(gateway).process.incarnation()
    }

    /// Version of the newest configuration in the store.
    pub fn version(&self) -> u64 {
        self.version.load(Ordering::Acquire)
    }

    /// Accounts with a limit.
    pub fn limited_accounts(&self) -> &'static [StandInAccount<'static>] {
        self.limited
    }

    /// The key that is never revoked.
    pub fn steady_key(&self) -> SoakKey {
        SoakKey { text: STEADY_KEY.to_owned(), revoked_for: None }
    }

    /// The key that was added by a configuration version.
    pub fn passing_key(&self, version: u64) -> SoakKey {
        let written = self.written.lock().unwrap_or_else(PoisonError::into_inner);
        // The key is revoked by the second version after it. Versions count from 1, so that is at this index.
        let revoked_for = written.get(version as usize + 1).map(Instant::elapsed);
        SoakKey { text: passing_key(version), revoked_for }
    }

    /// Injects a fault. Faults with a duration go on in a task of their own.
    pub fn apply(&self, fault: &SoakFault) {
        let cluster = self.clone();
        let fault = fault.clone();
        task::spawn(async move { cluster.run_fault(fault).await });
    }

    /// The gateway to which most new connections come now.
    pub fn crowded(&self) -> Option<usize> {
        Some(self.crowded.load(Ordering::Acquire)).filter(|gateway| *gateway < self.gateways.len())
    }

    /// Time since the start.
    pub fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }

    async fn run_fault(&self, fault: SoakFault) {
        let touched = fault.touched_gateways(self.gateways.len());
        self.note_disturbance(&touched, true);
        self.carry_out(fault).await;
        self.note_disturbance(&touched, false);
    }

    fn note_disturbance(&self, touched: &[usize], begins: bool) {
        for gateway in touched {
            let (gateway, at) = (Some(*gateway), self.elapsed());
            self.log.add(Observation::Disturbed { gateway, at, begins });
        }
    }

    /// Opens connections to a gateway that stay open, and has most new ones come to it.
    async fn flood(&self, gateway: usize, connections: usize, duration: Duration) {
        self.crowded.store(gateway, Ordering::Release);
        let address = self.gateway(gateway).process.clients;
        let until = Instant::now() + duration;
        let mut open = Vec::new();
        while Instant::now() < until {
            if open.len() < connections
                && let Ok(Ok(stream)) = timeout(POLL_INTERVAL, TcpStream::connect(address)).await
            {
                open.push(stream);
                continue;
            }
            task::sleep(POLL_INTERVAL).await;
        }
        let none = usize::MAX;
        let _ = self.crowded.compare_exchange(gateway, none, Ordering::AcqRel, Ordering::Acquire);
    }

    async fn carry_out(&self, fault: SoakFault) {
        match fault {
            SoakFault::Flood { gateway, connections, duration } => {
                self.flood(gateway, connections, duration).await;
            }
            SoakFault::Kill { gateway, pause } => {
                self.begin_outage(gateway, GatewayProcess::kill);
                task::sleep(pause).await;
                self.restart(gateway);
            }
            SoakFault::KillAll { pause } => {
                let gateways = 0..self.gateways.len();
                gateways.clone().for_each(|gateway| {
                    self.begin_outage(gateway, GatewayProcess::kill);
                });
                task::sleep(pause).await;
                gateways.for_each(|gateway| self.restart(gateway));
            }
            SoakFault::Stop { gateway } => self.stop_and_restart(gateway).await,
            SoakFault::Pause { gateway, duration } => {
                self.begin_outage(gateway, |process| process.signal(Signal::STOP));
                task::sleep(duration).await;
                self.end_outage(gateway, |process| process.signal(Signal::CONT));
            }
            SoakFault::Reload { gateway } => self.reload(gateway).await,
            SoakFault::StorePath { gateway, mode, duration } => {
                disturb(&self.store_proxies[gateway..=gateway], mode, duration).await;
            }
            SoakFault::LinkPath { first, mode, duration } => {
                disturb(&self.link_proxies[first..], mode, duration).await;
            }
            SoakFault::TargetPath { target, mode, duration } => {
                let proxy = self.target(target).proxy.clone();
                disturb(&[proxy], mode, duration).await;
            }
            SoakFault::TargetAnswers { target, conduct } => {
                self.target(target).target.conduct(&conduct);
            }
            SoakFault::StoreDown { duration } => {
                self.store.set_down(true);
                task::sleep(duration).await;
                self.store.set_down(false);
            }
            SoakFault::LostWrites { kind, count } => self.store.lose_answers(kind, count),
            SoakFault::Configuration => {
                let version = self.version.fetch_add(1, Ordering::AcqRel) + 1;
                let configuration = configuration_with_probes_and(version, self.limited);
                self.store.put("config", "main", configuration);
                let mut written = self.written.lock().unwrap_or_else(PoisonError::into_inner);
                written.push(Instant::now());
            }
            SoakFault::TargetReplaced { target } => self.replace_target(target).await,
            SoakFault::Release { gateway, lag, lead, duration } => {
                self.release(gateway, lag, lead, duration).await;
            }
        }
    }

    /// Ends all faults and waits until every gateway that is down was started again.
    pub async fn heal(&self) {
        self.store.set_down(false);
        self.store.lose_answers("", 0);
        for proxy in self.store_proxies.iter().chain(self.link_proxies.iter()) {
            proxy.set(ProxyMode::Pass);
        }
        for number in 0..self.targets.len() {
            let handle = self.target(number);
            handle.proxy.set(ProxyMode::Pass);
            handle.target.clear_conduct();
        }
        for gateway in 0..self.gateways.len() {
            self.gateway(gateway).process.signal(Signal::CONT);
            while self.gateway(gateway).outages > 0 {
                task::sleep(POLL_INTERVAL).await;
            }
        }
    }

    /// Kills all gateways. Dropping the cluster isn't enough: clients that wait for jobs that never end keep a
    /// clone of it until this process ends, so the gateway processes would outlive the soak test.
    pub fn kill_gateways(&self) {
        for gateway in 0..self.gateways.len() {
            self.gateway(gateway).process.kill();
        }
    }

    /// Restarts gateways that ended by themselves, and records that.
    pub fn restart_crashed(&self) {
        for gateway in 0..self.gateways.len() {
            let mut handle = self.gateway(gateway);
            if handle.outages == 0 && handle.process.has_ended() {
                let process = handle.process.incarnation();
                self.log.add(Observation::EndedByItself { process });
                restart_process(&mut handle);
            }
        }
    }

    /// Records what ran at the targets, and what crashed them.
    pub fn record_runs(&self) {
        self.record_crashes();
        let replaced = self.replaced.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let current = (0..self.targets.len()).map(|number| self.target(number).target.clone());
        for target in replaced.into_iter().chain(current) {
            let times = target.begun().into_iter().zip(target.times_left());
            let seen = target.accounts().into_iter().zip(times);
            for (SeenAccount { attempt, account, has_key }, (begun, left)) in seen {
                let at = begun.saturating_duration_since(self.started);
                if let Some(account) = account.as_ref().filter(|account| self.is_limited(account)) {
                    let (attempt, account) = (attempt.clone(), account.clone());
                    self.log.add(Observation::Began { attempt, account, at });
                }
                self.log.add(Observation::HandedOn { attempt: attempt.clone(), at, left });
                self.log.add(Observation::Ran { attempt, account, has_key });
            }
        }
    }

    fn record_crashes(&self) {
        let replaced = self.replaced.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let current = (0..self.targets.len()).map(|number| self.target(number).target.clone());
        for (attempt, at) in replaced.into_iter().chain(current).flat_map(|t| t.crashes()) {
            let at = at.saturating_duration_since(self.started);
            self.log.add(Observation::Crashed { attempt, at });
        }
    }

    fn is_limited(&self, account: &str) -> bool {
        self.limited.iter().any(|(name, ..)| *name == account)
    }

    async fn stop_and_restart(&self, gateway: usize) {
        self.begin_outage(gateway, |process| process.signal(Signal::TERM));
        let mut waited = Duration::ZERO;
        while waited < STOP_TIMEOUT && !self.gateway(gateway).process.has_ended() {
            task::sleep(POLL_INTERVAL).await;
            waited += POLL_INTERVAL;
        }
        self.restart(gateway);
    }

    /// Reloads a gateway's settings as soon as its process handles the signal. No program can handle it before its first
    /// instruction.
    async fn reload(&self, gateway: usize) {
        let process = self.incarnation(gateway);
        while self.incarnation(gateway) == process {
            {
                let mut handle = self.gateway(gateway);
                if handle.process.catches(Signal::HUP) {
                    return handle.process.signal(Signal::HUP);
                }
                if handle.process.has_ended() {
                    return;
                }
            }
            task::sleep(SIGNAL_POLL_INTERVAL).await;
        }
    }

    fn begin_outage(&self, gateway: usize, act: impl FnOnce(&mut GatewayProcess)) {
        let mut handle = self.gateway(gateway);
        handle.outages += 1;
        act(&mut handle.process);
    }

    fn end_outage(&self, gateway: usize, act: impl FnOnce(&mut GatewayProcess)) {
        let mut handle = self.gateway(gateway);
        handle.outages -= 1;
        act(&mut handle.process);
        if handle.outages == 0 && handle.process.has_ended() {
            restart_process(&mut handle);
        }
    }

    fn restart(&self, gateway: usize) {
        let mut handle = self.gateway(gateway);
        handle.outages -= 1;
        restart_process(&mut handle);
    }

    fn gateway(&self, gateway: usize) -> MutexGuard<'_, GatewayHandle> {
        self.gateways[gateway].lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn target(&self, number: usize) -> MutexGuard<'_, TargetHandle> {
        self.targets[number].lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Starts a gateway's process again. The program started before, so it has been removed from the disk if this
/// fails, and the soak test can't go on.
fn restart_process(handle: &mut GatewayHandle) {
    handle.process.start().expect("the program starts again");
}

async fn disturb(proxies: &[FaultProxy], mode: ProxyMode, duration: Duration) {
    proxies.iter().for_each(|proxy| proxy.set(mode));
    task::sleep(duration).await;
    proxies.iter().for_each(|proxy| proxy.set(ProxyMode::Pass));
}

async fn start_proxy(destination: std::net::SocketAddr) -> FaultProxy {
    let listener = any_port().await;
    let address = listener.local_addr().expect("a listener has an address");
    FaultProxy::start(listener, address, destination)
}

fn start_gateway(
    program: &Path,
    folder: &Path,
    config: &EntryConfig,
) -> io::Result<GatewayProcess> {
    let mut process = GatewayProcess::new(program, folder, config)?;
    process.start()?;
    Ok(process)
}
