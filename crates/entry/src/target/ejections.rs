//! Ejections of failing targets: announces those decided here, applies those of other homes.

use std::sync::{Mutex, MutexGuard, PoisonError};

use notch_messages::prelude::PeerMessage;
use notch_relay::prelude::{EjectionNotice, TargetTable};
use notch_telemetry::prelude::*;
use notch_types::prelude::*;

use crate::{clock::NodeClock, peers::table::PeerTable};

/// What the exchange of ejections needs.
#[derive(Debug, Clone, Copy)]
pub struct EjectionExchange<'a> {
    /// Targets and their ejections.
    pub targets: &'a Mutex<TargetTable>,
    /// Links to the other gateways.
    pub peers: &'a PeerTable,
    /// Clocks of the process.
    pub clock: NodeClock,
    /// Event log.
    pub log: &'a NodeLog,
    /// Exported metrics.
    pub metrics: &'a Metrics,
}

impl EjectionExchange<'_> {
    /// Announces to all gateways what was decided here about own targets, and ends ejections that are over. Returns
    /// whether a target was readmitted.
    pub fn announce(&self) -> bool {
        let notices = self.targets().ejection_notices(self.clock.mono());
        for notice in &notices {
            if notice.is_new {
                self.log_decision(notice);
            }
            let EjectionNotice { is_ejected, failure_permille, .. } = *notice;
            let target = notice.target.clone();
            let message = PeerMessage::TargetEjected { target, is_ejected, failure_permille };
            self.peers.broadcast(&message);
        }
        notices.iter().any(|notice| !notice.is_ejected)
    }

    /// Applies what a target's home announced.
    pub fn apply(&self, peer: &VmName, target: &str, is_ejected: bool, failure_permille: u16) {
        let now = self.clock.mono();
        let is_applied =
            self.targets().apply_ejection(peer, target, is_ejected, failure_permille, now);
        if !is_applied {
            self.metrics.count(Counter::Event("ejections_ignored"));
        }
    }

    fn log_decision(&self, notice: &EjectionNotice) {
        let excluded = self.targets().excluded_count();
        let fields: [(&str, &dyn std::fmt::Display); 4] = [
            ("target", &notice.target),
            ("failures", &notice.counts.failures),
            ("outcomes", &notice.counts.outcomes),
            ("excluded", &excluded),
        ];
        if notice.is_ejected {
            self.log.warn("target_ejected", &fields);
            self.metrics.count(Counter::Event("targets_ejected"));
        } else {
            self.log.info("target_readmitted", &fields);
            self.metrics.count(Counter::Event("targets_readmitted"));
        }
    }

    fn targets(&self) -> MutexGuard<'_, TargetTable> {
        self.targets.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
