//! `[stop]`: how long a stop may take.

use std::time::Duration;

use crate::file::FieldVisitor;

/// Shortest time in which a process can stop gracefully.
pub const MIN_STOP_GRACE: Duration = Duration::from_secs(2);

/// How long a stop may take.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StopSettings {
    /// Time from the signal to stop until the platform kills the process. The process ends before, and takes only what
    /// can end before it does.
    pub grace: Duration,
}

impl Default for StopSettings {
    fn default() -> Self {
        Self { grace: Duration::from_secs(8) }
    }
}

impl StopSettings {
    pub(crate) fn visit(&mut self, fields: &mut FieldVisitor<'_>) {
        fields.section("stop");
        fields.duration("grace", &mut self.grace);
    }

    pub(crate) fn check(&self, fields: &mut FieldVisitor<'_>) {
        fields.section("stop");
        if self.grace < MIN_STOP_GRACE {
            fields.clash("grace", "grace is shorter than 2s");
        }
    }
}
