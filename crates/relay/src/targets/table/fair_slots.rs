//! Slots of a service as they are shared among accounts.

use notch_types::prelude::*;

use crate::{
    fairness::verdict::FairSlots,
    targets::{entry::TargetState, table::TargetTable},
};

impl TargetTable {
    /// Slots of a service at usable targets, which are ready and not ejected. A full target is one
    /// of them, as its requests end. A target that failed a short time ago has no free slot.
    pub fn fair_slots(&self, service: &str, now: MonoTime) -> FairSlots {
        let mut slots = FairSlots::default();
        for record in self.records.values().filter(|record| record.entry.service == service) {
            let online = record.own.online + record.others.online;
            slots.online += u64::from(online);
            let is_usable = record.entry.state == TargetState::Ready
                && !record.address_reused
                && !record.performance.is_excluded;
            if !is_usable {
                continue;
            }
            let open = record.entry.slots.saturating_sub(record.performance.closed_slots);
            slots.all += u64::from(open);
            if !record.is_avoided(now) {
                slots.free += u64::from(open.saturating_sub(online));
            }
        }
        slots
    }
}
