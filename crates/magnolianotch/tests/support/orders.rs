//! A small fleet whose engines hold nothing until ordered to.
#![allow(dead_code, unreachable_pub, reason = "each test file uses its share")]

use std::{
    future::Future,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use async_channel::Receiver;
use async_std::{
    sync::{Mutex, MutexGuard},
    task,
};
use magnolianotch::{
    fleet::{
        FleetProfile, FleetSettings, LocalFleet,
        local_fleet::{ACCOUNT_KEY, SECRET, entry_vm, target_vm},
    },
    load::{client::LoadClient, client::ReplyEnd, prompt::OnlinePrompt},
};
use notch_gateway::prelude::GatewayHandle;
use notch_http::prelude::*;
use notch_link::prelude::*;
use notch_messages::prelude::*;
use notch_placement::LeaseRecord;
use notch_platform::ObjectApi;
use notch_types::{
    object::{StoreOp, StoreReply},
    prelude::*,
};
use serde_json::{Value, json};

/// Longest wait for anything; no test measures time.
const PATIENCE: Duration = Duration::from_secs(60);
/// Time between two looks.
const LOOK: Duration = Duration::from_millis(20);
/// Deadline of an online request.
const DEADLINE: Duration = Duration::from_secs(10);
/// Refusals in a row that show a lasting state.
const REFUSALS_IN_A_ROW: u32 = 10;
/// Key of the operators.
const OPERATOR_KEY: &str = "operators' key";

/// One test of a file at a time: each runs a whole fleet.
static TURN: Mutex<()> = Mutex::new(());

/// The turn of one test.
pub async fn turn() -> MutexGuard<'static, ()> {
    TURN.lock().await
}

/// Waits until `check` holds.
pub async fn until<F: Future<Output = bool>>(what: &str, mut check: impl FnMut() -> F) {
    let started = Instant::now();
    while !check().await {
        assert!(started.elapsed() < PATIENCE, "never came: {what}");
        task::sleep(LOOK).await;
    }
}

/// Short pauses, engines of their own kind, one slot each.
pub fn settings() -> FleetSettings {
    let mut settings = FleetSettings { sidecars: 4, ..FleetSettings::default() };
    settings.profile = FleetProfile::rahbar();
    settings.engine.loaded_only = true;
    settings.engine.load_time = Duration::from_millis(300);
    settings.platform.vms.lag = Duration::from_millis(100);
    settings.platform.weights.permits_per_second = 50.0;
    settings.platform.weights.burst = 50.0;
    let placement = &mut settings.gateway.placement;
    placement.lease = Duration::from_secs(2);
    placement.renew = Duration::from_millis(500);
    placement.standby_poll = Duration::from_millis(500);
    placement.plan_every = Duration::from_millis(100);
    placement.order_timeout = Duration::from_secs(2);
    placement.settle = Duration::from_secs(1);
    placement.silent_after = Duration::from_secs(4);
    placement.repair_delay = Duration::from_secs(1);
    placement.move_delay = Duration::from_secs(2);
    placement.rollout_soak = Duration::from_millis(200);
    let digest = notch_catalogue::key_digest(OPERATOR_KEY);
    let digest: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
    settings.gateway.operators.key_sha256 = Some(digest);
    settings.sidecar.holdings_poll = Duration::from_millis(200);
    settings.sidecar.gate.load_refresh = Duration::from_millis(500);
    settings
}

/// A fleet, its caller and what its placement lease says.
pub struct OrdersFleet {
    pub fleet: LocalFleet,
    http: HttpClient,
    prompts: AtomicU64,
}

impl OrdersFleet {
    pub async fn start(settings: FleetSettings) -> Self {
        let fleet = LocalFleet::start(settings).await.expect("the fleet stands");
        let http = HttpClient::new(ClientSettings::default());
        Self { fleet, http, prompts: AtomicU64::new(0) }
    }

