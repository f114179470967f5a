//! A gateway: the table of targets that ships, and what it runs.

use std::collections::VecDeque;

use notch_relay::prelude::*;
use notch_types::prelude::*;

/// An item that waits for a place.
#[derive(Debug, Clone, Copy)]
pub struct WaitingItem {
    /// Events that it still needs.
    pub events_left: u32,
    /// When it is due.
    pub due: MonoTime,
}

/// One gateway.
#[derive(Debug)]
pub struct GatewayModel {
    /// Its name.
    pub vm: VmName,
    /// Its failure domain.
    pub domain: String,
    /// What it knows of targets.
    pub table: TargetTable,
    /// Items that wait, in the order of their due times.
    pub items: VecDeque<WaitingItem>,
    /// It stands still until then.
    pub frozen_until: MonoTime,
}

impl GatewayModel {
    /// A gateway that knows nothing.
    pub fn new(number: usize, domain: &str) -> Self {
        Self {
            vm: VmName::new(&format!("g-{number:03}")),
            domain: domain.to_owned(),
            table: TargetTable::new(domain),
            items: VecDeque::new(),
            frozen_until: MonoTime::default(),
        }
    }

    /// Puts an item back in its order.
    pub fn put_item(&mut self, item: WaitingItem) {
        let index = self.items.partition_point(|waiting| waiting.due <= item.due);
        self.items.insert(index, item);
    }
}
