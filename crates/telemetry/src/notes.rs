//! Notes of decisions, kept for `explain`.

mod history;
mod subject;

pub use self::{
    history::{NoteHistory, NoteHistorySettings},
    subject::{NoteEntry, SubjectNotes},
};
