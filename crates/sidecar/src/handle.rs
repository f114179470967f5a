//! Starts a sidecar and stops it.

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::AtomicU64},
    thread,
    time::Duration,
};

use async_channel::Receiver;
use async_std::task;
use notch_http::prelude::ServerHandle;
use notch_link::prelude::*;
use notch_messages::prelude::TargetOrder;
use notch_target::prelude::*;
use notch_telemetry::prelude::Metrics;
use notch_types::prelude::*;
use serde_json::Value;

use crate::{
    control::{ControlEvent, ControlLoop, ControlParts, EventSender, event_queue},
    error::SidecarError,
    pages::serve_pages,
    poller::TargetPoller,
    settings::{ANSWER_BYTES, SidecarSettings},
    status::ServingStatus,
    traffic::{LinkBoard, RunBoard, RunContext, TimingBoard, WarmBoard},
};

/// Time for the last messages to leave the links before they are closed.
const FLUSH_TIME: Duration = Duration::from_millis(100);
/// Time that monitors get to read their last page.
const PAGES_GRACE: Duration = Duration::from_millis(50);
/// Orders that may wait behind the one at the engine; the gate gives one at a time.
const ORDERS_WAITING: usize = 1;

/// A running sidecar. Dropping it ends it at once, as a crash would.
#[derive(Debug)]
pub struct SidecarHandle {
    vm: VmName,
    incarnation: Incarnation,
    listener: Option<LinkListener>,
    pages: Option<ServerHandle>,
    events: EventSender,
    drained: Receiver<()>,
    metrics: Arc<Metrics>,
    control: Option<thread::JoinHandle<()>>,
}

impl SidecarHandle {
    /// Starts a sidecar.
    ///
    /// # Errors
    /// When an address can't be listened on, or there is no shared secret.
    pub async fn start(settings: SidecarSettings) -> Result<Self, SidecarError> {
        let link_settings = settings.link_settings()?;
        let node = settings.config.node.clone();
        let listen = settings.config.listen.clone();
        let incarnation = settings.incarnation.unwrap_or_else(|| Incarnation(rand::random()));
        let metrics = Arc::new(Metrics::new(&node.vm, &node.domain));
        let status = Arc::new(ServingStatus::default());
        let (events, queue) = event_queue();
        let activity = Arc::new(AtomicU64::new(0));
        let target = target_link(&settings);
        let pages = serve_pages(listen.metrics, Arc::clone(&metrics), Arc::clone(&status)).await?;
        let listener =
            LinkListener::start(listen.links, link_settings, link_sink(&events)).await.map_err(
                |error| SidecarError::Listen { address: listen.links.to_string(), error },
            )?;
        let (probes, probe_wakes) = async_channel::bounded(1);
        let (orders, order_queue) = async_channel::bounded(ORDERS_WAITING);
        let (drain, drained) = async_channel::bounded(1);
        let parts = ControlParts {
            incarnation,
            seed: rand::random(),
            context: RunContext {
                target: Arc::clone(&target),
                is_engine: settings.is_engine(),
                links: Arc::new(LinkBoard::default()),
                board: Arc::new(RunBoard::default()),
                timings: Arc::new(TimingBoard::default()),
                warm: Arc::new(WarmBoard::default()),
                activity: Arc::clone(&activity),
                metrics: Arc::clone(&metrics),
                events: events.clone(),
            },
            status,
            probes,
            orders,
            drained: drain,
            settings: settings.clone(),
        };
        let control = thread::Builder::new()
            .name("notch-control".to_owned())
            .spawn(move || ControlLoop::new(parts).run(queue))
            .map_err(SidecarError::Thread)?;
        let poller = || target_poller(&settings, &target, &events, &activity);
        start_pollers(poller, settings.is_engine(), probe_wakes, order_queue);
        Ok(Self {
            vm: node.vm,
            incarnation,
            listener: Some(listener),
            pages: Some(pages),
            events,
            drained,
            metrics,
            control: Some(control),
        })
    }

    /// The sidecar's VM.
    pub fn vm(&self) -> &VmName {
        &self.vm
    }