    pub fn model(&self) -> &'static str {
        self.fleet.settings().profile.model
    }

    /// Writes the model's entry, with a version and numbers of replicas.
    pub async fn want(&self, version: &str, replicas: u32, min_replicas: u32) {
        let mut entry = self.fleet.settings().profile.target_entry(16);
        entry["model"] = json!({
            "version": version, "replicas": replicas, "min_replicas": min_replicas,
        });
        let put = self.fleet.put_entry(EntryKind::Target, self.model(), &entry).await;
        put.expect("the store takes it");
    }

    /// The version that an engine holds.
    pub fn held(&self, number: usize) -> Option<String> {
        let models = self.fleet.engines[number].models().models;
        models.into_iter().find(|held| held.model == self.model()).map(|held| held.version)
    }

    /// Numbers of the engines that hold a version.
    pub fn holders(&self, version: &str) -> Vec<usize> {
        let all = 0..self.fleet.engines.len();
        all.filter(|number| self.held(*number).as_deref() == Some(version)).collect()
    }

    /// Waits until exactly `copies` engines hold `version`, and none another.
    pub async fn until_held(&self, version: &str, copies: usize) {
        until(&format!("{copies} copies of {version}"), || async {
            let any = (0..self.fleet.engines.len()).filter(|n| self.held(*n).is_some()).count();
            self.holders(version).len() == copies && any == copies
        })
        .await;
    }

    pub fn gateway(&self, number: usize) -> &GatewayHandle {
        self.fleet.gateways[number].as_ref().expect("it runs")
    }

    /// Sum of a counter over the gateways that run.
    pub fn counted(&self, counter: Counter) -> u64 {
        let gateways = self.fleet.gateways.iter().flatten();
        gateways.map(|gateway| gateway.metrics().counted(counter)).sum()
    }

    /// A caller of the first gateway that runs.
    pub fn client(&self) -> LoadClient {
        let address = self.fleet.callers()[0];
        LoadClient::new(&self.http, address, ACCOUNT_KEY)
    }

    /// One online request, with a prompt of its own.
    pub async fn ask(&self) -> ReplyEnd {
        let number = self.prompts.fetch_add(1, Ordering::Relaxed);
        let prompt = OnlinePrompt::numbered("slot reply", number, 30, 6);
        self.client().chat(&prompt, self.model(), None, DEADLINE).await.end
    }

    /// Waits until an online request is answered.
    pub async fn until_served(&self) {
        until("an answer", || async { self.ask().await == ReplyEnd::Right }).await;
    }

    /// Waits until online requests are refused for want of a copy, without an answer between. Ones
    /// on their way while the last copy goes may end otherwise, but never as of no known target.
    pub async fn until_no_target(&self) {
        let mut in_a_row = 0;
        let started = Instant::now();
        while in_a_row < REFUSALS_IN_A_ROW {
            assert!(started.elapsed() < PATIENCE, "never refused for want of a copy");
            let ReplyEnd::Refused { code, ran, retry_after_ms } = self.ask().await else {
                in_a_row = 0;
                continue;
            };
            assert_ne!(code, "unknown_target", "the catalogue has it");
            if code == "no_target" {
                assert_eq!(ran, "no");
                assert!(retry_after_ms.is_some(), "it says when to come back");
                in_a_row += 1;
            }
        }
    }

    /// What the placement lease says; `None` before anyone held it.
    pub async fn lease(&self) -> Option<LeaseRecord> {
        let key = "placement/lease".to_owned();
        let read = self.fleet.platform.objects().call(StoreOp::Get { key }).await;
        let Ok(StoreReply::Object(Some(object))) = read else { return None };
        LeaseRecord::decode(&object.value?)
    }

    /// The number of the gateway that holds the placement lease, and its epoch.
    pub async fn holder(&self) -> (usize, Epoch) {
        until("a holder of the lease", || async { self.lease().await.is_some() }).await;
        let record = self.lease().await.expect("just seen");
        let gateways = 0..self.fleet.gateways.len();
        let number = gateways.into_iter().find(|number| entry_vm(*number) == record.writer);
        (number.expect("one of the fleet"), record.epoch)
    }

    /// An operator's `explain`: the notes of every gateway.
    pub async fn explain(&self, kind: &str, id: &str) -> Value {
        let client = LoadClient::new(&self.http, self.fleet.callers()[0], OPERATOR_KEY);
        let path = format!("/v1/operator/explain/{kind}/{id}");
        let answer = client.whole(client.request(Method::Get, &path, "")).await;
        let (status, body) = answer.expect("an answer");
        assert_eq!(status, 200, "{body}");
        serde_json::from_str(&body).expect("JSON")
    }

    /// A link to a sidecar in the name of a gateway that the fleet no longer knows.
    pub async fn impostor(&self, number: usize) -> LateGateway {
        let sidecar = self.fleet.sidecars[number].as_ref().expect("it runs");
        let address = sidecar.links_address().expect("it listens");
        LateGateway::dial(address, &target_vm(number)).await
    }

    pub async fn stop(self) {
        self.fleet.stop().await;
    }
}

