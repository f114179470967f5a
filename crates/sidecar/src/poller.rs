//! Watches the target: whether it answers, what it holds, what it caches.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use async_channel::Receiver;
use async_std::{future::timeout, task};
use notch_gate::prelude::{DownCause, EngineHoldings, GateEvent};
use notch_messages::prelude::*;
use notch_target::prelude::*;

use crate::control::{ControlEvent, EventSender};

/// Silent or cut probes in a row that make a target frozen.
const MISSES_FOR_FROZEN: u32 = 3;
/// Pause before a probe that was cut or silent is repeated.
const REPEAT_PAUSE: Duration = Duration::from_millis(20);

/// What the target is polled with.
pub(crate) struct TargetPoller {
    pub(crate) target: Arc<dyn TargetLink>,
    pub(crate) events: EventSender,
    /// Rises with each part of an answer that comes from the target.
    pub(crate) activity: Arc<AtomicU64>,
    /// Time between two probes.
    pub(crate) poll: Duration,
    /// Longest wait for a probe.
    pub(crate) probe_timeout: Duration,
    /// Time between two readings of holdings and cache.
    pub(crate) holdings_poll: Duration,
    /// Models that fit at once; 0 for a plain service.
    pub(crate) slots: u32,
}

impl TargetPoller {
    /// Probes now and then, and at once when woken, until the waking side is gone.
    pub(crate) async fn watch_health(self, wakes: Receiver<()>) {
        loop {
            let event = match self.probe_settled().await {
                TargetProbe::Up { instance } => ControlEvent::TargetUp { instance },
                TargetProbe::Refused => ControlEvent::TargetDown { cause: DownCause::Crashed },
                TargetProbe::Cut | TargetProbe::Silent => {
                    ControlEvent::TargetDown { cause: DownCause::Frozen }
                }
            };
            self.events.post(event);
            if let Ok(Err(_)) = timeout(self.poll, wakes.recv()).await {
                return;
            }
        }
    }

    /// A probe that is cut or silent is repeated: a process that is just dying takes a connection
    /// and cuts it, and the next one is refused. A target whose answers still come is not frozen,
    /// however late its probes: on a busy VM, a slow probe would else end every answer.
    async fn probe_settled(&self) -> TargetProbe {
        let mut misses = 0;
        let before = self.activity.load(Ordering::Relaxed);
        loop {
            let probe = timeout(self.probe_timeout, self.target.probe()).await;
            match probe.unwrap_or(TargetProbe::Silent) {
                TargetProbe::Cut | TargetProbe::Silent if misses + 1 < MISSES_FOR_FROZEN => {
                    misses += 1;
                    task::sleep(REPEAT_PAUSE).await;
                }
                TargetProbe::Silent if self.activity.load(Ordering::Relaxed) != before => {
                    return TargetProbe::Up { instance: None };
                }
                settled => return settled,
            }
        }
    }

    /// Reads what the engine holds, now and then and when woken.
    pub(crate) async fn watch_holdings(self, wakes: Receiver<()>) {
        let mut cursor = 0;
        loop {
            match self.target.holdings().await {
                Some((role, models)) => {
                    let holdings = EngineHoldings { slots: self.slots, role, models };
                    self.events.post(ControlEvent::Holdings(holdings));
                }
                // A restarted engine numbers its cache news anew.
                None => cursor = 0,
            }
            if let Some(report) = self.target.cache_events(cursor).await {
                cursor = report.cursor;
                self.events.post(ControlEvent::Cache(report));
            }
            if let Ok(Err(_)) = timeout(self.holdings_poll, wakes.recv()).await {
                return;
            }
        }
    }

    /// Gives orders one after the other.
    pub(crate) async fn give_orders(
        self,
        orders: Receiver<TargetOrder>,
        done: async_channel::Sender<()>,
    ) {
        while let Ok(order) = orders.recv().await {
            let outcome = self.target.order(&order).await;
            let (epoch, order) = (order.epoch, order.order);
            self.events.gate(GateEvent::OrderEnded { epoch, order, outcome });
            // Full means that a reading is due anyway.
            let _ = done.try_send(());
        }
    }
}