    /// The number of this start.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Where gateways dial; `None` once stopped.
    pub fn links_address(&self) -> Option<SocketAddr> {
        self.listener.as_ref().map(LinkListener::address)
    }

    /// Where monitors read; `None` once stopped.
    pub fn metrics_address(&self) -> Option<SocketAddr> {
        self.pages.as_ref().map(ServerHandle::address)
    }

    /// The sidecar's metrics.
    pub fn metrics(&self) -> &Arc<Metrics> {
        &self.metrics
    }

    /// The notes on a subject; `None` when there are none.
    pub async fn explain(&self, subject: NoteSubject) -> Option<Value> {
        let (answer, answered) = async_channel::bounded(1);
        self.events.post(ControlEvent::Explain { subject, answer });
        answered.recv().await.ok().flatten()
    }

    /// Begins to leave: no new work from now on.
    pub fn leave(&self) {
        self.events.post(ControlEvent::Leave);
    }

    /// Waits until nothing runs and nothing is owed any more after [`SidecarHandle::leave`]. A
    /// drain told by gateways or the catalogue alone doesn't end this: it may be called off.
    pub async fn left(&self) {
        // The sender never sends: it is closed at the end.
        let _ = self.drained.recv().await;
    }

    /// Leaves gracefully, within the drain bound, and ends.
    pub async fn stop(mut self) {
        self.leave();
        self.left().await;
        task::sleep(FLUSH_TIME).await;
        if let Some(listener) = self.listener.take() {
            listener.stop().await;
        }
        if let Some(pages) = self.pages.take() {
            pages.stop(PAGES_GRACE).await;
        }
        self.events.post(ControlEvent::End);
        if let Some(control) = self.control.take() {
            // A thread that panicked has said so itself.
            let _ = task::spawn_blocking(move || control.join()).await;
        }
    }
}

impl Drop for SidecarHandle {
    fn drop(&mut self) {
        self.events.post(ControlEvent::End);
    }
}

fn target_link(settings: &SidecarSettings) -> Arc<dyn TargetLink> {
    let target = &settings.config.target;
    let answer_timeout = settings.gate.run_bound;
    match settings.is_engine() {
        true => Arc::new(HttpEngine::new(EngineSettings {
            address: target.address,
            connect_timeout: target.connect_timeout,
            answer_timeout,
            idle_timeout: target.idle_timeout,
            answer_bytes: ANSWER_BYTES,
            order_timeout: settings.gate.order_timeout,
        })),
        false => Arc::new(HttpService::new(ServiceSettings {
            address: target.address,
            connect_timeout: target.connect_timeout,
            answer_timeout,
            idle_timeout: target.idle_timeout,
            answer_bytes: ANSWER_BYTES,
        })),
    }
}

/// Hands link events to the control thread. While it is flooded, links are closed instead of
/// read: their gateways dial again and resume, where a queue without bound would only grow.
fn link_sink(events: &EventSender) -> LinkSink {
    let events = events.clone();
    Arc::new(move |event| {
        if events.is_flooded()
            && let LinkEvent::Up { link, .. } = &event
        {
            link.close();
        }
        events.post(ControlEvent::Link(event));
    })
}

fn target_poller(
    settings: &SidecarSettings,
    target: &Arc<dyn TargetLink>,
    events: &EventSender,
    activity: &Arc<AtomicU64>,
) -> TargetPoller {
    let config = &settings.config.target;
    TargetPoller {
        target: Arc::clone(target),
        events: events.clone(),
        activity: Arc::clone(activity),
        poll: config.poll,
        probe_timeout: config.connect_timeout,
        holdings_poll: settings.holdings_poll,
        slots: if settings.is_engine() { config.slots } else { 0 },
    }
}

/// Starts the tasks that watch the target and give it orders; they end with the control thread.
fn start_pollers(
    poller: impl Fn() -> TargetPoller,
    is_engine: bool,
    probe_wakes: Receiver<()>,
    orders: Receiver<TargetOrder>,
) {
    task::spawn(poller().watch_health(probe_wakes));
    let (order_done, order_wakes) = async_channel::bounded(1);
    if is_engine {
        task::spawn(poller().watch_holdings(order_wakes));
    }
    task::spawn(poller().give_orders(orders, order_done));
}
