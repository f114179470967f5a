//! A sidecar's settings: those of its file, and what tests and the demo set besides.

use std::{fs, time::Duration};

use notch_gate::prelude::{GateSettings, TargetPolicy};
use notch_link::prelude::*;
use notch_messages::prelude::NodeRole;
use notch_settings::prelude::SidecarConfig;
use notch_types::{class::TargetKind, prelude::*};

use crate::error::SidecarError;

/// Largest answer that fits into one message of a link together with its head, bytes.
pub(crate) const ANSWER_BYTES: u64 = 3 << 20;

/// Everything that one sidecar is set to.
#[derive(Debug, Clone, PartialEq)]
pub struct SidecarSettings {
    /// As read from its file.
    pub config: SidecarConfig,
    /// Bounds of the gate that no file sets. VM, domain, incarnation, seed and what the file's
    /// `[admission]` tells are put in at the start.
    pub gate: GateSettings,
    /// Number of this start; drawn at random when `None`.
    pub incarnation: Option<Incarnation>,
    /// Time between two readings of what the engine holds and caches.
    pub holdings_poll: Duration,
}

impl Default for SidecarSettings {
    fn default() -> Self {
        Self {
            config: SidecarConfig::default(),
            gate: GateSettings::default(),
            incarnation: None,
            holdings_poll: Duration::from_secs(1),
        }
    }
}

impl SidecarSettings {
    /// The gate's settings under a number of this start.
    pub(crate) fn gate_settings(&self, incarnation: Incarnation, seed: u64) -> GateSettings {
        let admission = &self.config.admission;
        GateSettings {
            vm: self.config.node.vm.clone(),
            domain: self.config.node.domain.clone(),
            incarnation,
            seed,
            output_retention: admission.keep_answers,
            output_bytes: admission.answer_buffer,
            drain_bound: admission.drain,
            ..self.gate.clone()
        }
    }

    /// What holds for a target that the catalogue says nothing of.
    pub(crate) fn usual_policy(&self) -> TargetPolicy {
        let admission = &self.config.admission;
        TargetPolicy {
            kind: self.config.target.kind,
            max_concurrency: admission.limit_max,
            start_concurrency: admission.limit_start,
            queue_length: admission.queue,
            queue_wait: admission.queue_wait,
            ..TargetPolicy::default()
        }
    }

    pub(crate) fn is_engine(&self) -> bool {
        self.config.target.kind == TargetKind::Engine
    }

    pub(crate) fn link_settings(&self) -> Result<LinkSettings, SidecarError> {
        let links = &self.config.links;
        let secret = match (&links.secret_file, &links.secret) {
            (Some(path), _) => LinkSecret::new(&fs::read(path).map_err(SidecarError::Secret)?),
            (None, Some(secret)) => LinkSecret::new(secret.as_bytes()),
            (None, None) => return Err(SidecarError::NoSecret),
        };
        if secret.is_empty() {
            return Err(SidecarError::NoSecret);
        }
        Ok(LinkSettings {
            vm: self.config.node.vm.clone(),
            role: NodeRole::Sidecar,
            secret,
            heartbeat: links.heartbeat,
            silence: links.silence,
            ..LinkSettings::default()
        })
    }
}
