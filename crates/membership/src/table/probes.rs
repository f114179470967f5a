//! Pings that wait for an answer.

use std::collections::BTreeMap;

use notch_types::prelude::*;

/// Most pings made for others and not answered yet.
const MAX_RELAYED: usize = 256;

/// How far a probe is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ProbeStage {
    /// Pinged.
    Direct,
    /// Others were asked to ping.
    Indirect,
}

/// A ping of this gateway's own that waits for an answer.
#[derive(Debug, Clone)]
pub(crate) struct OpenProbe {
    pub(crate) sequence: u64,
    pub(crate) stage: ProbeStage,
    pub(crate) deadline: MonoTime,
}

/// A ping made for another gateway.
#[derive(Debug, Clone)]
struct RelayedProbe {
    asker: VmName,
    sequence: u64,
    deadline: MonoTime,
}

/// Pings that wait for an answer. Bounds: one probe a member; [`MAX_RELAYED`] for others.
#[derive(Debug, Default)]
pub(crate) struct ProbeBook {
    next_sequence: u64,
    probes: BTreeMap<VmName, OpenProbe>,
    relayed: BTreeMap<u64, RelayedProbe>,
}

impl ProbeBook {
    pub(crate) fn next_sequence(&mut self) -> u64 {
        self.next_sequence += 1;
        self.next_sequence
    }

    pub(crate) fn is_open(&self, vm: &VmName) -> bool {
        self.probes.contains_key(vm)
    }

    pub(crate) fn open(&mut self, vm: &VmName, sequence: u64, deadline: MonoTime) {
        let probe = OpenProbe { sequence, stage: ProbeStage::Direct, deadline };
        self.probes.insert(vm.clone(), probe);
    }

    /// A sign of life of a member.
    pub(crate) fn heard(&mut self, vm: &VmName) {
        self.probes.remove(vm);
    }

    /// An answer; returns the gateway and sequence for whom the ping was made, if for another.
    pub(crate) fn answered(&mut self, sequence: u64) -> Option<(VmName, u64)> {
        self.probes.retain(|_, probe| probe.sequence != sequence);
        self.relayed.remove(&sequence).map(|relayed| (relayed.asker, relayed.sequence))
    }

    /// Remembers a ping made for another gateway; whether there was room.
    pub(crate) fn relay(
        &mut self,
        own: u64,
        asker: &VmName,
        sequence: u64,
        deadline: MonoTime,
    ) -> bool {
        if self.relayed.len() >= MAX_RELAYED {
            return false;
        }
        self.relayed.insert(own, RelayedProbe { asker: asker.clone(), sequence, deadline });
        true
    }

    /// Probes past their deadline, with their stage; those at [`ProbeStage::Indirect`] are closed.
    pub(crate) fn expired(&mut self, now: MonoTime) -> Vec<(VmName, OpenProbe)> {
        self.relayed.retain(|_, relayed| now < relayed.deadline);
        let late = self.probes.iter().filter(|(_, probe)| now >= probe.deadline);
        let expired: Vec<(VmName, OpenProbe)> =
            late.map(|(vm, probe)| (vm.clone(), probe.clone())).collect();
        for (vm, _) in &expired {
            self.probes.remove(vm);
        }
        expired
    }

    /// Goes on with a probe through others.
    pub(crate) fn go_indirect(&mut self, vm: &VmName, sequence: u64, deadline: MonoTime) {
        let probe = OpenProbe { sequence, stage: ProbeStage::Indirect, deadline };
        self.probes.insert(vm.clone(), probe);
    }

    /// Forgets all probes: their time ran while this process did not.
    pub(crate) fn clear(&mut self) {
        self.probes.clear();
        self.relayed.clear();
    }

    pub(crate) fn next_deadline(&self) -> Option<MonoTime> {
        self.probes.values().map(|probe| probe.deadline).min()
    }
}
