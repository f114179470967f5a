//! The sidecars of this gateway's subset.

use std::{collections::BTreeSet, time::Duration};

use notch_messages::prelude::*;
use notch_types::prelude::*;
use rand::Rng;

use crate::{
    circuit_breaker::CircuitGate,
    policy::TargetPolicy,
    settings::{ChoiceSettings, CircuitSettings},
    sidecar_choice::ChoiceCandidate,
    target_pool::{PoolSlot, TargetPool},
};

/// Most warm prefixes kept of one report.
const MAX_WARM_PREFIXES: usize = 1_024;

/// What is known of one sidecar.
#[derive(Debug)]
struct SidecarState {
    vm: VmName,
    near: bool,
    incarnation: Incarnation,
    /// Sequence of the newest report taken.
    sequence: u64,
    silent: bool,
    /// Its newest report says that it is leaving.
    leaving_reported: bool,
    /// It said so otherwise since its newest report.
    draining: bool,
    warm: FastSet<u64>,
    /// Targets whose pool has a slot of this sidecar.
    targets: BTreeSet<TargetName>,
    /// This gateway's attempts there that haven't ended.
    in_flight: BTreeSet<AttemptId>,
}

impl SidecarState {
    fn takes_work(&self, leaving: &FastSet<VmName>) -> bool {
        !self.silent && !self.leaving_reported && !self.draining && !leaving.contains(&self.vm)
    }
}

/// What is asked of the sidecars.
#[derive(Debug, Clone, Copy)]
pub struct CandidateQuery<'a> {
    /// The target.
    pub target: &'a TargetName,
    /// Its policy.
    pub policy: &'a TargetPolicy,
    /// Digest of the prompt's head.
    pub prefix: Option<u64>,
    /// VMs that this request has tried.
    pub tried: &'a [VmName],
    /// Whether the request may probe a half-open circuit while others are closed.
    pub may_probe: bool,
    /// Time left for waiting and running.
    pub time_left: Duration,
    /// Time one attempt takes, measured.
    pub service_time: Duration,
}

/// What the sidecars answer.
#[derive(Debug, Default)]
pub struct CandidateScan {
    /// Those that can take the request now.
    pub candidates: Vec<ChoiceCandidate>,
    /// Sidecars that serve the target, are up, take work and weren't tried.
    pub known: usize,
    /// When the first open circuit lets a probe through.
    pub probe_at: Option<MonoTime>,
    /// Shortest wait for a place at a full sidecar.
    pub full_wait: Option<Duration>,
}

/// Every sidecar of the subset. Bounded by the subset: a sidecar stays until told gone.
#[derive(Debug, Default)]
pub struct SidecarTable {
    places: FastMap<VmName, usize>,
    /// `None` where a sidecar is gone; such places are used again.
    sidecars: Vec<Option<SidecarState>>,
    free: Vec<usize>,
    pools: FastMap<TargetName, TargetPool>,
    /// VMs that the VM list or an entry says are leaving, perhaps before they are seen and
    /// whatever their incarnation. Bounded by the VM list: each is told as staying or gone at last.
    leaving: FastSet<VmName>,
}

impl SidecarTable {
    /// A sidecar said welcome. Returns the attempts that its earlier incarnation had in flight.
    pub fn seen(
        &mut self,
        now: MonoTime,
        vm: &VmName,
        near: bool,
        incarnation: Incarnation,
        load: &LoadReport,
    ) -> Vec<AttemptId> {
        let same = self.place(vm).filter(|place| self.incarnation(*place) == Some(incarnation));
        let lost = if same.is_some() { Vec::new() } else { self.remove(vm) };
        let place = same.unwrap_or_else(|| self.add(vm, near, incarnation));
        if let Some(state) = self.state_mut(place) {
            state.silent = false;
        }
        self.report(now, vm, load);
        lost
    }

    /// Takes a report; false when it is stale or of no known sidecar.
    pub fn report(&mut self, now: MonoTime, vm: &VmName, load: &LoadReport) -> bool {
        let Some(place) = self.place(vm) else { return false };
        let Some(state) = self.state_mut(place) else { return false };
        if load.incarnation != state.incarnation || load.sequence < state.sequence {
            return false;
        }
        state.sequence = load.sequence;
        state.leaving_reported = load.leaving;
        // Without this a drain that was called off would keep work away from a sidecar that takes
        // it, until its next start. A report of before the word can't come after it: they share
        // one link in order, and a new link begins with a newer report.
        state.draining &= load.leaving;
        state.warm = load.warm_prefixes.iter().take(MAX_WARM_PREFIXES).copied().collect();
        let served = load.targets.iter().map(|line| line.target.clone()).collect();
        let before = std::mem::replace(&mut state.targets, served);
        for target in before {
            if !load.targets.iter().any(|line| line.target == target) {
                self.remove_slot(&target, place);
            }
        }
        for line in &load.targets {
            if let Some(pool) = self.pools.get_mut(&line.target) {
                pool.report(now, place, line);
            } else {
                let pool = self.pools.entry(line.target.clone()).or_default();
                pool.report(now, place, line);
            }
        }
        true
    }

