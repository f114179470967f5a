//! Everything that a soak runs: stand-ins, proxies and the gateways' processes.

use std::{
    fs, io,
    path::Path,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use async_std::task;
use notch_platform_standins::{
    any_port,
    client::StandInClient,
    store::{STEADY_KEY, StandInStore, configuration_with_probes, passing_key},
    target::{SeenAccount, StandInTarget},
};
use notch_settings::EntryConfig;
use rustix::process::Signal;

use crate::{
    config::{REVOCATION_BOUND, gateway_config},
    fault::SoakFault,
    observation::{Observation, ObservationLog},
    process::GatewayProcess,
    proxy::{FaultProxy, ProxyMode},
    settings::SoakSettings,
};

/// A gateway that was told to stop is killed after this long, as the platform does it.
const STOP_LONGEST: Duration = Duration::from_millis(8_000);
/// How often something is looked at.
const TICK: Duration = Duration::from_millis(50);

/// A gateway and whether it is down because of a fault.
#[derive(Debug)]
struct GatewaySlot {
    process: GatewayProcess,
    /// Faults that hold it down or stopped now.
    holds: u32,
}

/// A target behind its proxy. One that is replaced goes on under a new id.
#[derive(Debug)]
struct TargetSlot {
    target: StandInTarget,
    proxy: FaultProxy,
    replacements: u32,
}

/// Everything that a soak runs.
#[derive(Debug, Clone)]
pub struct SoakWorld {
    /// What was seen.
    pub log: ObservationLog,
    store: StandInStore,
    store_proxies: Arc<Vec<FaultProxy>>,
    gateways: Arc<Vec<Mutex<GatewaySlot>>>,
    targets: Arc<Vec<Mutex<TargetSlot>>>,
    /// Targets that were replaced; they end their runs.
    former: Arc<Mutex<Vec<StandInTarget>>>,
    version: Arc<AtomicU64>,
    /// When each version was written, from the first on.
    written: Arc<Mutex<Vec<Instant>>>,
}

/// A key of a client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SoakKey {
    /// The key.
    pub text: String,
    /// How long ago it was taken away; `None` while it holds.
    pub taken_away_for: Option<Duration>,
}

impl SoakWorld {
    /// Starts everything.
    ///
    /// # Errors
    /// A gateway can't be started.
    pub async fn start(settings: &SoakSettings) -> io::Result<Self> {
        fs::create_dir_all(&settings.folder)?;
        let store = StandInStore::start().await;
        store.put("config", "main", configuration_with_probes(1));
        let mut targets = Vec::new();
        for number in 0..settings.targets {
            targets.push(Mutex::new(start_target(&store, number, 0).await));
        }
        let mut store_proxies = Vec::new();
        let mut gateways = Vec::new();
        for number in 0..settings.gateways {
            let proxy = start_proxy(store.address).await;
            let mut config = gateway_config(&format!("gateway-{number}"), proxy.address);
            config.accounts.revocation_bound_millis = REVOCATION_BOUND.as_secs_f64() * 1_000.0;
            store_proxies.push(proxy);
            let process = start_gateway(&settings.program, &settings.folder, &config)?;
            gateways.push(Mutex::new(GatewaySlot { process, holds: 0 }));
        }
        Ok(Self {
            log: ObservationLog::default(),
            store,
            store_proxies: Arc::new(store_proxies),
            gateways: Arc::new(gateways),
            targets: Arc::new(targets),
            former: Arc::default(),
            version: Arc::new(AtomicU64::new(1)),
            written: Arc::new(Mutex::new(vec![Instant::now()])),
        })
    }

    /// How many gateways there are.
    pub fn gateway_count(&self) -> usize {
        self.gateways.len()
    }

    /// A client of a gateway.
    pub fn client(&self, gateway: usize) -> StandInClient {
        StandInClient { address: self.slot(gateway).process.clients }
    }

    /// The process that is a gateway now.
    pub fn incarnation(&self, gateway: usize) -> String {
        self.slot(gateway).process.incarnation()
    }

    /// Newest configuration in the store.
    pub fn version(&self) -> u64 {
        self.version.load(Ordering::Acquire)
    }

    /// The key that stays.
    pub fn steady_key(&self) -> SoakKey {
        SoakKey { text: STEADY_KEY.to_owned(), taken_away_for: None }
    }

    /// The key that came with a version.
    pub fn passing_key(&self, version: u64) -> SoakKey {
        let written = self.written.lock().unwrap_or_else(PoisonError::into_inner);
        // The version that holds it no more is the second one after it; versions count from 1.
        let taken_away_for = written.get(version as usize + 1).map(Instant::elapsed);
        SoakKey { text: passing_key(version), taken_away_for }
    }

    /// Does what a fault says; what lasts goes on beside it.
    pub fn apply(&self, fault: &SoakFault) {
        let world = self.clone();
        let fault = fault.clone();
        task::spawn(async move { world.inflict(fault).await });
    }

