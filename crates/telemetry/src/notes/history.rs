//! The notes of one node, by subject.

use std::collections::BTreeMap;

use notch_types::prelude::*;
use serde_json::Value;

use crate::notes::SubjectNotes;

/// Bounds of a book of notes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NoteHistorySettings {
    /// Most subjects; the one that was noted longest ago goes first.
    pub subjects: usize,
    /// Most notes of one subject.
    pub notes: usize,
}

impl Default for NoteHistorySettings {
    fn default() -> Self {
        Self { subjects: 4_096, notes: 32 }
    }
}

/// One subject's notes and its place in the order of use.
#[derive(Debug)]
struct BookPage {
    /// Key of this page in `order`.
    turn: u64,
    notes: SubjectNotes,
}

/// The notes of one node. Both bounds hold at all times: at most `subjects` pages of at most
/// `notes` entries.
#[derive(Debug, Default)]
pub struct NoteHistory {
    settings: NoteHistorySettings,
    pages: FastMap<NoteSubject, BookPage>,
    /// Subjects by the turn of their last note; the same subjects as in `pages`.
    order: BTreeMap<u64, NoteSubject>,
    turn: u64,
}

impl NoteHistory {
    /// An empty book.
    pub fn new(settings: NoteHistorySettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Writes a note down.
    pub fn record(&mut self, now: Now, note: DecisionNote) {
        self.turn += 1;
        let DecisionNote { subject, step } = note;
        match self.pages.get_mut(&subject) {
            Some(page) => {
                self.order.remove(&page.turn);
                page.turn = self.turn;
                page.notes.add(now.wall, step, self.settings.notes.max(1));
            }
            None => {
                self.make_room();
                let mut notes = SubjectNotes::default();
                notes.add(now.wall, step, self.settings.notes.max(1));
                self.pages.insert(subject.clone(), BookPage { turn: self.turn, notes });
            }
        }
        self.order.insert(self.turn, subject);
    }

    /// The notes of a subject; `None` when there are none (any more).
    pub fn lookup(&self, subject: &NoteSubject) -> Option<&SubjectNotes> {
        self.pages.get(subject).map(|page| &page.notes)
    }

    /// The notes of a subject as `explain` shows them.
    pub fn explain(&self, subject: &NoteSubject) -> Option<Value> {
        self.lookup(subject).map(|notes| notes.to_json(subject))
    }

    /// Subjects with notes.
    pub fn len(&self) -> usize {
        self.pages.len()
    }

    /// Whether nothing is noted.
    pub fn is_empty(&self) -> bool {
        self.pages.is_empty()
    }

    fn make_room(&mut self) {
        while self.pages.len() >= self.settings.subjects.max(1) {
            let Some((_, oldest)) = self.order.pop_first() else { return };
            self.pages.remove(&oldest);
        }
    }
}