/// Asks online requests one after the other until told to stop.
pub struct SteadyCaller {
    stopped: Arc<AtomicBool>,
    asking: task::JoinHandle<Vec<ReplyEnd>>,
}

impl SteadyCaller {
    pub fn start(fleet: &OrdersFleet) -> Self {
        let stopped = Arc::new(AtomicBool::new(false));
        let (ends, client, model) = (Arc::clone(&stopped), fleet.client(), fleet.model());
        let asking = task::spawn(async move {
            let mut replies = Vec::new();
            while !ends.load(Ordering::Relaxed) {
                let number = replies.len() as u64;
                let prompt = OnlinePrompt::numbered("reschedule reply", number, 30, 6);
                replies.push(client.chat(&prompt, model, None, DEADLINE).await.end);
                task::sleep(LOOK).await;
            }
            replies
        });
        Self { stopped, asking }
    }

    /// How each request ended.
    pub async fn stop(self) -> Vec<ReplyEnd> {
        self.stopped.store(true, Ordering::Relaxed);
        self.asking.await
    }
}

/// A gateway whose messages come late: a former holder of the lease that was paused.
pub struct LateGateway {
    link: LinkHandle,
    messages: Receiver<GatewayMessage>,
    _dialer: LinkDialer,
}

impl LateGateway {
    async fn dial(address: std::net::SocketAddr, vm: &VmName) -> Self {
        let (news, incoming) = async_channel::unbounded();
        let settings = LinkSettings {
            vm: VmName::new("entry-late"),
            role: NodeRole::Gateway,
            secret: LinkSecret::new(SECRET.as_bytes()),
            ..LinkSettings::default()
        };
        let sink: LinkSink = Arc::new(move |event| {
            let _ = news.try_send(event);
        });
        let dialer = LinkDialer::start(address, vm, settings, sink);
        let link = loop {
            if let LinkEvent::Up { link, .. } = incoming.recv().await.expect("the dialer runs") {
                break link;
            }
        };
        let (sender, messages) = async_channel::unbounded();
        task::spawn(async move {
            while let Ok(event) = incoming.recv().await {
                if let LinkEvent::Message { message: LinkMessage::ToGateway(message), .. } = event
                    && sender.send(message).await.is_err()
                {
                    return;
                }
            }
        });
        Self { link, messages, _dialer: dialer }
    }

    /// Gives an order and returns how it ended.
    pub async fn order(&self, order: TargetOrder) -> OrderOutcome {
        let number = order.order;
        let message = LinkMessage::ToSidecar(SidecarMessage::Order(order));
        self.link.send(message).expect("the link stands");
        let ended = async {
            loop {
                let message = self.messages.recv().await.expect("the link stands");
                if let GatewayMessage::OrderEnded { order, outcome, .. } = message
                    && order == number
                {
                    return outcome;
                }
            }
        };
        async_std::future::timeout(PATIENCE, ended).await.expect("the order ends")
    }
}
