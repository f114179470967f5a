//! `[admission]`: what a sidecar lets through to its target.

use std::time::Duration;

use crate::file::FieldVisitor;

/// What a sidecar lets through to its target.
#[derive(Debug, Clone, PartialEq)]
pub struct AdmissionSettings {
    /// Most work running at the target at once; the limit learned stays below it.
    pub limit_max: u32,
    /// The limit before anything has been learned.
    pub limit_start: u32,
    /// Online requests that may wait.
    pub queue: u32,
    /// Longest wait of an online request.
    pub queue_wait: Duration,
    /// Share of the limit that batch leaves free for online, 0 to 1.
    pub online_reserve: f64,
    /// Answers kept for resumption after their end.
    pub keep_answers: Duration,
    /// Bytes of answers kept in all.
    pub answer_buffer: u64,
    /// Longest graceful stop: work still running then is handed back or cut.
    pub drain: Duration,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self {
            limit_max: 64,
            limit_start: 16,
            queue: 32,
            queue_wait: Duration::from_secs(2),
            online_reserve: 0.1,
            keep_answers: Duration::from_secs(30),
            answer_buffer: 64 << 20,
            drain: Duration::from_secs(20),
        }
    }
}

impl AdmissionSettings {
    pub(crate) fn visit(&mut self, fields: &mut FieldVisitor<'_>) {
        fields.section("admission");
        fields.count("limit_max", &mut self.limit_max, 1..=4_096);
        fields.count("limit_start", &mut self.limit_start, 1..=4_096);
        fields.count("queue", &mut self.queue, 0..=4_096);
        fields.duration("queue_wait", &mut self.queue_wait);
        fields.share("online_reserve", &mut self.online_reserve);
        fields.duration("keep_answers", &mut self.keep_answers);
        fields.bytes("answer_buffer", &mut self.answer_buffer, 64 << 10..=1 << 30);
        fields.duration("drain", &mut self.drain);
    }

    pub(crate) fn check(&self, fields: &mut FieldVisitor<'_>) {
        fields.section("admission");
        if self.limit_start > self.limit_max {
            fields.clash("limit_start", "limit_start is above limit_max");
        }
    }
}
