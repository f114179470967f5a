//! A VM list that shows changes late.

use std::{
    collections::BTreeMap,
    sync::{Mutex, MutexGuard},
    time::{Duration, Instant},
};

use futures_util::future::BoxFuture;
use notch_platform::{ListingFailure, VmListing, VmRecord, VmState};
use notch_types::ids::VmName;

/// How late the list is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VmsSettings {
    /// A change shows this long after it was made.
    pub lag: Duration,
    /// The VMs shown from the start.
    pub vms: Vec<VmRecord>,
}

impl Default for VmsSettings {
    fn default() -> Self {
        Self { lag: Duration::from_millis(500), vms: Vec::new() }
    }
}

/// A VM list with lag.
#[derive(Debug)]
pub struct LaggingVms {
    lag: Duration,
    state: Mutex<VmsState>,
}

#[derive(Debug)]
struct VmsState {
    /// The list as it is.
    real: BTreeMap<VmName, VmRecord>,
    /// The list as it shows.
    shown: BTreeMap<VmName, VmRecord>,
    /// Changes not shown yet, with the time from which they show; at most those of one lag.
    late: Vec<(Instant, BTreeMap<VmName, VmRecord>)>,
    down: bool,
}

impl LaggingVms {
    /// A list of `settings.vms`.
    pub fn new(settings: VmsSettings) -> Self {
        let named = |record: &VmRecord| (record.vm.clone(), record.clone());
        let real: BTreeMap<_, _> = settings.vms.iter().map(named).collect();
        let state = VmsState { shown: real.clone(), real, late: Vec::new(), down: false };
        Self { lag: settings.lag, state: Mutex::new(state) }
    }

    /// Adds a VM, or replaces it.
    pub fn put(&self, record: VmRecord) {
        self.change(|vms| {
            vms.insert(record.vm.clone(), record);
        });
    }

    /// Marks a VM as leaving or live.
    pub fn mark(&self, vm: &VmName, state: VmState) {
        self.change(|vms| {
            if let Some(record) = vms.get_mut(vm) {
                record.state = state;
            }
        });
    }

    /// Takes a VM off the list.
    pub fn remove(&self, vm: &VmName) {
        self.change(|vms| {
            vms.remove(vm);
        });
    }

    /// Puts `records` in place of all VMs.
    pub fn replace(&self, records: Vec<VmRecord>) {
        self.change(|vms| {
            *vms = records.into_iter().map(|record| (record.vm.clone(), record)).collect();
        });
    }

    /// Switches the list off, or on again.
    pub fn set_down(&self, down: bool) {
        self.locked().down = down;
    }

    /// The list as it shows now.
    pub fn shown(&self) -> Result<Vec<VmRecord>, ListingFailure> {
        let mut state = self.locked();
        state.show_due(Instant::now());
        if state.down {
            return Err(ListingFailure::Unavailable);
        }
        Ok(state.shown.values().cloned().collect())
    }

    fn change(&self, change: impl FnOnce(&mut BTreeMap<VmName, VmRecord>)) {
        let now = Instant::now();
        let mut state = self.locked();
        state.show_due(now);
        change(&mut state.real);
        let copy = state.real.clone();
        state.late.push((now + self.lag, copy));
    }

    fn locked(&self) -> MutexGuard<'_, VmsState> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

impl VmsState {
    fn show_due(&mut self, now: Instant) {
        let due = self.late.iter().take_while(|(from, _)| *from <= now).count();
        if let Some((_, newest)) = self.late.drain(..due).next_back() {
            self.shown = newest;
        }
    }
}

impl VmListing for LaggingVms {
    fn list(&self) -> BoxFuture<'_, Result<Vec<VmRecord>, ListingFailure>> {
        Box::pin(async move { self.shown() })
    }
}