    async fn inflict(&self, fault: SoakFault) {
        match fault {
            SoakFault::Kill { gateway, pause } => {
                self.hold(gateway, GatewayProcess::kill);
                task::sleep(pause).await;
                self.restart(gateway);
            }
            SoakFault::Stop { gateway } => self.stop_and_restart(gateway).await,
            SoakFault::Pause { gateway, duration } => {
                self.hold(gateway, |process| process.signal(Signal::STOP));
                task::sleep(duration).await;
                self.release(gateway, |process| process.signal(Signal::CONT));
            }
            SoakFault::Reload { gateway } => self.slot(gateway).process.signal(Signal::HUP),
            SoakFault::StorePath { gateway, mode, duration } => {
                spoil(&self.store_proxies[gateway], mode, duration).await;
            }
            SoakFault::TargetPath { target, mode, duration } => {
                let proxy = self.target(target).proxy.clone();
                spoil(&proxy, mode, duration).await;
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
                self.store.put("config", "main", configuration_with_probes(version));
                let mut written = self.written.lock().unwrap_or_else(PoisonError::into_inner);
                written.push(Instant::now());
            }
            SoakFault::TargetReplaced { target } => self.replace_target(target).await,
        }
    }

    /// Ends every fault that may still last, and starts what is down.
    pub async fn heal(&self) {
        self.store.set_down(false);
        self.store.lose_answers("", 0);
        for proxy in self.store_proxies.iter() {
            proxy.set(ProxyMode::Pass);
        }
        for number in 0..self.targets.len() {
            let slot = self.target(number);
            slot.proxy.set(ProxyMode::Pass);
            slot.target.clear_conduct();
        }
        for gateway in 0..self.gateways.len() {
            self.slot(gateway).process.signal(Signal::CONT);
            while self.slot(gateway).holds > 0 {
                task::sleep(TICK).await;
            }
        }
    }

    /// Kills every gateway. Clients that wait for jobs without an end hold this world for as long as the
    /// process lives, so that no gateway would be dropped, and each would outlive the soak.
    pub fn end(&self) {
        for gateway in 0..self.gateways.len() {
            self.slot(gateway).process.kill();
        }
    }

    /// Starts gateways that ended by themselves, which is written down.
    pub fn watch_processes(&self) {
        for gateway in 0..self.gateways.len() {
            let mut slot = self.slot(gateway);
            if slot.holds == 0 && slot.process.has_ended() {
                let process = slot.process.incarnation();
                self.log.add(Observation::EndedByItself { process });
                start_again(&mut slot);
            }
        }
    }

    /// Writes down what ran at targets.
    pub fn note_runs(&self) {
        let former = self.former.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let current = (0..self.targets.len()).map(|number| self.target(number).target.clone());
        for target in former.into_iter().chain(current) {
            for SeenAccount { attempt, account, has_key } in target.accounts() {
                self.log.add(Observation::Ran { attempt, account, has_key });
            }
        }
    }

    async fn stop_and_restart(&self, gateway: usize) {
        self.hold(gateway, |process| process.signal(Signal::TERM));
        let mut waited = Duration::ZERO;
        while waited < STOP_LONGEST && !self.slot(gateway).process.has_ended() {
            task::sleep(TICK).await;
            waited += TICK;
        }
        self.restart(gateway);
    }

    async fn replace_target(&self, number: usize) {
        let (former, replacements) = {
            let slot = self.target(number);
            (slot.target.clone(), slot.replacements + 1)
        };
        let next = start_target(&self.store, number, replacements).await;
        self.store.delete("servers", &former.id);
        self.former.lock().unwrap_or_else(PoisonError::into_inner).push(former);
        *self.target(number) = next;
    }

    fn hold(&self, gateway: usize, act: impl FnOnce(&mut GatewayProcess)) {
        let mut slot = self.slot(gateway);
        slot.holds += 1;
        act(&mut slot.process);
    }

    fn release(&self, gateway: usize, act: impl FnOnce(&mut GatewayProcess)) {
        let mut slot = self.slot(gateway);
        slot.holds -= 1;
        act(&mut slot.process);
        if slot.holds == 0 && slot.process.has_ended() {
            start_again(&mut slot);
        }
    }

    fn restart(&self, gateway: usize) {
        let mut slot = self.slot(gateway);
        slot.holds -= 1;
        start_again(&mut slot);
    }

    fn slot(&self, gateway: usize) -> MutexGuard<'_, GatewaySlot> {
        self.gateways[gateway].lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn target(&self, number: usize) -> MutexGuard<'_, TargetSlot> {
        self.targets[number].lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A program that started once and doesn't again has gone from the disk: the run can't go on.
fn start_again(slot: &mut GatewaySlot) {
    slot.process.start().expect("the program starts again");
}

async fn spoil(proxy: &FaultProxy, mode: ProxyMode, duration: Duration) {
    proxy.set(mode);
    task::sleep(duration).await;
    proxy.set(ProxyMode::Pass);
}

async fn start_proxy(destination: std::net::SocketAddr) -> FaultProxy {
    let listener = any_port().await;
    let address = listener.local_addr().expect("a listener has an address");
    FaultProxy::start(listener, address, destination)
}

async fn start_target(store: &StandInStore, number: usize, replacements: u32) -> TargetSlot {
    let id = format!("t-{number}-{replacements}");
    let target = StandInTarget::start(&id).await;
    target.mark_events();
    let proxy = start_proxy(target.address).await;
    store.put("servers", &id, target.entry_at(proxy.address));
    TargetSlot { target, proxy, replacements }
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
