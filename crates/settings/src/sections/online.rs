//! `[online]`: online requests.

use std::time::Duration;

use crate::file::FieldVisitor;

/// Online requests.
#[derive(Debug, Clone, PartialEq)]
pub struct OnlineSettings {
    /// Deadline of a request that names none.
    pub deadline: Duration,
    /// Longest deadline a request may name.
    pub deadline_max: Duration,
    /// Most attempts of an idempotent request.
    pub attempts: u32,
    /// Retries as a share of requests, 0 to 1.
    pub retry_budget: f64,
}

impl Default for OnlineSettings {
    fn default() -> Self {
        Self {
            deadline: Duration::from_secs(30),
            deadline_max: Duration::from_secs(300),
            attempts: 3,
            retry_budget: 0.1,
        }
    }
}

impl OnlineSettings {
    pub(crate) fn visit(&mut self, fields: &mut FieldVisitor<'_>) {
        fields.section("online");
        fields.duration("deadline", &mut self.deadline);
        fields.duration("deadline_max", &mut self.deadline_max);
        fields.count("attempts", &mut self.attempts, 1..=10);
        fields.share("retry_budget", &mut self.retry_budget);
    }

    pub(crate) fn check(&self, fields: &mut FieldVisitor<'_>) {
        fields.section("online");
        if self.deadline > self.deadline_max {
            fields.clash("deadline", "deadline is longer than deadline_max");
        }
    }
}
