//! The notes of one subject.

use std::{
    collections::VecDeque,
    time::{Duration, UNIX_EPOCH},
};

use notch_types::prelude::*;
use serde_json::{Value, json};

/// One step, with the times of its first and last happening.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NoteEntry {
    /// When it first happened.
    pub first: WallTime,
    /// When it last happened.
    pub last: WallTime,
    /// How often in a row; at least 1.
    pub times: u32,
    /// The step; of the last happening.
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

    /// Whether `step` merely repeats this one: the same decision for the same reason at the same
    /// VM, whatever figures it used.
    fn repeats(&self, step: &NoteStep) -> bool {
        self.step.code == step.code && self.step.vm == step.vm && self.step.reason == step.reason
    }
}

/// The newest notes of one subject, oldest first.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SubjectNotes {
    /// At most as many as the book's settings allow.
    pub entries: VecDeque<NoteEntry>,
    /// Older entries that had to go.
    pub forgotten: u64,
}

impl SubjectNotes {
    /// Adds a step, or counts it when it repeats the last one. Keeps at most `bound` entries.
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
    /// 9999-12-31, the last day the format can write; a later time is a broken clock's.
    const LAST_MS: u64 = 253_402_214_400_000;
    let time = UNIX_EPOCH + Duration::from_millis(time.0.min(LAST_MS));
    humantime::format_rfc3339_millis(time).to_string()
}