    /// Its link went silent, or works again.
    pub fn set_silent(&mut self, vm: &VmName, silent: bool) {
        if let Some(state) = self.place(vm).and_then(|place| self.state_mut(place)) {
            state.silent = silent;
        }
    }

    /// It says that it is leaving, which holds until a report of it says otherwise. Returns
    /// whether that is news.
    pub fn set_draining(&mut self, vm: &VmName) -> bool {
        let state = self.place(vm).and_then(|place| self.state_mut(place));
        state.is_some_and(|state| !std::mem::replace(&mut state.draining, true))
    }

    /// It is leaving, or no longer. Returns whether that changed anything.
    pub fn set_leaving(&mut self, vm: &VmName, leaving: bool) -> bool {
        if leaving { self.leaving.insert(vm.clone()) } else { self.leaving.remove(vm) }
    }

    /// It is gone. Returns the attempts it had in flight, in order.
    pub fn gone(&mut self, vm: &VmName) -> Vec<AttemptId> {
        self.leaving.remove(vm);
        self.remove(vm)
    }

    /// The VM's place.
    pub fn place(&self, vm: &VmName) -> Option<usize> {
        self.places.get(vm).copied()
    }

    /// The VM at a place.
    pub fn vm(&self, place: usize) -> Option<&VmName> {
        self.state(place).map(|state| &state.vm)
    }

    /// The incarnation at a place.
    pub fn incarnation(&self, place: usize) -> Option<Incarnation> {
        self.state(place).map(|state| state.incarnation)
    }

    /// The VM whose sidecar has this incarnation now. Used only when a resend meets a claim.
    pub fn find_incarnation(&self, incarnation: Incarnation) -> Option<&VmName> {
        self.sidecars
            .iter()
            .flatten()
            .find(|state| state.incarnation == incarnation)
            .map(|state| &state.vm)
    }

    /// Whether the sidecar that an attempt was meant for still takes work.
    pub fn takes_work(&self, place: usize, incarnation: Incarnation) -> bool {
        self.state(place)
            .filter(|state| state.incarnation == incarnation)
            .is_some_and(|state| state.takes_work(&self.leaving))
    }

    /// Finds the sidecars that can take a request.
    pub fn scan(
        &self,
        now: MonoTime,
        query: &CandidateQuery<'_>,
        settings: &ChoiceSettings,
    ) -> CandidateScan {
        let mut scan = CandidateScan::default();
        let Some(pool) = self.pools.get(query.target) else { return scan };
        let mut probes = Vec::new();
        for slot in pool.slots() {
            self.scan_slot(now, slot, query, settings, &mut scan, &mut probes);
        }
        // A request that can't be repeated, or only alone, probes when there is no other way.
        if query.may_probe || scan.candidates.is_empty() {
            scan.candidates.append(&mut probes);
        }
        scan
    }

    fn scan_slot(
        &self,
        now: MonoTime,
        slot: &PoolSlot,
        query: &CandidateQuery<'_>,
        settings: &ChoiceSettings,
        scan: &mut CandidateScan,
        probes: &mut Vec<ChoiceCandidate>,
    ) {
        let Some(state) = self.state(slot.sidecar) else { return };
        if !slot.is_up() || !state.takes_work(&self.leaving) || query.tried.contains(&state.vm) {
            return;
        }
        scan.known += 1;
        let gate = slot.circuit.gate(now);
        if gate == CircuitGate::Stop {
            scan.probe_at = earliest(scan.probe_at, slot.circuit.probe_at());
            return;
        }
        let wait = expected_wait(now, slot, query, settings);
        let is_full = slot.load(now, settings) >= slot.bound(query.policy, settings);
        if is_full || wait >= query.time_left {
            scan.full_wait = Some(scan.full_wait.map_or(wait, |shortest| shortest.min(wait)));
            return;
        }
        let candidate = ChoiceCandidate {
            sidecar: slot.sidecar,
            score: slot.score(now, query.policy, settings),
            near: state.near,
            warm: query.prefix.is_some_and(|prefix| state.warm.contains(&prefix)),
        };
        match gate {
            CircuitGate::Probe => probes.push(candidate),
            CircuitGate::Pass | CircuitGate::Stop => scan.candidates.push(candidate),
        }
    }

