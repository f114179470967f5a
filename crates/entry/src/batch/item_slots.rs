//! Starts items at slots that homes offer, and offers the free slots of own targets to the gateway
//! with the most urgent items.

use std::{collections::VecDeque, sync::Arc};

use async_channel::Receiver;
use notch_messages::prelude::PeerMessage;
use notch_platform_wire::target::item_prompt;
use notch_relay::prelude::*;
use notch_types::prelude::*;

use crate::{
    batch::job_registry::{ItemRunHandle, JobRegistry},
    constants::STARTS_PER_PASS,
};

/// Time for which an item of a route with several services keeps to one of them, so that an offer
/// of a slot for the reported service finds it.
const SERVICE_EPOCH_MICROS: u64 = 2_000_000;

/// An item that waits for a slot.
#[derive(Debug)]
struct QueuedItem {
    spec: Arc<JobSpec>,
    index: usize,
    slack_ms: i64,
    /// Whether it may probe an ejected target: a failure there must leave it another attempt.
    may_probe: bool,
    /// Software version at which it goes on; `None` if it starts anew anywhere.
    version: Option<String>,
}

impl QueuedItem {
    fn prompt(&self) -> PromptPrefixes {
        item_prompt(&self.spec.items[self.index])
    }

    /// Whether it can run at targets with software `version`.
    fn fits(&self, version: &str) -> bool {
        self.version.as_deref().is_none_or(|own| own == version)
    }
}

/// An item to be run.
#[derive(Debug)]
pub struct StartedItem {
    /// Number of the run.
    pub run: u64,
    /// The item.
    pub start: ItemStart,
    /// The target.
    pub choice: TargetChoice,
    /// Closed to cancel the run.
    pub cancelled: Receiver<()>,
    /// Time left until it is due, milliseconds.
    pub left_ms: i64,
}

/// What a pass decided.
#[derive(Debug, Default)]
pub struct PassOutcome {
    /// Items to be run.
    pub starts: Vec<StartedItem>,
    /// Messages to be sent, in this order.
    pub messages: Vec<(VmName, PeerMessage)>,
    /// Number of slots offered to other gateways.
    pub offered: usize,
    /// Number of divisions in which slots were kept for the next peak of online requests.
    pub kept: usize,
    /// Number of received offers that were declined.
    pub declined: usize,
    /// Number of items that were started without an offer at another gateway's target.
    pub unoffered: usize,
    /// Receivers of own offers that were not answered in time.
    pub unanswered: Vec<VmName>,
}

/// The gateways and the state that a pass works on.
pub struct ItemSlotPass<'a> {
    /// Jobs of this gateway.
    pub registry: &'a mut JobRegistry,
    /// Targets.
    pub targets: &'a mut TargetTable,
    /// Waiting items and received offers.
    pub slots: &'a mut ItemSlotTable,
    /// Routes of the configuration in force.
    pub routes: &'a RouteTable,
    /// Lists the gateways that may be offered slots: they have a link and do not stop.
    pub recipients: &'a dyn Fn() -> Vec<VmName>,
    /// Lists the gateways with a link.
    pub linked: &'a dyn Fn() -> Vec<VmName>,
    /// Whether this gateway stops, and so takes no slots at divided targets.
    pub is_stopping: bool,
    /// Whether this gateway hands its jobs over, and so starts no items.
    pub is_handing_over: bool,
    /// Draws a random number from 0 to 1.
    pub draw: fn() -> f64,
    /// Time of the pass.
    pub now: MonoTime,
}

