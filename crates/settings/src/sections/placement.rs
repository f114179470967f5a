//! `[placement]`: which targets hold which models.

use std::time::Duration;

use crate::file::FieldVisitor;

/// The placement lease and the pace of its holder.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlacementSettings {
    /// A holder whose lease object stands still this long is succeeded. At least twice `renew`.
    pub lease: Duration,
    /// The holder renews this often.
    pub renew: Duration,
    /// A standby reads the lease object this often. Shorter than `lease`.
    pub standby_poll: Duration,
    /// The holder plans this often.
    pub plan_every: Duration,
    /// Loads under way at once in the fleet.
    pub loads_at_once: u32,
    /// An order without an answer is sent again after this long.
    pub order_timeout: Duration,
    /// Rest of a new holder before its first plan, while the fleet's reports come in.
    pub settle: Duration,
    /// A target without a report for this long counts as away.
    pub silent_after: Duration,
    /// A target away for this long is replaced; sooner where a model is below its least copies.
    pub repair_delay: Duration,
    /// Copies must have been too many, or spread badly, this long before one is moved.
    pub move_delay: Duration,
    /// Rest between the failure domains of a version's roll-out.
    pub rollout_soak: Duration,
}

impl Default for PlacementSettings {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(10),
            renew: Duration::from_secs(2),
            standby_poll: Duration::from_secs(4),
            plan_every: Duration::from_secs(1),
            loads_at_once: 8,
            order_timeout: Duration::from_secs(10),
            settle: Duration::from_secs(15),
            silent_after: Duration::from_secs(30),
            repair_delay: Duration::from_secs(30),
            move_delay: Duration::from_secs(15),
            rollout_soak: Duration::from_secs(30),
        }
    }
}

impl PlacementSettings {
    pub(crate) fn visit(&mut self, fields: &mut FieldVisitor<'_>) {
        fields.section("placement");
        fields.duration("lease", &mut self.lease);
        fields.duration("renew", &mut self.renew);
        fields.duration("standby_poll", &mut self.standby_poll);
        fields.duration("plan_every", &mut self.plan_every);
        fields.count("loads_at_once", &mut self.loads_at_once, 1..=1_000);
        fields.duration("order_timeout", &mut self.order_timeout);
        fields.duration("settle", &mut self.settle);
        fields.duration("silent_after", &mut self.silent_after);
        fields.duration("repair_delay", &mut self.repair_delay);
        fields.duration("move_delay", &mut self.move_delay);
        fields.duration("rollout_soak", &mut self.rollout_soak);
    }

    pub(crate) fn check(&self, fields: &mut FieldVisitor<'_>) {
        fields.section("placement");
        if self.lease < self.renew * 2 {
            fields.clash("lease", "lease is shorter than twice its renewal");
        }
        if self.standby_poll >= self.lease {
            fields.clash("standby_poll", "standby_poll is not shorter than lease");
        }
    }
}