    /// An attempt went out.
    pub fn dispatched(
        &mut self,
        now: MonoTime,
        place: usize,
        target: &TargetName,
        attempt: AttemptId,
    ) {
        if let Some(state) = self.state_mut(place) {
            state.in_flight.insert(attempt);
        }
        if let Some(slot) = self.slot_mut(target, place) {
            slot.sent();
            slot.circuit.dispatched(now, attempt);
        }
    }

    /// An attempt ended or is no longer waited for; telling it again does no harm.
    pub fn ended(&mut self, place: usize, target: &TargetName, attempt: AttemptId) {
        let was_in_flight =
            self.state_mut(place).is_some_and(|state| state.in_flight.remove(&attempt));
        if was_in_flight && let Some(slot) = self.slot_mut(target, place) {
            slot.ended();
        }
    }

    /// The target answered an attempt. Returns whether a circuit closed.
    pub fn succeeded(&mut self, place: usize, target: &TargetName, attempt: AttemptId) -> bool {
        self.meant_slot(place, target, attempt).is_some_and(|slot| slot.circuit.succeeded())
    }

    /// An attempt failed by the target's fault. Returns whether a circuit opened.
    pub fn failed(
        &mut self,
        now: MonoTime,
        place: usize,
        target: &TargetName,
        attempt: AttemptId,
        settings: &CircuitSettings,
        rng: &mut impl Rng,
    ) -> bool {
        self.meant_slot(place, target, attempt)
            .is_some_and(|slot| slot.circuit.failed(now, attempt, settings, rng))
    }

    /// An attempt ended without telling anything of the target.
    pub fn neutral(
        &mut self,
        now: MonoTime,
        place: usize,
        target: &TargetName,
        attempt: AttemptId,
    ) {
        if let Some(slot) = self.meant_slot(place, target, attempt) {
            slot.circuit.neutral(now, attempt);
        }
    }

    fn remove(&mut self, vm: &VmName) -> Vec<AttemptId> {
        let Some(place) = self.places.remove(vm) else { return Vec::new() };
        let Some(state) = self.sidecars.get_mut(place).and_then(Option::take) else {
            return Vec::new();
        };
        self.free.push(place);
        for target in &state.targets {
            self.remove_slot(target, place);
        }
        state.in_flight.into_iter().collect()
    }

    fn add(&mut self, vm: &VmName, near: bool, incarnation: Incarnation) -> usize {
        let state = SidecarState {
            vm: vm.clone(),
            near,
            incarnation,
            sequence: 0,
            silent: false,
            leaving_reported: false,
            draining: false,
            warm: FastSet::default(),
            targets: BTreeSet::new(),
            in_flight: BTreeSet::new(),
        };
        let place = self.free.pop().unwrap_or_else(|| {
            self.sidecars.push(None);
            self.sidecars.len() - 1
        });
        self.sidecars[place] = Some(state);
        self.places.insert(vm.clone(), place);
        place
    }

    fn state(&self, place: usize) -> Option<&SidecarState> {
        self.sidecars.get(place).and_then(Option::as_ref)
    }

    fn state_mut(&mut self, place: usize) -> Option<&mut SidecarState> {
        self.sidecars.get_mut(place).and_then(Option::as_mut)
    }

    fn slot_mut(&mut self, target: &TargetName, place: usize) -> Option<&mut PoolSlot> {
        self.pools.get_mut(target).and_then(|pool| pool.slot_mut(place))
    }

    /// The slot that an attempt was meant for: a place may have another sidecar since.
    fn meant_slot(
        &mut self,
        place: usize,
        target: &TargetName,
        attempt: AttemptId,
    ) -> Option<&mut PoolSlot> {
        if self.incarnation(place) != Some(attempt.incarnation) {
            return None;
        }
        self.slot_mut(target, place)
    }

    fn remove_slot(&mut self, target: &TargetName, place: usize) {
        let Some(pool) = self.pools.get_mut(target) else { return };
        pool.remove(place);
        if pool.is_empty() {
            self.pools.remove(target);
        }
    }
}

/// Time until a place to run is free, if this request joined the sidecar's queue now.
fn expected_wait(
    now: MonoTime,
    slot: &PoolSlot,
    query: &CandidateQuery<'_>,
    settings: &ChoiceSettings,
) -> Duration {
    let limit = slot.limit(query.policy);
    let ahead = slot.load(now, settings).saturating_add(1).saturating_sub(limit);
    if ahead == 0 {
        return Duration::ZERO;
    }
    query.service_time.mul_f64(f64::from(ahead) / f64::from(limit.max(1)))
}

fn earliest(first: Option<MonoTime>, second: Option<MonoTime>) -> Option<MonoTime> {
    match (first, second) {
        (Some(first), Some(second)) => Some(first.min(second)),
        (first, second) => first.or(second),
    }
}
