//! Decision notes of one subject.

use std::{
    collections::VecDeque,
    time::{Duration, UNIX_EPOCH},
};

use notch_types::prelude::*;
use serde_json::{Value, json};

/// A step with the times of its first and last occurrence.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NoteEntry {
    /// Time of the first occurrence.
    pub first: WallTime,
    /// Time of the last occurrence.
    pub last: WallTime,
    /// Number of consecutive occurrences; at least 1.
    pub times: u32,
    /// The step as of its last occurrence.
    pub step: NoteStep,
}

impl NoteEntry {
    fn to_json(&self) -> Value {
        json!({
            "at": rfc3339(self.first),
            "at_ms": self.first.0,
            "last_ms": self.last.0,
            "times": self.times,
            "code": self.step.code,
            "vm": self.step.vm.as_ref().map(VmName::as_str),
            "reason": self.step.reason,
            "detail": self.step.detail,
        })
    }

    /// Whether `step` repeats this one: the same code, VM and reason; the detail may differ.
    fn repeats(&self, step: &NoteStep) -> bool {
        self.step.code == step.code && self.step.vm == step.vm && self.step.reason == step.reason
    }
}

/// The newest notes of one subject, oldest first.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SubjectNotes {
    /// The entries, limited by [`NoteHistorySettings`](crate::notes::NoteHistorySettings).
    pub entries: VecDeque<NoteEntry>,
    /// Number of older entries that were evicted.
    pub forgotten: u64,
}

impl SubjectNotes {
    /// Adds a step, or counts an occurrence if it repeats the last step. Keeps at most `bound` entries.
    pub(crate) fn add(&mut self, at: WallTime, step: NoteStep, bound: usize) {
        if let Some(last) = self.entries.back_mut().filter(|last| last.repeats(&step)) {
            last.last = at;
            last.times = last.times.saturating_add(1);
            last.step = step;
            return;
        }
        if self.entries.len() >= bound {
            self.entries.pop_front();
            self.forgotten += 1;
        }
        self.entries.push_back(NoteEntry { first: at, last: at, times: 1, step });
    }

    /// The notes as `explain` shows them.
    pub fn to_json(&self, subject: &NoteSubject) -> Value {
        let (kind, name) = match subject {
            NoteSubject::Request(request) => ("request", request.to_string()),
            NoteSubject::Job(job) => ("job", job.to_string()),
            NoteSubject::Target(target) => ("target", target.to_string()),
            NoteSubject::Vm(vm) => ("vm", vm.to_string()),
        };
        let notes: Vec<Value> = self.entries.iter().map(NoteEntry::to_json).collect();
        json!({ "kind": kind, "subject": name, "forgotten": self.forgotten, "notes": notes })
    }
}

fn rfc3339(time: WallTime) -> String {
    /// 9999-12-31, the last day that the format can represent; a later time comes from a faulty clock.
    const LAST_MS: u64 = 253_402_214_400_000;
    let time = UNIX_EPOCH + Duration::from_millis(time.0.min(LAST_MS));
    humantime::format_rfc3339_millis(time).to_string()
}
