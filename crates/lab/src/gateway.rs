//! Model of a gateway: the production target table and a queue of job items.

use std::collections::VecDeque;

use notch_relay::{item_slots::preemption::slack_ms, prelude::*};
use notch_types::prelude::*;

/// A job item that waits for a slot.
#[derive(Debug, Clone, Copy)]
pub struct WaitingItem {
    /// Events that remain to be generated.
    pub events_left: u32,
    /// Its deadline.
    pub due: MonoTime,
    /// Since when it has waited.
    pub since: MonoTime,
}

/// Model of one gateway.
#[derive(Debug)]
pub struct GatewayModel {
    /// Name of its VM.
    pub vm: VmName,
    /// Its failure domain.
    pub domain: String,
    /// The production target table.
    pub table: TargetTable,
    /// Waiting items in the order of their deadlines.
    pub items: VecDeque<WaitingItem>,
    /// Waiting items of all gateways, where slots are offered for them.
    pub slots: ItemSlotTable,
    /// Use of slots by account, where slots are shared among accounts.
    pub shares: FairShareTable,
    /// Learned run time of items.
    pub run_time: ItemRunTime,
    /// The gateway processes no events before this time.
    pub frozen_until: MonoTime,
}

impl GatewayModel {
    /// A gateway with an empty target table.
    pub fn new(number: usize, domain: &str) -> Self {
        Self {
            vm: VmName::new(&format!("g-{number:03}")),
            domain: domain.to_owned(),
            table: TargetTable::new(domain),
            items: VecDeque::new(),
            slots: ItemSlotTable::default(),
            shares: FairShareTable::default(),
            run_time: ItemRunTime::default(),
            frozen_until: MonoTime::default(),
        }
    }

    /// The waiting items, summed up as in a report.
    pub fn waiting(&self, service: &str, now: MonoTime) -> WaitingItems {
        let slack =
            |item: &WaitingItem| slack_ms(item.due, self.run_time.expected(item.events_left), now);
        WaitingItems::of(self.items.iter().map(slack), self.slots.peak_slack(service, now))
    }

    /// Queues an item in the order of deadlines.
    pub fn put_item(&mut self, item: WaitingItem) {
        let index = self.items.partition_point(|waiting| waiting.due <= item.due);
        self.items.insert(index, item);
    }
}
