//! The sidecars that serve one target, and what each of them can take.

use notch_messages::prelude::*;
use notch_types::prelude::*;

use crate::{circuit_breaker::CircuitBreaker, policy::TargetPolicy, settings::ChoiceSettings};

/// One sidecar's part in serving a target.
#[derive(Debug)]
pub struct PoolSlot {
    /// The sidecar's place in the sidecar table.
    pub sidecar: usize,
    /// This gateway's attempts that haven't ended.
    pub outstanding: u32,
    /// Attempts dispatched since the last report, which therefore doesn't count them.
    sent_since_report: u32,
    /// Online attempts running and waiting, as reported.
    reported: u32,
    batch_running: u32,
    limit: u32,
    up: bool,
    reported_at: MonoTime,
    /// Whether the target fails here.
    pub circuit: CircuitBreaker,
}

impl PoolSlot {
    fn new(sidecar: usize) -> Self {
        Self {
            sidecar,
            outstanding: 0,
            sent_since_report: 0,
            reported: 0,
            batch_running: 0,
            limit: 1,
            up: false,
            reported_at: MonoTime::default(),
            circuit: CircuitBreaker::default(),
        }
    }

    /// Whether the target answers there at all.
    pub fn is_up(&self) -> bool {
        self.up
    }

    /// Online attempts there, as far as one can tell: the report plus what went out since, and
    /// never less than this gateway's own.
    pub fn load(&self, now: MonoTime, settings: &ChoiceSettings) -> u32 {
        if now.since(self.reported_at) > settings.report_age {
            return self.outstanding;
        }
        self.reported.saturating_add(self.sent_since_report).max(self.outstanding)
    }

    /// Most attempts that may run there at once; zero takes nothing.
    pub fn limit(&self, policy: &TargetPolicy) -> u32 {
        self.limit.min(policy.concurrency)
    }

    /// Most attempts that may run and wait there.
    pub fn bound(&self, policy: &TargetPolicy, settings: &ChoiceSettings) -> u32 {
        let limit = self.limit(policy);
        match policy.queue {
            Some(queue) if limit > 0 => limit.saturating_add(queue),
            _ => (f64::from(limit) * settings.full_ratio.max(1.0)).floor() as u32,
        }
    }

    /// Load over limit, before any tilt but that of batch work.
    pub fn score(&self, now: MonoTime, policy: &TargetPolicy, settings: &ChoiceSettings) -> f64 {
        let limit = f64::from(self.limit(policy).max(1));
        let batch = (f64::from(self.batch_running) / limit).min(1.0);
        f64::from(self.load(now, settings)) / limit + settings.batch_tilt * batch
    }

    /// An attempt went out.
    pub fn sent(&mut self) {
        self.outstanding = self.outstanding.saturating_add(1);
        self.sent_since_report = self.sent_since_report.saturating_add(1);
    }

    /// An attempt ended, or is no longer waited for.
    pub fn ended(&mut self) {
        self.outstanding = self.outstanding.saturating_sub(1);
        if self.sent_since_report > 0 {
            self.sent_since_report -= 1;
        } else {
            self.reported = self.reported.saturating_sub(1);
        }
    }

    fn report(&mut self, now: MonoTime, load: &TargetLoad) {
        self.reported = load.online_running.saturating_add(load.online_waiting);
        self.sent_since_report = 0;
        self.batch_running = load.batch_running;
        self.limit = load.limit;
        self.up = load.up;
        self.reported_at = now;
    }
}

/// All sidecars known to serve a target. Bounded by the sidecar table.
#[derive(Debug, Default)]
pub struct TargetPool {
    slots: Vec<PoolSlot>,
    /// Place in `slots` by the sidecar's place in the sidecar table.
    places: FastMap<usize, usize>,
}

impl TargetPool {
    /// Every slot, in an order that depends on the events only.
    pub fn slots(&self) -> &[PoolSlot] {
        &self.slots
    }

    /// The sidecar's slot.
    pub fn slot_mut(&mut self, sidecar: usize) -> Option<&mut PoolSlot> {
        let place = *self.places.get(&sidecar)?;
        self.slots.get_mut(place)
    }

    /// Takes a sidecar's report, adding the sidecar when it is new.
    pub fn report(&mut self, now: MonoTime, sidecar: usize, load: &TargetLoad) {
        let place = *self.places.entry(sidecar).or_insert_with(|| {
            self.slots.push(PoolSlot::new(sidecar));
            self.slots.len() - 1
        });
        self.slots[place].report(now, load);
    }

    /// The sidecar no longer serves the target.
    pub fn remove(&mut self, sidecar: usize) {
        let Some(place) = self.places.remove(&sidecar) else { return };
        self.slots.swap_remove(place);
        if let Some(moved) = self.slots.get(place) {
            self.places.insert(moved.sidecar, place);
        }
    }

    /// Whether no sidecar serves the target.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }
}
