//! Slots that home gateways offer for items.

use notch_relay::prelude::*;
use notch_types::prelude::*;
use rand::RngExt;

use crate::{
    policy::SelectionPolicy,
    simulation::{SERVICE, SimEvent, Simulation, items::item_query},
};

impl Simulation {
    /// Divides the free slots of a gateway's targets by the production rule.
    pub(super) fn divide_slots(&mut self, home: usize) {
        let now = self.now();
        self.set_own_waiting(home);
        let state = &mut self.gateways[home];
        state.slots.expire(now);
        for peer in state.table.expire_offers(now) {
            state.slots.note_unanswered(&peer);
        }
        let load = state.table.online_load(SERVICE);
        state.slots.note_online(SERVICE, load, now);
        let free = state.table.free_item_slots(SERVICE, now);
        let slots = state.slots.unreserved(SERVICE, free, load, now);
        if slots.free.here > 0 {
            let in_flight = |peer: &VmName| state.table.offers_in_flight(peer, SERVICE);
            let may_receive = |gateway: Option<&VmName>| {
                gateway.is_none_or(|peer| !state.table.owes_answer(peer, now))
            };
            let shares = state.slots.divide(SERVICE, slots, may_receive, in_flight, now);
            for SlotShare { gateway, count } in shares {
                match gateway {
                    None => self.start_at_own_targets(home, count),
                    Some(peer) => self.offer(home, &peer, count),
                }
            }
        }
        self.start_unoffered(home);
        self.set_own_waiting(home);
    }

    fn set_own_waiting(&mut self, gateway: usize) {
        let now = self.now();
        let state = &mut self.gateways[gateway];
        let mut waiting = FastMap::default();
        if !state.items.is_empty() {
            let mut items = state.waiting(SERVICE, now);
            if self.policy == SelectionPolicy::UnsortedItems {
                items.urgent = None;
            }
            waiting.insert(SERVICE.to_owned(), items);
        }
        state.slots.set_own(&waiting, now);
    }

    fn start_at_own_targets(&mut self, home: usize, count: u32) {
        for _ in 0..count {
            let now = self.now();
            let random = &mut self.random;
            let table = &mut self.gateways[home].table;
            let choice = table.pick_own(&item_query(), now, || random.random());
            let Some(choice) = choice.and_then(|choice| table.take(&item_query(), choice)) else {
                return;
            };
            self.gateways[home].slots.note_served(SERVICE, now);
            self.start_item(home, &choice);
        }
    }

    fn offer(&mut self, home: usize, peer: &VmName, count: u32) {
        let now = self.now();
        let Some(to) = self.gateways.iter().position(|gateway| gateway.vm == *peer) else { return };
        let random = &mut self.random;
        let table = &mut self.gateways[home].table;
        let offer = |_| table.offer_slot(peer, SERVICE, now, || random.random());
        let targets: Vec<String> = (0..count).map_while(offer).collect();
        if !targets.is_empty() {
            self.schedule.add(self.pattern.delay, SimEvent::ReceiveOffer { to, home, targets });
        }
    }

    /// Starts an item at each offered slot, or declines.
    pub(super) fn receive_offer(&mut self, to: usize, home: usize, targets: Vec<String>) {
        let (now, vm) = (self.now(), self.gateways[home].vm.clone());
        for target in targets {
            let state = &mut self.gateways[to];
            let choice = match state.items.is_empty() {
                true => None,
                false => state.table.take_offered(&item_query(), &vm, &target, now),
            };
            if let Some(choice) = choice {
                state.slots.note_served(SERVICE, now);
                // The start is announced to the home like one without an offer.
                self.start_item(to, &TargetChoice { is_granted: false, ..choice });
                continue;
            }
            self.outcome.declined_offers += 1;
            for change in [UseChange::Begin, UseChange::End] {
                let (target, work) = (target.clone(), WorkKind::Batch);
                let (from, is_failure) = (to, None);
                let message = SimEvent::PeerUse { home, from, target, work, change, is_failure };
                self.schedule.add(self.pattern.delay, message);
            }
        }
        self.set_own_waiting(to);
    }

    fn start_unoffered(&mut self, gateway: usize) {
        let now = self.now();
        while !self.gateways[gateway].items.is_empty()
            && self.gateways[gateway].slots.is_unserved(SERVICE, now)
        {
            let random = &mut self.random;
            let table = &mut self.gateways[gateway].table;
            let choice = table.choose_unoffered(&item_query(), |_| true, now, || random.random());
            let Some(choice) = choice else { return };
            self.start_item(gateway, &choice);
        }
    }
}
