//! Decision notes of one node, by subject.

use std::collections::BTreeMap;

use notch_types::prelude::*;
use serde_json::Value;

use crate::notes::SubjectNotes;

/// Limits of a history.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NoteHistorySettings {
    /// Maximum number of subjects. The subject whose last note is oldest is evicted first.
    pub subjects: usize,
    /// Maximum number of notes per subject.
    pub notes: usize,
}

impl Default for NoteHistorySettings {
    fn default() -> Self {
        Self { subjects: 4_096, notes: 32 }
    }
}

/// Notes of one subject and its position in the eviction order.
#[derive(Debug)]
struct SubjectRecord {
    /// Key of this subject in `eviction_order`.
    sequence: u64,
    notes: SubjectNotes,
}

/// Decision notes of one node. Both limits hold at all times: at most `subjects` subjects with at
/// most `notes` entries each.
#[derive(Debug, Default)]
pub struct NoteHistory {
    settings: NoteHistorySettings,
    records: FastMap<NoteSubject, SubjectRecord>,
    /// Subjects by the sequence number of their last note; the same subjects as in `records`.
    eviction_order: BTreeMap<u64, NoteSubject>,
    sequence: u64,
}

impl NoteHistory {
    /// Creates an empty history.
    pub fn new(settings: NoteHistorySettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Records a note.
    pub fn record(&mut self, now: Now, note: DecisionNote) {
        self.sequence += 1;
        let DecisionNote { subject, step } = note;
        match self.records.get_mut(&subject) {
            Some(record) => {
                self.eviction_order.remove(&record.sequence);
                record.sequence = self.sequence;
                record.notes.add(now.wall, step, self.settings.notes.max(1));
            }
            None => {
                self.evict_oldest();
                let mut notes = SubjectNotes::default();
                notes.add(now.wall, step, self.settings.notes.max(1));
                self.records
                    .insert(subject.clone(), SubjectRecord { sequence: self.sequence, notes });
            }
        }
        self.eviction_order.insert(self.sequence, subject);
    }

    /// The notes of a subject; `None` if there are none or they were evicted.
    pub fn lookup(&self, subject: &NoteSubject) -> Option<&SubjectNotes> {
        self.records.get(subject).map(|record| &record.notes)
    }

    /// The notes of a subject as `explain` shows them.
    pub fn explain(&self, subject: &NoteSubject) -> Option<Value> {
        self.lookup(subject).map(|notes| notes.to_json(subject))
    }

    /// Number of subjects with notes.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there are no notes.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn evict_oldest(&mut self) {
        while self.records.len() >= self.settings.subjects.max(1) {
            let Some((_, oldest)) = self.eviction_order.pop_first() else { return };
            self.records.remove(&oldest);
        }
    }
}
