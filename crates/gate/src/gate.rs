//! The gate: one machine over admission, attempts, lots and orders.

use notch_types::prelude::*;

use crate::{effect::GateEffect, event::GateEvent, settings::GateSettings};

/// Decides everything that one sidecar decides.
#[derive(Debug)]
pub struct AdmissionGate {
    settings: GateSettings,
}

impl AdmissionGate {
    /// A gate that knows no target yet.
    pub fn new(settings: GateSettings) -> Self {
        Self { settings }
    }

    /// The settings in force.
    pub fn settings(&self) -> &GateSettings {
        &self.settings
    }

    /// Takes in one event.
    pub fn handle(&mut self, _now: Now, _event: GateEvent, _effects: &mut Vec<GateEffect>) {}

    /// When `Wake` is due at the latest.
    pub fn next_wake(&self) -> Option<MonoTime> {
        None
    }
}