impl ItemSlotPass<'_> {
    /// Answers the received offers, divides the free slots of own targets, and starts items without
    /// an offer where none can come.
    pub fn run(&mut self) -> PassOutcome {
        let mut outcome = PassOutcome::default();
        self.slots.expire(self.now);
        for peer in self.targets.expire_offers(self.now) {
            self.slots.note_unanswered(&peer);
            outcome.unanswered.push(peer);
        }
        let mut queues = self.queues();
        if queues.is_empty() && !self.slots.needs_pass() {
            self.note_waiting(&queues);
            return outcome;
        }
        self.answer_offers(&mut queues, &mut outcome);
        if !self.is_stopping {
            self.start_probes(&mut queues, &mut outcome);
        }
        self.note_waiting(&queues);
        if self.targets.has_homes() {
            self.divide_slots(&mut queues, &mut outcome);
        }
        let is_excluded = self.is_stopping && self.targets.has_homes();
        if !self.is_handing_over && !is_excluded {
            self.start_unoffered(&mut queues, &mut outcome);
        }
        self.note_waiting(&queues);
        outcome
    }

    /// Waiting items by service, in the order in which they start.
    fn queues(&self) -> FastMap<String, VecDeque<QueuedItem>> {
        let mut queues: FastMap<String, VecDeque<QueuedItem>> = FastMap::default();
        for WaitingItem { spec, index, slack_ms, has_failed, version } in
            self.registry.table.waiting_items(self.now)
        {
            let item = &spec.items[index];
            // An item on a route that does not exist waits for it, while others go on.
            let Some(route) = self.routes.find(&spec.host, &item.path) else { continue };
            let epoch = (self.now.0 / SERVICE_EPOCH_MICROS).to_le_bytes();
            let draw = stable_hash64(&[spec.id.as_bytes(), item.id.as_bytes(), &epoch]);
            let service = route.service_for(draw);
            let may_probe = !has_failed && route.max_attempts > 1;
            let version = self.continued_version(service, version, slack_ms);
            let spec = Arc::clone(spec);
            let queued = QueuedItem { spec, index, slack_ms, may_probe, version };
            match queues.get_mut(service) {
                Some(queue) => queue.push_back(queued),
                None => drop(queues.insert(service.to_owned(), VecDeque::from([queued]))),
            }
        }
        queues
    }

    /// Version at which an item goes on that holds events of `version`. A late item doesn't wait for its version, nor one
    /// whose version is gone.
    fn continued_version(
        &self,
        service: &str,
        version: Option<&str>,
        slack_ms: i64,
    ) -> Option<String> {
        let version = version.filter(|version| self.targets.has_version(service, version));
        version.filter(|_| slack_ms >= 0).map(str::to_owned)
    }

    fn note_waiting(&mut self, queues: &FastMap<String, VecDeque<QueuedItem>>) {
        let mut waiting = FastMap::default();
        let queues = queues.iter().filter(|(_, queue)| !queue.is_empty() && !self.is_stopping);
        for (service, queue) in queues {
            let slacks = queue.iter().map(|item| item.slack_ms);
            let items = WaitingItems::of(slacks, self.slots.peak_slack(service, self.now));
            waiting.insert(service.clone(), items);
        }
        self.slots.set_own(&waiting, self.now);
    }

    fn answer_offers(
        &mut self,
        queues: &mut FastMap<String, VecDeque<QueuedItem>>,
        outcome: &mut PassOutcome,
    ) {
        for ReceivedOffer { home, target } in self.slots.take_received() {
            let started = !self.is_stopping && self.start_offered(queues, &home, &target, outcome);
            outcome.messages.push((home.clone(), item_use(&target, UseChange::Begin)));
            if !started {
                outcome.declined += 1;
                outcome.messages.push((home, item_use(&target, UseChange::End)));
            }
        }
    }

    fn start_offered(
        &mut self,
        queues: &mut FastMap<String, VecDeque<QueuedItem>>,
        home: &VmName,
        target: &str,
        outcome: &mut PassOutcome,
    ) -> bool {
        let Some(service) = self.targets.service_of(target).map(str::to_owned) else {
            return false;
        };
        let Some(version) = self.targets.version_of(target) else { return false };
        let Some(queue) = queues.get_mut(&service) else { return false };
        let Some(position) = queue.iter().position(|item| item.fits(version)) else { return false };
        let prompt = queue[position].prompt();
        let query = query(&service, None, &prompt);
        let Some(choice) = self.targets.take_offered(&query, home, target, self.now) else {
            return false;
        };
        self.slots.note_served(&service, self.now);
        self.start_at(queue, position, choice, outcome);
        true
    }

    /// Starts one item for each service at an ejected own target that is due for a probe. No slots of such targets are
    /// offered.
    fn start_probes(
        &mut self,
        queues: &mut FastMap<String, VecDeque<QueuedItem>>,
        outcome: &mut PassOutcome,
    ) {
        for (service, queue) in queues.iter_mut() {
            let Some(item) = queue.front().filter(|item| item.may_probe) else { continue };
            let (prompt, version) = (item.prompt(), item.version.clone());
            let query = query(service, version.as_deref(), &prompt);
            let probe = self.targets.pick_probe(&query, self.now);
            if let Some(choice) = probe.and_then(|probe| self.targets.take(&query, probe)) {
                self.start_at(queue, 0, choice, outcome);
            }
        }
    }

    fn divide_slots(
        &mut self,
        queues: &mut FastMap<String, VecDeque<QueuedItem>>,
        outcome: &mut PassOutcome,
    ) {
        let recipients = (self.recipients)();
        let services: Vec<String> = self.slots.services().into_iter().map(str::to_owned).collect();
        let mut offers: Vec<(VmName, Vec<String>)> = Vec::new();
        for service in &services {
            let load = self.targets.online_load(service);
            self.slots.note_online(service, load, self.now);
            let free = self.targets.free_item_slots(service, self.now);
            let slots = self.slots.unreserved(service, free, load, self.now);
            outcome.kept += usize::from(slots.beyond_peak.here < slots.free.here);
            if slots.free.here == 0 {
                continue;
            }
            let may_receive = |gateway: Option<&VmName>| match gateway {
                Some(peer) => {
                    recipients.contains(peer) && !self.targets.owes_answer(peer, self.now)
                }
                None => !self.is_stopping,
            };
            let in_flight = |peer: &VmName| self.targets.offers_in_flight(peer, service);
            let shares = self.slots.divide(service, slots, may_receive, in_flight, self.now);
            for SlotShare { gateway, count } in shares {
                match gateway {
                    None => {
                        if let Some(queue) = queues.get_mut(service) {
                            self.start_own(service, queue, count, outcome);
                        }
                    }
                    Some(peer) => {
                        let offer =
                            |_| self.targets.offer_slot(&peer, service, self.now, self.draw);
                        let ids: Vec<String> = (0..count).map_while(offer).collect();
                        match offers.iter_mut().find(|(known, _)| *known == peer) {
                            Some((_, known)) => known.extend(ids),
                            None => offers.push((peer, ids)),
                        }
                    }
                }
            }
        }
        for (peer, targets) in offers.into_iter().filter(|(_, ids)| !ids.is_empty()) {
            outcome.offered += targets.len();
            outcome.messages.push((peer, PeerMessage::ItemSlotOffer { targets }));
        }
    }

    /// Starts up to `count` items at own targets.
    fn start_own(
        &mut self,
        service: &str,
        queue: &mut VecDeque<QueuedItem>,
        count: u32,
        outcome: &mut PassOutcome,
    ) {
        let mut position = 0;
        for _ in 0..(count as usize).min(STARTS_PER_PASS) {
            let choice = loop {
                let Some(item) = queue.get(position) else { return };
                let prompt = item.prompt();
                let query = query(service, item.version.as_deref(), &prompt);
                let own = self.targets.pick_own(&query, self.now, self.draw);
                match own.and_then(|own| self.targets.take(&query, own)) {
                    Some(choice) => break choice,
                    None if item.version.is_none() => return,
                    // The targets of its version are full, those for the next item may not be.
                    None => position += 1,
                }
            };
            self.slots.note_served(service, self.now);
            self.start_at(queue, position, choice, outcome);
        }
    }

    /// Starts items by the rule for items without offers: where targets are not divided, at targets
    /// of homes without a link, and everywhere if no offer came for long.
    fn start_unoffered(
        &mut self,
        queues: &mut FastMap<String, VecDeque<QueuedItem>>,
        outcome: &mut PassOutcome,
    ) {
        let waiting = queues.iter_mut().filter(|(_, queue)| !queue.is_empty());
        let mut linked: Option<Vec<VmName>> = None;
        for (service, queue) in waiting {
            let linked = linked.get_or_insert_with(self.linked);
            let is_unserved = self.slots.is_unserved(service, self.now);
            let is_open = |home: &VmName| is_unserved || !linked.contains(home);
            if !self.targets.has_unoffered(is_open) {
                continue;
            }
            let mut position = 0;
            for _ in 0..STARTS_PER_PASS {
                let Some(item) = queue.get(position) else { break };
                let prompt = item.prompt();
                let query = query(service, item.version.as_deref(), &prompt);
                let choice = self.targets.choose_unoffered(&query, is_open, self.now, self.draw);
                match choice {
                    Some(choice) => {
                        outcome.unoffered += usize::from(choice.home.is_some());
                        self.start_at(queue, position, choice, outcome);
                    }
                    None if item.version.is_none() => break,
                    None => position += 1,
                }
            }
        }
    }

    /// Starts the item at a position of a queue.
    fn start_at(
        &mut self,
        queue: &mut VecDeque<QueuedItem>,
        position: usize,
        choice: TargetChoice,
        outcome: &mut PassOutcome,
    ) {
        let Some(QueuedItem { spec, index, .. }) = queue.remove(position) else { return };
        let due = self.registry.table.get(&spec.id).map_or(self.now, OwnedJob::due);
        let left_ms = (due.0 as i64 - self.now.0 as i64) / 1_000;
        let Some(start) = self.registry.table.start_item(&spec.id, index, &choice.software_version)
        else {
            return self.targets.finish(&choice.id, WorkKind::Batch, None, self.now);
        };
        let (cancel, cancelled) = async_channel::bounded(1);
        let (job, target) = (spec.id.clone(), choice.id.clone());
        let handle = ItemRunHandle { job, index, target, since: self.now, cancel, is_probe: false };
        let run = self.registry.add_run(handle);
        outcome.starts.push(StartedItem { run, start, choice, cancelled, left_ms });
    }
}

fn query<'a>(
    service: &'a str,
    version: Option<&'a str>,
    prompt: &'a PromptPrefixes,
) -> TargetQuery<'a> {
    let (work, queue) = (WorkKind::Batch, QueueLimit::Any);
    TargetQuery { service, work, avoid: &[], queue, version, prompt }
}

/// Announcement of a change in the use of an offered slot.
pub(super) fn item_use(target: &str, change: UseChange) -> PeerMessage {
    let (target, work) = (target.to_owned(), WorkKind::Batch);
    PeerMessage::PlaceUse { target, work, change, is_failure: None }
}
